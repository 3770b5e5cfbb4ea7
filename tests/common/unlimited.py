"""Limits of backend servers for tests in which none is stated."""

from typing import TypedDict

from wagtailpoint.limits.limit_pacing import LimitPacing
from wagtailpoint.limits.stated_limit import StatedLimits
from wagtailpoint.observe.metrics import Metrics


class Unlimited(TypedDict):
    """The arguments of ``ConfiguredServers`` that concern limits."""

    stated_limits: StatedLimits
    pacing: LimitPacing


def unlimited() -> Unlimited:
    """Return limits of which none is stated yet."""
    limits = StatedLimits(is_known=lambda server: True, metrics=Metrics())
    pacing = LimitPacing(
        limits=limits, count_senders=lambda server, region, wanted: 1, metrics=Metrics()
    )
    return Unlimited(stated_limits=limits, pacing=pacing)

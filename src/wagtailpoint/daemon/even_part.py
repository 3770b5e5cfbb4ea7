"""The part of a limit that an instance may spend when nobody knows who needs how much."""

from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.limits.seat import seat_names


def even_part(config: EffectiveConfig | None) -> float:
    """One of as many parts as there are seats; no more instances than seats may run at a time."""
    if config is None:
        return 0.0
    return 1 / len(seat_names(config.regions))

"""The part of a limit that an instance may spend when nobody knows who needs how much."""

from wagtailpoint.config.model import EffectiveConfig


def equal_fraction(config: EffectiveConfig | None) -> float:
    """One of as many parts as the regions plan for; no more instances may run at a time."""
    if config is None:
        return 0.0
    return 1 / sum(
        region.seats_per_failure_domain * len(region.failure_domains)
        for region in config.regions.values()
    )

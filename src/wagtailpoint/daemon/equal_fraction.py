"""The fraction of a common limit that an instance may use without knowing the others' demand."""

from wagtailpoint.config.model import EffectiveConfig


def equal_fraction(config: EffectiveConfig | None) -> float:
    """Return 1 divided by the seats of all regions, which bound how many instances run at a time.

    Returns 0 while no configuration is in force.
    """
    if config is None:
        return 0.0
    return 1 / sum(
        region.seats_per_failure_domain * len(region.failure_domains)
        for region in config.regions.values()
    )

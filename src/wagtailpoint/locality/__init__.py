"""Which backend servers are near: an entry's own region first, then the next by latency."""

from wagtailpoint.locality.nearness import LEAST_USABLE_PART, Nearness

__all__ = ["LEAST_USABLE_PART", "Nearness"]

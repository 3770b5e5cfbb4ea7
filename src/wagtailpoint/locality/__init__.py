"""Which backend servers are near: an entry's own region first, then the next by latency."""

from wagtailpoint.locality.nearness import MIN_USABLE_FRACTION, Nearness

__all__ = ["MIN_USABLE_FRACTION", "Nearness"]

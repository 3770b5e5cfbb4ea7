"""Locality: tiers of backend servers by the latency from an entry's region to theirs."""

from wagtailpoint.locality.nearness import MIN_USABLE_FRACTION, Nearness

__all__ = ["MIN_USABLE_FRACTION", "Nearness"]

"""Estimated utilisation of a service's slots."""

from typing import Final

from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.estimates import Estimates

UPDATE_INTERVAL_S: Final = 0.1
"""Time for which an estimate is reused."""


class Utilisation:
    """Estimates the fraction of a service's slots that is in use, as known to this instance."""

    def __init__(self, *, fleet: Fleet, distances: Distances, estimates: Estimates) -> None:
        """Initialise the estimates as unknown.

        Args:
            fleet: The backend servers.
            distances: The round-trip times to them.
            estimates: Their load.
        """
        self._fleet = fleet
        self._distances = distances
        self._estimates = estimates
        self._cached: dict[str, tuple[float, float]] = {}

    def estimate(self, service: str, now: float) -> float:
        """Return the utilisation of a service, 0 to 1, computed once in ``UPDATE_INTERVAL_S``."""
        known = self._cached.get(service)
        if known is not None and now - known[0] < UPDATE_INTERVAL_S:
            return known[1]
        half_life_s = self._estimates.report_half_life_s(service, now)
        used, slots = 0.0, 0
        for candidate in self._fleet.candidates(service):
            entry = candidate.entry
            round_trip_s = self._distances.round_trip_s(entry.failure_domain)
            load = self._estimates.load_of(entry)
            used += min(entry.slots, load.occupancy(now, round_trip_s, half_life_s))
            slots += entry.slots
        utilisation = used / slots if slots else 0.0
        self._cached[service] = (now, utilisation)
        return utilisation

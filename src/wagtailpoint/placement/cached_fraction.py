"""Which part of the affinity keys a failure domain holds: as many as its slots can serve."""

import math
from collections import Counter
from collections.abc import Mapping
from typing import Final

import trio

from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.entry_counts import EntryCounts

INITIAL_UTILISATION: Final = 0.6
"""The demand that is assumed before any was measured: all slots of the service, used by so much, by
the callers of all failure domains alike. Assuming none, a failure domain with few backend servers
would take all requests of its callers for seconds, and then lose most to other regions at once."""

TARGET_UTILISATION: Final = 0.6
"""Of the slots of a failure domain, by the requests for the keys that it holds. Above it requests
wait for each other; what is free serves what spills over from elsewhere."""

REGION_TARGET_UTILISATION: Final = 0.4
"""The same of the slots of a region, by the keys that all its instances send there first. It is
lower since they have no second place: after a start all of them are fetched there at the same time,
each for the time of four that are cached."""

RATE_HALF_LIFE_S: Final = 4.0
"""The demand is averaged over a few seconds: keys that change hands with each fluctuation would
find no cache warm."""

UPDATE_INTERVAL_S: Final = 0.5
MAX_STEP: Final = 0.1
"""The part changes by so much in an interval at most: each key that moves meets a cold cache, and a
belief that is wrong for a moment must not move them all."""

MAX_REGION_STEP: Final = 0.05
"""The same of a region: a key that moves changes the region in which its requests run."""


class _ServiceDemand:
    """The demand of this instance's callers for one service."""

    def __init__(self, slots: float, now: float) -> None:
        self.slots = slots
        self.decayed_at = now
        self.fractions: dict[str, float] = {}
        self.region_fractions: dict[str, float] = {}
        self.updated_at = -math.inf

    def decay(self, now: float) -> None:
        self.slots *= math.exp(-math.log(2) * (now - self.decayed_at) / RATE_HALF_LIFE_S)
        self.decayed_at = now


class CachedFraction:
    """For each service and failure domain, the part of the keys that shall be cached there.

    A failure domain with few backend servers can't serve all the keys of its callers. Were they
    chosen by load alone, every key would be served there now and then, and none would be found in
    a cache: all would take three times as long. So a fixed part of the keys is served there, and
    the others elsewhere, where their caches are warm.

    Every failure domain is assumed to have the same demand as this instance's own.
    """

    def __init__(self, *, fleet: Fleet, entries: EntryCounts) -> None:
        """Make it.

        Args:
            fleet: The backend servers.
            entries: How many instances share the callers.
        """
        self._fleet = fleet
        self._entries = entries
        self._demands: dict[str, _ServiceDemand] = {}

    def record_request(self, service: str, service_s: float) -> None:
        """A request came that will hold a slot for so many seconds if its object is cached."""
        now = trio.current_time()
        demand = self._demand(service, now)
        demand.decay(now)
        # The integral of the decay: a steady rate of slots settles at just that value.
        demand.slots += service_s * math.log(2) / RATE_HALF_LIFE_S

    def domain_fraction(self, service: str, failure_domain: str) -> float:
        """The part of the keys, 0 to 1, that a failure domain holds."""
        return self._updated(service).fractions.get(failure_domain, 1.0)

    def region_fraction(self, service: str, region: str) -> float:
        """The part of the keys, 0 to 1, that a region holds for its own callers."""
        return self._updated(service).region_fractions.get(region, 1.0)

    def _updated(self, service: str) -> _ServiceDemand:
        now = trio.current_time()
        demand = self._demand(service, now)
        if now - demand.updated_at >= UPDATE_INTERVAL_S:
            self._update(service, demand, now)
        return demand

    def _demand(self, service: str, now: float) -> _ServiceDemand:
        demand = self._demands.get(service)
        if demand is None:
            demand = self._demands[service] = _ServiceDemand(self._initial_slots(service), now)
        return demand

    def _initial_slots(self, service: str) -> float:
        """The slots that the callers of this instance may be expected to use."""
        slots = sum(candidate.entry.slots for candidate in self._fleet.candidates(service))
        domains = max(1, self._fleet.failure_domains)
        return INITIAL_UTILISATION * slots / domains / self._entries.in_domain

    def _update(self, service: str, demand: _ServiceDemand, now: float) -> None:
        demand.decay(now)
        domains: Counter[str] = Counter()
        regions: Counter[str] = Counter()
        for entry, region in self._fleet.candidates(service):
            domains[entry.failure_domain] += entry.slots
            regions[region] += entry.slots
        is_first_update = demand.updated_at == -math.inf
        in_domain = demand.slots * self._entries.in_domain / TARGET_UTILISATION
        in_region = demand.slots * self._entries.in_region / REGION_TARGET_UTILISATION
        _step_towards(demand.fractions, domains, in_domain, 1.0 if is_first_update else MAX_STEP)
        _step_towards(
            demand.region_fractions, regions, in_region, 1.0 if is_first_update else MAX_REGION_STEP
        )
        demand.updated_at = now


def _step_towards(
    fractions: dict[str, float], slots: Mapping[str, int], wanted_slots: float, step: float
) -> None:
    """Move the part of each place towards what its slots can serve."""
    for place, available in slots.items():
        fraction = min(1.0, available / max(0.01, wanted_slots))
        previous = fractions.get(place, fraction)
        fractions[place] = previous + max(-step, min(step, fraction - previous))

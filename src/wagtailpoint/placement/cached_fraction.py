"""Fraction of the affinity keys that each failure domain caches, sized by its slots."""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

import trio

from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.entry_counts import EntryCounts
from wagtailpoint.placement.region_demand import RegionDemand

INITIAL_UTILISATION: Final = 0.6
"""Utilisation of the service's slots that is assumed before any demand was measured, spread evenly
over the failure domains. If no demand were assumed, a failure domain with few backend servers would
take all requests of its callers for seconds and then lose most of them to other regions at once."""

TARGET_UTILISATION: Final = 0.6
"""Utilisation of a failure domain's slots by the requests for the keys cached there. Above it
requests queue behind each other; the free slots serve requests that spill over from elsewhere."""

REGION_TARGET_UTILISATION: Final = 0.4
"""Utilisation of a region's slots by the keys that all its instances send there first. It is lower
because these keys have no second place: after a start all of them are fetched there at the same
time, and each fetch takes as long as four requests for cached objects."""

RATE_HALF_LIFE_S: Final = 4.0
"""Half-life of the demand average. If keys moved with each short fluctuation, they would find no
warm cache."""

UPDATE_INTERVAL_S: Final = 0.5
MAX_STEP: Final = 0.1
"""Maximum change of a failure domain's fraction per update. Each key that moves meets a cold cache,
so an estimate that is wrong for a moment must not move all keys."""

MAX_REGION_STEP: Final = 0.05
"""Maximum change of a region's fraction per update. It is lower than ``MAX_STEP`` because the
requests of a key that moves run in another region."""

STABLE_BAND: Final = 0.1
"""A shared demand moves a fraction only if the fraction that it needs differs by more than this.
Smaller differences are mostly noise, and each key that moves meets a cold cache."""

REACHED_DIFFERENCE: Final = 0.01
"""Difference below which a fraction that follows the demand counts as equal to what it needs."""


class _ServiceDemand:
    """Slots of one service that the callers of this instance use, as a decaying average."""

    def __init__(self, slots: float, now: float) -> None:
        self.slots = slots
        self.decayed_at = now
        self.fractions: dict[str, float] = {}
        self.region_fractions: dict[str, float] = {}
        self.following_domains: set[str] = set()
        self.following_regions: set[str] = set()
        self.updated_at = -math.inf

    def decay(self, now: float) -> None:
        """Decay the demand until ``now``, in seconds."""
        self.slots *= math.exp(-math.log(2) * (now - self.decayed_at) / RATE_HALF_LIFE_S)
        self.decayed_at = now


class CachedFraction:
    """Computes the fraction of a service's keys to cache in each failure domain and region.

    A failure domain with few backend servers cannot serve all keys of its callers. If backend
    servers were chosen by load alone, every key would be served there now and then, none would be
    found in a cache, and all requests would take three times as long. So a fixed fraction of the
    keys is served there, and the others elsewhere, where their objects are cached.

    All failure domains are assumed to have the demand of this instance's own. Where the instances
    of a region share their demands, their mean replaces this instance's demand, and the fractions
    stay as they are while the fraction that the demand needs is close to them.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        entries: EntryCounts,
        demand: RegionDemand | None = None,
        is_shared: Callable[[str], bool] = lambda service: False,
    ) -> None:
        """Initialise the demand as unknown for all services.

        Args:
            fleet: The backend servers.
            entries: The numbers of instances that share the callers.
            demand: What the other instances of the region told of their demand.
            is_shared: Returns whether instances share their demand of a service.
        """
        self._fleet = fleet
        self._entries = entries
        self._shared = demand if demand is not None else RegionDemand()
        self._is_shared = is_shared
        self._demands: dict[str, _ServiceDemand] = {}

    def record_request(self, service: str, service_s: float) -> None:
        """Record a request that takes ``service_s`` seconds of a slot if its object is cached."""
        now = trio.current_time()
        demand = self._get_demand(service, now)
        demand.decay(now)
        # The factor normalises the decaying sum: a steady demand settles at the number of slots in
        # use.
        demand.slots += service_s * math.log(2) / RATE_HALF_LIFE_S

    def own_slots(self, service: str) -> float:
        """Return the number of slots that this instance's callers use, as a decaying average."""
        now = trio.current_time()
        demand = self._get_demand(service, now)
        demand.decay(now)
        return demand.slots

    def domain_fraction(self, service: str, failure_domain: str) -> float:
        """Return the fraction of the keys, 0 to 1, to cache in a failure domain."""
        return self._get_updated_demand(service).fractions.get(failure_domain, 1.0)

    def region_fraction(self, service: str, region: str) -> float:
        """Return the fraction of the keys, 0 to 1, that a region caches for its own callers."""
        return self._get_updated_demand(service).region_fractions.get(region, 1.0)

    def _get_updated_demand(self, service: str) -> _ServiceDemand:
        now = trio.current_time()
        demand = self._get_demand(service, now)
        if now - demand.updated_at >= UPDATE_INTERVAL_S:
            self._update(service, demand, now)
        return demand

    def _get_demand(self, service: str, now: float) -> _ServiceDemand:
        demand = self._demands.get(service)
        if demand is None:
            demand = self._demands[service] = _ServiceDemand(self._initial_slots(service), now)
        return demand

    def _initial_slots(self, service: str) -> float:
        """Return the number of slots that this instance's callers are assumed to use at first."""
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
        domain_step = 1.0 if is_first_update else MAX_STEP
        region_step = 1.0 if is_first_update else MAX_REGION_STEP
        is_shared = self._is_shared(service)
        domain_slots = region_slots = demand.slots
        if is_shared:
            domain_slots = self._shared.domain_mean(service, demand.slots, now)
            region_slots = self._shared.region_mean(service, demand.slots, now)
        _step_towards(
            demand.fractions,
            _needed_fractions(domains, domain_slots * self._entries.in_domain / TARGET_UTILISATION),
            domain_step,
            demand.following_domains if is_shared else None,
        )
        _step_towards(
            demand.region_fractions,
            _needed_fractions(
                regions, region_slots * self._entries.in_region / REGION_TARGET_UTILISATION
            ),
            region_step,
            demand.following_regions if is_shared else None,
        )
        demand.updated_at = now


def _needed_fractions(slots: Mapping[str, int], needed_slots: float) -> dict[str, float]:
    """Return the fraction of the keys that the slots of each failure domain or region can serve."""
    return {place: min(1.0, count / max(0.01, needed_slots)) for place, count in slots.items()}


def _step_towards(
    fractions: dict[str, float],
    needed: Mapping[str, float],
    step: float,
    following: set[str] | None,
) -> None:
    """Move the fraction of each failure domain or region towards the needed one.

    Args:
        fractions: The present fractions by failure domain or region.
        needed: The needed fractions.
        step: The maximum change.
        following: The failure domains or regions that follow their need until it is reached; the
            others stay as they are within a band. None if all follow.
    """
    for place, fraction in needed.items():
        previous = fractions.setdefault(place, fraction)
        if following is None or _is_following(place, fraction - previous, following):
            fractions[place] = previous + max(-step, min(step, fraction - previous))


def _is_following(place: str, difference: float, following: set[str]) -> bool:
    if abs(difference) > STABLE_BAND:
        following.add(place)
    elif abs(difference) < REACHED_DIFFERENCE:
        following.discard(place)
    return place in following

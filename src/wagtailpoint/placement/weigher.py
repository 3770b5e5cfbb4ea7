"""What one backend server has to offer a request: a choice with its loss, or no room."""

from typing import Final

from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.choice import Choice, Declined, Demand
from wagtailpoint.placement.cold_pacing import ColdPacing
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.entry_counts import EntryCounts
from wagtailpoint.placement.estimates import Estimates
from wagtailpoint.placement.expectation import COLD_FACTOR, Prospect, expect
from wagtailpoint.placement.ranking import Ranked
from wagtailpoint.routing.table import HostRoute, ServicePolicy

WARM_CACHED_CHANCE: Final = 0.95
AGREED_CACHED_CHANCE: Final = 0.95
DOMAIN_CACHED_CHANCE: Final = 0.3
OTHER_CACHED_CHANCE: Final = 0.05
"""The chance that an object is cached: where this instance had it answered lately, where all
instances send it first, where the others of this failure domain may have, and elsewhere."""

URGENT_WAIT_FACTOR: Final = 1.2
NORMAL_WAIT_FACTOR: Final = 1.0
"""How long a request may be expected to wait at a backend server, for the urgent and the others: so
many times what its objective leaves beside the service time. Short requests may so stand behind
many, long ones behind few, and whoever is let in is answered in time or little later; the urgent
find room behind the others."""

MIN_WAIT_FRACTION: Final = 0.5
"""Of the service time: where the objective leaves less, a request may still be next in line."""

MAX_URGENT_PRIORITY: Final = 1
MIN_OBJECTIVE_S: Final = 0.01


class Weigher:
    """Weighs backend servers by all that is known of them."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        distances: Distances,
        cold: ColdPacing,
        cached_fraction: CachedFraction,
        estimates: Estimates,
        entries: EntryCounts,
    ) -> None:
        """Make it.

        Args:
            fleet: The backend servers.
            distances: How far they are.
            cold: Paces those that are cold.
            cached_fraction: Which keys each failure domain holds.
            estimates: What this instance knows of backend servers and routes.
            entries: How many instances share the callers.
        """
        self._fleet = fleet
        self._distances = distances
        self._cold = cold
        self._cached_fraction = cached_fraction
        self._estimates = estimates
        self._entries = entries

    def weigh(
        self, demand: Demand, ranked: Ranked, position: float, utilisation: float, now: float
    ) -> Choice | Declined:
        """What a backend server offers.

        Args:
            demand: What the request needs.
            ranked: The backend server.
            position: Of the request's key among all keys of the service, 0 to 1.
            utilisation: Of the service's slots, 0 to 1.
            now: The time.
        """
        entry, region = ranked.candidate
        load = self._estimates.load_of(entry)
        cost = self._estimates.cost_of(demand.route, demand.service)
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        occupancy = load.occupancy(now, round_trip_s)
        report_age_s = load.report_age_s(now)
        slowness = load.slowness(now)
        if self._fleet.is_cold(entry.start):
            if not self._cold.may_send(entry.start, region, cold_per_s(demand.policy)):
                return Declined(entry, "cold", occupancy, report_age_s)
            slowness *= COLD_FACTOR
        service_s = cost.service_s(now) * slowness
        ahead_s = self._estimates.mean_service_s(demand.service, now)
        agreed = self._is_agreed(demand, ranked, position)
        cached = self._cached_chance(demand, ranked, agreed, now)
        prospect = Prospect(
            service_s=service_s,
            ahead_service_s=service_s if ahead_s is None else ahead_s * slowness,
            cached=cached,
            expected_uses=self._expected_uses(demand, ranked, position, agreed, now),
            round_trip_s=round_trip_s,
            occupancy=occupancy,
            slots=entry.slots,
            utilisation=utilisation,
            error_share=load.error_share(now),
            reply_bytes=cost.reply_bytes,
            crosses_domain=ranked.in_region and not ranked.in_domain,
            crosses_region=not ranked.in_region,
        )
        expected = expect(prospect, objective_s=max(demand.objective_remaining_s, MIN_OBJECTIVE_S))
        if expected.wait_s > _max_wait_s(demand.route, service_s):
            return Declined(entry, "full", occupancy, report_age_s)
        return Choice(entry, region, ranked.rank, cached, expected, occupancy, report_age_s)

    def _cached_chance(self, demand: Demand, ranked: Ranked, agreed: bool, now: float) -> float:
        warm = self._estimates.warm_of(ranked.candidate.entry)
        if not demand.route.sticky or warm.is_warm(demand.key, now):
            return WARM_CACHED_CHANCE
        if agreed:
            return AGREED_CACHED_CHANCE
        return DOMAIN_CACHED_CHANCE if ranked.in_domain else OTHER_CACHED_CHANCE

    def _is_agreed(self, demand: Demand, ranked: Ranked, position: float) -> bool:
        """Whether all instances of the region send the key there first."""
        if position < self._cached_fraction.region_fraction(demand.service, self._distances.region):
            return ranked.is_first_in_region
        return ranked.rank == 0

    def _expected_uses(
        self, demand: Demand, ranked: Ranked, position: float, agreed: bool, now: float
    ) -> float:
        """How often the object would be used if it got cached there."""
        reuse = self._estimates.reuse_of(demand.route)
        if agreed:
            entries = self._entries.in_region if ranked.in_region else self._entries.everywhere
            return reuse.expected_uses(entries, now)
        domain = ranked.candidate.entry.failure_domain
        if position >= self._cached_fraction.domain_fraction(demand.service, domain):
            return 1.0
        return reuse.expected_uses(self._entries.in_domain, now)


def cold_per_s(policy: ServicePolicy | None) -> float:
    """Requests a second that a cold backend server of a service bears."""
    return policy.cold_per_s if policy is not None else 0.0


def _max_wait_s(route: HostRoute, service_s: float) -> float:
    """How long a request of a route may wait at a backend server."""
    is_urgent = route.priority <= MAX_URGENT_PRIORITY
    factor = URGENT_WAIT_FACTOR if is_urgent else NORMAL_WAIT_FACTOR
    return max(MIN_WAIT_FRACTION * service_s, factor * (route.objective_s - service_s))

"""Evaluation of one backend server for a request."""

from typing import Final

from wagtailpoint.admission.start_ramp import StartRamp, can_wait
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.limits.limit_pacing import LimitPacing
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.choice import LIMITED, Choice, Declined, Demand
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
"""Probabilities that an object is cached: at a backend server that has answered this instance for
the key lately, at the one that all instances send the key to first, at others of this instance's
failure domain, where its other instances may have sent it, and elsewhere."""

URGENT_WAIT_FACTOR: Final = 1.2
NORMAL_WAIT_FACTOR: Final = 1.0
"""Maximum expected wait at a backend server, as a multiple of the objective less the service time,
for urgent and other requests. Short requests may so wait behind many and long ones behind few, and
an admitted request is answered in time or little later. The higher factor lets urgent requests
queue behind others."""

MIN_WAIT_FRACTION: Final = 0.5
"""Minimum of the maximum wait, as a fraction of the service time: where the objective leaves less,
a request may still be the next in the queue."""

MAX_URGENT_PRIORITY: Final = 1
"""Requests up to this priority are urgent; 0 is the most urgent."""

MIN_OBJECTIVE_S: Final = 0.01


class Weigher:
    """Computes the expected loss of a request at a backend server."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        distances: Distances,
        cold: ColdPacing,
        limits: LimitPacing,
        cached_fraction: CachedFraction,
        estimates: Estimates,
        entries: EntryCounts,
        ramp: StartRamp | None = None,
    ) -> None:
        """Initialise the weigher.

        Args:
            fleet: The backend servers.
            distances: The round-trip times to them.
            cold: Limits the requests to cold backend servers.
            limits: Limits the requests to backend servers that state a limit.
            cached_fraction: The fraction of keys to cache in each failure domain.
            estimates: This instance's estimates of backend servers and routes.
            entries: The numbers of instances that share the callers.
            ramp: Bounds the requests to a backend server after a loss of all instances.
        """
        self._fleet = fleet
        self._distances = distances
        self._cold = cold
        self._limits = limits
        self._cached_fraction = cached_fraction
        self._estimates = estimates
        self._entries = entries
        self._ramp = ramp

    def weigh(
        self, demand: Demand, ranked: Ranked, position: float, utilisation: float, now: float
    ) -> Choice | Declined:
        """Evaluate a backend server for a request.

        Args:
            demand: The requirements of the request.
            ranked: The backend server.
            position: The position of the request's key among all keys of the service, 0 to 1.
            utilisation: The utilisation of the service's slots, 0 to 1.
            now: The current time in seconds.
        """
        entry, region = ranked.candidate
        load = self._estimates.load_of(entry)
        cost = self._estimates.cost_of(demand.route, demand.service)
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        occupancy = self._estimates.occupancy(entry, now, round_trip_s)
        report_age_s = load.report_age_s(now)
        slowness = load.slowness(now)
        if self._limits.has_any and not self._limits.may_send(entry.start.key, region):
            return Declined(entry, LIMITED, occupancy, report_age_s)
        if self._fleet.is_cold(entry.start):
            if not self._cold.may_send(entry.start, region, cold_per_s(demand.policy)):
                return Declined(entry, "cold", occupancy, report_age_s)
            slowness *= COLD_FACTOR
        elif not self._may_send_by_ramp(demand, ranked, position, now):
            return Declined(entry, "full", occupancy, report_age_s)
        normal_s = cost.service_s(now)
        # The pace in the middle of the service time: it changes within the time of a request.
        runs_at = now + round_trip_s / 2 + normal_s / 2
        pace = self._estimates.expected_pace(entry, runs_at)
        slowness *= pace
        occupied = self._estimates.occupied(demand.service)
        ratio, others_delay = 1.0, 0.0
        if occupied is not None:
            ratio, others_delay = occupied.effect(occupancy, entry.slots)
            slowness *= ratio
        service_s = normal_s * slowness
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
            others_delay=others_delay,
        )
        expected = expect(prospect, objective_s=max(demand.objective_remaining_s, MIN_OBJECTIVE_S))
        if expected.wait_s > _max_wait_s(demand.route, service_s):
            return Declined(entry, "full", occupancy, report_age_s)
        return Choice(
            entry, region, ranked.rank, cached, expected, occupancy, report_age_s, pace, ratio
        )

    def _may_send_by_ramp(
        self, demand: Demand, ranked: Ranked, position: float, now: float
    ) -> bool:
        """Return whether the bound after a loss of all instances allows a request now."""
        if self._ramp is None or not self._ramp.is_active(demand.service, now):
            return True
        if not can_wait(demand.route.objective_s, demand.objective_remaining_s, demand.remaining_s):
            return True
        entry, region = ranked.candidate
        kept = position < self._cached_fraction.region_fraction(demand.service, region)
        is_for_region = ranked.in_region and (kept or ranked.rank > 0)
        senders = self._entries.in_region if is_for_region else self._entries.everywhere
        return self._ramp.may_send(entry, self._estimates.load_of(entry).in_flight, senders, now)

    def _cached_chance(self, demand: Demand, ranked: Ranked, agreed: bool, now: float) -> float:
        warm = self._estimates.warm_of(ranked.candidate.entry)
        if not demand.route.sticky or warm.is_warm(demand.key, now):
            return WARM_CACHED_CHANCE
        if agreed:
            return AGREED_CACHED_CHANCE
        return DOMAIN_CACHED_CHANCE if ranked.in_domain else OTHER_CACHED_CHANCE

    def _is_agreed(self, demand: Demand, ranked: Ranked, position: float) -> bool:
        """Return whether all instances of this region send the key there first."""
        if position < self._cached_fraction.region_fraction(demand.service, self._distances.region):
            return ranked.is_first_in_region
        return ranked.rank == 0

    def _expected_uses(
        self, demand: Demand, ranked: Ranked, position: float, agreed: bool, now: float
    ) -> float:
        """Return how often the object would be used there once it is cached."""
        reuse = self._estimates.reuse_of(demand.route)
        if agreed:
            entries = self._entries.in_region if ranked.in_region else self._entries.everywhere
            return reuse.expected_uses(entries, now)
        domain = ranked.candidate.entry.failure_domain
        if position >= self._cached_fraction.domain_fraction(demand.service, domain):
            return 1.0
        return reuse.expected_uses(self._entries.in_domain, now)


def cold_per_s(policy: ServicePolicy | None) -> float:
    """Return the requests a second that a cold backend server of a service can serve."""
    return policy.cold_per_s if policy is not None else 0.0


def _max_wait_s(route: HostRoute, service_s: float) -> float:
    """Return the maximum wait of a route's request at a backend server, in seconds."""
    is_urgent = route.priority <= MAX_URGENT_PRIORITY
    factor = URGENT_WAIT_FACTOR if is_urgent else NORMAL_WAIT_FACTOR
    return max(MIN_WAIT_FRACTION * service_s, factor * (route.objective_s - service_s))

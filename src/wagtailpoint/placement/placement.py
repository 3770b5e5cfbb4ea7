"""The choice of a backend server: affinity, load, distance and evidence, weighed as one loss."""

from collections.abc import Callable, Sequence
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Candidate, Fleet
from wagtailpoint.placement.cached_part import CachedPart
from wagtailpoint.placement.choice import (
    Choice,
    Demand,
    NoRoom,
    Observation,
    is_hopeless,
    loss_of,
)
from wagtailpoint.placement.cold_pacing import ColdPacing
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.expectation import (
    COLD_FACTOR,
    Prospect,
    expect,
)
from wagtailpoint.placement.key_reuse import KeyReuse
from wagtailpoint.placement.ranking import Ranked, Ranking
from wagtailpoint.placement.region_mix import RegionMix
from wagtailpoint.placement.route_costs import RouteCost
from wagtailpoint.placement.server_load import ServerLoad
from wagtailpoint.placement.warm_keys import WarmKeys
from wagtailpoint.routing.table import HostRoute, ServicePolicy

KNOWN_CACHED: Final = 0.95
FIRST_CACHED: Final = 0.7
LOCAL_CACHED: Final = 0.3
OTHER_CACHED: Final = 0.05
"""The chance that an object is cached: where this instance had it answered lately, where all
instances send it first, where the others of this failure domain may have, and elsewhere."""

UTILISATION_INTERVAL_S: Final = 0.1

MOST_ROUTES: Final = 10_000
"""Routes come and go with the configuration; what was learned of old ones must not fill memory."""

URGENT_QUEUE: Final = 3.0
OTHER_QUEUE: Final = 1.5
"""Requests that may wait at a backend server beyond its slots, for the urgent and for the others:
what waits there delays everybody, and the urgent must find room behind the others."""

MOST_URGENT_PRIORITY: Final = 1


class Placement:
    """Chooses backend servers, and learns from what becomes of the requests."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        distances: Distances,
        cold: ColdPacing,
        cached_part: CachedPart,
        mix: RegionMix,
        instances: Callable[[], int],
        instances_here: Callable[[], int],
    ) -> None:
        """Make it.

        Args:
            fleet: The backend servers.
            distances: How far they are.
            cold: Paces those that are cold.
            cached_part: Which keys each failure domain holds.
            mix: In which regions requests run.
            instances: How many instances there are.
            instances_here: How many of them share the callers of this failure domain.
        """
        self._fleet = fleet
        self._distances = distances
        self._cold = cold
        self._cached_part = cached_part
        self._mix = mix
        self._instances = instances
        self._instances_here = instances_here
        self._ranking = Ranking(
            fleet=fleet, own_domain=distances.failure_domain, own_region=distances.region
        )
        self._utilisations: dict[str, tuple[float, float]] = {}
        self._warm: dict[str, WarmKeys] = {}
        self._reuse: dict[str, KeyReuse] = {}
        self._loads: dict[str, ServerLoad] = {}
        self._costs: dict[tuple[str, str], RouteCost] = {}

    def _warm_of(self, server_id: str) -> WarmKeys:
        warm = self._warm.get(server_id)
        if warm is None:
            warm = self._warm[server_id] = WarmKeys()
        return warm

    def _reuse_of(self, route: HostRoute) -> KeyReuse:
        reuse = self._reuse.get(route.name)
        if reuse is None:
            if len(self._reuse) >= MOST_ROUTES:
                self._reuse.clear()
            reuse = self._reuse[route.name] = KeyReuse()
        return reuse

    def load_of(self, server_id: str) -> ServerLoad:
        """What is believed of a backend server."""
        load = self._loads.get(server_id)
        if load is None:
            load = self._loads[server_id] = ServerLoad()
        return load

    def cost_of(self, route: HostRoute, service: str) -> RouteCost:
        """What requests of a route take at a service."""
        cost = self._costs.get((route.name, service))
        if cost is None:
            if len(self._costs) >= MOST_ROUTES:
                self._costs.clear()
            cost = self._costs[route.name, service] = RouteCost(objective_s=route.objective_s)
        return cost

    def note_request(self, demand: Demand) -> None:
        """A request of a caller came."""
        cost = self.cost_of(demand.route, demand.service)
        now = trio.current_time()
        self._cached_part.note_request(demand.service, cost.service_s(now))
        self._reuse_of(demand.route).note(demand.key, now)

    def choose(self, demand: Demand) -> Choice | NoRoom:
        """Choose where a request goes."""
        now = trio.current_time()
        order = self._ranking.of(demand.service, demand.key, demand.route.homes)
        found = [
            each for each in order.ranked if each.candidate.entry.server_id not in demand.tried
        ]
        if not found:
            return NoRoom("no backend server")
        reachable = [
            each
            for each in found
            if not self.load_of(each.candidate.entry.server_id).is_suspect(now)
        ]
        utilisation = self._utilisation(demand.service, now)
        # When all are suspect the suspicion is of no use: the fault may be on our side.
        weighed = (
            self._weigh(demand, each, order.position, utilisation, now)
            for each in reachable or found
        )
        choices = [choice for choice in weighed if choice is not None]
        if not choices:
            return NoRoom("no room")
        best = self._least_loss(choices, demand.left_s, now)
        if is_hopeless(best, demand.left_s):
            return NoRoom("too late")
        return best

    def _least_loss(self, choices: Sequence[Choice], left_s: float, now: float) -> Choice:
        """The best choice, in another region if too many requests would come to its own at once.

        A sound backend server with room must be there for that: what changes because others fail
        or fill up may change at once.
        """
        best = min(choices, key=loss_of)
        if not self._mix.is_full(best.region, now):
            return best
        others = [
            each
            for each in choices
            if not self._mix.is_full(each.region, now)
            and not is_hopeless(each, left_s)
            and self.load_of(each.entry.server_id).is_sound(now)
        ]
        return min(others, key=loss_of, default=best)

    def began(self, demand: Demand, entry: ServerEntry) -> None:
        """A request is sent."""
        self.load_of(entry.server_id).began()
        self._mix.note(self._fleet.region_of(entry.failure_domain), trio.current_time())
        if self._fleet.is_cold(entry.server_id):
            self._cold.note_sent(entry.server_id, _cold_per_s(demand.policy))

    def ended(self, entry: ServerEntry) -> None:
        """A request that was sent is over."""
        self.load_of(entry.server_id).ended()

    def note_answer(self, demand: Demand, choice: Choice, seen: Observation) -> None:
        """Take note of an answer, before ``ended``."""
        now = trio.current_time()
        entry = choice.entry
        load = self.load_of(entry.server_id)
        if seen.report is not None:
            load.note_report(seen.report, now)
        # A full backend server that sheds does what it should; one with room is at fault.
        full = seen.report is not None and seen.report.running >= seen.report.slots
        load.note_answer(now, failed=seen.failed or (seen.shed and not full))
        self._fleet.note_cold(entry.server_id, seen.cold_s)
        if seen.failed or seen.shed:
            return
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        service_s = max(0.001, seen.latency_s - round_trip_s)
        expected_s = max(0.001, choice.expected.latency_s - round_trip_s)
        load.note_latency(service_s / expected_s, now)
        self._warm_of(entry.server_id).note(demand.key, now)
        if choice.cached >= KNOWN_CACHED and choice.occupancy < entry.slots - 1:
            cost = self.cost_of(demand.route, demand.service)
            cost.note(service_s, seen.reply_bytes, now)

    def note_unreachable(self, entry: ServerEntry) -> float:
        """A backend server could not be reached, or broke off; return how long it rests."""
        return self.load_of(entry.server_id).note_unreachable(trio.current_time())

    def note_broken(self, entry: ServerEntry) -> None:
        """An exchange broke off; it may be the backend server's fault, or the connection's."""
        self.load_of(entry.server_id).note_answer(trio.current_time(), failed=True)

    def forget(self, server_id: str) -> None:
        """Forget a backend server that is gone."""
        load = self._loads.get(server_id)
        if load is not None and load.in_flight == 0:
            del self._loads[server_id]
        self._warm.pop(server_id, None)
        self._cold.forget(server_id)

    def _weigh(
        self,
        demand: Demand,
        ranked: Ranked,
        position: float,
        utilisation: float,
        now: float,
    ) -> Choice | None:
        """The choice of a candidate; None if it has no room."""
        entry = ranked.candidate.entry
        load = self.load_of(entry.server_id)
        occupancy = load.occupancy(now)
        urgent = demand.route.priority <= MOST_URGENT_PRIORITY
        if occupancy >= entry.slots + (URGENT_QUEUE if urgent else OTHER_QUEUE):
            return None
        service_s = self.cost_of(demand.route, demand.service).service_s(now) * load.slowness(now)
        if self._fleet.is_cold(entry.server_id):
            if not self._cold.may_send(entry.server_id, _cold_per_s(demand.policy)):
                return None
            service_s *= COLD_FACTOR
        cached = self._cached_chance(demand, ranked, now)
        uses = self._uses(demand, ranked, position, now)
        expected = expect(
            self._prospect(demand, ranked.candidate, service_s, now)._replace(
                cached=cached, uses=uses, occupancy=occupancy, utilisation=utilisation
            ),
            objective_s=max(demand.objective_left_s, 0.01),
        )
        region = ranked.candidate.region
        return Choice(
            entry, region, ranked.rank, cached, expected, occupancy, load.report_age_s(now)
        )

    def _utilisation(self, service: str, now: float) -> float:
        """Of all slots of a service, 0 to 1; worked out now and then, for all requests."""
        known = self._utilisations.get(service)
        if known is not None and now - known[0] < UTILISATION_INTERVAL_S:
            return known[1]
        used, slots = 0.0, 0
        for candidate in self._fleet.candidates(service):
            entry = candidate.entry
            used += min(entry.slots, self.load_of(entry.server_id).occupancy(now))
            slots += entry.slots
        utilisation = used / slots if slots else 0.0
        self._utilisations[service] = (now, utilisation)
        return utilisation

    def _cached_chance(self, demand: Demand, ranked: Ranked, now: float) -> float:
        entry = ranked.candidate.entry
        if not demand.route.sticky or self._warm_of(entry.server_id).holds(demand.key, now):
            return KNOWN_CACHED
        if ranked.rank == 0:
            return FIRST_CACHED
        if ranked.local_rank == 0 and self._distances.is_own_domain(entry.failure_domain):
            return LOCAL_CACHED
        return OTHER_CACHED

    def _uses(self, demand: Demand, ranked: Ranked, position: float, now: float) -> float:
        """How often the object would be used if it got cached there."""
        domain = ranked.candidate.entry.failure_domain
        reuse = self._reuse_of(demand.route)
        if ranked.rank == 0:
            return reuse.uses(self._instances(), now)
        if position >= self._cached_part.of(demand.service, domain):
            return 1.0
        return reuse.uses(self._instances_here(), now)

    def _prospect(
        self,
        demand: Demand,
        candidate: Candidate,
        service_s: float,
        now: float,
    ) -> Prospect:
        domain = candidate.entry.failure_domain
        in_region = self._distances.is_own_region(domain)
        return Prospect(
            service_s=service_s,
            cached=0.0,
            uses=1.0,
            round_trip_s=self._distances.round_trip_s(domain),
            occupancy=0.0,
            slots=candidate.entry.slots,
            utilisation=0.0,
            error_share=self.load_of(candidate.entry.server_id).error_share(now),
            reply_bytes=self.cost_of(demand.route, demand.service).reply_bytes,
            crosses_domain=in_region and not self._distances.is_own_domain(domain),
            crosses_region=not in_region,
        )


def _cold_per_s(policy: ServicePolicy | None) -> float:
    return policy.cold_per_s if policy is not None else 0.0

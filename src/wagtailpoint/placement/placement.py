"""The choice of a backend server by expected time: affinity, load, distance, evidence."""

from collections.abc import Collection
from typing import Final, NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Candidate, Fleet
from wagtailpoint.placement.cold_pacing import ColdPacing
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.ranking import Ranking
from wagtailpoint.placement.route_costs import RouteCost
from wagtailpoint.placement.server_load import LoadReport, ServerLoad
from wagtailpoint.routing.table import HostRoute, ServicePolicy

CANDIDATES_PER_REGION: Final = 3
"""More would spread a key over more caches and need more connections."""

UNCACHED_PART: Final = (0.0, 1.0, 2.0)
"""By rank within the region: how much of a service time more a request is expected to take because
the backend server has not handled the key lately. A cached object takes 0.3 of the time."""

COLD_SERVER_PART: Final = 1.0
"""A cold backend server takes twice as long."""

ERROR_COST_S: Final = 0.3
"""A failed answer costs a repetition, and often the answer's value."""

REGION_S_PER_KB: Final = 0.001
DOMAIN_S_PER_KB: Final = 0.0005
"""Bytes between regions and failure domains have a price; as time, so that it can be weighed."""

URGENT_QUEUE: Final = 3.0
OTHER_QUEUE: Final = 1.5
"""Requests that may wait at a backend server beyond its slots, for the urgent and for the others:
what waits there delays everybody, and the urgent must find room behind the others."""

MOST_URGENT_PRIORITY: Final = 1


class Demand(NamedTuple):
    """What a request needs.

    Attributes:
        route: Its route.
        service: The service that the route sent it to.
        policy: What the configuration says of the service.
        key: Its affinity key; empty if it has none.
        tried: Backend servers that it was sent to before.
        left_s: Seconds left until its deadline.
    """

    route: HostRoute
    service: str
    policy: ServicePolicy | None
    key: str
    tried: Collection[str]
    left_s: float


class Choice(NamedTuple):
    """The backend server for a request, and what it was chosen by.

    Attributes:
        entry: The backend server.
        rank: Its rank for the key within its region.
        expected_s: The expected time until the answer, in seconds.
        occupancy: The requests believed to be there.
        report_age_s: How old the newest report of its load is, in seconds.
    """

    entry: ServerEntry
    rank: int
    expected_s: float
    occupancy: float
    report_age_s: float


class NoRoom(NamedTuple):
    """Why a request can't be sent now.

    Attributes:
        reason: For the log.
        full: There are backend servers, but they have no room.
    """

    reason: str
    full: bool


class Observation(NamedTuple):
    """How an exchange ended, as far as the backend server is concerned.

    Attributes:
        latency_s: Until the end of the answer, in seconds.
        reply_bytes: Its length.
        failed: It was a failure of the backend server's own.
        shed: It was refused without being run.
        report: The load that came with it.
        cold_s: How much longer the backend server stays cold, if it said so.
    """

    latency_s: float
    reply_bytes: int
    failed: bool
    shed: bool
    report: LoadReport | None
    cold_s: float


class Placement:
    """Chooses backend servers, and learns from what becomes of the requests."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        distances: Distances,
        cold: ColdPacing,
        ranking: Ranking | None = None,
    ) -> None:
        """Make it.

        Args:
            fleet: The backend servers.
            distances: How far they are.
            cold: Paces those that are cold.
            ranking: The order for a key.
        """
        self._fleet = fleet
        self._distances = distances
        self._cold = cold
        self._ranking = ranking or Ranking(fleet=fleet, most_per_region=CANDIDATES_PER_REGION)
        self._loads: dict[str, ServerLoad] = {}
        self._costs: dict[tuple[str, str], RouteCost] = {}

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
            cost = self._costs[route.name, service] = RouteCost()
        return cost

    def choose(self, demand: Demand) -> Choice | NoRoom:
        """Choose where a request goes."""
        now = trio.current_time()
        found = self._allowed(demand)
        if not found:
            return NoRoom("no backend server", full=False)
        reachable = [
            (candidate, rank)
            for candidate, rank in found
            if not self.load_of(candidate.entry.server_id).is_suspect(now)
        ]
        # When all are suspect the suspicion is of no use: the fault may be on our side.
        best: Choice | None = None
        best_cost = float("inf")
        for candidate, rank in reachable or found:
            choice, cost = self._weigh(demand, candidate, rank, now)
            if choice is not None and cost < best_cost:
                best, best_cost = choice, cost
        if best is None:
            return NoRoom("no room", full=True)
        if best.expected_s > demand.left_s:
            return NoRoom("too late", full=True)
        return best

    def began(self, demand: Demand, entry: ServerEntry) -> None:
        """A request is sent."""
        self.load_of(entry.server_id).began()
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
        cost = self.cost_of(demand.route, demand.service)
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        service_s = max(0.001, seen.latency_s - round_trip_s)
        load.note_latency(service_s / max(0.001, choice.expected_s - round_trip_s))
        if choice.rank == 0 and choice.occupancy < entry.slots:
            cost.note(service_s, seen.reply_bytes)

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
        self._cold.forget(server_id)

    def _allowed(self, demand: Demand) -> list[tuple[Candidate, int]]:
        homes = demand.route.homes
        return [
            (candidate, rank)
            for candidate, rank in self._ranking.of(demand.service, demand.key)
            if candidate.entry.server_id not in demand.tried
            and (not homes or candidate.region in homes)
        ]

    def _weigh(
        self, demand: Demand, candidate: Candidate, rank: int, now: float
    ) -> tuple[Choice | None, float]:
        """The choice of a candidate with its cost in seconds; None if it has no room."""
        entry = candidate.entry
        load = self.load_of(entry.server_id)
        occupancy = load.occupancy(now)
        urgent = demand.route.priority <= MOST_URGENT_PRIORITY
        if occupancy >= entry.slots + (URGENT_QUEUE if urgent else OTHER_QUEUE):
            return None, 0.0
        cost = self.cost_of(demand.route, demand.service)
        service_s = cost.service_s * max(1.0, load.slowness)
        expected_s = self._distances.round_trip_s(entry.failure_domain) + service_s
        if demand.route.sticky and demand.key:
            expected_s += service_s * UNCACHED_PART[rank]
        if self._fleet.is_cold(entry.server_id):
            if not self._cold.may_send(entry.server_id, _cold_per_s(demand.policy)):
                return None, 0.0
            expected_s += service_s * COLD_SERVER_PART
        expected_s += _queueing_s(occupancy, entry.slots, service_s)
        choice = Choice(entry, rank, expected_s, occupancy, load.report_age_s(now))
        return choice, expected_s + self._price_s(entry, cost) + ERROR_COST_S * load.error_share

    def _price_s(self, entry: ServerEntry, cost: RouteCost) -> float:
        if self._distances.is_own_domain(entry.failure_domain):
            return 0.0
        near = self._distances.is_own_region(entry.failure_domain)
        return cost.reply_bytes / 1024 * (DOMAIN_S_PER_KB if near else REGION_S_PER_KB)


def _queueing_s(occupancy: float, slots: int, service_s: float) -> float:
    """The expected wait for a slot, in seconds: rising before the slots are all in use."""
    if occupancy < slots:
        return 0.3 * service_s * (occupancy / slots) ** 2
    return service_s * (0.3 + (occupancy - slots + 1) / slots)


def _cold_per_s(policy: ServicePolicy | None) -> float:
    return policy.cold_per_s if policy is not None else 0.0

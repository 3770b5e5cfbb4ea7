"""Simulates a deployment: callers, instances with the real placement, and backend servers.

The simulation runs in virtual time, so that settings of the choice of backend servers can be
compared within seconds. The decisions are those of the real ``placement/``. Modelled are round
trips, slots, queues, caches of backend servers, the price of bytes, lost backend servers, restarts,
and callers that retry once when refused; not modelled are connections and processor time.
The figures therefore compare settings; they do not predict the worth of a real deployment.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from random import Random

import trio
from loguru import logger
from tests.common.steering_parts import make_limit_pacing, make_stated_limits
from trio.testing import MockClock

from bench.simulated_deployment import MAX_SHIFT_FRACTION, Deployment, Fault, RequestClass
from bench.simulated_outcomes import Outcome
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.choice import Choice, Demand, Observation
from wagtailpoint.placement.cold_pacing import ColdBound, ColdPacing
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.entry_counts import FixedEntryCounts
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.placement import Placement
from wagtailpoint.placement.region_mix import RegionMix
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.routing.table import HostRoute, RouteKind, SplitPart

LATE_VALUE_FRACTION = 0.2
RETRY_DELAY_S = 0.2
CACHED_WORK_FACTOR = 0.3
SERVICE_TIME_DEVIATION = 0.15
MAX_QUEUED = 9


class ModelServer:
    """Models a backend server with slots, a short queue and a cache of objects."""

    def __init__(self, *, entry: ServerEntry, cache_size: int, random: Random) -> None:
        self.entry = entry
        self._slot = trio.Semaphore(entry.slots)
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_size = cache_size
        self._random = random
        self._running = 0
        self._waiting = 0

    @property
    def report(self) -> LoadReport:
        """The load report that the backend server sends with an answer."""
        return LoadReport(self._running, self._waiting, self.entry.slots)

    async def serve(self, key: str, work_s: float, remaining_s: float) -> bool:
        """Run a request; return False if the queue is full or ``remaining_s`` ends first."""
        if self._waiting >= MAX_QUEUED:
            return False
        self._waiting += 1
        try:
            with trio.move_on_after(remaining_s) as scope:
                await self._slot.acquire()
        finally:
            self._waiting -= 1
        if scope.cancelled_caught:
            return False
        self._running += 1
        try:
            await trio.sleep(self._service_s(key, work_s))
        finally:
            self._running -= 1
            self._slot.release()
        return True

    def _service_s(self, key: str, work_s: float) -> float:
        cached = key in self._cache
        self._cache[key] = None
        self._cache.move_to_end(key)
        if len(self._cache) > self._cache_size:
            self._cache.popitem(last=False)
        factor = max(0.3, self._random.gauss(1.0, SERVICE_TIME_DEVIATION))
        return work_s * factor * (CACHED_WORK_FACTOR if cached else 1.0)


class SystemModel:
    """Simulates one run of a deployment."""

    def __init__(self, *, deployment: Deployment, seed: int, faults: Sequence[Fault] = ()) -> None:
        """Initialise the simulation.

        Args:
            deployment: The deployment to simulate.
            seed: The seed of arrivals and service times.
            faults: The faults that occur during the run.
        """
        self._deployment = deployment
        self._faults = faults
        self._fleets: list[Fleet] = []
        self._random = Random(seed)
        self._servers: dict[str, ModelServer] = {}
        self.outcomes: list[Outcome] = []

    def simulate(self, seconds: float) -> Sequence[Outcome]:
        """Simulate a number of seconds of load and return the outcomes of the requests."""
        logger.disable("wagtailpoint")
        try:
            trio.run(self._simulate, seconds, clock=MockClock(autojump_threshold=0.0))
        finally:
            logger.enable("wagtailpoint")
        return self.outcomes

    async def _simulate(self, seconds: float) -> None:
        self._servers = {server.entry.server_id: server for server in self._make_servers()}
        total = sum(self._deployment.instances.values())
        placements = {
            domain: [self._make_placement(domain, total) for _ in range(count)]
            for domain, count in self._deployment.instances.items()
        }
        async with trio.open_nursery() as nursery:
            for fault in self._faults:
                nursery.start_soon(self._inject_fault, fault, placements)
            for domain, domain_placements in placements.items():
                for request_class in self._deployment.classes:
                    nursery.start_soon(
                        self._run_callers, domain, domain_placements, request_class, seconds
                    )

    async def _inject_fault(self, fault: Fault, placements: Mapping[str, list[Placement]]) -> None:
        await trio.sleep_until(fault.at_s)
        if not fault.domain:
            total = sum(self._deployment.instances.values())
            self._fleets.clear()
            for domain, domain_placements in placements.items():
                domain_placements[:] = [
                    self._make_placement(domain, total) for _ in domain_placements
                ]
            return
        lost = [
            server
            for server in self._servers.values()
            if server.entry.failure_domain == fault.domain
        ]
        for server in lost:
            del self._servers[server.entry.server_id]
        self._update_fleets()
        await trio.sleep(fault.duration_s)
        for server in lost:
            entry = server.entry._replace(started_ms=int(1000 * trio.current_time()))
            cache_size = self._deployment.cache_size[entry.service]
            made = ModelServer(entry=entry, cache_size=cache_size, random=self._random)
            self._servers[entry.server_id] = made
        self._update_fleets()

    def _update_fleets(self) -> None:
        for fleet in self._fleets:
            fleet.update([server.entry for server in self._servers.values()])

    def _make_servers(self) -> list[ModelServer]:
        made = []
        for service, places in self._deployment.servers.items():
            for domain, count in places.items():
                for number in range(count):
                    address = BackendAddress("127.0.0.1", 1)
                    slots = self._deployment.slots[service]
                    name = f"{service}-{domain}-{number}"
                    entry = ServerEntry(name, service, address, domain, slots, False, 0.0)
                    cache_size = self._deployment.cache_size[service]
                    made.append(
                        ModelServer(entry=entry, cache_size=cache_size, random=self._random)
                    )
        return made

    def _make_placement(self, domain: str, instances: int) -> Placement:
        deployment = self._deployment
        fleet = Fleet(region_of=deployment.region_of)
        fleet.update([server.entry for server in self._servers.values()])
        self._fleets.append(fleet)
        distances = Distances(
            failure_domain=domain,
            region=deployment.region_of[domain],
            region_of=deployment.region_of,
        )
        for destination in deployment.region_of:
            distances.record_connect_time(destination, deployment.round_trip_s(domain, destination))

        region = deployment.region_of[domain]
        entries = FixedEntryCounts(
            everywhere=instances,
            in_region=sum(
                count
                for other_domain, count in deployment.instances.items()
                if deployment.region_of[other_domain] == region
            ),
            in_domain=deployment.instances[domain],
        )
        return Placement(
            fleet=fleet,
            distances=distances,
            cold=ColdPacing(
                bound=lambda: ColdBound(1.5, 5.0),
                count_senders=lambda server, region, wanted: instances,
            ),
            limits=make_limit_pacing(make_stated_limits(fleet)),
            backoffs=RequestedBackoffs(metrics=Metrics()),
            cached_fraction=CachedFraction(fleet=fleet, entries=entries),
            mix=RegionMix(max_shift=lambda: MAX_SHIFT_FRACTION, random=self._random),
            entries=entries,
            metrics=Metrics(),
        )

    async def _run_callers(
        self,
        domain: str,
        domain_placements: Sequence[Placement],
        request_class: RequestClass,
        seconds: float,
    ) -> None:
        route = _build_route(request_class)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < seconds:
                placement = self._random.choice(domain_placements)
                owner = (
                    self._deployment.region_of[domain] if self._deployment.keys_per_region else ""
                )
                key = f"{request_class.name}-{owner}-{self._random.randrange(request_class.keys)}"
                nursery.start_soon(self._request, domain, placement, request_class, route, key)
                rate = self._deployment.rate(request_class, domain, trio.current_time())
                await trio.sleep(self._random.expovariate(rate))

    async def _request(
        self,
        domain: str,
        placement: Placement,
        request_class: RequestClass,
        route: HostRoute,
        key: str,
    ) -> None:
        began = trio.current_time()
        ran_in = ""
        for _ in range(2):
            ran_in = await self._attempt(domain, placement, request_class, route, key, began)
            if ran_in:
                break
            await trio.sleep(RETRY_DELAY_S)
        latency_s = trio.current_time() - began
        in_time = latency_s <= request_class.objective_s
        value_fraction = (
            1.0
            if in_time
            else LATE_VALUE_FRACTION if latency_s <= request_class.deadline_s else 0.0
        )
        earned = request_class.value * value_fraction if ran_in else 0.0
        region = self._deployment.region_of[ran_in] if ran_in else ""
        price = self._deployment.price(domain, ran_in, request_class.reply_bytes) if ran_in else 0.0
        self.outcomes.append(
            Outcome(
                began,
                domain,
                request_class.name,
                request_class.value,
                earned,
                not ran_in,
                region,
                price,
            )
        )

    async def _attempt(
        self,
        domain: str,
        placement: Placement,
        request_class: RequestClass,
        route: HostRoute,
        key: str,
        began: float,
    ) -> str:
        """Send a request once.

        Returns:
            The failure domain where the request ran; empty if it was refused.
        """
        elapsed_s = trio.current_time() - began
        remaining_s = request_class.deadline_s - elapsed_s
        demand = Demand(
            route,
            request_class.service,
            None,
            key,
            (),
            remaining_s,
            request_class.objective_s - elapsed_s,
        )
        placement.record_request(demand)
        choice = placement.choose(demand)
        if not isinstance(choice, Choice):
            return ""
        sent_at = trio.current_time()
        one_way_s = self._deployment.round_trip_s(domain, choice.entry.failure_domain) / 2
        underway = placement.record_send(demand, choice)
        await trio.sleep(one_way_s)
        server = self._servers.get(choice.entry.server_id)
        if server is None:
            # The backend server was lost while the request was in transit; the caller retries once.
            placement.record_end(choice.entry, underway)
            return ""
        ran = await server.serve(key, request_class.work_s, max(0.0, remaining_s - one_way_s))
        report = server.report
        await trio.sleep(one_way_s)
        latency_s = trio.current_time() - sent_at
        observation = Observation(latency_s, request_class.reply_bytes, False, not ran, report, 0.0)
        placement.record_answer(demand, choice, observation)
        placement.record_end(choice.entry, underway)
        return choice.entry.failure_domain if ran else ""


def _build_route(request_class: RequestClass) -> HostRoute:
    return HostRoute(
        name=request_class.name,
        prefix=f"/{request_class.name}/",
        kind=RouteKind.IDEMPOTENT,
        timeout_s=request_class.deadline_s,
        objective_s=request_class.objective_s,
        priority=request_class.priority,
        max_attempts=2,
        sticky=True,
        home_regions=None,
        parts=(SplitPart(request_class.service, 1.0),),
    )

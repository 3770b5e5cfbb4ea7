"""Builders for the parts of the request path used by tests."""

from collections.abc import Awaitable, Callable
from random import Random

import trio

from tests.common.fake_clock import TrioClock
from tests.common.relay_parts import make_relay_client
from tests.common.sockets import loopback_address
from wagtailpoint.admission.loop_overload import LoopOverload
from wagtailpoint.admission.start_ramp import StartRamp
from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.freshness import Freshness
from wagtailpoint.limits.allowance_backlog import AllowanceBacklog
from wagtailpoint.limits.allowance_sharing import SpendResult
from wagtailpoint.limits.limit_pacing import LimitPacing
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.limits.stated_limit import StatedLimits
from wagtailpoint.membership.member import Fact, Member, make_member
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.cold_pacing import ColdBound, ColdPacing
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.entry_counts import FixedEntryCounts
from wagtailpoint.placement.placement import Placement
from wagtailpoint.placement.region_mix import RegionMix
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.proxy.answer_times import AnswerTimes
from wagtailpoint.proxy.backend_connector import BackendConnector
from wagtailpoint.proxy.backend_dialer import BackendDialer
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.caller_server import CallerServer
from wagtailpoint.proxy.dispatcher import Dispatcher
from wagtailpoint.proxy.key_check import KeyCheck
from wagtailpoint.proxy.overload_gate import OverloadGate
from wagtailpoint.proxy.room_waiting import RoomWaiting
from wagtailpoint.proxy.sender import Sender
from wagtailpoint.proxy.server_announcements import ServerAnnouncements
from wagtailpoint.proxy.shared_retry_budget import RetryBound, SharedRetryBudget
from wagtailpoint.proxy.stop_admission import StopAdmission
from wagtailpoint.proxy.stop_clock import StopClock
from wagtailpoint.quarantine.quarantine import CrashReport, Quarantine
from wagtailpoint.relay.reachability import Reachability
from wagtailpoint.routing.table import (
    DEFAULT_CALLER_BOUNDS,
    HostRoute,
    RouteKind,
    RouteTable,
    ServicePolicy,
    SplitPart,
)

REGION_OF = {"a-1": "a", "a-2": "a", "b-1": "b"}
ENTRY_PORT = 18081
MAX_SHIFT = 0.15


def make_route(name: str = "r", **changes) -> HostRoute:
    """Return an idempotent route to the service ``desk``."""
    route = HostRoute(
        name=name,
        prefix=f"/{name}/",
        kind=RouteKind.IDEMPOTENT,
        timeout_s=2.0,
        objective_s=0.3,
        priority=1,
        max_attempts=2,
        sticky=True,
        home_regions=None,
        parts=(SplitPart("desk", 1.0),),
    )
    return route._replace(**changes)


def make_table(*routes: HostRoute, version: int = 1) -> RouteTable:
    """Return a route table with the host ``h``."""
    ordered = tuple(sorted(routes, key=lambda route: -len(route.prefix)))
    policy = ServicePolicy("desk", "/health", 100, 3.0, 10.0)
    return RouteTable(version, {"h": ordered}, {"desk": policy}, DEFAULT_CALLER_BOUNDS)


def make_server(server_id: str, address: BackendAddress | None = None, **changes) -> ServerEntry:
    """Return a backend server of ``desk`` in the failure domain ``a-1``."""
    entry = ServerEntry(
        server_id=server_id,
        service="desk",
        address=address or BackendAddress("127.0.0.1", 1),
        failure_domain="a-1",
        slots=3,
        draining=False,
        cold_left_s=0.0,
    )
    return entry._replace(**changes)


def make_peer(address: str, **changes: object) -> Member:
    """Return a live member of the failure domain ``a-1``, unless changed."""
    fact = Fact(address, 8144, 8146, "a", "a-1", incarnation=7, sequence=1, state="live")
    return make_member(fact, dead=False)._replace(**changes)  # type: ignore[arg-type]


def make_distances() -> Distances:
    """Return the round trip times from the failure domain ``a-1``."""
    return Distances(failure_domain="a-1", region="a", region_of=REGION_OF)


def make_stated_limits(fleet: Fleet) -> StatedLimits:
    """Return stated limits of a fleet's backend servers, none of which is stated yet."""
    return StatedLimits(is_known=fleet.knows_start, metrics=Metrics())


def make_limit_pacing(limits: StatedLimits, *, senders: int = 1) -> LimitPacing:
    """Return the pacing of one of ``senders`` instances that send to each backend server."""
    return LimitPacing(
        limits=limits, count_senders=lambda server, region, wanted: senders, metrics=Metrics()
    )


def make_placement(
    fleet: Fleet,
    *,
    instances: int = 1,
    limits: LimitPacing | None = None,
    backoffs: RequestedBackoffs | None = None,
    metrics: Metrics | None = None,
    ramp: StartRamp | None = None,
) -> Placement:
    """Return the placement of an instance in the failure domain ``a-1``."""
    entries = FixedEntryCounts(everywhere=instances, in_region=instances, in_domain=1)
    return Placement(
        fleet=fleet,
        distances=make_distances(),
        cold=ColdPacing(
            bound=lambda: ColdBound(1.5, 5.0),
            count_senders=lambda server, region, wanted: instances,
        ),
        limits=limits or make_limit_pacing(make_stated_limits(fleet)),
        backoffs=backoffs or RequestedBackoffs(metrics=Metrics()),
        cached_fraction=CachedFraction(fleet=fleet, entries=entries),
        mix=RegionMix(max_shift=lambda: MAX_SHIFT, random=Random(1)),
        entries=entries,
        metrics=metrics or Metrics(),
        ramp=ramp,
    )


def make_pool(
    *,
    distances: Distances | None = None,
    metrics: Metrics | None = None,
    reachability: Reachability | None = None,
) -> BackendPool:
    """Return the pool of an instance that knows no other instance."""
    distances = distances or make_distances()
    metrics = metrics or Metrics()
    reachability = reachability or Reachability()
    own = make_peer("127.0.0.1")
    relays = make_relay_client(
        own=lambda: own, members=lambda: (own,), distances=distances, metrics=metrics
    )
    connector = BackendConnector(
        names=HEADER_NAMES,
        dialer=BackendDialer(distances=distances, reachability=reachability, metrics=metrics),
        relays=relays,
        reachability=reachability,
    )
    return BackendPool(connector=connector, distances=distances)


def make_freshness(follower: KindFollower, bound_s: Callable[[], float] = lambda: 5.0) -> Freshness:
    """Return the freshness of a follower's state, by trio's clock."""
    return Freshness(clock=TrioClock(), version=lambda: follower.state.version, bound_s=bound_s)


class CrashReportRecorder:
    """Records the crash reports that an instance would send to the other instances.

    Attributes:
        reports: The reports on crashes of backend servers.
        cleared: The fingerprints of suspect requests that were cleared by an answer.
    """

    def __init__(self) -> None:
        self.reports: list[CrashReport] = []
        self.cleared: list[str] = []

    def broadcast_crashes(self, report: CrashReport) -> None:
        """Record a report."""
        self.reports.append(report)

    def broadcast_cleared(self, fingerprint: str) -> None:
        """Record the fingerprint of a cleared request."""
        self.cleared.append(fingerprint)


class ScriptedAllowances:
    """Allowances with a number of tokens that the test sets.

    Attributes:
        tokens: The tokens left for all workspaces together.
        wait_s: The wait reported when no token is left, in seconds.
        spent: The workspaces of the counted requests.
        known_over_s: For how long all workspaces are known to be over their allowance, in seconds.
        questions: The number of attempts to spend a token.
    """

    def __init__(self) -> None:
        self.tokens = 1000
        self.wait_s = 2.0
        self.spent: list[str] = []
        self.known_over_s = 0.0
        self.questions = 0
        self._backlogs: dict[str, AllowanceBacklog] = {}

    def known_wait_s(self, workspace: str) -> float:
        """Return the wait that the test has set."""
        return self.known_over_s

    def backlog(self, workspace: str) -> AllowanceBacklog:
        """Return the backlog of a workspace."""
        return self._backlogs.setdefault(workspace, AllowanceBacklog(monotonic=trio.current_time))

    async def spend(self, workspace: str) -> SpendResult:
        """Spend a token for a request."""
        await trio.lowlevel.checkpoint()
        self.questions += 1
        if not self.tokens:
            return SpendResult(False, self.wait_s, "scripted")
        self.tokens -= 1
        self.spent.append(workspace)
        return SpendResult(True, 0.0, "scripted")


class SteeringParts:
    """A dispatcher with its collaborators, listening on loopback.

    Attributes:
        fleet: The backend servers.
        table: The route table in force.
        budget: The shared retry budget.
        limits: The limits that backend servers state.
        backoffs: The backend servers that want no requests for some time.
        announced_leaving: The starts whose responses announced that they leave.
        placement: Chooses backend servers.
        quarantine: The requests that crash backend servers.
        crash_reports: Records the crash reports sent to other instances.
        pool: The connections to backend servers.
        reachability: Says by which path backend servers can be reached.
        is_proved: Whether the configuration is confirmed to be the newest.
        allowances: The request allowances of workspaces.
        stop_clock: Measures the planned stop.
        answer_times: The times that requests took.
        stop_admission: Says which requests a stopping instance still accepts.
        queues_requests: Whether requests without room wait, and those that are late are refused.
        loop_delay_s: The delay of the event loop that is measured, in seconds.
        has_alternative: Whether lookups name another instance.
        metrics: The counts of waiting requests.
        request_metrics: The counts of requests.
        room: Holds requests without room.
    """

    def __init__(self, table: RouteTable | None) -> None:
        self.table = table
        self.fleet = Fleet(region_of=REGION_OF)
        self.limits = make_stated_limits(self.fleet)
        self.backoffs = RequestedBackoffs(metrics=Metrics())
        self.announced_leaving: list[ServerStart] = []
        self.placement = make_placement(
            self.fleet, limits=make_limit_pacing(self.limits), backoffs=self.backoffs
        )
        self.budget = SharedRetryBudget(bound=lambda: RetryBound(0.2, 50.0), divisor=lambda: 1.0)
        self.crash_reports = CrashReportRecorder()
        self.quarantine = Quarantine(others=self.crash_reports)
        self.reachability = Reachability()
        self.pool = make_pool(reachability=self.reachability)
        self.is_proved = True
        self.allowances = ScriptedAllowances()
        self.stop_clock = StopClock(clock=TrioClock())
        self.answer_times = AnswerTimes()
        self.stop_admission = StopAdmission(clock=self.stop_clock, times=self.answer_times)
        self.key_check = KeyCheck(table=lambda: self.table, is_proved=lambda: self.is_proved)
        self.queues_requests = False
        self.loop_delay_s = 0.0
        self.has_alternative = True
        sender = Sender(
            takes_work=self.fleet.takes_work,
            placement=self.placement,
            pool=self.pool,
            budget=self.budget,
            quarantine=self.quarantine,
            key_check=self.key_check,
            limits=self.limits,
            backoffs=self.backoffs,
            announcements=ServerAnnouncements(
                backoffs=self.backoffs,
                record_leaving=lambda start: self.announced_leaving.append(start),
                tell_relay=lambda relay, server: None,
                names=HEADER_NAMES,
                metrics=Metrics(),
            ),
            reachability=self.reachability,
            stop_admission=self.stop_admission,
            names=HEADER_NAMES,
        )
        self.metrics = Metrics()
        self.request_metrics = Metrics()
        self.room = RoomWaiting(
            sender=sender,
            is_enabled=lambda service: self.queues_requests,
            stop_admission=self.stop_admission,
            metrics=self.metrics,
            random=Random(1),
        )
        self.dispatcher = Dispatcher(
            table=lambda: self.table,
            sender=sender,
            room=self.room,
            quarantine=self.quarantine,
            key_check=self.key_check,
            allowances=self.allowances,
            stop_clock=self.stop_clock,
            stop_admission=self.stop_admission,
            answer_times=self.answer_times,
            overload=OverloadGate(
                overload=LoopOverload(
                    delay_s=lambda now: self.loop_delay_s,
                    shortest_objective_s=lambda: 0.3,
                    random=Random(1),
                ),
                is_enabled=lambda service: self.queues_requests,
                has_alternative=lambda: self.has_alternative,
            ),
            names=HEADER_NAMES,
            metrics=self.request_metrics,
            random=Random(1),
        )

    async def run_with(self, test: Callable[[Endpoint], Awaitable[None]]) -> None:
        """Serve requests while ``test`` runs."""
        endpoint = Endpoint(loopback_address(), ENTRY_PORT)
        server = CallerServer(
            endpoint=endpoint,
            handler=self.dispatcher.handle,
            bounds=lambda: DEFAULT_CALLER_BOUNDS,
            is_leaving=lambda: False,
            max_connections=50,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.room.run)
            await nursery.start(server.run)
            await test(endpoint)
            nursery.cancel_scope.cancel()

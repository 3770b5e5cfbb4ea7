"""An instance that runs from its own settings file: construction of its parts, and its tasks."""

from random import Random

import trio

from wagtailpoint.adapters.backend_http import HttpBackends
from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.http_connection import CallerLimits
from wagtailpoint.adapters.http_server import AsgiReply, HttpServer, ServerOptions
from wagtailpoint.adapters.peers_nng import NngPeers
from wagtailpoint.adapters.platform_http import HttpPlatform
from wagtailpoint.admission.slots import SlotPool
from wagtailpoint.config.manifest import Snapshot
from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.config.packed import pack
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.config.watcher import ConfigWatcher
from wagtailpoint.daemon.api import PREFIX, ApiRouter
from wagtailpoint.daemon.backend_prober import BackendProber
from wagtailpoint.daemon.config_state import ConfigState
from wagtailpoint.daemon.equal_fraction import equal_fraction
from wagtailpoint.daemon.graceful_stop import GracefulStop
from wagtailpoint.daemon.instance_list import InstanceList
from wagtailpoint.daemon.lookups import Lookups
from wagtailpoint.daemon.move_tasks import MoveTasks
from wagtailpoint.daemon.pages import InstancePages
from wagtailpoint.daemon.request_observer import RequestObserver
from wagtailpoint.daemon.server_limits import ServerLimits, make_bound_senders
from wagtailpoint.daemon.servers import ConfiguredServers, has_server
from wagtailpoint.daemon.shared_quarantine import SharedQuarantine
from wagtailpoint.daemon.task_restarts import restarting_tasks
from wagtailpoint.entry.forwarding import Forwarder
from wagtailpoint.entry.gate import RequestGate
from wagtailpoint.entry.plan import Plan
from wagtailpoint.entry.request import CallerRequest
from wagtailpoint.entry.service import EntryService
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.drain_broadcaster import DrainBroadcaster
from wagtailpoint.idempotency.binding import new_incarnation
from wagtailpoint.idempotency.bound_entry import BoundEntries
from wagtailpoint.idempotency.claims import Claims
from wagtailpoint.idempotency.keys import KeyStore
from wagtailpoint.limits.lease import Holder, Lease
from wagtailpoint.membership import Membership, MembershipSettings
from wagtailpoint.membership.config_spread import ConfigSpread
from wagtailpoint.membership.member import Fact
from wagtailpoint.moves.board import MoveBoard
from wagtailpoint.moves.writer import MOVES_LEASE
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.observe.pauses import Pauses
from wagtailpoint.observe.timeline import Timeline
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.settings import Settings

TIMELINE_EVENTS = 10_000
REQUEST_EVENTS = 10_000
MAX_KEPT_ANSWER_BYTES = 64 * 1024
MIN_RETRIES_PER_S = 1.0
WATCHERS_PER_FAILURE_DOMAIN = 1
MAX_PROBES_PER_S = 150.0
"""Upper bound for one backend server, of all instances together. Each probe costs processor time
of the backend server and of the instance."""
FACTS_INTERVAL_S = 0.25
CLAIM_RETENTION_EPOCHS = 3
CONNECTIONS_PER_REQUEST = 2
"""Connections accepted for each open request that the limits allow; most connections are idle."""


class Instance:
    """Constructs the parts of one instance and runs their tasks."""

    def __init__(self, *, settings: Settings, nursery: trio.Nursery) -> None:
        self._settings = settings
        self._nursery = nursery
        timings = settings.timings
        self._clock = SystemClock()
        incarnation = new_incarnation()
        hybrid_clock = HybridClock(wall=self._clock.wall)
        name = f"{settings.address}:{settings.port}"
        self._metrics = Metrics()
        self._timeline = Timeline(clock=hybrid_clock, instance=name, max_events=TIMELINE_EVENTS)
        self._request_timeline = Timeline(
            clock=hybrid_clock, instance=name, max_events=REQUEST_EVENTS
        )
        self._platform = HttpPlatform(
            addresses=[(replica.address, replica.port) for replica in settings.platform],
            timeout_s=timings.platform_timeout_s,
            metrics=self._metrics,
        )
        self._peers = NngPeers(
            address=PeerAddress(settings.address, settings.peer_port, int(incarnation, 16)),
            hybrid_clock=hybrid_clock,
            clock=self._clock,
        )
        self._instance_list = InstanceList(
            platform=self._platform, peer_port=settings.peer_port, random=Random()
        )
        self._membership = Membership(
            own=self._own_fact(incarnation),
            peers=self._peers,
            clock=self._clock,
            random=Random(),
            seeds=[PeerAddress(peer.address, peer.peer_port) for peer in settings.peers],
            hints=self._instance_list.addresses,
            settings=MembershipSettings(
                heartbeat_interval_s=timings.heartbeat_interval_s,
                suspicion_periods=timings.suspect_after_s / timings.heartbeat_interval_s,
            ),
        )
        self._lookups = Lookups(
            membership=self._membership,
            failure_domain=settings.failure_domain,
            ttl_s=timings.lookup_ttl_s,
        )
        self._config = ConfigState(timeline=self._timeline, prepare=self._lookups.prepare)
        self._spread = ConfigSpread(peers=self._peers, membership=self._membership, random=Random())
        self._spread.on_snapshot(self._snapshot_from_peer)
        self._watcher = ConfigWatcher(
            store=ConfigStore(platform=self._platform, clock_wall=self._clock.wall, keep=pack),
            platform=self._platform,
            on_snapshot=self._snapshot_from_platform,
            wait_s=timings.watch_wait_s,
        )
        self._backends = HttpBackends()
        self._health = HealthBoard(clock=self._clock)
        DrainBroadcaster(peers=self._peers, health=self._health, others=self._membership.others)
        self._quarantine = SharedQuarantine(
            peers=self._peers, platform=self._platform, membership=self._membership, random=Random()
        )
        self._limits = ServerLimits(
            peers=self._peers,
            membership=self._membership,
            is_known=lambda server: has_server(self._config.effective, server),
            count_senders=make_bound_senders(
                membership=self._membership,
                listed=lambda: len(self._instance_list.addresses()),
            ).count_senders,
            metrics=self._metrics,
            random=Random(),
        )
        self._prober = BackendProber(
            backends=self._backends,
            health=self._health,
            interval_s=self._probe_interval_s,
            timeout_s=timings.connect_timeout_s,
            random=Random(),
        )
        self._pauses = Pauses()
        self._slots = SlotPool(
            clock=self._clock,
            max_queued=settings.limits.queued_requests,
            limit_fraction=lambda: equal_fraction(self._config.effective),
            paused_s=lambda: self._pauses.total_s,
        )
        self._gate = RequestGate(max_open_requests=settings.limits.open_requests)
        self._keys = KeyStore(
            incarnation=incarnation,
            clock=self._clock,
            epoch_s=timings.epoch_s,
            max_keys=settings.limits.keys,
            max_answer_bytes=MAX_KEPT_ANSWER_BYTES,
        )
        self._claims = Claims(
            platform=self._platform,
            clock=self._clock,
            incarnation=incarnation,
            address=name,
            retention_s=CLAIM_RETENTION_EPOCHS * timings.epoch_s,
        )
        self._moves = MoveBoard(
            clock=self._clock,
            timeline=self._timeline,
            cap_fraction=self._cap_fraction,
        )
        self._move_tasks = self._make_move_tasks()
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._entry = self._make_entry()
        self._pages = self._make_pages()
        self._stop = GracefulStop(
            membership=self._membership,
            gate=self._gate,
            timeline=self._timeline,
            clock=self._clock,
            timings=timings,
        )
        self._config.follow(self._apply_config)

    async def run(self) -> None:
        """Run until a graceful stop is complete."""
        server = HttpServer(
            options=ServerOptions(
                address=self._settings.address,
                port=self._settings.port,
                header_bytes=self._settings.limits.header_bytes,
                request_body_bytes=self._settings.limits.request_body_bytes,
                connections=CONNECTIONS_PER_REQUEST * self._settings.limits.open_requests,
                limits=CallerLimits(
                    idle_s=self._settings.timings.caller_idle_s,
                    stall_s=self._settings.timings.caller_stall_s,
                ),
            ),
            clock=self._clock,
            handler=self._handle,
            quick=self._pages.answer,
            is_leaving=lambda: self._gate.closed,
        )
        self._timeline.record("started")
        for task in (
            self._peers.run,
            self._membership.run,
            self._config.run,
            self._prober.run,
            self._pauses.run,
            self._publish_facts,
            *restarting_tasks(
                {
                    "instance-list": self._instance_list.run,
                    "config-spread": self._spread.run,
                    "config-watcher": self._watcher.run,
                    "quarantine": self._quarantine.run,
                    "quarantine-poll": self._quarantine.poll,
                    "limits": self._limits.run,
                    "moves": self._move_tasks.run,
                    "claims": self._claims.run,
                },
                metrics=self._metrics,
            ),
        ):
            self._nursery.start_soon(task)
        with self._stop.listen():
            await server.run(stop=self._stop.wait)

    async def _handle(self, request: CallerRequest, reply: AsgiReply) -> None:
        if request.path.startswith(PREFIX):
            await self._pages.serve(request, reply)
            return
        await self._entry.handle(request, reply)

    def _snapshot_from_platform(self, snapshot: Snapshot) -> None:
        self._config.offer(snapshot, source="platform")
        self._spread.offer(snapshot)

    def _snapshot_from_peer(self, snapshot: Snapshot) -> None:
        self._config.offer(snapshot, source="peer")
        self._watcher.deliver(snapshot)

    def _apply_config(self, config: EffectiveConfig) -> None:
        self._lookups.apply(config)
        self._prober.apply(config)
        self._limits.stated.forget_unknown()
        self._move_tasks.apply(config)
        state = self._membership.own.state
        self._membership.publish(
            state="live" if state == "starting" else state, config_version=config.version
        )

    def _cap_fraction(self) -> float:
        """Return the fraction of every move's cap that this instance may use."""
        return equal_fraction(self._config.effective)

    def _locate(self, incarnation: str) -> PeerAddress | None:
        """Return the peer address of an incarnation; None if it is unknown or dead."""
        number = int(incarnation, 16)
        return next(
            (
                member.peer_address
                for member in self._membership.members()
                if member.incarnation == number and member.state != "dead"
            ),
            None,
        )

    def _retry_budget(self, plan: Plan) -> RetryBudget:
        budget = self._retry_budgets.get(plan.service.name)
        if budget is None:
            budget = RetryBudget(
                clock=self._clock,
                ratio=plan.service.retry_ratio,
                minimum_per_s=MIN_RETRIES_PER_S,
            )
            self._retry_budgets[plan.service.name] = budget
        return budget

    async def _publish_facts(self) -> None:
        """Publish the epoch and the load periodically, and update who watches the platform."""
        while True:
            self._membership.publish(epoch=self._keys.binding.epoch, load=self._load())
            watchers = self._membership.watchers(
                self._settings.failure_domain, WATCHERS_PER_FAILURE_DOMAIN
            )
            own = self._membership.own
            self._watcher.watching = any(member.address == own.address for member in watchers)
            await trio.sleep(FACTS_INTERVAL_S)

    def _probe_interval_s(self) -> float:
        instances = len(self._membership.members())
        return max(self._settings.timings.probe_interval_s, instances / MAX_PROBES_PER_S)

    def _load(self) -> float:
        if not self._keys.accepts_new_keys:
            return 1.0
        return min(1.0, self._gate.open_requests / self._settings.limits.open_requests)

    def _own_fact(self, incarnation: str) -> Fact:
        settings = self._settings
        return Fact(
            address=settings.address,
            port=settings.port,
            peer_port=settings.peer_port,
            region=settings.region,
            failure_domain=settings.failure_domain,
            incarnation=int(incarnation, 16),
            sequence=int(self._clock.wall() * 1000),
            epoch=1,
        )

    def _make_entry(self) -> EntryService:
        servers = ConfiguredServers(
            config=lambda: self._config.effective,
            health=self._health,
            metrics=self._metrics,
            moves=self._moves,
            stated_limits=self._limits.stated,
            pacing=self._limits.pacing,
            failure_domain=self._settings.failure_domain,
        )
        observer = RequestObserver(
            metrics=self._metrics, timeline=self._request_timeline, clock=self._clock
        )
        return EntryService(
            config=lambda: self._config.effective,
            forwarder=Forwarder(
                clock=self._clock,
                backends=self._backends,
                slots=self._slots,
                servers=servers,
                budget=self._retry_budget,
                quarantine=self._quarantine.local,
                observer=observer,
            ),
            keys=self._keys,
            claims=self._claims,
            bound_entries=BoundEntries(
                peers=self._peers, keys=self._keys, locate=self._locate, nursery=self._nursery
            ),
            nursery=self._nursery,
            gate=self._gate,
            observer=observer,
            max_body_bytes=self._settings.limits.request_body_bytes,
        )

    def _make_move_tasks(self) -> MoveTasks:
        lease = Lease(
            platform=self._platform,
            clock=self._clock,
            name=MOVES_LEASE,
            own=Holder(*self._peers.address),
            lease_s=self._settings.timings.moves_lease_s,
        )
        return MoveTasks(
            board=self._moves,
            platform=self._platform,
            peers=self._peers,
            membership=self._membership,
            health=self._health,
            clock=self._clock,
            lease=lease,
            is_watching=lambda: self._watcher.watching,
            timings=self._settings.timings,
        )

    def _make_pages(self) -> ApiRouter:
        pages = InstancePages(
            config=self._config,
            membership=self._membership,
            peers=self._peers,
            lookups=self._lookups,
            gate=self._gate,
            slots=self._slots,
            keys=self._keys,
            health=self._health,
            moves=self._moves,
            quarantine=self._quarantine,
            limits=self._limits,
            metrics=self._metrics,
            timelines=(self._timeline, self._request_timeline),
        )
        return ApiRouter(pages=pages.handlers, quick=pages.quick)


async def run_instance(settings: Settings) -> None:
    """Run one instance until a graceful stop is complete."""
    log_event("starting", region=settings.region, failure_domain=settings.failure_domain)
    async with trio.open_nursery() as nursery:
        await Instance(settings=settings, nursery=nursery).run()
        nursery.cancel_scope.cancel()

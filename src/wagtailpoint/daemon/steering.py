"""An instance on the platform's object store: construction of its parts, and its tasks."""

from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from pathlib import Path
from random import Random

import trio

from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.peers_nng import NngPeers
from wagtailpoint.daemon.backend_paths import BackendPaths
from wagtailpoint.daemon.caller_servers import make_caller_servers
from wagtailpoint.daemon.entry_pages import EntryPages
from wagtailpoint.daemon.entry_role import EntryRole
from wagtailpoint.daemon.followers import follower_gauges, make_followers
from wagtailpoint.daemon.own_fact import make_own_fact
from wagtailpoint.daemon.probes import make_probes
from wagtailpoint.daemon.queueing_switch import QueueingSwitch
from wagtailpoint.daemon.removed_servers import RemovedServers
from wagtailpoint.daemon.request_path import make_request_path
from wagtailpoint.daemon.routing_explainer import RoutingExplainer
from wagtailpoint.daemon.server_limits import ServerLimits
from wagtailpoint.daemon.settings_file import SettingsFile
from wagtailpoint.daemon.shared_announcements import SharedAnnouncements
from wagtailpoint.daemon.shared_loads import SharedLoads
from wagtailpoint.daemon.shared_quarantine import SharedQuarantine
from wagtailpoint.daemon.steering_placement import make_placement
from wagtailpoint.daemon.steering_stop import SteeringStop
from wagtailpoint.daemon.store_state import STORE_TIMEOUT_S, StoreState
from wagtailpoint.daemon.task_restarts import Task, restarting_tasks
from wagtailpoint.daemon.workspace_rules import WorkspaceRules
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.discovery.instance_count import InstanceCount
from wagtailpoint.discovery.lost_registrations import LostRegistrationCleaner
from wagtailpoint.discovery.peer_states import PeerStateExchange
from wagtailpoint.discovery.registration import Registration
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.discovery.watch_sharing import WatchSharing
from wagtailpoint.idempotency.binding import new_incarnation
from wagtailpoint.limits.bound_senders import BoundSenders
from wagtailpoint.membership import Membership, MembershipSettings
from wagtailpoint.node_settings import NodeSettings
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import Distances
from wagtailpoint.platform.documents import CONFIG_KIND
from wagtailpoint.platform.settings import read_node_settings
from wagtailpoint.platform.store import ObjectStore
from wagtailpoint.ports.peers import PeerAddress

URGENT_LOAD_STEP = 0.25
"""A larger change of load is broadcast at once, because more entries may be needed."""


class SteeringInstance:
    """Constructs the parts of one instance on the platform and runs their tasks."""

    def __init__(self, *, settings: NodeSettings, settings_file: Path) -> None:
        """Construct the parts."""
        self._settings = settings
        self._settings_file = SettingsFile(
            path=settings_file, settings=settings, read=read_node_settings
        )
        self._random = Random()
        self._metrics = Metrics()
        clock = SystemClock()
        self._stop = SteeringStop(clock=clock)
        incarnation = int(new_incarnation(), 16)
        self._peers = NngPeers(
            address=PeerAddress(settings.peers.address, settings.peers.port, incarnation),
            hybrid_clock=HybridClock(wall=clock.wall),
            clock=clock,
        )
        self._era = StoreEra(metrics=self._metrics)
        self._platform = ObjectStore(
            address=settings.store, timeout_s=STORE_TIMEOUT_S, metrics=self._metrics, era=self._era
        )
        self._store_check = StoreCheck(
            store=self._platform, random=self._random, link_mbps=settings.link_mbps
        )
        self._registration = Registration(
            platform=self._platform,
            era=self._era,
            name=settings.name,
            peers=settings.peers,
            random=self._random,
        )
        seeds = [PeerAddress(seed.address, seed.port) for seed in settings.seeds]
        self._membership = Membership(
            own=make_own_fact(settings, incarnation=incarnation, wall_s=clock.wall()),
            peers=self._peers,
            clock=clock,
            random=self._random,
            seeds=seeds,
            hints=self._registration.addresses,
            settings=MembershipSettings(urgent_load_step=URGENT_LOAD_STEP),
        )
        self._instance_count = InstanceCount(
            alive=self._count_alive, registered=lambda: self._registration.count
        )
        self._role = EntryRole(
            membership=self._membership,
            instances=self._instance_count,
            registered=lambda: self._registration.count,
        )
        self._lost_registrations = LostRegistrationCleaner(
            platform=self._platform,
            membership=self._membership,
            era=self._era,
            random=self._random,
        )
        self._quarantine = SharedQuarantine(
            peers=self._peers,
            platform=self._platform,
            membership=self._membership,
            random=self._random,
        )
        self._fleet = Fleet(region_of=settings.region_of)
        self._removed = RemovedServers(discard=self._discard_server)
        self._state = StoreState(fleet=self._fleet, on_removed=self._removed.record)
        self._workspaces = WorkspaceRules(
            state=self._state,
            bounds=lambda: self._settings_file.bounds,
            region_of=settings.region_of,
            platform=self._platform,
            peers=self._peers,
            membership=self._membership,
            era=self._era,
            is_entry=self._role.is_entry,
            clock=clock,
            random=self._random,
        )
        self._exchange = PeerStateExchange(
            peers=self._peers,
            membership=self._membership,
            seeds=seeds,
            random=self._random,
            proofs={CONFIG_KIND: self._workspaces.freshness},
        )
        self._followers = make_followers(
            platform=self._platform,
            peers=self._exchange,
            check=self._store_check,
            era=self._era,
            random=self._random,
            state=self._state,
            quarantine=self._quarantine,
            on_change=self._on_change,
        )
        self._exchange.set_followers(self._followers)
        self._sharing = WatchSharing(
            peers=self._peers,
            membership=self._membership,
            followers=self._followers,
            freshness=self._workspaces.freshness,
        )
        self._workspaces.set_follower(
            self._followers[CONFIG_KIND], is_watcher=self._sharing.is_watcher
        )
        self._senders = BoundSenders(
            own=settings.callers.address,
            members=self._membership.members,
            instances=lambda: self._instance_count.value,
        )
        self._limits = ServerLimits(
            peers=self._peers,
            membership=self._membership,
            is_known=self._fleet.knows_start,
            count_senders=self._senders.count_senders,
            metrics=self._metrics,
            random=self._random,
        )
        self._announcements = SharedAnnouncements(
            fleet=self._fleet,
            peers=self._peers,
            membership=self._membership,
            metrics=self._metrics,
        )
        self._distances = Distances(
            failure_domain=settings.failure_domain,
            region=settings.region,
            region_of=settings.region_of,
        )
        self._paths = BackendPaths(
            settings=settings,
            peers=self._peers,
            membership=self._membership,
            fleet=self._fleet,
            distances=self._distances,
            announcements=self._announcements,
            table=lambda: self._state.table,
            is_leaving=lambda: self._stop.is_leaving,
            metrics=self._metrics,
            random=self._random,
        )
        queueing = QueueingSwitch(
            bounds=lambda: self._settings_file.bounds,
            reports_pace=lambda service: self._placement.estimates.paces.is_reported(service),
        )
        self._loads = SharedLoads(
            role=self._role,
            peers=self._peers,
            membership=self._membership,
            fleet=self._fleet,
            distances=self._distances,
            is_enabled=queueing.is_on,
            metrics=self._metrics,
            random=self._random,
        )
        self._placement = make_placement(
            fleet=self._fleet,
            distances=self._distances,
            settings_file=self._settings_file,
            senders=self._senders,
            limits=self._limits.pacing,
            backoffs=self._announcements.backoffs,
            loads=self._loads,
            role=self._role,
            metrics=self._metrics,
            random=self._random,
        )
        self._paths.on_change(self._placement.record_path_change)
        self._requests = make_request_path(
            state=self._state,
            fleet=self._fleet,
            placement=self._placement,
            paths=self._paths,
            workspaces=self._workspaces,
            limits=self._limits,
            announcements=self._announcements,
            quarantine=self._quarantine,
            settings_file=self._settings_file,
            role=self._role,
            stop=self._stop,
            queueing=queueing,
            is_bounded=self._loads.is_bounded,
            metrics=self._metrics,
            random=self._random,
        )
        self._pages = EntryPages(
            lookup_ttl_max_s=lambda: self._settings_file.bounds.lookup_ttl_max_s,
            entries=self._role.choice,
            is_ready=self._is_ready,
            metrics=self._metrics,
            peers=self._peers,
            gauges=self._gauges,
            explainer=RoutingExplainer(
                table=lambda: self._state.table,
                placement=self._placement,
                reachability=self._paths.reachability,
            ),
        )
        self._servers = make_caller_servers(
            settings=settings,
            handle_request=self._requests.dispatcher.handle,
            pages=self._pages,
            bounds=self._state.caller_bounds,
            is_leaving=lambda: self._stop.is_leaving,
        )

    async def run(self) -> None:
        """Run until a graceful stop is complete."""
        # Installed before serving: the default action of a signal would cut the first requests.
        with self._stop.listen():
            log_event(
                "started",
                name=self._settings.name,
                incarnation=self._peers.address.incarnation,
                domain=self._settings.failure_domain,
                callers=self._settings.callers,
            )
            await self._run_until_stopped()
        log_event("stopped")

    async def _run_until_stopped(self) -> None:
        async with trio.open_nursery() as nursery:
            async with trio.open_nursery() as serving:
                tasks: list[Callable[[], Awaitable[None]]] = [
                    self._peers.run,
                    self._membership.run,
                    *self._restarting_tasks(),
                    self._paths.run,
                    *make_probes(
                        fleet=self._fleet,
                        placement=self._placement,
                        pool=self._paths.pool,
                        distances=self._distances,
                        is_entry=self._role.is_entry,
                        random=self._random,
                    ),
                    self._removed.run,
                    partial(self._role.report_load, self._requests.protection.load),
                    self._requests.room.run,
                ]
                for task in tasks:
                    nursery.start_soon(task)
                await nursery.start(self._paths.serve)
                for server in self._servers:
                    await serving.start(server.run)
                await self._stop.run(
                    grace_s=lambda: self._settings_file.bounds.grace_s,
                    membership=self._membership,
                    registration=self._registration,
                    workspaces=self._workspaces,
                    servers=self._servers,
                    dispatcher=self._requests.dispatcher,
                    paths=self._paths,
                )
                serving.cancel_scope.cancel()
            nursery.cancel_scope.cancel()

    def _restarting_tasks(self) -> Sequence[Task]:
        """Return the tasks that read what others have written or sent."""
        tasks: dict[str, Task] = {
            "registration": partial(self._registration.run, lambda: self._count_alive() <= 1),
            **{f"store.{kind}": follower.run for kind, follower in self._followers.items()},
            "store-check": self._store_check.run,
            "lost-registrations": self._lost_registrations.run,
            "watch-sharing": self._sharing.run,
            "quarantine": self._quarantine.run,
            "limits": self._limits.run,
            "loads": self._loads.run,
            "announcements": self._announcements.run,
            "workspaces": self._workspaces.run,
            "settings-file": self._settings_file.run,
        }
        return restarting_tasks(tasks, metrics=self._metrics)

    def _count_alive(self) -> int:
        return sum(member.state != "dead" for member in self._membership.members())

    def _is_ready(self) -> bool:
        known = all(follower.has_state for follower in self._followers.values())
        return known and self._state.table is not None and not self._stop.is_leaving

    def _gauges(self) -> dict[str, float]:
        return {
            "open_requests": self._requests.dispatcher.open_requests,
            "waiting_requests": self._requests.room.waiting,
            "caller_connections": self._servers[0].connections,
            "backend_servers": len(self._fleet.entries),
            "unusable_server_entries": self._state.unusable_entries,
            "unreachable_servers": self._placement.unreachable_count,
            **self._role.gauges,
            **self._requests.protection.gauges,
            **self._paths.gauges,
            **self._limits.gauges,
            **self._loads.gauges,
            **self._announcements.gauges,
            **self._quarantine.gauges,
            **self._workspaces.gauges,
            **follower_gauges(self._followers),
            "store_era": self._era.number,
            "config_version": self._state.table.version if self._state.table else 0,
        }

    def _on_change(self) -> None:
        self._sharing.answer_waiting()
        self._workspaces.record_change()
        if self._membership.own.state == "starting" and self._is_ready():
            self._membership.publish(state="live")
            self._paths.publish()
            log_event("ready", backend_servers=len(self._fleet.entries))

    async def _discard_server(self, start: ServerStart) -> None:
        self._placement.remove(start)
        self._limits.forget(start.key)
        await self._paths.pool.close(start)


async def run_steering_instance(settings: NodeSettings, settings_file: Path) -> None:
    """Run one instance until a graceful stop is complete."""
    await SteeringInstance(settings=settings, settings_file=settings_file).run()

"""The connections of an instance to backend servers: directly, or through other instances."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Final

import trio

from wagtailpoint.daemon.shared_announcements import SharedAnnouncements
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.lookup.entry_choice import OVERLOADED_LOAD
from wagtailpoint.membership import Membership
from wagtailpoint.node_settings import NodeSettings
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import Distances
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.peers import Peers
from wagtailpoint.proxy.backend_connector import BackendConnector
from wagtailpoint.proxy.backend_dialer import BackendDialer
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.stop_admission import REPLY_RESERVE_S
from wagtailpoint.proxy.stop_clock import MARGIN_S
from wagtailpoint.relay.client import RelayClient
from wagtailpoint.relay.confirmations import RelayConfirmations
from wagtailpoint.relay.path_checker import PathChecker
from wagtailpoint.relay.reachability import Path, Reachability
from wagtailpoint.relay.server import RelayServer
from wagtailpoint.routing.table import RouteTable

RELAY_FRACTION: Final = 0.1
"""Fraction of the file descriptors for connections that are relayed for other instances."""

DESCRIPTORS_PER_RELAY: Final = 2


class BackendPaths:
    """Constructs the parts that decide by which path backend servers are reached."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        peers: Peers,
        membership: Membership,
        fleet: Fleet,
        distances: Distances,
        announcements: SharedAnnouncements,
        table: Callable[[], RouteTable | None],
        is_leaving: Callable[[], bool],
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Construct the parts.

        Args:
            settings: The settings of this instance.
            peers: Links to the other instances.
            membership: The known instances.
            fleet: The backend servers.
            distances: The round trip times to the failure domains.
            announcements: What backend servers announce.
            table: Returns the route table in force; None before a configuration is known.
            is_leaving: Whether this instance is stopping.
            metrics: Counts connections.
            random: Source of choices and jitter.
        """
        self._membership = membership
        self._table = table
        self._is_leaving = is_leaving
        self.reachability = Reachability()
        dialer = BackendDialer(distances=distances, reachability=self.reachability, metrics=metrics)
        self._confirmations = RelayConfirmations(
            peers=peers,
            membership=membership,
            is_leaving=is_leaving,
            in_use=lambda: self.pool.relays(),
            goes_on_s=lambda: settings.bounds.grace_s - MARGIN_S - REPLY_RESERVE_S,
        )
        relays = RelayClient(
            own=lambda: membership.own,
            members=membership.members,
            port=settings.relay.port,
            region_of=settings.region_of,
            distances=distances,
            record_backoff=partial(announcements.backoffs.record, source="peer"),
            confirmations=self._confirmations,
            metrics=metrics,
            random=random,
        )
        connector = BackendConnector(
            names=HEADER_NAMES, dialer=dialer, relays=relays, reachability=self.reachability
        )
        self.pool = BackendPool(connector=connector, distances=distances)
        self._checker = PathChecker(
            reachability=self.reachability,
            entries=lambda: fleet.entries.values(),
            health_path=self._health_path,
            silence_s=self.pool.silence_s,
            has_isolated_neighbour=self._has_isolated_neighbour,
            dialer=dialer,
            relays=relays,
            may_ask=announcements.may_ask,
            on_head=announcements.local.record_head,
            random=random,
        )
        self._server = RelayServer(
            endpoint=settings.relay,
            find_server=fleet.entries.get,
            members=membership.members,
            dialer=dialer,
            is_available=self._may_relay,
            backoff_s=announcements.backoffs.remaining_s,
            max_connections=int(RELAY_FRACTION * settings.most_descriptors / DESCRIPTORS_PER_RELAY),
            metrics=metrics,
        )
        announcements.tell_users(self._server.users)
        self._changed = trio.Event()
        self.reachability.on_change(self._record_change)

    @property
    def relayed_connections(self) -> int:
        """The number of connections that this instance relays for others."""
        return self._server.open_connections

    @property
    def gauges(self) -> dict[str, float]:
        """The current values of the gauges."""
        members = self._membership.members()
        return {
            "isolated": self.reachability.path is not Path.DIRECT,
            "isolated_instances": sum(member.is_isolated for member in members),
            "relayed_connections": self.relayed_connections,
        }

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, which must not block, after every change of the path."""
        self.reachability.on_change(callback)

    def publish(self) -> None:
        """Tell the other instances whether lookups should name this one."""
        own = self._membership.own
        if own.state not in ("live", "isolated"):
            return
        self._membership.publish(
            state="live" if self.reachability.path is Path.DIRECT else "isolated"
        )

    async def wait_idle(self) -> None:
        """Wait until no connection is relayed for another instance."""
        await self._server.wait_idle()

    async def serve(self, *, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED) -> None:
        """Relay connections for other instances until cancelled."""
        await self._server.run(task_status=task_status)

    async def run(self) -> None:
        """Keep the connections and check the path until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pool.run)
            nursery.start_soon(self._checker.run)
            nursery.start_soon(self._confirmations.run)
            while True:
                await self._changed.wait()
                self._changed = trio.Event()
                await self.pool.close_expired()

    def _record_change(self) -> None:
        self.publish()
        self._changed.set()

    def _may_relay(self) -> bool:
        own = self._membership.own
        return (
            self.reachability.path is Path.DIRECT
            and not self._is_leaving()
            and own.load < OVERLOADED_LOAD
        )

    def _has_isolated_neighbour(self) -> bool:
        own = self._membership.own
        return any(
            member.is_isolated
            and member.failure_domain == own.failure_domain
            and member.address != own.address
            for member in self._membership.members()
        )

    def _health_path(self, service: str) -> str:
        table = self._table()
        policy = table.services.get(service) if table is not None else None
        return policy.health_path if policy is not None else ""

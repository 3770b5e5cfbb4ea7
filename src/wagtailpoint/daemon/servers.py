"""Selects the backend servers for new requests by group, drains, health and nearness."""

import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

import trio

from wagtailpoint.adapters.backend_headers import LIMIT_HEADER
from wagtailpoint.config.model import BackendServer, Drain, EffectiveConfig
from wagtailpoint.entry.plan import Plan
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.evidence import outcome_of
from wagtailpoint.limits.limit_pacing import LimitPacing
from wagtailpoint.limits.stated_limit import StatedLimits
from wagtailpoint.locality import Nearness
from wagtailpoint.moves.board import MoveBoard, MoveRoute
from wagtailpoint.observe.metrics import LatencyKey, Metrics
from wagtailpoint.ports.backend import BackendFailure, BackendResponse


class _Group(NamedTuple):
    """A group of a service, computed once for each configuration."""

    undrained: tuple[BackendServer, ...]
    nearness: Nearness


class ConfiguredServers:
    """Implements ``entry.forwarding.ServerSource`` from the configuration in force."""

    def __init__(
        self,
        *,
        config: Callable[[], EffectiveConfig | None],
        health: HealthBoard,
        metrics: Metrics,
        moves: MoveBoard,
        stated_limits: StatedLimits,
        pacing: LimitPacing,
        failure_domain: str,
    ) -> None:
        self._stated_limits = stated_limits
        self._pacing = pacing
        self._config = config
        self._moves = moves
        self._health = health
        self._metrics = metrics
        self._failure_domain = failure_domain
        self._groups: dict[tuple[str, str], _Group] = {}
        self._groups_config: EffectiveConfig | None = None
        self._regions_by_domain: Mapping[str, str] = {}
        self._rotations = itertools.count()

    def pool(self, plan: Plan) -> str:
        """Return the name of the queue of a request: its service and the groups it may use.

        Requests that a move sends to the new group get a queue apart, so that they don't wait
        behind those of the old group, which is often moved from because it is full.
        """
        return f"{plan.service.name}/{'+'.join(self.groups_for(plan, self.route(plan)))}"

    def groups_for(self, plan: Plan, route: MoveRoute | None) -> Sequence[str]:
        """Return the groups that a request may use now; each only if those before it are full."""
        if route is None:
            return (self.group_for(plan),)
        return tuple(filter(None, (route.to_group(), route.from_group)))

    def group_for(self, plan: Plan) -> str:
        """Return the group for a request that no move concerns; empty if there is none."""
        config = self._config()
        if config is None or plan.service.name not in config.services:
            return ""
        workspace = config.workspaces.get(plan.workspace.name, plan.workspace)
        return workspace.groups.get(plan.service.name, "")

    def choice(self, plan: Plan) -> "ConfiguredChoice":
        """Return the choice of a backend server for a request."""
        return ConfiguredChoice(servers=self, plan=plan)

    def route(self, plan: Plan) -> MoveRoute | None:
        """Return where a move sends a request; None if no move concerns it."""
        return self._moves.route(
            workspace=plan.workspace.name, service=plan.service.name, affinity=plan.affinity
        )

    def tiers(self, plan: Plan, groups: Sequence[str]) -> dict[BackendServer, int]:
        """Return the backend servers that may take a request now, with their tiers, best first.

        Uses the configuration in force, not the one that the request was planned with, because a
        drain may have come into force while the request was queued.

        Args:
            plan: The plan of the request.
            groups: The groups to use; each only if those before it are full.
        """
        config = self._config()
        if config is None or plan.service.name not in config.services:
            return {}
        found: dict[BackendServer, int] = {}
        for name in groups:
            first = max(found.values(), default=-1) + 1
            for server, tier in self._tiers_of_group(config, plan.service.name, name).items():
                found.setdefault(server, first + tier)
        return found

    def record_outcome(
        self, server: BackendServer, answered: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        """Record how an exchange ended and how many seconds it took."""
        if answered.headers or isinstance(answered, BackendResponse):
            self._stated_limits.record_answer(
                str(server.address),
                answered.headers,
                LIMIT_HEADER,
                trio.current_time() - latency_s,
            )
        self._health.observe_outcome(server.address, outcome_of(answered), latency_s)
        self._moves.record_exchange(server.address, answered, latency_s)
        name = str(server.address)
        if isinstance(answered, BackendFailure):
            self._metrics.count(f"backend-failure.{name}.{answered.reason}")
        else:
            self._metrics.record_latency(LatencyKey("backend", "", "", name), latency_s)

    def record_taken(self, server: BackendServer) -> None:
        """Count a request against the limit that its backend server states."""
        self._pacing.take(str(server.address), self._region_of(server))

    def _region_of(self, server: BackendServer) -> str:
        return self._regions_by_domain.get(server.failure_domain, "")

    def _tiers_of_group(
        self, config: EffectiveConfig, service: str, name: str
    ) -> dict[BackendServer, int]:
        group = self._group(config, service, name)
        usable = [
            server
            for server in self._health.usable(group.undrained)
            if self._pacing.may_send(str(server.address), self._region_of(server))
        ]
        if not usable:
            return {}
        # The first of several equal servers is chosen. Without rotation an idle entry would send
        # all requests to the same one.
        offset = next(self._rotations) % len(usable)
        return group.nearness.assign_tiers(usable[offset:] + usable[:offset])

    def _group(self, config: EffectiveConfig, service: str, name: str) -> _Group:
        if config is not self._groups_config:
            self._groups, self._groups_config = {}, config
            self._regions_by_domain = {
                domain: region.name
                for region in config.regions.values()
                for domain in region.failure_domains
            }
        group = self._groups.get((service, name))
        if group is None:
            servers = config.services[service].groups.get(name, ())
            group = _Group(
                tuple(
                    server for server in servers if not is_drained(server, config.drains.values())
                ),
                Nearness(
                    servers=servers, regions=config.regions, failure_domain=self._failure_domain
                ),
            )
            self._groups[service, name] = group
        return group


class ConfiguredChoice:
    """Implements ``admission.slots.ServerChoice`` for one request."""

    def __init__(self, *, servers: ConfiguredServers, plan: Plan) -> None:
        self._servers = servers
        self._plan = plan
        self._tiers: dict[BackendServer, int] = {}
        self._route = servers.route(plan)

    def candidates(self) -> Sequence[BackendServer]:
        """Return the backend servers that may take the request now, in order of preference.

        A request that a move sends to the new group falls back to the old group if the new one is
        full, so that a move causes no refusals.
        """
        self._route = self._servers.route(self._plan)
        groups = self._servers.groups_for(self._plan, self._route)
        self._tiers = self._servers.tiers(self._plan, groups)
        return tuple(self._tiers)

    def tier_of(self, server: BackendServer) -> int:
        """Return the tier of one of the last candidates."""
        return self._tiers[server]

    def record_taken(self, server: BackendServer) -> None:
        """Count the request against the limit of its backend server and the cap of its move.

        Called in the step that takes the slot.
        """
        self._servers.record_taken(server)
        if self._route is not None:
            self._route.record_slot_taken(server.address)


def is_drained(server: BackendServer, drains: Iterable[Drain]) -> bool:
    """Return whether any drain covers the backend server."""
    return any(
        server.address == drain.backend_server or server.failure_domain == drain.failure_domain
        for drain in drains
    )


def has_server(config: EffectiveConfig | None, address: str) -> bool:
    """Return whether a configuration has a backend server at an address."""
    return config is not None and any(
        str(server.address) == address
        for service in config.services.values()
        for servers in service.groups.values()
        for server in servers
    )

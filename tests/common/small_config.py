"""A small configuration with three regions, for unit tests."""

from collections.abc import Sequence
from typing import Any

from wagtailpoint.config.model import (
    BackendServer,
    ClassPolicy,
    Drain,
    EffectiveConfig,
    Move,
    Region,
    Route,
    Service,
    Workspace,
)
from wagtailpoint.entry.plan import Plan
from wagtailpoint.moves.board import MoveBoard
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.observe.timeline import Timeline
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.clock import Clock

SERVICE = "desk"
WORKSPACE = "books"
REGIONS = ("region-0", "region-1", "region-2")


def small_servers(group: str, count: int) -> tuple[BackendServer, ...]:
    """Return ``count`` backend servers per region, alternating between its failure domains."""
    octet = {"old": 1, "new": 2}[group]
    return tuple(
        BackendServer(
            BackendAddress(f"127.9.{octet}.{10 * number + index}", 9000),
            f"{region}-{'ab'[index % 2]}",
            3,
        )
        for number, region in enumerate(REGIONS)
        for index in range(count)
    )


def small_config(
    *,
    version: int = 1,
    servers: int = 2,
    latency_ms: float = 55.0,
    moves: Sequence[Move] = (),
    drains: Sequence[Drain] = (),
) -> EffectiveConfig:
    """Return a configuration of three regions, one service and one workspace.

    The service has the groups ``old`` and ``new``; the workspace uses ``old``.
    """
    regions = {
        name: Region(
            name=name,
            failure_domains=(f"{name}-a", f"{name}-b"),
            latency_ms={remote: latency_ms for remote in REGIONS if remote != name},
            capacity_rps=None,
        )
        for name in REGIONS
    }
    service = Service(
        name=SERVICE,
        groups={group: small_servers(group, servers) for group in ("old", "new")},
        classes={"check": ClassPolicy("check", 0, 1.0)},
        retry_ratio=0.1,
        report_path="/health",
        echoes_request_id=True,
    )
    route = Route("GET", "/", SERVICE, "check", True, 1.0, False)
    return EffectiveConfig(
        version=version,
        regions=regions,
        services={SERVICE: service},
        workspaces={WORKSPACE: Workspace(WORKSPACE, "book", (route,), {SERVICE: "old"}, None)},
        moves={move.name: move for move in moves},
        drains={drain.name: drain for drain in drains},
        client_blocks=(),
    )


def small_move(**changes: Any) -> Move:
    """Return a move of the workspace from ``old`` to ``new``."""
    move = Move("shift", WORKSPACE, SERVICE, "old", "new", 100.0, (0.1, 0.5, 1.0), 10.0, "run")
    return move._replace(**changes)


def small_plan(config: EffectiveConfig, *, deadline: float = 0.0, affinity: str = "") -> Plan:
    """Return the plan of a request of the workspace."""
    workspace = config.workspaces[WORKSPACE]
    service = config.services[SERVICE]
    policy = service.classes["check"]
    return Plan(workspace, workspace.routes[0], service, policy, deadline, affinity)


def idle_board(clock: Clock, *, cap_fraction: float = 1.0) -> MoveBoard:
    """Return a move board without moves."""
    hybrid_clock = HybridClock(wall=clock.wall)
    timeline = Timeline(clock=hybrid_clock, instance="test", max_events=100)
    return MoveBoard(clock=clock, timeline=timeline, cap_fraction=lambda: cap_fraction)

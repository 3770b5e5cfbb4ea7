"""The documents in the platform's store, decoded into the product's types."""

from collections.abc import Collection, Sequence
from typing import Annotated, Any, Literal

import msgspec
from result import Err, Ok, Result

from wagtailpoint.discovery.entries import RegisteredServer, ServerEntry
from wagtailpoint.errors import InvalidInput, Mistake
from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.routing.table import (
    CallerBounds,
    HostRoute,
    RouteKind,
    RouteTable,
    ServicePolicy,
    SplitPart,
)
from wagtailpoint.routing.workspaces import WorkspacePolicy, WorkspacesByKey, key_digest

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"

MOST_SLOTS = 100_000
LONGEST_COLD_S = 24 * 3600.0
"""Entries with more than this were not written by a backend server."""

_HEADER_TEXT = "^[!-~]+$"
"""The name of a workspace is sent in a header."""

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "download": RouteKind.DOWNLOAD,
}


class _Part(msgspec.Struct):
    Service: str
    Weight: float


class _Route(msgspec.Struct):
    Name: str
    PathPrefix: str
    Kind: Literal["idempotent", "non_idempotent", "download"]
    TimeoutS: float
    TargetLatencyS: float
    Attempts: int = 1
    Priority: int = 0
    Sticky: bool = False
    HomeRegions: list[str] | None = None
    # Callers need no key.
    Public: bool = False
    Service: str | None = None
    Split: list[_Part] | None = None


class _VirtualHost(msgspec.Struct):
    Host: str
    PathRoutes: list[_Route]
    # The homes of a whole tenant, which bind together with those of its routes.
    HomeRegions: list[str] | None = None


class _Service(msgspec.Struct):
    Name: str
    HealthPath: str
    MaxConns: int
    ColdS: float = 0.0
    ColdPerS: float = 0.0


class _Tenant(msgspec.Struct):
    """A workspace."""

    Name: Annotated[str, msgspec.Meta(min_length=1, pattern=_HEADER_TEXT)]
    ApiKeys: list[str] = []
    # Requests a second, over all instances; 0 for no limit.
    RatePerS: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    Burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    Priority: int | None = None
    HomeRegions: list[str] | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: int
    MaxBodyBytes: int
    HeaderTimeoutS: float
    IdleTimeoutS: float


class _Config(msgspec.Struct):
    Version: str
    Services: list[_Service]
    Limits: _Limits
    VirtualHosts: list[_VirtualHost]
    Tenants: list[_Tenant] | None = None


_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Server(msgspec.Struct):
    Service: Annotated[str, msgspec.Meta(min_length=1)]
    Address: str
    Zone: str
    # Slots: requests that are worked on at the same time.
    MaxConcurrency: Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
    State: Literal["ready", "draining"]
    ColdLeftS: Annotated[float, msgspec.Meta(ge=0, le=LONGEST_COLD_S)] = 0.0
    # Heartbeats since the start.
    Sequence: _Count = 0
    # Milliseconds since 1970 at the start.
    born: _Count = 0


def decode_config(stored: StoredObject) -> Result[RouteTable, InvalidInput]:
    """Decode a configuration."""
    try:
        wire = msgspec.convert(stored.value, _Config)
        version = int(wire.Version, 16)
    except (msgspec.ValidationError, ValueError) as error:
        return Err(_unreadable(stored, error))
    return Ok(
        RouteTable(
            version=version,
            hosts=_hosts(wire.VirtualHosts),
            services={
                each.Name: ServicePolicy(
                    name=each.Name,
                    health_path=each.HealthPath,
                    max_connections=each.MaxConns,
                    cold_s=each.ColdS,
                    cold_per_s=each.ColdPerS,
                )
                for each in wire.Services
            },
            bounds=CallerBounds(
                header_bytes=wire.Limits.MaxHeaderBytes,
                body_bytes=wire.Limits.MaxBodyBytes,
                header_timeout_s=wire.Limits.HeaderTimeoutS,
                idle_timeout_s=wire.Limits.IdleTimeoutS,
            ),
            workspaces=_workspaces(wire.Tenants) if wire.Tenants else None,
        )
    )


def decode_server(
    stored: StoredObject, *, failure_domains: Collection[str]
) -> Result[RegisteredServer, InvalidInput]:
    """Decode the entry of a backend server.

    Anybody may write there: what names no backend server that could be used is an error.
    """
    try:
        wire = msgspec.convert(stored.value, _Server)
        address = Endpoint.parse(wire.Address)
    except (msgspec.ValidationError, ValueError) as error:
        return Err(_unreadable(stored, error))
    if wire.Zone not in failure_domains:
        return Err(_unreadable(stored, f"failure domain {wire.Zone!r}"))
    entry = ServerEntry(
        server_id=stored.name,
        service=wire.Service,
        address=BackendAddress(address.address, address.port),
        failure_domain=wire.Zone,
        slots=wire.MaxConcurrency,
        draining=wire.State != "ready",
        cold_left_s=wire.ColdLeftS,
        started_ms=wire.born,
    )
    return Ok(RegisteredServer(entry, wire.Sequence))


def _hosts(wire: Sequence[_VirtualHost]) -> dict[str, tuple[HostRoute, ...]]:
    """The routes of each host, whose routes may stand in several entries; longest prefix first."""
    hosts: dict[str, list[HostRoute]] = {}
    for virtual_host in wire:
        routes = hosts.setdefault(virtual_host.Host.lower(), [])
        routes += [_route(each, virtual_host) for each in virtual_host.PathRoutes]
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in hosts.items()
    }


def _route(wire: _Route, virtual_host: _VirtualHost) -> HostRoute:
    if wire.Split:
        parts = tuple(SplitPart(each.Service, each.Weight) for each in wire.Split)
    else:
        parts = (SplitPart(wire.Service or "", 1.0),)
    return HostRoute(
        name=wire.Name,
        prefix=wire.PathPrefix,
        kind=_KINDS[wire.Kind],
        timeout_s=wire.TimeoutS,
        objective_s=wire.TargetLatencyS,
        priority=wire.Priority,
        max_attempts=max(1, wire.Attempts),
        sticky=wire.Sticky,
        home_regions=_homes(wire.HomeRegions, virtual_host.HomeRegions),
        parts=parts,
        public=wire.Public,
    )


def _workspaces(wire: Sequence[_Tenant]) -> WorkspacesByKey:
    """The workspaces by the digests of their keys."""
    by_key: dict[bytes, WorkspacePolicy] = {}
    for each in wire:
        policy = WorkspacePolicy(
            name=each.Name,
            priority=each.Priority,
            home_regions=_homes(each.HomeRegions),
            allowance=Allowance(each.RatePerS, each.Burst) if each.RatePerS else None,
        )
        by_key |= {key_digest(key.encode()): policy for key in each.ApiKeys}
    return by_key


def _homes(*given: list[str] | None) -> frozenset[str] | None:
    """The regions in all of the lists that name any, which may be none; None without such lists."""
    lists = [frozenset(each) for each in given if each]
    return frozenset.intersection(*lists) if lists else None


def _unreadable(stored: StoredObject, error: Any) -> InvalidInput:
    name = f"{stored.kind}/{stored.name}"
    return InvalidInput([Mistake(name, str(error), "a document as the platform's pages show it")])

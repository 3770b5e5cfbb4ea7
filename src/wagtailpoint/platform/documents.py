"""Decoding of the documents in the platform's store into this system's types."""

from collections.abc import Collection, Mapping, Sequence
from typing import Annotated, Literal

import msgspec
from result import Err, Ok, Result

from wagtailpoint.discovery.entries import MAX_COLD_S, RegisteredServer, ServerEntry
from wagtailpoint.errors import InvalidInput, Mistake, describe_error
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
from wagtailpoint.untrusted_input import read_value

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"

MAX_BYTES_BY_KIND: Mapping[str, int] = {SERVERS_KIND: 16 * 1024}
"""Maximum length of an object's content, for kinds of which there are many. Every instance keeps
the entries of all backend servers, which have about 200 bytes, and sends them to others in one
message of limited length."""

MAX_NAME_CHARACTERS = 100
"""Maximum length of a name from a document in an error."""

MAX_SLOTS = 100_000
"""Entries with a larger number were not written by a backend server."""

MAX_STARTED_MS = 253_402_300_799_999
"""The end of the year 9999. Of two entries of a backend server the one with the later start counts,
so that none would count any more after one in nanoseconds."""

_HEADER_VALUE_PATTERN = "^[!-~]+$"
"""Pattern of a workspace name, which is sent in a header."""

_ROUTE_KINDS = {
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
    # Any region if empty.
    HomeRegions: list[str] | None = None
    # Whether callers need no key.
    Public: bool = False
    Service: str | None = None
    # Replaces ``Service``, unless it is empty.
    Split: list[_Part] | None = None


class _VirtualHost(msgspec.Struct):
    Host: str
    PathRoutes: list[_Route]
    # Home regions of the whole host, intersected with those of its routes.
    HomeRegions: list[str] | None = None


class _Service(msgspec.Struct):
    Name: str
    HealthPath: str
    MaxConns: int
    ColdS: float = 0.0
    ColdPerS: float = 0.0


class _Tenant(msgspec.Struct):
    """A workspace."""

    Name: Annotated[str, msgspec.Meta(min_length=1, pattern=_HEADER_VALUE_PATTERN)]
    ApiKeys: list[str] = []
    # Requests per second over all instances; 0 means no limit.
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
    Version: Annotated[str, msgspec.Meta(pattern="^[0-9A-Fa-f]{1,15}$")]
    Services: list[_Service]
    Limits: _Limits
    VirtualHosts: list[_VirtualHost]
    # Without this field callers need no key; with an empty list no key is valid.
    Tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Server(msgspec.Struct):
    Service: Annotated[str, msgspec.Meta(min_length=1)]
    Address: str
    Zone: str
    # Slots: maximum number of concurrent requests.
    MaxConcurrency: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    State: Literal["ready", "draining"]
    ColdLeftS: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S)] = 0.0
    # Number of heartbeats since the start.
    Sequence: _Count = 0
    # Start time in milliseconds since 1970.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_MS)] = 0


def decode_config(stored: StoredObject) -> Result[RouteTable, InvalidInput]:
    """Decode the configuration document into a route table."""
    read = read_value(stored.value, _Config)
    if isinstance(read, Err):
        return Err(_invalid_document(stored, read.err_value))
    wire = read.ok_value
    return Ok(
        RouteTable(
            version=int(wire.Version, 16),
            hosts=_routes_by_host(wire.VirtualHosts),
            services={
                service.Name: ServicePolicy(
                    name=service.Name,
                    health_path=service.HealthPath,
                    max_connections=service.MaxConns,
                    cold_s=service.ColdS,
                    cold_per_s=service.ColdPerS,
                )
                for service in wire.Services
            },
            bounds=CallerBounds(
                header_bytes=wire.Limits.MaxHeaderBytes,
                body_bytes=wire.Limits.MaxBodyBytes,
                header_timeout_s=wire.Limits.HeaderTimeoutS,
                idle_timeout_s=wire.Limits.IdleTimeoutS,
            ),
            workspaces=(
                None if wire.Tenants is msgspec.UNSET else _workspaces_by_key(wire.Tenants)
            ),
        )
    )


def decode_server(
    stored: StoredObject, *, failure_domains: Collection[str]
) -> Result[RegisteredServer, InvalidInput]:
    """Decode the entry of a backend server.

    The store is open to any writer: an entry without a usable backend server is an error.
    """
    read = read_value(stored.value, _Server)
    if isinstance(read, Err):
        return Err(_invalid_document(stored, read.err_value))
    wire = read.ok_value
    try:
        address = Endpoint.parse(wire.Address)
    except ValueError as error:
        return Err(_invalid_document(stored, describe_error(error)))
    if wire.Zone not in failure_domains:
        return Err(_invalid_document(stored, f"failure domain {wire.Zone[:MAX_NAME_CHARACTERS]!r}"))
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


def _routes_by_host(wire: Sequence[_VirtualHost]) -> dict[str, tuple[HostRoute, ...]]:
    """Return the routes of each host, merged over its entries and sorted by longest prefix."""
    hosts: dict[str, list[HostRoute]] = {}
    for virtual_host in wire:
        routes = hosts.setdefault(virtual_host.Host.lower(), [])
        routes += [_host_route(route, virtual_host) for route in virtual_host.PathRoutes]
    return {
        host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
        for host, routes in hosts.items()
    }


def _host_route(wire: _Route, virtual_host: _VirtualHost) -> HostRoute:
    if wire.Split:
        parts = tuple(SplitPart(part.Service, part.Weight) for part in wire.Split)
    else:
        parts = (SplitPart(wire.Service or "", 1.0),)
    return HostRoute(
        name=wire.Name,
        prefix=wire.PathPrefix,
        kind=_ROUTE_KINDS[wire.Kind],
        timeout_s=wire.TimeoutS,
        objective_s=wire.TargetLatencyS,
        priority=wire.Priority,
        max_attempts=max(1, wire.Attempts),
        sticky=wire.Sticky,
        home_regions=_common_regions(wire.HomeRegions, virtual_host.HomeRegions),
        parts=parts,
        public=wire.Public,
    )


def _workspaces_by_key(wire: Sequence[_Tenant]) -> WorkspacesByKey:
    """Return the workspaces by the digests of their keys."""
    by_key: dict[bytes, WorkspacePolicy] = {}
    for tenant in wire:
        policy = WorkspacePolicy(
            name=tenant.Name,
            priority=tenant.Priority,
            home_regions=_common_regions(tenant.HomeRegions),
            allowance=Allowance(tenant.RatePerS, tenant.Burst) if tenant.RatePerS else None,
        )
        by_key |= {key_digest(key.encode()): policy for key in tenant.ApiKeys}
    return by_key


def _common_regions(*region_lists: list[str] | None) -> frozenset[str] | None:
    """Return the intersection of the non-empty lists, maybe empty; None if all are empty."""
    region_sets = [frozenset(regions) for regions in region_lists if regions]
    return frozenset.intersection(*region_sets) if region_sets else None


def _invalid_document(stored: StoredObject, error: str) -> InvalidInput:
    name = f"{stored.kind}/{stored.name[:MAX_NAME_CHARACTERS]}"
    return InvalidInput([Mistake(name, error, "a document in the platform's format")])

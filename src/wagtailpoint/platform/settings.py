"""Decoding of the settings file that the platform writes for each process."""

import math
from pathlib import Path
from typing import Annotated, Any, Final

import msgspec
from result import Err, Ok, Result

from wagtailpoint.errors import InvalidInput, Mistake
from wagtailpoint.membership.member import MAX_CAPACITY
from wagtailpoint.node_settings import Endpoint, NodeSettings, ServiceBounds
from wagtailpoint.untrusted_input import decode_json, read_value

SETTINGS_VARIABLE = "WAGTAILPOINT_NODE_FILE"

METRICS_PORT = 9190
"""Fixed in the deploy file, as the platform's settings file has no port for metrics."""

LINK_MBPS_PER_CORE: Final = 30.0
"""Link load of one core, in Mbit/s: 300 requests per second of 12 KB, in both directions."""

PRESSURE_CONTRACT: Final = "pressure"
"""Listed by deployments whose callers compete for capacity: requests then wait for room."""


class _Limits(msgspec.Struct):
    MaxFds: int
    # Fraction of a core for the process, of cores that are ``CpuCores`` times as fast.
    CpuShare: Annotated[float, msgspec.Meta(gt=0, le=MAX_CAPACITY)] = 1.0
    CpuCores: Annotated[float, msgspec.Meta(gt=0, le=MAX_CAPACITY)] = 1.0
    LinkMbps: Annotated[float, msgspec.Meta(gt=0)] | None = None


class _Self(msgspec.Struct):
    NodeName: str
    Zone: str
    Region: str
    Ip: str
    Limits: _Limits


class _ListenAddrs(msgspec.Struct):
    FrontAddr: str
    ReadyAddr: str
    DirectoryAddr: str
    ControlAddr: str


class _Network(msgspec.Struct):
    ListenAddrs: _ListenAddrs
    Zones: dict[str, str]
    InnerPortRange: tuple[int, int]
    SeedAddrs: list[str] = []


class _Store(msgspec.Struct):
    Address: str


class _Platform(msgspec.Struct):
    Platform: _Store


class _Bounds(msgspec.Struct):
    GraceS: float
    BudgetRatio: float
    BudgetWindowS: float
    BudgetSlack: float
    ColdOverage: float
    ColdSlack: float
    MaxShift: float = 1.0
    ttl_max_s: float = 5.0
    # A revoked key is refused after this time, in seconds; if ``RevokeStrict`` is set, also by
    # instances without a connection to the store.
    RevokeS: Annotated[float, msgspec.Meta(gt=0)] | None = None
    RevokeStrict: bool = False
    QuotaSlack: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Terms(msgspec.Struct):
    Bounds: _Bounds
    # Names of what the deployment has agreed on; of any form, as only known names matter.
    Contracts: Any = None


class _File(msgspec.Struct):
    Self: _Self
    Network: _Network
    Platform: _Platform
    Terms: _Terms


def read_node_settings(path: Path) -> Result[NodeSettings, InvalidInput]:
    """Read the platform's settings file; unknown fields are ignored."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err(InvalidInput([Mistake(str(path), str(error), "a readable file")]))
    return decode_node_settings(text)


def decode_node_settings(text: bytes) -> Result[NodeSettings, InvalidInput]:
    """Decode the contents of the settings file; the error lists the mistakes of all sections."""
    decoded = decode_json(text, Any)
    if isinstance(decoded, Err):
        return Err(InvalidInput([Mistake("settings", decoded.err_value, "JSON")]))
    document = decoded.ok_value
    mistakes = _section_mistakes(document)
    if mistakes:
        return Err(InvalidInput(mistakes))
    wire = msgspec.convert(document, _File)
    try:
        return Ok(_to_node_settings(wire))
    except ValueError as error:
        return Err(InvalidInput([Mistake("settings", str(error), "ADDRESS:PORT")]))


def _section_mistakes(document: Any) -> list[Mistake]:
    """Return one mistake for each invalid section, not just the first."""
    if not isinstance(document, dict):
        return [Mistake("settings", type(document).__name__, "an object")]
    mistakes = []
    for field in msgspec.structs.fields(_File):
        read = read_value(document.get(field.name), field.type)
        if isinstance(read, Err):
            reason, _, location = read.err_value.partition(" - at ")
            path = field.name + location.strip("`").removeprefix("$")
            mistakes.append(Mistake(path, reason, "a field in the platform's format"))
    return mistakes


def _to_node_settings(wire: _File) -> NodeSettings:
    listen = wire.Network.ListenAddrs
    bounds = wire.Terms.Bounds
    return NodeSettings(
        name=wire.Self.NodeName,
        region=wire.Self.Region,
        failure_domain=wire.Self.Zone,
        region_of=wire.Network.Zones,
        callers=Endpoint.parse(listen.FrontAddr),
        readiness=Endpoint.parse(listen.ReadyAddr),
        lookups=Endpoint.parse(listen.DirectoryAddr),
        peers=Endpoint.parse(listen.ControlAddr),
        metrics=Endpoint(wire.Self.Ip, METRICS_PORT),
        relay=Endpoint(wire.Self.Ip, wire.Network.InnerPortRange[0]),
        seeds=tuple(Endpoint.parse(seed) for seed in wire.Network.SeedAddrs),
        store=Endpoint.parse(wire.Platform.Platform.Address),
        most_descriptors=wire.Self.Limits.MaxFds,
        capacity=_capacity(wire.Self.Limits),
        link_mbps=wire.Self.Limits.LinkMbps or math.inf,
        bounds=ServiceBounds(
            grace_s=bounds.GraceS,
            retry_ratio=bounds.BudgetRatio,
            retry_window_s=bounds.BudgetWindowS,
            retry_slack=bounds.BudgetSlack,
            cold_overage=bounds.ColdOverage,
            cold_slack=bounds.ColdSlack,
            region_shift_max=bounds.MaxShift,
            lookup_ttl_max_s=bounds.ttl_max_s,
            key_lag_max_s=_key_lag_max_s(bounds),
            allowance_slack=bounds.QuotaSlack,
            queues_requests=_lists_pressure(wire.Terms.Contracts),
        ),
    )


def _lists_pressure(contracts: Any) -> bool:
    return isinstance(contracts, list) and PRESSURE_CONTRACT in contracts


def _key_lag_max_s(bounds: _Bounds) -> float:
    if bounds.RevokeS is None or not bounds.RevokeStrict:
        return math.inf
    return bounds.RevokeS


def _capacity(limits: _Limits) -> float:
    """Return an instance's capacity in cores, limited by processor and link."""
    cores = limits.CpuShare * limits.CpuCores
    if limits.LinkMbps is not None:
        cores = min(cores, limits.LinkMbps / LINK_MBPS_PER_CORE)
    return min(cores, MAX_CAPACITY)

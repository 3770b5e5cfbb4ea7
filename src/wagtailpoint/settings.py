"""The settings of one instance, which are read from a JSON file when it starts.

They define the location of the instance and its limits and timings. The services and workspaces
that it serves are defined by the configuration objects, which it reads from the platform.
"""

from pathlib import Path
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from wagtailpoint.checking import ObjectReader, parse_json
from wagtailpoint.errors import InvalidInput, Mistake

LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")
_MEGABYTE = 1024 * 1024


class PlatformAddress(NamedTuple):
    """The address and port of one server of the platform's object API."""

    address: str
    port: int


class PeerAddress(NamedTuple):
    """The address and peer port of another instance."""

    address: str
    peer_port: int


class Limits(NamedTuple):
    """Resource limits of the instance.

    Attributes:
        open_requests: Maximum number of requests in flight, including queued requests.
        queued_requests: Maximum number of requests that wait for a slot.
        request_body_bytes: Maximum size of a request's body, in bytes.
        header_bytes: Maximum size of a request's headers, in bytes.
        keys: Maximum number of idempotency keys in memory; at the limit, new keys are refused.
    """

    open_requests: int = 2000
    queued_requests: int = 500
    request_body_bytes: int = 8 * _MEGABYTE
    header_bytes: int = 32 * 1024
    keys: int = 40_000


class Timings(NamedTuple):
    """Periods and timeouts, all in seconds.

    Attributes:
        lookup_ttl_s: How long a caller may use the answer to a lookup.
        heartbeat_interval_s: Interval between two heartbeats to a peer.
        suspect_after_s: How long a suspected peer, which didn't answer, has to refute the suspicion
            before it counts as dead; longer with more than ten instances, as gossip takes longer.
        epoch_s: How long bindings are issued under one epoch. Idempotency keys are remembered for
            at least one and at most two epochs.
        moves_lease_s: Duration of the lease whose holder executes the steps of moves.
        probe_interval_s: Interval between two requests for a backend server's load report.
        connect_timeout_s: Timeout for connecting to a backend server or a peer.
        platform_timeout_s: Timeout of one call to the platform, in addition to a watch's wait.
        watch_wait_s: How long one watch waits for changes at the platform.
        move_interval_s: Interval between two checks of a running move.
        caller_idle_s: Time after which an idle connection of a caller is closed.
        caller_stall_s: Maximum time without progress while the instance receives headers or a body
            from a caller or sends a reply (per 64 KiB) before the connection is closed.
        drain_timeout_s: Maximum time that a stopping instance waits for requests in flight. It has
            to cover the longest download, because an interrupted download isn't resumed.
    """

    lookup_ttl_s: float = 2.0
    heartbeat_interval_s: float = 1.0
    suspect_after_s: float = 3.0
    epoch_s: float = 120.0
    moves_lease_s: float = 10.0
    probe_interval_s: float = 0.5
    connect_timeout_s: float = 1.0
    platform_timeout_s: float = 2.0
    watch_wait_s: float = 20.0
    move_interval_s: float = 0.5
    caller_idle_s: float = 10.0
    caller_stall_s: float = 20.0
    drain_timeout_s: float = 900.0


class Settings(NamedTuple):
    """The settings of one instance.

    Attributes:
        address: The IP number on which the instance listens.
        port: The HTTP port for callers and operators.
        peer_port: The port for the other instances.
        region: The region in which the instance runs.
        failure_domain: The failure domain in which the instance runs.
        platform: The servers of the platform's object API, in the order in which they are tried.
        peers: Some other instances, from which the instance learns of the remaining ones.
        limits: Resource limits.
        timings: Periods and timeouts.
        log_level: The lowest level that is logged.
    """

    address: str
    port: int
    peer_port: int
    region: str
    failure_domain: str
    platform: tuple[PlatformAddress, ...]
    peers: tuple[PeerAddress, ...] = ()
    limits: Limits = Limits()
    timings: Timings = Timings()
    log_level: str = "INFO"


def read_settings(path: Path) -> Result[Settings, InvalidInput]:
    """Read and validate a settings file.

    Returns:
        The settings, or every mistake in the file.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        mistake = Mistake(str(path), error.strerror or str(error), "a readable settings file")
        return Err(InvalidInput([mistake]))
    return parse_json(text, path=str(path)).and_then(check_settings)


def check_settings(value: Any) -> Result[Settings, InvalidInput]:
    """Validate settings that are already parsed from JSON."""
    mistakes: list[Mistake] = []
    reader = ObjectReader(value=value, path="", mistakes=mistakes)
    settings = Settings(
        address=reader.ip_number("address"),
        port=reader.port("port"),
        peer_port=reader.port("peer_port"),
        region=reader.name("region"),
        failure_domain=reader.name("failure_domain"),
        platform=_read_platform(reader),
        peers=_read_peers(reader),
        limits=_read_limits(reader.child("limits", default={})),
        timings=_read_timings(reader.child("timings", default={})),
        log_level=reader.text("log_level", choices=LOG_LEVELS, default="INFO"),
    )
    reader.finish()
    if not mistakes:
        _check_cross_field_rules(settings, reader)
    return Err(InvalidInput(mistakes)) if mistakes else Ok(settings)


def _read_platform(reader: ObjectReader) -> tuple[PlatformAddress, ...]:
    servers = []
    for item in reader.objects("platform", expected='{"address", "port"}'):
        servers.append(PlatformAddress(item.ip_number("address"), item.port("port")))
        item.finish()
    if reader.has("platform") and not servers:
        reader.mistake("platform", [], 'at least one {"address", "port"}')
    return tuple(servers)


def _read_peers(reader: ObjectReader) -> tuple[PeerAddress, ...]:
    peers = []
    for item in reader.objects("peers", expected='{"address", "peer_port"}', default=[]):
        peers.append(PeerAddress(item.ip_number("address"), item.port("peer_port")))
        item.finish()
    return tuple(peers)


def _read_limits(reader: ObjectReader) -> Limits:
    units = {
        "open_requests": "requests",
        "queued_requests": "requests",
        "request_body_bytes": "bytes",
        "header_bytes": "bytes",
        "keys": "idempotency keys",
    }
    defaults = Limits()._asdict()
    values = {
        name: reader.integer(name, unit=unit, minimum=1, default=defaults[name])
        for name, unit in units.items()
    }
    reader.finish()
    return Limits(**values)


def _read_timings(reader: ObjectReader) -> Timings:
    values = {
        name: reader.number(name, unit="seconds", above=0, default=default)
        for name, default in Timings()._asdict().items()
    }
    reader.finish()
    return Timings(**values)


def _check_cross_field_rules(settings: Settings, reader: ObjectReader) -> None:
    """Check the rules that involve several fields."""
    timings = settings.timings
    if settings.port == settings.peer_port:
        reader.mistake("peer_port", settings.peer_port, f"a port other than port ({settings.port})")
    if timings.suspect_after_s <= timings.heartbeat_interval_s:
        # A peer would count as dead before a second heartbeat is sent to it.
        reader.mistake(
            "timings.suspect_after_s",
            timings.suspect_after_s,
            f"more seconds than heartbeat_interval_s ({timings.heartbeat_interval_s:g})",
        )
    if timings.epoch_s <= timings.lookup_ttl_s:
        # A binding could be two epochs old, and thus be refused, while its lookup is still valid.
        reader.mistake(
            "timings.epoch_s",
            timings.epoch_s,
            f"more seconds than lookup_ttl_s ({timings.lookup_ttl_s:g})",
        )
    if timings.moves_lease_s <= timings.platform_timeout_s:
        # A single slow renewal would lose the lease.
        reader.mistake(
            "timings.moves_lease_s",
            timings.moves_lease_s,
            f"more seconds than platform_timeout_s ({timings.platform_timeout_s:g})",
        )

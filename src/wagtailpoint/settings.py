"""The settings of one instance, read from a JSON file at its start.

They say where the instance is and how it works; what it serves is in the configuration objects,
which it reads from the platform.
"""

from pathlib import Path
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from wagtailpoint.checking import ObjectReader, parse_json
from wagtailpoint.errors import InvalidInput, Mistake

LOG_LEVELS: Final = ("DEBUG", "INFO", "WARNING", "ERROR")
_MEGABYTE = 1024 * 1024


class PlatformAddress(NamedTuple):
    """Where one server of the platform's object API listens."""

    address: str
    port: int


class PeerAddress(NamedTuple):
    """Where another instance listens for its peers."""

    address: str
    peer_port: int


class Limits(NamedTuple):
    """The most that the instance takes on.

    Attributes:
        open_requests: Requests in flight, queued ones included.
        queued_requests: Requests that wait for a slot.
        request_body_bytes: Bytes of one request's body.
        header_bytes: Bytes of one request's headers.
        keys: Idempotency keys that are remembered; no new ones are taken when that many are.
    """

    open_requests: int = 2000
    queued_requests: int = 500
    request_body_bytes: int = 8 * _MEGABYTE
    header_bytes: int = 32 * 1024
    keys: int = 40_000


class Timings(NamedTuple):
    """Periods and timeouts, all in seconds.

    Attributes:
        lookup_ttl_s: How long a caller may use a lookup's answer.
        heartbeat_interval_s: Between two heartbeats to a peer.
        suspect_after_s: How long a peer that gave no answer has to speak up before it counts as
            dead; longer where there are more than ten instances, as news takes longer there.
        epoch_s: How long bindings are given out under one epoch; keys of idempotency are
            remembered for at least one and at most two epochs.
        moves_lease_s: The lease of the right to take the steps of moves.
        probe_interval_s: Between two questions for a backend server's load report.
        connect_timeout_s: For a connection to a backend server or a peer.
        platform_timeout_s: For one call of the platform, a watch's own waiting not counted.
        watch_wait_s: How long one watch waits at the platform.
        move_interval_s: Between two looks at a running move.
        caller_idle_s: An idle connection of a caller is closed after it.
        caller_stall_s: The longest that a caller may stand still in the middle of its headers, of
            its body, or of a reply (64 KiB of it), before its connection is closed.
        drain_timeout_s: The longest that a stopping instance waits for requests in flight; long
            enough for the longest download, for what is cut then is cut for good.
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
        port: HTTP, for callers and operators.
        peer_port: For the other instances.
        region: Where it runs.
        failure_domain: Where it runs.
        platform: The servers of the platform's object API, tried in this order.
        peers: Some other instances to begin with; the others are learnt from them.
        limits: The most that it takes on.
        timings: Periods and timeouts.
        log_level: The least level that is logged.
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
    """Read and check a settings file.

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
    """Check settings that were already parsed from JSON."""
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
    """Check the rules that bind several fields."""
    timings = settings.timings
    if settings.port == settings.peer_port:
        reader.mistake("peer_port", settings.peer_port, "another port than port")
    if timings.suspect_after_s <= timings.heartbeat_interval_s:
        # A peer would count as dead before anybody had asked it a second time.
        reader.mistake(
            "timings.suspect_after_s",
            timings.suspect_after_s,
            f"more seconds than heartbeat_interval_s ({timings.heartbeat_interval_s:g})",
        )
    if timings.epoch_s <= timings.lookup_ttl_s:
        # A binding could be two epochs old, and so refused, while its lookup is still in use.
        reader.mistake(
            "timings.epoch_s",
            timings.epoch_s,
            f"more seconds than lookup_ttl_s ({timings.lookup_ttl_s:g})",
        )
    if timings.moves_lease_s <= timings.platform_timeout_s:
        # One slow renewal would already lose the lease.
        reader.mistake(
            "timings.moves_lease_s",
            timings.moves_lease_s,
            f"more seconds than platform_timeout_s ({timings.platform_timeout_s:g})",
        )

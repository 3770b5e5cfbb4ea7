"""Limits that backend servers state in their answers: requests a second from all instances."""

import re
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple, Protocol

import trio
from result import Err, Ok, Result

from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.backend import Headers

_DECIMAL: Final = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")


class StatedLimit(NamedTuple):
    """What a backend server states about its limit; travels between instances.

    Attributes:
        server: Identifies one start of the backend server, in the same way on all instances.
        revision: Rises with each change that an instance sees in an answer. Of two statements the
            one with the higher revision is the newer one.
        per_s: Requests a second that it takes from all instances together; None if it states no
            limit any more.
    """

    server: str
    revision: int
    per_s: float | None


class LimitAnnouncer(Protocol):
    """Sends statements to the other instances."""

    def announce(self, server: str) -> None:
        """Send what is known of a backend server; must not block."""
        ...


def read_limit(headers: Headers, name: bytes) -> Result[float | None, str]:
    """Read the limit that an answer states.

    Several values, in one header or in several, are read as the lowest one.

    Args:
        headers: The headers of the answer.
        name: The name of the header, in lower case.

    Returns:
        Requests a second, or None if the answer states no limit; an error if a value is not a
        decimal number.
    """
    values = [
        value.strip()
        for key, joined in headers
        if key.lower() == name
        for value in joined.split(b",")
    ]
    for value in values:
        if not _DECIMAL.fullmatch(value):
            text = value[:40].decode("latin-1")
            return Err(f"given {text!r}, expected requests a second as a decimal number")
    return Ok(min(map(float, values), default=None))


class _Known(NamedTuple):
    """A statement and the time when this instance heard it."""

    limit: StatedLimit
    heard_at: float


class StatedLimits:
    """The newest statement of each backend server that has stated a limit.

    A statement holds until the same start of the backend server answers without one. An answer to
    a request that was sent before the statement was heard may be older than the statement, and
    neither lifts nor raises the limit.
    """

    def __init__(self, *, is_known: Callable[[str], bool], metrics: Metrics) -> None:
        """Initialise without any limit.

        Args:
            is_known: Returns whether a backend server is registered. Statements of others are
                ignored: nothing would remove what peers, or late answers, tell of servers that are
                gone.
            metrics: Counts statements.
        """
        self._is_known = is_known
        self._metrics = metrics
        self._known: dict[str, _Known] = {}
        self._announcer: LimitAnnouncer | None = None

    def announce_to(self, announcer: LimitAnnouncer) -> None:
        """Set what sends this instance's own observations to the others."""
        self._announcer = announcer

    @property
    def all(self) -> Sequence[StatedLimit]:
        """The newest statements, those that were lifted included, sorted by server."""
        return [self._known[server].limit for server in sorted(self._known)]

    @property
    def has_any(self) -> bool:
        """Whether any backend server has stated a limit, lifted or not."""
        return bool(self._known)

    @property
    def in_force(self) -> int:
        """The number of backend servers that state a limit."""
        return sum(known.limit.per_s is not None for known in self._known.values())

    def per_s(self, server: str) -> float | None:
        """Return the limit of a backend server; None if it states none."""
        known = self._known.get(server)
        return known.limit.per_s if known is not None else None

    def heard_at(self, server: str) -> float:
        """Return when the statement of a backend server was heard, by trio's clock."""
        return self._known[server].heard_at

    def statement(self, server: str) -> StatedLimit | None:
        """Return the newest statement of a backend server; None if there is none."""
        known = self._known.get(server)
        return known.limit if known is not None else None

    def record_answer(self, server: str, headers: Headers, name: bytes, sent_at: float) -> None:
        """Record what an answer of a backend server states.

        Args:
            server: The start of the backend server.
            headers: The headers of the answer.
            name: The name of the header that states a limit, in lower case.
            sent_at: When the request was sent, by trio's clock.
        """
        stated = read_limit(headers, name)
        if isinstance(stated, Err):
            self._metrics.count("limit.unreadable")
            log_event("limit-unreadable", level="WARNING", server=server, error=stated.err_value)
            return
        per_s = stated.ok_value
        known = self._known.get(server)
        before = known.limit.per_s if known is not None else None
        if per_s == before or not self._is_known(server):
            return
        lowers = per_s is not None and (before is None or per_s < before)
        if known is not None and not lowers and sent_at <= known.heard_at:
            return
        revision = known.limit.revision + 1 if known is not None else 1
        self._set(StatedLimit(server, revision, per_s), source="answer")
        if self._announcer is not None:
            self._announcer.announce(server)

    def apply(self, limits: Sequence[StatedLimit]) -> None:
        """Apply statements that another instance has sent, unless they are outdated."""
        for limit in limits:
            known = self._known.get(limit.server)
            if self._is_known(limit.server) and (known is None or _is_newer(limit, known.limit)):
                self._set(limit, source="peer")

    def forget(self, server: str) -> None:
        """Remove the statement of a backend server that is gone or has restarted."""
        self._known.pop(server, None)

    def forget_unknown(self) -> None:
        """Remove the statements of backend servers that are not registered any more."""
        for server in [server for server in self._known if not self._is_known(server)]:
            del self._known[server]

    def _set(self, limit: StatedLimit, *, source: str) -> None:
        before = self.per_s(limit.server)
        self._known[limit.server] = _Known(limit, trio.current_time())
        if limit.per_s == before:
            return
        event = "limit-stated" if limit.per_s is not None else "limit-lifted"
        self._metrics.count(f"{event.replace('-', '.')}.{source}")
        log_event(
            event,
            server=limit.server,
            per_s="" if limit.per_s is None else limit.per_s,
            before="" if before is None else before,
            revision=limit.revision,
            source=source,
        )


def _is_newer(limit: StatedLimit, known: StatedLimit) -> bool:
    """Return whether a statement replaces a known one.

    Two instances that see different answers at the same time use the same revision. The lower limit
    then holds on all instances, until one of them sees the next answer.
    """
    if limit.revision != known.revision:
        return limit.revision > known.revision
    if limit.per_s is None or known.per_s is None:
        return limit.per_s is not None and known.per_s is None
    return limit.per_s < known.per_s

"""Backoffs that backend servers request with ``Retry-After`` when they turn a request away."""

import re
from collections.abc import Callable, Iterable
from typing import Final

import trio
from result import Err, Ok, Result

from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.backend import Headers

RETRY_AFTER: Final = b"retry-after"

MAX_BACKOFF_S: Final = 60.0
"""Longer backoffs are shortened to this, in seconds, so that an absurd value does not take a
backend server out of use for good."""

RETURN_S: Final = 1.0
"""Time after the end of a backoff in which requests return by degrees."""

ANSWERS_TO_RETURN: Final = 4
"""Number of answers after which a backend server gets requests without restriction again."""

_DECIMAL: Final = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?")


def read_backoff(headers: Headers) -> Result[float | None, str]:
    """Read the backoff that a refusal requests.

    Returns:
        Seconds, at most ``MAX_BACKOFF_S``, or None if the refusal requests no backoff; the longest
        of several values. An error if no value is a decimal number.
    """
    values = [value.strip() for key, value in headers if key.lower() == RETRY_AFTER]
    seconds = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    if values and not seconds:
        text = values[0][:40].decode("latin-1")
        return Err(f"given {text!r}, expected seconds as a decimal number")
    return Ok(min(max(seconds, default=0.0), MAX_BACKOFF_S) or None)


class _Backoff:
    """A backoff, and the requests since its end."""

    def __init__(self, *, until: float) -> None:
        self.until = until
        self.sent = 0
        self.answered = 0

    def has_returned(self, now: float) -> bool:
        """Whether the backend server gets requests without restriction again."""
        return now >= self.until + RETURN_S or self.answered >= ANSWERS_TO_RETURN

    def may_send(self, now: float) -> bool:
        """Whether a request may be sent: one at first, two more with each answer."""
        return now >= self.until and self.sent <= 2 * self.answered


class RequestedBackoffs:
    """The backend servers that want no requests from this instance for some time.

    Such a backend server works and can be reached: other answers, new connections or another path
    do not end its backoff. Only time does.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        """Initialise without any backoff.

        Args:
            metrics: Counts requested backoffs, and requests that were withheld at the last moment.
        """
        self._metrics = metrics
        self._backoffs: dict[str, _Backoff] = {}
        self._callbacks: list[Callable[[str, float], None]] = []

    @property
    def has_any(self) -> bool:
        """Whether any backend server may have requested a backoff that is not over."""
        return bool(self._backoffs)

    @property
    def in_force(self) -> int:
        """The number of backend servers that want no requests now."""
        now = trio.current_time()
        return sum(backoff.until > now for backoff in self._backoffs.values())

    def on_requested(self, callback: Callable[[str, float], None]) -> None:
        """Call ``callback`` with each backend server that requests a backoff, and its seconds."""
        self._callbacks.append(callback)

    def record(self, server: str, seconds: float, *, source: str) -> None:
        """Record that a backend server requests a backoff.

        Args:
            server: The start of the backend server.
            seconds: The duration from now; longer than ``MAX_BACKOFF_S`` counts as that.
            source: ``answer`` to this instance, or ``peer``.
        """
        if not seconds > 0:
            return
        now = trio.current_time()
        self._remove_ended(now)
        until = now + min(seconds, MAX_BACKOFF_S)
        known = self._backoffs.get(server)
        if known is not None and known.until >= until:
            return
        self._backoffs[server] = _Backoff(until=until)
        self._metrics.count(f"backoff.requested.{source}")
        log_event("backoff-requested", server=server, seconds=round(seconds, 3), source=source)
        for callback in self._callbacks:
            callback(server, until - now)

    def record_answer(self, server: str) -> None:
        """Record an answer of a backend server that does not request a backoff."""
        backoff = self._backoffs.get(server)
        if backoff is not None and trio.current_time() >= backoff.until:
            backoff.answered += 1

    def remaining_s(self, server: str) -> float:
        """Return the remaining seconds of a backend server's backoff; 0 if it has none."""
        backoff = self._backoffs.get(server)
        return max(0.0, backoff.until - trio.current_time()) if backoff is not None else 0.0

    def shortest_remaining_s(self, servers: Iterable[str]) -> float:
        """Return the seconds until the first of some backend servers takes requests again."""
        return min(map(self.remaining_s, servers), default=0.0)

    def may_send(self, server: str) -> bool:
        """Return whether a request may be sent to a backend server now."""
        backoff = self._backoffs.get(server)
        if backoff is None:
            return True
        now = trio.current_time()
        if backoff.has_returned(now):
            del self._backoffs[server]
            return True
        return backoff.may_send(now)

    def take(self, server: str) -> bool:
        """Count a request that is about to be sent; return False if it must not be sent."""
        if not self.may_send(server):
            self._metrics.count("backoff.withheld")
            return False
        backoff = self._backoffs.get(server)
        if backoff is not None:
            backoff.sent += 1
        return True

    def _remove_ended(self, now: float) -> None:
        ended = [server for server, backoff in self._backoffs.items() if backoff.has_returned(now)]
        for server in ended:
            del self._backoffs[server]

"""Whether this instance reaches the backend servers, by its own connections and by those of others.

A connection that can't be opened has two possible causes: the backend server, or this instance's
own path to all of them. One instance alone can't tell them apart. If others reach backend servers
that this one does not reach at the same moment, it is the path.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Final, NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.observe.log import log_event

MIN_SERVERS: Final = 2
"""The number of different backend servers whose failures make a path suspect, and that another
instance must reach for the verdict that this instance is isolated."""

FAILURE_WINDOW_S: Final = 3.0
"""Older failures do not count together with newer ones."""

MIN_RETURN_DELAY_S: Final = 1.0
MAX_RETURN_DELAY_S: Final = 8.0
"""Bounds of the time for which the direct path must work before it is used again. The time doubles
if the instance was isolated again within ``RELAPSE_S``, so that a path that comes and goes does not
make callers come and go."""

RELAPSE_S: Final = 20.0

MIN_SILENCE_S: Final = 1.0
"""No byte may have arrived from any backend server for this time for the verdict that none can be
reached."""


class Path(Enum):
    """How backend servers can be reached from this instance."""

    DIRECT = "direct"
    RELAYED = "relayed"
    """Only through other instances."""
    NONE = "none"
    """Neither directly nor through other instances."""


class PathCheck(NamedTuple):
    """The result of attempts to reach backend servers at the same time in both ways.

    Attributes:
        tried: The number of backend servers tried.
        direct: The number of those reached directly.
        relayed: The number of the others that were reached through other instances.
    """

    tried: int
    direct: int
    relayed: int


class Reachability:
    """Decides how this instance reaches backend servers."""

    def __init__(self) -> None:
        self._path = Path.DIRECT
        self._failures: dict[ServerStart, float] = {}
        self._heard_at = 0.0
        self._changed_at: float | None = None
        self._returned_at = float("-inf")
        self._return_delay_s = MIN_RETURN_DELAY_S
        self._direct_since: float | None = None
        self._suspected = trio.Event()
        self._callbacks: list[Callable[[], None]] = []

    @property
    def path(self) -> Path:
        """How backend servers can be reached now."""
        return self._path

    @property
    def heard_at(self) -> float:
        """The last time when a byte of a backend server arrived on a direct connection."""
        return self._heard_at

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, which must not block, after every change of ``path``."""
        self._callbacks.append(callback)

    def failed_servers(self) -> Sequence[ServerStart]:
        """Return the backend servers that could not be reached directly of late."""
        earliest = trio.current_time() - FAILURE_WINDOW_S
        self._failures = {start: at for start, at in self._failures.items() if at >= earliest}
        return list(self._failures)

    def is_suspect(self) -> bool:
        """Return whether the path of this instance, and not a backend server, may be at fault."""
        return len(self.failed_servers()) >= MIN_SERVERS

    async def wait_suspect(self) -> None:
        """Wait until the path becomes suspect."""
        await self._suspected.wait()

    def record_failure(self, start: ServerStart) -> None:
        """Record that no direct connection to a backend server opened, or a new one was reset."""
        self._failures[start] = trio.current_time()
        if self.is_suspect():
            self._suspected.set()
            self._suspected = trio.Event()

    def record_heard(self, *, on_new_connection: bool) -> None:
        """Record bytes that arrived on a direct connection.

        Args:
            on_new_connection: Whether they are the first on the connection. Connections that are
                already open may live on while no new one can be opened.
        """
        self._heard_at = trio.current_time()
        if on_new_connection:
            self._failures.clear()

    def record_check(self, check: PathCheck) -> None:
        """Record the result of a check, which may change the path."""
        if not check.tried:
            return
        if check.direct:
            self._failures.clear()
        if self._path is Path.RELAYED:
            self._record_check_of_return(check)
        elif check.direct:
            self._set_path(Path.DIRECT, check)
        elif check.relayed >= min(MIN_SERVERS, check.tried):
            self._set_path(Path.RELAYED, check)
        elif check.tried >= MIN_SERVERS and not check.relayed and self._is_silent():
            self._set_path(Path.NONE, check)

    def record_relays_lost(self, check: PathCheck) -> None:
        """Record that other instances reach no backend server any more, either."""
        if self._path is Path.RELAYED:
            self._set_path(Path.NONE, check)

    def _record_check_of_return(self, check: PathCheck) -> None:
        """End the isolation once a majority was reached directly for long enough."""
        if 2 * check.direct <= check.tried:
            self._direct_since = None
            return
        if self._direct_since is None:
            self._direct_since = trio.current_time()
        if trio.current_time() - self._direct_since >= self._return_delay_s:
            self._set_path(Path.DIRECT, check)

    def _is_silent(self) -> bool:
        return trio.current_time() - self._heard_at >= MIN_SILENCE_S

    def _set_path(self, path: Path, check: PathCheck) -> None:
        if path is self._path:
            return
        now = trio.current_time()
        log_event(
            "path-changed",
            level="INFO" if path is Path.DIRECT else "WARNING",
            path=path.value,
            before=self._path.value,
            for_s=round(now - self._changed_at, 2) if self._changed_at is not None else "",
            tried=check.tried,
            direct=check.direct,
            relayed=check.relayed,
            failed=",".join(start.server_id for start in self.failed_servers()),
        )
        if path is Path.RELAYED and self._path is Path.DIRECT:
            relapsed = now - self._returned_at < RELAPSE_S
            delay_s = 2 * self._return_delay_s if relapsed else MIN_RETURN_DELAY_S
            self._return_delay_s = min(MAX_RETURN_DELAY_S, delay_s)
        if path is Path.DIRECT:
            self._returned_at = now
        self._path = path
        self._changed_at = now
        self._direct_since = None
        self._failures.clear()
        for callback in self._callbacks:
            callback()

"""The backend servers that an instance could not reach lately."""

import trio

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.estimates import Estimates


class UnreachableServers:
    """Remembers which backend servers were unreachable, so that the others need no checks.

    An instance checks several times a second whether a backoff has expired, also on standby, and
    mostly every backend server can be reached.
    """

    def __init__(self, *, fleet: Fleet, estimates: Estimates) -> None:
        """Initialise without unreachable backend servers.

        Args:
            fleet: The backend servers.
            estimates: Has the backoff of each start of a backend server.
        """
        self._fleet = fleet
        self._estimates = estimates
        self._starts: dict[ServerStart, None] = {}
        self._recorded = trio.Event()

    @property
    def count(self) -> int:
        """The number of unreachable backend servers."""
        return len(self._current())

    def record(self, entry: ServerEntry, now: float) -> float:
        """Record a backend server as unreachable; return its backoff in seconds."""
        self._starts[entry.start] = None
        self._recorded.set()
        return self._estimates.load_of(entry).record_unreachable(now)

    def expired(self, now: float) -> list[ServerEntry]:
        """Return the unreachable backend servers whose backoff has expired."""
        return [entry for entry, until in self._current() if now >= until]

    async def wait_any(self) -> None:
        """Wait until a backend server may be unreachable."""
        if not self._starts:
            self._recorded = trio.Event()
            await self._recorded.wait()

    def _current(self) -> list[tuple[ServerEntry, float]]:
        """Return those of the fleet with the ends of their backoffs; forget those reached again."""
        current = []
        for start in list(self._starts):
            until = self._estimates.resting_until(start)
            if until is None:
                del self._starts[start]
                continue
            entry = self._fleet.entries.get(start.server_id)
            if entry is not None and entry.start == start:
                current.append((entry, until))
        return current

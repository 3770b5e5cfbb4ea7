"""Discards the estimates and connections of backend servers that are gone or have restarted."""

from collections.abc import Awaitable, Callable

import trio

from wagtailpoint.discovery.entries import ServerStart


class RemovedServers:
    """Collects the ended starts of backend servers, and discards them in a task of its own.

    Connections are closed in that task, so that an entry's removal is applied without waiting.
    """

    def __init__(self, *, discard: Callable[[ServerStart], Awaitable[None]]) -> None:
        """Initialise without any ended start.

        Args:
            discard: Discards all that is known of a start.
        """
        self._discard = discard
        self._starts: list[ServerStart] = []
        self._some = trio.Event()

    def record(self, start: ServerStart) -> None:
        """Record that a start has ended."""
        self._starts.append(start)
        self._some.set()

    async def run(self) -> None:
        """Discard ended starts until cancelled."""
        while True:
            await self._some.wait()
            self._some = trio.Event()
            starts, self._starts = self._starts, []
            for start in starts:
                await self._discard(start)

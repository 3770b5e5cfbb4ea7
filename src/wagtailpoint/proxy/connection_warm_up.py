"""Connections to far backend servers that stand ready when the first requests come."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.distances import Distances
from wagtailpoint.proxy.backend_pool import MIN_SPARE_ROUND_TRIP_S, BackendPool
from wagtailpoint.rendezvous import rendezvous_score

WARM_UP_DURATION_S: Final = 15.0
"""So long after the start connections are kept ready: callers may come at once, as after a restart,
or within seconds, as when a whole deployment starts. Later requests themselves keep some open."""

WARM_UP_DELAY_S: Final = 1.0
"""So long after the start an instance has met the others. Until then each takes itself for the one
that callers are told to use."""

CHECK_INTERVAL_S: Final = 0.5

MAX_WARM_SERVERS: Final = 64
"""Backend servers to which connections are kept ready. In a large deployment an instance uses each
of hundreds now and then, and most of these connections would close unused."""


class ConnectionWarmUp:
    """Keeps a connection ready to each far backend server for a while after the start.

    A request that has to open its own waits a round trip more, which may be most of its objective.
    """

    def __init__(
        self,
        *,
        entries: Callable[[], Iterable[ServerEntry]],
        pool: BackendPool,
        distances: Distances,
        is_entry: Callable[[], bool],
        random: Random,
    ) -> None:
        """Make it.

        Args:
            entries: The backend servers.
            pool: Opens and keeps the connections.
            distances: Which of them are far.
            is_entry: Whether callers are told to use this instance: nobody else needs any.
            random: Chooses some of very many.
        """
        self._entries = entries
        self._pool = pool
        self._distances = distances
        self._is_entry = is_entry
        self._seed = str(random.random())

    async def run(self) -> None:
        """Keep connections ready until some time after the start."""
        end = trio.current_time() + WARM_UP_DURATION_S
        await trio.sleep(WARM_UP_DELAY_S)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                for entry in self._without_spare() if self._is_entry() else ():
                    nursery.start_soon(self._pool.open_spare, entry, "after-start")
                await trio.sleep(CHECK_INTERVAL_S)

    def _without_spare(self) -> list[ServerEntry]:
        far = [entry for entry in self._entries() if self._is_far(entry) and not entry.draining]
        if len(far) > MAX_WARM_SERVERS:
            # The same ones each time, as far as they are still there.
            far.sort(key=lambda entry: rendezvous_score(self._seed, entry.server_id))
            far = far[:MAX_WARM_SERVERS]
        return [entry for entry in far if not self._pool.has_spare(entry)]

    def _is_far(self, entry: ServerEntry) -> bool:
        return self._distances.round_trip_s(entry.failure_domain) >= MIN_SPARE_ROUND_TRIP_S

"""Connections to far backend servers that stand ready when the first requests come."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.distances import Distances
from wagtailpoint.proxy.backend_pool import SPARE_ROUND_TRIP_S, BackendPool
from wagtailpoint.rendezvous import rendezvous_score

WARM_UP_S: Final = 15.0
"""So long after the start connections are kept ready: callers may come at once, as after a restart,
or within seconds, as when a whole deployment starts. Later requests themselves keep some open."""

FIRST_LOOK_S: Final = 1.0
"""So long after the start an instance has met the others. Until then each takes itself for the one
that callers are told to use."""

LOOK_INTERVAL_S: Final = 0.5

MOST_WARM: Final = 64
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
        end = trio.current_time() + WARM_UP_S
        await trio.sleep(FIRST_LOOK_S)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                for entry in self._without_spare() if self._is_entry() else ():
                    nursery.start_soon(self._pool.open_spare, entry, "after-start")
                await trio.sleep(LOOK_INTERVAL_S)

    def _without_spare(self) -> list[ServerEntry]:
        far = [each for each in self._entries() if self._is_far(each) and not each.draining]
        if len(far) > MOST_WARM:
            # The same ones each time, as far as they are still there.
            far.sort(key=lambda each: rendezvous_score(self._seed, each.server_id))
            far = far[:MOST_WARM]
        return [each for each in far if not self._pool.has_spare(each)]

    def _is_far(self, entry: ServerEntry) -> bool:
        return self._distances.round_trip_s(entry.failure_domain) >= SPARE_ROUND_TRIP_S

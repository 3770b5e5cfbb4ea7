"""Opens connections to remote backend servers before the first requests need them."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.distances import Distances
from wagtailpoint.proxy.backend_pool import MIN_SPARE_ROUND_TRIP_S, BackendPool
from wagtailpoint.rendezvous import rendezvous_score

WARM_UP_DURATION_S: Final = 15.0
"""Time after the start for which connections are kept open. Callers send requests at once after a
restart, or within seconds when a whole deployment starts. Later, the requests themselves keep
connections open."""

WARM_UP_DELAY_S: Final = 1.0
"""Time within which a new instance discovers other members. Until then every instance takes itself
for an entry."""

CHECK_INTERVAL_S: Final = 0.5

MAX_WARM_SERVERS: Final = 64
"""Maximum number of backend servers to which connections are kept open. In a large deployment an
instance uses each of hundreds of backend servers only occasionally, and most of the connections
would be closed unused."""


class ConnectionWarmUp:
    """Keeps an idle connection to each remote backend server for a while after the start.

    A request that opens its own connection waits for one more round trip, which may be most of its
    latency objective.
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
        """Initialise the warm-up.

        Args:
            entries: Returns the backend servers.
            pool: Opens the connections and keeps them.
            distances: Gives the round trip times.
            is_entry: Returns whether lookups direct callers to this instance; other instances need
                no connections.
            random: Seeds the selection if there are more than ``MAX_WARM_SERVERS``.
        """
        self._entries = entries
        self._pool = pool
        self._distances = distances
        self._is_entry = is_entry
        self._seed = str(random.random())

    async def run(self) -> None:
        """Keep connections open until the end of the warm-up."""
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
            # Selects the same backend servers at each check, as long as they exist.
            far.sort(key=lambda entry: rendezvous_score(self._seed, entry.server_id))
            far = far[:MAX_WARM_SERVERS]
        return [entry for entry in far if not self._pool.has_spare(entry)]

    def _is_far(self, entry: ServerEntry) -> bool:
        return self._distances.round_trip_s(entry.failure_domain) >= MIN_SPARE_ROUND_TRIP_S

"""Opens a connection to backend servers that could not be reached, before requests go there."""

from random import Random
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.observe.log import log_event
from wagtailpoint.placement.placement import Placement
from wagtailpoint.proxy.backend_pool import BackendPool

CHECK_INTERVAL_S: Final = 0.2


class ReachabilityProbe:
    """Tries backend servers that have rested after a failure to reach them.

    Without it requests are what tries them: each instance lost one to each dead server in every
    half second to four.
    """

    def __init__(self, *, placement: Placement, pool: BackendPool, random: Random) -> None:
        """Make it.

        Args:
            placement: Knows who rests.
            pool: Opens the connections, and keeps them for requests.
            random: For the jitter.
        """
        self._placement = placement
        self._pool = pool
        self._random = random

    async def run(self) -> None:
        """Try them until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for entry in self._placement.servers_to_probe():
                    # Until the outcome is known it must not be tried twice.
                    self._placement.record_unreachable(entry)
                    nursery.start_soon(self._probe, entry)
                await trio.sleep(CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))

    async def _probe(self, entry: ServerEntry) -> None:
        reached = await self._pool.open_spare(entry, "after-failure") is None
        if reached:
            self._placement.record_reachable(entry)
        log_event("server-tried", server=entry.server_id, reached=reached)

"""Measures how far each failure domain is before requests are sent there."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.distances import Distances
from wagtailpoint.proxy.backend_pool import BackendPool

PROBE_INTERVAL_S: Final = 1.0
"""Backend servers become known within a second or two of the start, before callers come."""


class RoundTripProbe:
    """Opens one connection to each failure domain whose distance is not known.

    Without it the first requests would be placed by assumed round trips, and a region that turns
    out to be near would be given many requests of others all at once, two seconds later: where
    requests run would shift suddenly. The connections are kept for the first requests.
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
            distances: Learns how long they took.
            is_entry: Whether callers are told to use this instance: nobody else sends anything.
            random: Chooses the backend server: one that can't be reached is not asked each time.
        """
        self._entries = entries
        self._pool = pool
        self._distances = distances
        self._is_entry = is_entry
        self._random = random

    async def run(self) -> None:
        """Measure what is not known, until cancelled."""
        while True:
            # Before the first look, too: who starts is an entry to itself until it meets others.
            await trio.sleep(PROBE_INTERVAL_S)
            async with trio.open_nursery() as nursery:
                for entry in self._unmeasured() if self._is_entry() else ():
                    nursery.start_soon(self._pool.open_spare, entry, "distance")

    def _unmeasured(self) -> Iterable[ServerEntry]:
        """One backend server of each failure domain that is not measured."""
        by_domain: dict[str, list[ServerEntry]] = {}
        for entry in self._entries():
            if not self._distances.is_measured(entry.failure_domain):
                by_domain.setdefault(entry.failure_domain, []).append(entry)
        return [self._random.choice(entries) for entries in by_domain.values()]

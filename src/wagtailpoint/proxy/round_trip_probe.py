"""Measures the round trip time to each failure domain before requests are sent there."""

from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.distances import Distances
from wagtailpoint.proxy.backend_pool import BackendPool

PROBE_INTERVAL_S: Final = 1.0
"""Backend servers become known within 1 to 2 s of the start, before callers send requests."""


class RoundTripProbe:
    """Opens one connection to each failure domain whose round trip time is not known.

    Without these measurements the first requests would be placed by assumed round trip times. Two
    seconds later, a region found to be nearer than assumed would suddenly receive many requests of
    other regions. The connections stay in the pool for the first requests.
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
        """Initialise the probe.

        Args:
            entries: Returns the backend servers.
            pool: Opens the connections and keeps them.
            distances: Records the measured times.
            is_entry: Returns whether lookups direct callers to this instance; other instances send
                no requests.
            random: Chooses the backend server, so that an unreachable one is not chosen each time.
        """
        self._entries = entries
        self._pool = pool
        self._distances = distances
        self._is_entry = is_entry
        self._random = random

    async def run(self) -> None:
        """Probe failure domains without a measurement until cancelled."""
        while True:
            # Also before the first probe: a new instance takes itself for an entry until it has
            # discovered other members.
            await trio.sleep(PROBE_INTERVAL_S)
            async with trio.open_nursery() as nursery:
                for entry in self._unmeasured() if self._is_entry() else ():
                    nursery.start_soon(self._pool.open_spare, entry, "distance")

    def _unmeasured(self) -> Iterable[ServerEntry]:
        """Return one backend server of each failure domain without a measurement."""
        by_domain: dict[str, list[ServerEntry]] = {}
        for entry in self._entries():
            if not self._distances.is_measured(entry.failure_domain):
                by_domain.setdefault(entry.failure_domain, []).append(entry)
        return [self._random.choice(entries) for entries in by_domain.values()]

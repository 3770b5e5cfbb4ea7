"""Finding the first other members, and those lost behind a cut."""

from collections.abc import Callable, Sequence
from random import Random

import trio

from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.membership.view_sync import ViewSynchroniser
from wagtailpoint.ports.peers import ANY_INCARNATION, PeerAddress

JOIN_INTERVAL_S = 0.2


class Reconnector:
    """Asks, slowly and for as long as they are remembered, whether the dead live again.

    Args:
        table: The view of this instance.
        comparer: Compares views with whoever answers.
        random: Chooses the order.
        seeds: Where to look for the first other members.
        hints: Reads addresses from the platform's list.
        settings: Times and numbers.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        synchroniser: ViewSynchroniser,
        random: Random,
        seeds: Sequence[PeerAddress],
        hints: Callable[[], Sequence[PeerAddress]],
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._synchroniser = synchroniser
        self._random = random
        self._seeds = tuple(seeds)
        self._hints = hints
        self._settings = settings
        self._queue: list[PeerAddress] = []

    async def run(self) -> None:
        """Ask one after the other until cancelled."""
        while True:
            peer = self._next_candidate()
            if peer is not None and await self._synchroniser.sync(peer):
                continue
            joined = bool(self._table.reachable())
            period_s = self._settings.retry_interval_s if joined else JOIN_INTERVAL_S
            await trio.sleep(period_s * self._random.uniform(0.8, 1.2))

    def _next_candidate(self) -> PeerAddress | None:
        if not self._queue:
            self._queue = self._find_candidates()
        return self._queue.pop() if self._queue else None

    def _find_candidates(self) -> list[PeerAddress]:
        known = {fact.address for fact in self._table.reachable()} | {self._table.own.address}
        candidates = {fact.address: fact.peer_address for fact in self._table.dead()}
        for peer in (*self._seeds, *self._hints()):
            candidates.setdefault(peer.address, peer)
        queue = [
            # Whoever listens there now may be another process than the one that died.
            peer._replace(incarnation=ANY_INCARNATION)
            for address, peer in candidates.items()
            if address not in known
        ]
        self._random.shuffle(queue)
        return queue

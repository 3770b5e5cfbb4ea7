"""Finding the first other members, and those lost behind a cut."""

from collections.abc import Callable, Sequence
from random import Random

import trio

from wagtailpoint.membership.comparing import ViewComparer
from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.ports.peers import ANY_INCARNATION, PeerAddress

JOIN_INTERVAL_S = 0.2


class LostFinder:
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
        comparer: ViewComparer,
        random: Random,
        seeds: Sequence[PeerAddress],
        hints: Callable[[], Sequence[PeerAddress]],
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._comparer = comparer
        self._random = random
        self._seeds = tuple(seeds)
        self._hints = hints
        self._settings = settings
        self._order: list[PeerAddress] = []

    async def run(self) -> None:
        """Ask one after the other until cancelled."""
        while True:
            to = self._next_lost()
            if to is not None and await self._comparer.sync(to):
                continue
            joined = bool(self._table.reachable())
            period_s = self._settings.retry_interval_s if joined else JOIN_INTERVAL_S
            await trio.sleep(period_s * self._random.uniform(0.8, 1.2))

    def _next_lost(self) -> PeerAddress | None:
        if not self._order:
            self._order = self._lost()
        return self._order.pop() if self._order else None

    def _lost(self) -> list[PeerAddress]:
        known = {fact.address for fact in self._table.reachable()} | {self._table.own.address}
        lost = {fact.address: fact.peer_address for fact in self._table.dead()}
        for place in (*self._seeds, *self._hints()):
            lost.setdefault(place.address, place)
        order = [
            # Whoever listens there now may be another process than the one that died.
            place._replace(incarnation=ANY_INCARNATION)
            for address, place in lost.items()
            if address not in known
        ]
        self._random.shuffle(order)
        return order

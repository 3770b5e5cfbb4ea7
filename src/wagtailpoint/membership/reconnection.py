"""Contact with the first other members, and with those lost during a network partition."""

from collections.abc import Callable, Sequence
from random import Random

import trio

from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.membership.view_sync import ViewSynchroniser
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import ANY_INCARNATION, PeerAddress

JOIN_INTERVAL_S = 0.2
MAX_JOIN_INTERVAL_S = 1.0


class Reconnector:
    """Contacts seeds, listed instances and dead members in turn, to find those that are alive.

    While no other member is reachable, the next candidate is contacted without waiting for the
    answer of the previous one, so that candidates that are down do not hold up the join. Once a
    member is reachable, the others are contacted at a low rate for as long as the table keeps them.

    Args:
        table: The view of this instance.
        synchroniser: Synchronises the view with a member that answers.
        random: Chooses the order and varies the intervals.
        seeds: The configured addresses of the first other members.
        hints: Returns the addresses in the platform's list of instances.
        settings: Intervals and time-outs.
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
        """Contact candidates until cancelled."""
        while True:
            if not self._table.reachable():
                await self._join()
            peer = self._next_candidate()
            if peer is not None and await self._synchroniser.sync(peer):
                continue
            await trio.sleep(self._settings.retry_interval_s * self._random.uniform(0.8, 1.2))

    async def _join(self) -> None:
        """Contact candidates at growing intervals until a member is reachable."""
        alone_since = trio.current_time()
        interval_s = JOIN_INTERVAL_S
        async with trio.open_nursery() as nursery:
            while not self._table.reachable():
                peer = self._next_candidate()
                if peer is not None:
                    nursery.start_soon(self._synchroniser.sync, peer)
                await trio.sleep(interval_s * self._random.uniform(0.8, 1.2))
                interval_s = min(2 * interval_s, MAX_JOIN_INTERVAL_S)
            log_event(
                "joined",
                members=len(self._table.reachable()) + 1,
                alone_s=round(trio.current_time() - alone_since, 3),
            )

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
            # The process that listens there may be another one than the process that died.
            peer._replace(incarnation=ANY_INCARNATION)
            for address, peer in candidates.items()
            if address not in known
        ]
        self._random.shuffle(queue)
        return queue

"""Comparing views: two members exchange what differs, when news did not reach everybody."""

from random import Random

import trio
from result import Err, Ok

from wagtailpoint.membership.change import News
from wagtailpoint.membership.messages import Gossip, SyncReply, SyncRequest
from wagtailpoint.membership.news import NewsTeller
from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.ports.peers import PeerAddress, Peers, Received

MOST_FACTS_SYNCED = 400
MOST_SYNC_ROUNDS = 8


class ViewComparer:
    """Compares the own view with that of a member that has another one.

    Args:
        table: The view of this instance.
        teller: Takes in what the other one knew better.
        peers: The links to the others.
        random: Spreads the comparisons over time.
        settings: Times and numbers.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        teller: NewsTeller,
        peers: Peers,
        random: Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._teller = teller
        self._peers = peers
        self._random = random
        self._settings = settings
        self._sync_with: PeerAddress | None = None
        self._sync_hash = 0
        self._sync_wanted = trio.Event()
        peers.handle(SyncRequest, self._on_sync)

    def note_hash(self, view_hash: int, *, sender: PeerAddress) -> None:
        """Take note of the hash of somebody's view."""
        if view_hash != self._table.view_hash:
            self._sync_with, self._sync_hash = sender, view_hash
            self._sync_wanted.set()

    async def run(self) -> None:
        """Compare views that stay different, until cancelled."""
        while True:
            await self._sync_wanted.wait()
            self._sync_wanted = trio.Event()
            await self._wait_for_quiet()
            # News that arrived meanwhile may have made both views the same.
            if self._sync_with is not None and self._sync_hash != self._table.view_hash:
                await self.sync(self._sync_with)

    async def _wait_for_quiet(self) -> None:
        # While news is on its way views differ in many places, and comparing them would move all
        # that the news brings anyway.
        with trio.move_on_after(self._settings.sync_interval_s):
            quiet = False
            while not quiet:
                await trio.sleep(self._settings.quiet_s * self._random.uniform(0.8, 1.2))
                quiet = not self._table.has_news

    async def sync(self, to: PeerAddress) -> bool:
        """Exchange with one member what differs; True if it answered."""
        for _ in range(MOST_SYNC_ROUNDS):
            request = SyncRequest(self._table.own, self._table.buckets)
            timeout_s = 2 * self._settings.reply_timeout_s
            match await self._peers.request(to, request, timeout_s=timeout_s):
                case Ok(SyncReply() as reply):
                    self._take_sync(to, reply)
                    if reply.complete:
                        return True
                case Err(_):
                    return False
        return True

    def _take_sync(self, to: PeerAddress, reply: SyncReply) -> None:
        mine = self._table.in_buckets_unlike(reply.buckets)
        theirs = {fact.address: fact for fact in reply.facts}
        self._teller.apply(News(reply.facts, ()))
        lacking = [
            fact
            for fact in mine
            if fact.address not in theirs or fact.order > theirs[fact.address].order
        ]
        if lacking:
            self._peers.send(to, Gossip(News(tuple(lacking[:MOST_FACTS_SYNCED]), ())))

    def _on_sync(self, received: Received) -> SyncReply:
        request = received.message
        self._teller.apply(News((request.own,), ()))
        facts = self._table.in_buckets_unlike(request.buckets)
        self._random.shuffle(facts)
        return SyncReply(
            facts=tuple(facts[:MOST_FACTS_SYNCED]),
            buckets=self._table.buckets,
            complete=len(facts) <= MOST_FACTS_SYNCED,
        )

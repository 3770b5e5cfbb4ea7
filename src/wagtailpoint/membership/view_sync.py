"""Anti-entropy: two members with different views exchange the facts in which they differ."""

from random import Random

import trio
from result import Err, Ok

from wagtailpoint.membership.change import News
from wagtailpoint.membership.gossip import Gossiper
from wagtailpoint.membership.messages import Gossip, SyncReply, SyncRequest
from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.ports.peers import PeerAddress, Peers, Received

MAX_FACTS_PER_SYNC = 400
MAX_SYNC_ROUNDS = 8


class ViewSynchroniser:
    """Synchronises the view of this instance with that of a member whose view differs.

    Args:
        table: The view of this instance.
        gossiper: Applies the facts that were newer at the other member.
        peers: The links to the other instances.
        random: Varies the times of synchronisation, and the choice of facts if not all fit.
        settings: Intervals, time-outs and limits.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        gossiper: Gossiper,
        peers: Peers,
        random: Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._gossiper = gossiper
        self._peers = peers
        self._random = random
        self._settings = settings
        self._sync_peer: PeerAddress | None = None
        self._peer_hash = 0
        self._sync_wanted = trio.Event()
        peers.handle(SyncRequest, self._on_sync)

    def record_view_hash(self, view_hash: int, *, sender: PeerAddress) -> None:
        """Record the hash of a peer's view, and request a synchronisation if it differs."""
        if view_hash != self._table.view_hash:
            self._sync_peer, self._peer_hash = sender, view_hash
            self._sync_wanted.set()

    async def run(self) -> None:
        """Synchronise with peers whose views stay different, until cancelled."""
        while True:
            await self._sync_wanted.wait()
            self._sync_wanted = trio.Event()
            await self._wait_for_quiet()
            # News that arrived meanwhile may have made both views equal.
            if self._sync_peer is not None and self._peer_hash != self._table.view_hash:
                await self.sync(self._sync_peer)

    async def _wait_for_quiet(self) -> None:
        # While gossip is still spreading, views differ in many places, and a synchronisation would
        # transfer what the gossip delivers anyway.
        with trio.move_on_after(self._settings.sync_interval_s):
            quiet = False
            while not quiet:
                await trio.sleep(self._settings.quiet_s * self._random.uniform(0.8, 1.2))
                quiet = not self._table.has_news

    async def sync(self, peer: PeerAddress) -> bool:
        """Exchange differing facts with one member; return whether it answered."""
        for _ in range(MAX_SYNC_ROUNDS):
            request = SyncRequest(self._table.own, self._table.buckets)
            timeout_s = 2 * self._settings.reply_timeout_s
            match await self._peers.request(peer, request, timeout_s=timeout_s):
                case Ok(SyncReply() as reply):
                    self._apply_reply(peer, reply)
                    if reply.complete:
                        return True
                case Err(_):
                    return False
        return True

    def _apply_reply(self, peer: PeerAddress, reply: SyncReply) -> None:
        own_facts = self._table.facts_in_differing_buckets(reply.buckets)
        peer_facts = {fact.address: fact for fact in reply.facts}
        self._gossiper.apply(News(reply.facts, ()))
        missing_at_peer = [
            fact
            for fact in own_facts
            if fact.address not in peer_facts or fact.recency > peer_facts[fact.address].recency
        ]
        if missing_at_peer:
            self._peers.send(peer, Gossip(News(tuple(missing_at_peer[:MAX_FACTS_PER_SYNC]), ())))

    def _on_sync(self, received: Received) -> SyncReply:
        request = received.message
        self._gossiper.apply(News((request.own,), ()))
        facts = self._table.facts_in_differing_buckets(request.buckets)
        self._random.shuffle(facts)
        return SyncReply(
            facts=tuple(facts[:MAX_FACTS_PER_SYNC]),
            buckets=self._table.buckets,
            complete=len(facts) <= MAX_FACTS_PER_SYNC,
        )

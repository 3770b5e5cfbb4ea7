"""Failure detection: probes one member per period, directly and then through other members."""

from math import log10
from random import Random

import trio
from result import Ok

from wagtailpoint.membership.gossip import Gossiper
from wagtailpoint.membership.member import Fact
from wagtailpoint.membership.messages import Ack, IndirectPing, IndirectPingResult, Ping
from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.membership.view_sync import ViewSynchroniser
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import PeerAddress, Peers, Received


class Prober:
    """Probes the other members in turn, suspects those that do not answer, and declares deaths.

    Args:
        table: The view of this instance.
        gossiper: Supplies the updates to piggyback and applies received ones.
        synchroniser: Records the view hashes of other members.
        peers: The links to the other instances.
        random: Chooses the order of probes, and the members for indirect probes.
        settings: Intervals, time-outs and limits.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        gossiper: Gossiper,
        synchroniser: ViewSynchroniser,
        peers: Peers,
        random: Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._gossiper = gossiper
        self._synchroniser = synchroniser
        self._peers = peers
        self._random = random
        self._settings = settings
        self._queue: list[str] = []
        self._ping_requests: list[tuple[Received, PeerAddress]] = []
        self._ping_requested = trio.Event()
        peers.handle(Ping, self._on_ping)
        peers.handle(IndirectPing, self._on_indirect_ping)

    async def run(self) -> None:
        """Probe members, and serve requests for indirect probes, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_members)
            nursery.start_soon(self._serve_ping_requests, nursery)

    async def _probe_members(self) -> None:
        interval_s = self._settings.heartbeat_interval_s
        while True:
            next_at = trio.current_time() + interval_s * self._random.uniform(0.8, 1.2)
            fact = self._next_to_probe()
            if fact is not None:
                await self._probe(fact)
            self._declare_deaths()
            self._table.expire_dead(retention_s=self._settings.forget_dead_s)
            await trio.sleep_until(next_at)

    def _next_to_probe(self) -> Fact | None:
        for _ in range(2):
            while self._queue:
                address = self._queue.pop()
                fact = self._table.fact(address)
                if fact is not None and not self._table.is_dead(address):
                    return fact
            self._queue = [fact.address for fact in self._table.reachable()]
            self._random.shuffle(self._queue)
        return None

    async def _probe(self, fact: Fact) -> None:
        if await self._ping(fact.peer_address) or await self._ping_indirectly(fact):
            return
        before = self._table.fact(fact.address)
        self._table.suspect(fact)
        if self._table.fact(fact.address) != before:
            self._gossiper.notify_change()

    async def _ping(self, peer: PeerAddress) -> bool:
        """Ping one process; return whether it answered."""
        ping = Ping(self._gossiper.piggyback(peer.address), self._table.view_hash)
        match await self._peers.request(peer, ping, timeout_s=self._settings.reply_timeout_s):
            case Ok(Ack() as ack):
                self._apply_message(ack, sender=peer)
                return True
            case _:
                return False

    async def _ping_indirectly(self, fact: Fact) -> bool:
        """Ask other members to ping a member; return whether it answered any of them.

        The member may be alive even if the link between it and this instance is broken.
        """
        others = [other for other in self._table.reachable() if other.address != fact.address]
        helpers = self._random.sample(others, min(self._settings.indirect_probes, len(others)))
        answered = False
        async with trio.open_nursery() as nursery:

            async def ping_through(helper: Fact) -> None:
                nonlocal answered
                request = IndirectPing(fact.address, fact.peer_port, fact.incarnation)
                timeout_s = 2.5 * self._settings.reply_timeout_s
                match await self._peers.request(helper.peer_address, request, timeout_s=timeout_s):
                    case Ok(IndirectPingResult(answered=True)):
                        answered = True
                        nursery.cancel_scope.cancel()

            for helper in helpers:
                nursery.start_soon(ping_through, helper)
        return answered

    def _declare_deaths(self) -> None:
        scale = max(1.0, log10(len(self._table.members)))
        suspicion_s = self._settings.suspicion_periods * self._settings.heartbeat_interval_s * scale
        for fact in self._table.declare_deaths(suspicion_s=suspicion_s):
            log_event("member-dead", address=fact.address, incarnation=fact.incarnation)
            self._gossiper.notify_change()

    def _apply_message(self, message: Ping | Ack, *, sender: PeerAddress) -> None:
        self._gossiper.apply(message.news)
        self._synchroniser.record_view_hash(message.view_hash, sender=sender)

    def _on_ping(self, received: Received) -> Ack:
        self._apply_message(received.message, sender=received.sender)
        return Ack(self._gossiper.piggyback(received.sender.address), self._table.view_hash)

    def _on_indirect_ping(self, received: Received) -> None:
        request = received.message
        target = PeerAddress(request.address, request.peer_port, request.incarnation)
        self._ping_requests.append((received, target))
        self._ping_requested.set()

    async def _serve_ping_requests(self, nursery: trio.Nursery) -> None:
        while True:
            await self._ping_requested.wait()
            self._ping_requested = trio.Event()
            queue, self._ping_requests = self._ping_requests, []
            for received, target in queue:
                nursery.start_soon(self._serve_ping_request, received, target)

    async def _serve_ping_request(self, received: Received, target: PeerAddress) -> None:
        answered = await self._ping(target)
        self._peers.reply(received, IndirectPingResult(answered))

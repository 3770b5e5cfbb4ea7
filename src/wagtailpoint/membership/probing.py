"""Probing: each period one other member, directly and then through others."""

from math import log10
from random import Random

import trio
from result import Ok

from wagtailpoint.membership.comparing import ViewComparer
from wagtailpoint.membership.member import Fact
from wagtailpoint.membership.messages import Ack, Ping, PingFor, PingForResult
from wagtailpoint.membership.news import NewsTeller
from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import PeerAddress, Peers, Received


class Prober:
    """Asks the others in turn whether they live, and concludes deaths.

    Args:
        table: The view of this instance.
        teller: Gives the news that goes along.
        comparer: Is told when the view of the other one differs.
        peers: The links to the others.
        random: Chooses the order, and who helps.
        settings: Times and numbers.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        teller: NewsTeller,
        comparer: ViewComparer,
        peers: Peers,
        random: Random,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._teller = teller
        self._comparer = comparer
        self._peers = peers
        self._random = random
        self._settings = settings
        self._order: list[str] = []
        self._asked: list[tuple[Received, PeerAddress]] = []
        self._asked_some = trio.Event()
        peers.handle(Ping, self._on_ping)
        peers.handle(PingFor, self._on_ping_for)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_members)
            nursery.start_soon(self._probe_for_others, nursery)

    async def _probe_members(self) -> None:
        interval_s = self._settings.heartbeat_interval_s
        while True:
            next_at = trio.current_time() + interval_s * self._random.uniform(0.8, 1.2)
            fact = self._next_to_probe()
            if fact is not None:
                await self._probe(fact)
            self._conclude_deaths()
            self._table.forget(dead_s=self._settings.forget_dead_s)
            await trio.sleep_until(next_at)

    def _next_to_probe(self) -> Fact | None:
        for _ in range(2):
            while self._order:
                address = self._order.pop()
                fact = self._table.fact(address)
                if fact is not None and not self._table.is_dead(address):
                    return fact
            self._order = [fact.address for fact in self._table.reachable()]
            self._random.shuffle(self._order)
        return None

    async def _probe(self, fact: Fact) -> None:
        if await self._ping(fact.peer_address) or await self._ping_by_others(fact):
            return
        before = self._table.fact(fact.address)
        self._table.suspect(fact)
        if self._table.fact(fact.address) != before:
            self._teller.note_change()

    async def _ping(self, to: PeerAddress) -> bool:
        """Ping one address; True if it answered."""
        ping = Ping(self._teller.piggyback(to.address), self._table.view_hash)
        match await self._peers.request(to, ping, timeout_s=self._settings.reply_timeout_s):
            case Ok(Ack() as ack):
                self._take_in(ack, sender=to)
                return True
            case _:
                return False

    async def _ping_by_others(self, fact: Fact) -> bool:
        """Ask others to ping a member: only the link from here to it may be cut."""
        others = [other for other in self._table.reachable() if other.address != fact.address]
        helpers = self._random.sample(others, min(self._settings.indirect_probes, len(others)))
        answered = False
        async with trio.open_nursery() as nursery:

            async def ask(helper: Fact) -> None:
                nonlocal answered
                question = PingFor(fact.address, fact.peer_port, fact.incarnation)
                timeout_s = 2.5 * self._settings.reply_timeout_s
                match await self._peers.request(helper.peer_address, question, timeout_s=timeout_s):
                    case Ok(PingForResult(answered=True)):
                        answered = True
                        nursery.cancel_scope.cancel()

            for helper in helpers:
                nursery.start_soon(ask, helper)
        return answered

    def _conclude_deaths(self) -> None:
        scale = max(1.0, log10(len(self._table.members)))
        suspicion_s = self._settings.suspicion_periods * self._settings.heartbeat_interval_s * scale
        for fact in self._table.conclude_deaths(suspicion_s=suspicion_s):
            log_event("member-dead", address=fact.address, incarnation=fact.incarnation)
            self._teller.note_change()

    def _take_in(self, message: Ping | Ack, *, sender: PeerAddress) -> None:
        self._teller.apply(message.news)
        self._comparer.note_hash(message.view_hash, sender=sender)

    def _on_ping(self, received: Received) -> Ack:
        self._take_in(received.message, sender=received.sender)
        return Ack(self._teller.piggyback(received.sender.address), self._table.view_hash)

    def _on_ping_for(self, received: Received) -> None:
        question = received.message
        target = PeerAddress(question.address, question.peer_port, question.incarnation)
        self._asked.append((received, target))
        self._asked_some.set()

    async def _probe_for_others(self, nursery: trio.Nursery) -> None:
        while True:
            await self._asked_some.wait()
            self._asked_some = trio.Event()
            queue, self._asked = self._asked, []
            for received, target in queue:
                nursery.start_soon(self._probe_for_other, received, target)

    async def _probe_for_other(self, received: Received, target: PeerAddress) -> None:
        answered = await self._ping(target)
        self._peers.reply(received, PingForResult(answered))

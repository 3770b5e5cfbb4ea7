"""The tasks of the membership: probing, telling news on, comparing views, finding lost members.

The cost for each instance does not grow with their number: each probes one other a period (SWIM,
Das, Gupta and Motivala 2002), and tells only changes on.
"""

from collections.abc import Callable, Sequence
from math import log10
from random import Random
from typing import NamedTuple

import trio
from loguru import logger
from result import Err, Ok

from wagtailpoint.membership.change import News, change_of, unpack_address
from wagtailpoint.membership.member import Fact, Member, MemberState
from wagtailpoint.membership.messages import (
    Ack,
    Gossip,
    Ping,
    PingFor,
    PingForResult,
    SyncReply,
    SyncRequest,
)
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress, Peers, Received

MOST_NEWS_PIGGYBACKED = 6
MOST_NEWS_PUSHED = 60
MOST_FACTS_SYNCED = 400
MOST_SYNC_ROUNDS = 8
NO_NEWS = News((), ())


class MembershipSettings(NamedTuple):
    """The times and numbers of the membership.

    Attributes:
        heartbeat_interval_s: Each instance probes one other in each such period.
        reply_timeout_s: How long an answer to a probe may take; more than a round trip between
            the regions furthest apart.
        indirect_probes: How many others are asked to probe whom gives no answer.
        suspicion_periods: How many periods a suspect has to speak up; times the decimal logarithm
            of the number of members if that is above 1, as news then takes longer.
        push_delay_s: News waits this long for more before it is told on.
        push_fanout: How many members are told at once.
        gossip_copies: How often one instance tells a piece of news on, at most.
        sync_interval_s: The least time between two comparisons of views that differ.
        retry_interval_s: In each such period one of the dead, the seeds and the platform's list
            that is not known to live is asked whether it does.
        forget_dead_s: How long the dead are remembered, and retried.
        load_step: The load is told on when it has moved by this much.
    """

    heartbeat_interval_s: float = 1.0
    reply_timeout_s: float = 0.4
    indirect_probes: int = 3
    suspicion_periods: float = 3.0
    push_delay_s: float = 0.1
    push_fanout: int = 3
    gossip_copies: int = 6
    sync_interval_s: float = 3.0
    retry_interval_s: float = 3.0
    forget_dead_s: float = 24 * 3600.0
    load_step: float = 0.125


class Membership:
    """The members as this instance sees them, and what it tells them of itself.

    Args:
        own: The fact of this instance; its sequence is the wall clock in milliseconds.
        peers: The links to the others.
        clock: The clocks of this instance.
        random: Chooses whom to probe and to tell.
        seeds: Where to look for the first other members; the addresses' own one may be among them.
        hints: Reads addresses from the platform's list, which lags and may be empty.
        settings: Times and numbers.
    """

    def __init__(
        self,
        *,
        own: Fact,
        peers: Peers,
        clock: Clock,
        random: Random,
        seeds: Sequence[PeerAddress],
        hints: Callable[[], Sequence[PeerAddress]] = tuple,
        settings: MembershipSettings | None = None,
    ) -> None:
        self._settings = settings or MembershipSettings()
        self._peers = peers
        self._random = random
        self._seeds = tuple(seeds)
        self._hints = hints
        self._table = MemberTable(own=own, clock=clock, gossip_copies=self._settings.gossip_copies)
        self._monotonic = clock.monotonic
        self._load_told_at = -1e9
        self._probe_order: list[str] = []
        self._retry_order: list[PeerAddress] = []
        self._sync_with: PeerAddress | None = None
        self._synced_at = -1e9
        self._news = trio.Event()
        self._sync_wanted = trio.Event()
        self._changed = trio.Event()
        self._callbacks: list[Callable[[], None]] = []
        peers.handle(Ping, self._on_ping)
        peers.handle(PingFor, self._on_ping_for)
        peers.handle(Gossip, self._on_gossip)
        peers.handle(SyncRequest, self._on_sync)
        self._ping_for_queue: list[tuple[Received, PeerAddress]] = []
        self._ping_for_wanted = trio.Event()

    @property
    def own(self) -> Member:
        """This instance."""
        return next(
            member for member in self.members() if member.address == self._table.own.address
        )

    def members(self) -> tuple[Member, ...]:
        """Return all members by address: this instance, and also the leaving and the dead."""
        return self._table.members

    def member(self, address: str) -> Member | None:
        """Return one member."""
        return next((member for member in self.members() if member.address == address), None)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, which must not block, after every change of ``members()``."""
        self._callbacks.append(callback)

    async def wait_changed(self) -> None:
        """Wait for the next change of ``members()``."""
        await self._changed.wait()

    def publish(
        self,
        *,
        state: MemberState | None = None,
        epoch: int | None = None,
        config_version: int | None = None,
        load: float | None = None,
    ) -> None:
        """Tell the others something of this instance; what is not given stays as it was.

        The load alone is told on only if it moved by ``load_step``, and the more rarely the more
        members there are, so that it cannot fill the control budget.
        """
        own = self._table.own
        changed = own._replace(
            state=own.state if state is None else state,
            epoch=own.epoch if epoch is None else epoch,
            config_version=own.config_version if config_version is None else config_version,
        )
        if load is not None and (changed != own or self._load_is_due(load)):
            changed = changed._replace(load=round(load, 2))
            self._load_told_at = self._monotonic()
        if changed != own:
            self._table.publish(changed)
            self._note_change()

    def leave(self) -> None:
        """Tell the others that this instance takes no more work; it goes on answering them."""
        self.publish(state="leaving")

    def farewell(self) -> None:
        """Tell a few others at once that this process ends now, so that no suspicion is needed."""
        self.publish(state="dead")
        self._push_news(self._settings.push_fanout * 2)

    def watchers(self, failure_domain: str, count: int) -> tuple[Member, ...]:
        """Return who should hold the platform watch for a failure domain.

        All instances with the same view name the same ones. When views differ more than ``count``
        may watch for a while, which costs a few calls and harms nothing.
        """
        live = [
            member
            for member in self.members()
            if member.failure_domain == failure_domain
            and member.state in ("starting", "live")
            and not member.suspect
        ]
        return tuple(live[:count])

    async def run(self) -> None:
        """Run the tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_members)
            nursery.start_soon(self._tell_news)
            nursery.start_soon(self._compare_views)
            nursery.start_soon(self._retry_lost)
            nursery.start_soon(self._probe_for_others, nursery)

    # Probing.

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
            while self._probe_order:
                address = self._probe_order.pop()
                fact = self._table.fact(address)
                if fact is not None and not self._table.is_dead(address):
                    return fact
            self._probe_order = [fact.address for fact in self._table.reachable()]
            self._random.shuffle(self._probe_order)
        return None

    async def _probe(self, fact: Fact) -> None:
        if await self._ping(fact.peer_address) or await self._ping_by_others(fact):
            return
        before = self._table.fact(fact.address)
        self._table.suspect(fact)
        if self._table.fact(fact.address) != before:
            self._note_change()

    async def _ping(self, to: PeerAddress) -> bool:
        """Ping one address; True if it answered."""
        ping = Ping(self._piggyback(to.address), self._table.view_hash)
        match await self._peers.request(to, ping, timeout_s=self._settings.reply_timeout_s):
            case Ok(Ack() as ack):
                self._take_in(ack.news, view_hash=ack.view_hash, sender=to)
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
            logger.info(
                "event=member-dead address={} incarnation={}", fact.address, fact.incarnation
            )
            self._note_change()

    def _on_ping(self, received: Received) -> Ack:
        self._take_in(
            received.message.news, view_hash=received.message.view_hash, sender=received.sender
        )
        return Ack(self._piggyback(received.sender.address), self._table.view_hash)

    def _on_ping_for(self, received: Received) -> None:
        question = received.message
        target = PeerAddress(question.address, question.peer_port, question.incarnation)
        self._ping_for_queue.append((received, target))
        self._ping_for_wanted.set()

    async def _probe_for_others(self, nursery: trio.Nursery) -> None:
        while True:
            await self._ping_for_wanted.wait()
            self._ping_for_wanted = trio.Event()
            queue, self._ping_for_queue = self._ping_for_queue, []
            for received, target in queue:
                nursery.start_soon(self._probe_for_other, received, target)

    async def _probe_for_other(self, received: Received, target: PeerAddress) -> None:
        answered = await self._ping(target)
        self._peers.reply(received, PingForResult(answered))

    # News.

    def _piggyback(self, to: str) -> News:
        about = self._table.fact(to)
        news = self._table.take_news(MOST_NEWS_PIGGYBACKED)
        told = [change_of(self._table.own)]
        if about is not None and about.suspect:
            told.append(change_of(about))
        return news._replace(changes=(*told, *news.changes))

    def _take_in(self, news: News, *, view_hash: int, sender: PeerAddress) -> None:
        self._apply(news)
        if view_hash != self._table.view_hash:
            self._sync_with = sender
            self._sync_wanted.set()

    def _apply(self, news: News) -> None:
        if self._table.apply_news(news):
            self._note_change()

    def _note_change(self) -> None:
        if self._table.has_news:
            self._news.set()
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        for callback in self._callbacks:
            callback()

    async def _tell_news(self) -> None:
        while True:
            await self._news.wait()
            self._news = trio.Event()
            while self._table.has_news:
                await trio.sleep(self._settings.push_delay_s * self._random.uniform(0.8, 1.2))
                if not self._push_news(self._settings.push_fanout):
                    break

    def _push_news(self, fanout: int) -> bool:
        """Tell news to a few members, and suspects that they are suspected; False if to nobody."""
        others = self._table.reachable()
        chosen = self._random.sample(others, min(fanout, len(others)))
        for fact in chosen:
            news = self._table.take_news(MOST_NEWS_PUSHED)
            if news == NO_NEWS:
                break
            self._peers.send(fact.peer_address, Gossip(news))
            self._tell_suspects(news, but=fact.address)
        return bool(chosen)

    def _tell_suspects(self, news: News, *, but: str) -> None:
        """Tell suspects at once that they are, so that they refute it in time."""
        for change in news.changes:
            fact = self._table.fact(unpack_address(change.packed_address))
            if change.suspect and fact is not None and fact.address != but:
                self._peers.send(fact.peer_address, Gossip(News((), (change,))))

    def _on_gossip(self, received: Received) -> None:
        self._apply(received.message.news)

    def _load_is_due(self, load: float) -> bool:
        interval_s = max(2.0, 0.2 * len(self._table.members))
        moved = abs(load - self._table.own.load) >= self._settings.load_step
        return moved and self._monotonic() - self._load_told_at >= interval_s

    # Comparing views.

    async def _compare_views(self) -> None:
        while True:
            await self._sync_wanted.wait()
            self._sync_wanted = trio.Event()
            # News on its way makes views differ for a moment; only a difference that lasts is
            # worth a comparison.
            await trio.sleep(self._settings.sync_interval_s * self._random.uniform(0.5, 1.0))
            if self._sync_with is not None:
                await self._sync(self._sync_with)

    async def _sync(self, to: PeerAddress) -> bool:
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
        self._apply(News(reply.facts, ()))
        lacking = [
            fact
            for fact in mine
            if fact.address not in theirs or fact.order > theirs[fact.address].order
        ]
        if lacking:
            self._peers.send(to, Gossip(News(tuple(lacking[:MOST_FACTS_SYNCED]), ())))

    def _on_sync(self, received: Received) -> SyncReply:
        request = received.message
        self._apply(News((request.own,), ()))
        facts = self._table.in_buckets_unlike(request.buckets)
        self._random.shuffle(facts)
        return SyncReply(
            facts=tuple(facts[:MOST_FACTS_SYNCED]),
            buckets=self._table.buckets,
            complete=len(facts) <= MOST_FACTS_SYNCED,
        )

    # Finding the first members, and those lost behind a cut.

    async def _retry_lost(self) -> None:
        while True:
            to = self._next_lost()
            if to is not None and await self._sync(to):
                continue
            joined = bool(self._table.reachable())
            period_s = self._settings.retry_interval_s if joined else 0.2
            await trio.sleep(period_s * self._random.uniform(0.8, 1.2))

    def _next_lost(self) -> PeerAddress | None:
        if not self._retry_order:
            self._retry_order = self._lost()
        return self._retry_order.pop() if self._retry_order else None

    def _lost(self) -> list[PeerAddress]:
        known = {fact.address for fact in self._table.reachable()} | {self._table.own.address}
        lost = {fact.address: fact.peer_address for fact in self._table.dead()}
        for place in (*self._seeds, *self._hints()):
            lost.setdefault(place.address, place)
        order = [
            # Whoever listens there now may be another process than the one that died.
            place._replace(incarnation=0)
            for address, place in lost.items()
            if address not in known
        ]
        self._random.shuffle(order)
        return order

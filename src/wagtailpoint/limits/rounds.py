"""Rounds in which permits are moved by demand: whom to ask, for how many, and when to return."""

from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from math import inf
from random import Random
from typing import Final, NamedTuple

import trio
from result import Ok

from wagtailpoint.limits.loans import Collection, PermitAsk, PermitLoan
from wagtailpoint.limits.permits import Permits
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress, Peers, Received

PROLONG_PART: Final = 0.5
"""A loan is prolonged when this part of it is left."""

USELESS_PART: Final = 0.2
"""A loan with less than this part left is returned when idle."""

FORGET_S: Final = 2.0
LEAST_NEED: Final = 0.5
USUAL_ROOM: Final = 1.5
REPLY_PERIODS: Final = 5
MOST_UNANSWERED: Final = 64


class RoundSettings(NamedTuple):
    """How permits are moved.

    Attributes:
        period_s: Between two looks at the own need.
        asks_per_s: Asks at most, on the whole; each costs two messages.
        burst: Asks at most in a row.
        smoothing_s: Time constant of the need.
        drain_s: In this time a queue shall be emptied.
        collect_s: So long an answer may wait for permits that are in use.
        queue_to_ask: A queue this long, as a part of what is held, is worth an ask.
        spare_asks: This part of ``burst`` is kept for those that hold less than they need.
    """

    period_s: float = 0.1
    asks_per_s: float = 2.0
    burst: float = 8.0
    spare_asks: float = 0.5
    smoothing_s: float = 4.0
    drain_s: float = 1.0
    queue_to_ask: float = 0.25
    collect_s: float = 0.03


class PlannedAsk(NamedTuple):
    """What a round decided to send."""

    to: str
    ask: PermitAsk
    sent_at: float


class Rounds:
    """Decides the rounds of one pool, without any I/O."""

    def __init__(
        self,
        *,
        permits: Permits,
        clock: Clock,
        random: Random,
        loan_s: float,
        settings: RoundSettings,
    ) -> None:
        """Make it knowing nothing of the others."""
        self._permits = permits
        self._clock = clock
        self._random = random
        self._loan_s = loan_s
        self._settings = settings
        self._room_of: dict[str, tuple[float, float]] = {}
        self._arrivals_per_s = self._finished_per_s = self._busy = self._service_s = 0.0
        self._arrived = self._finished = self._looks = 0
        self._looked_at = clock.monotonic()
        self._asks = settings.burst

    @property
    def collect_s(self) -> float:
        """How long an answer may wait for permits that are in use, in seconds."""
        return self._settings.collect_s

    def need(self, queued: int) -> float:
        """How many permits this instance needs: its offered load, and more to empty its queue."""
        backlog = queued * self._service_s / self._settings.drain_s
        return max(LEAST_NEED, self._arrivals_per_s * self._service_s + backlog)

    def plan(self, *, queued: int, arrived: int, peers: Sequence[str]) -> PlannedAsk | None:
        """Decide one round.

        Args:
            queued: Requests that wait for a permit.
            arrived: Requests that have arrived since the start, whatever became of them.
            peers: The other instances, live ones.

        Returns:
            What to send; None if nothing is to be said.
        """
        self._look(arrived)
        self._permits.give_up_loans_ending(by=self._looked_at + self._loan_s * USELESS_PART)
        to = self._whom_to_ask(queued, peers) if self._asks >= 1 else None
        if to is None:
            return None
        self._asks -= 1
        return PlannedAsk(to, self._permits.ask(to, need=self.need(queued)), self._looked_at)

    def collect(self, sender: str, ask: PermitAsk, *, queued: int) -> Collection:
        """Begin to answer: set aside what makes both have the same room for their needs."""
        self._hear(sender, ask.held, ask.need)
        return self._permits.collect(sender, most=self._short_of(ask, queued))

    def answer(self, ask: PermitAsk, collection: Collection, *, queued: int) -> PermitLoan:
        """Answer, as soon as the collection is full or ``collect_s`` has passed."""
        # Who has more than its share keeps the less of its loans.
        prolong = len(ask.keep) + min(0, self._short_of(ask, queued))
        return self._permits.lend(ask, collection, prolong=max(0, prolong), need=self.need(queued))

    def _short_of(self, ask: PermitAsk, queued: int) -> int:
        need = self.need(queued)
        both = self._permits.held() + ask.held
        return int(both * ask.need / (ask.need + need) - ask.held)

    def receive(self, planned: PlannedAsk, loan: PermitLoan) -> None:
        """Take in an answer."""
        kept = {permit for permit, _ in planned.ask.keep}
        got = loan.returned or any(permit not in kept for permit, _ in loan.permits)
        # What a peer has free may be lent to it, and then it cannot lend it on. Asking the same
        # one again and again, a short instance would stay short while others have room.
        self._hear(planned.to, loan.held if got else 0, loan.need)
        self._permits.receive(planned.to, loan, asked_at=planned.sent_at)

    def _look(self, arrived: int) -> None:
        now = self._clock.monotonic()
        passed = now - self._looked_at
        self._looked_at = now
        if passed <= 0:
            return
        settings = self._settings
        self._asks = min(settings.burst, self._asks + passed * settings.asks_per_s)
        self._looks += 1
        # At the start the plain mean of what was seen, or the need would be known only late.
        weight = min(1.0, max(passed / settings.smoothing_s, 1 / self._looks))
        finished = self._permits.finished
        self._arrivals_per_s += weight * ((arrived - self._arrived) / passed - self._arrivals_per_s)
        self._finished_per_s += weight * (
            (finished - self._finished) / passed - self._finished_per_s
        )
        self._busy += weight * (self._permits.used - self._busy)
        self._arrived, self._finished = arrived, finished
        if self._finished_per_s > 0:
            # What runs at once is the rate times the time that each takes (Little's law).
            self._service_s = self._busy / self._finished_per_s

    def _whom_to_ask(self, queued: int, peers: Sequence[str]) -> str | None:
        for lender, ends in self._permits.lenders().items():
            if ends - self._looked_at < self._loan_s * PROLONG_PART and lender in peers:
                return lender
        if not peers:
            return None
        if self.need(queued) > self._permits.held():
            return max(peers, key=self._likely_room)
        if self._asks < self._settings.burst * self._settings.spare_asks:
            return None
        if queued >= self._settings.queue_to_ask * self._permits.held():
            return max(peers, key=self._likely_room)
        if self._asks >= self._settings.burst:
            return min(peers, key=self._heard_at)
        return next(iter(self._permits.to_return()), None)

    def _heard_at(self, peer: str) -> tuple[float, float]:
        return (self._room_of.get(peer, (0.0, -inf))[1], self._random.random())

    def _hear(self, peer: str, held: int, need: float) -> None:
        self._room_of[peer] = (held / max(need, 1.0), self._clock.monotonic())

    def _likely_room(self, peer: str) -> tuple[float, float]:
        room, told_at = self._room_of.get(peer, (0.0, -inf))
        if self._clock.monotonic() - told_at > FORGET_S:
            room = USUAL_ROOM
        return (room, self._random.random())


class PoolRounds(NamedTuple):
    """The rounds of one pool and what they need to know of the instance.

    Attributes:
        rounds: Decides.
        queued: How many requests wait for a permit.
        arrived: How many requests have arrived since the start.
        changed: Called when permits have come, so that the queue is served.
    """

    rounds: Rounds
    queued: Callable[[], int]
    arrived: Callable[[], int]
    changed: Callable[[], None]


class PermitRounds:
    """Sends and answers the asks of all pools of one instance."""

    def __init__(
        self,
        *,
        pools: Callable[[], Mapping[str, PoolRounds]],
        peers: Peers,
        period_s: float,
        others: Callable[[], Sequence[PeerAddress]],
    ) -> None:
        """Answer asks from now on.

        Args:
            pools: The pools by name.
            peers: The links.
            period_s: Between two asks, in seconds.
            others: The other instances that live.
        """
        self._pools = pools
        self._peers = peers
        self._period_s = period_s
        self._others = others
        self._asked, self._to_answer = trio.open_memory_channel[Received](MOST_UNANSWERED)
        peers.handle(PermitAsk, self._on_ask)

    async def run(self) -> None:
        """Ask and answer until cancelled; the pool with the longest queue asks first."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._answer_all, nursery)
            while True:
                await trio.sleep(self._period_s)
                for pool in sorted(self._pools().values(), key=lambda pool: -pool.queued()):
                    if await self._ask_for(pool):
                        break

    async def _ask_for(self, pool: PoolRounds) -> bool:
        by_name = {str(peer): peer for peer in self._others()}
        planned = pool.rounds.plan(
            queued=pool.queued(), arrived=pool.arrived(), peers=tuple(by_name)
        )
        if planned is None or planned.to not in by_name:
            return False
        reply = await self._peers.request(
            by_name[planned.to], planned.ask, timeout_s=REPLY_PERIODS * self._period_s
        )
        if isinstance(reply, Ok) and isinstance(reply.ok_value, PermitLoan):
            pool.rounds.receive(planned, reply.ok_value)
            pool.changed()
        return True

    def _on_ask(self, received: Received) -> None:
        # What finds no room is lost: the asker asks again, or somebody else.
        with suppress(trio.WouldBlock):
            self._asked.send_nowait(received)

    async def _answer_all(self, nursery: trio.Nursery) -> None:
        async for received in self._to_answer:
            nursery.start_soon(self._answer, received)

    async def _answer(self, received: Received) -> None:
        ask: PermitAsk = received.message
        pool = self._pools().get(ask.pool)
        if pool is None:
            # Another version of the configuration, for a moment.
            return
        collection = pool.rounds.collect(str(received.sender), ask, queued=pool.queued())
        if not collection.is_full:
            await trio.sleep(pool.rounds.collect_s)
        loan = pool.rounds.answer(ask, collection, queued=pool.queued())
        self._peers.reply(received, loan)
        pool.changed()

"""Slots of backend servers, as one instance spends them: classes, queue, refusals.

Strict order with guaranteed room: a class waits while a more urgent one does, and may use idle
slots up to its ceiling, so that an arriving burst of urgent requests always finds room. What
cannot be answered within its deadline is refused at once, the least urgent first.
"""

from collections.abc import Callable, Sequence
from itertools import groupby
from random import Random
from typing import Final

import trio
from result import Err, Ok, Result

from wagtailpoint.admission.ceilings import (
    HeldSlots,
    binding_policies,
    is_below_ceilings,
    max_held_slots,
)
from wagtailpoint.admission.demand import ServerChoice, Slot, SlotDemand, SlotGrants
from wagtailpoint.admission.own_count import OwnCount
from wagtailpoint.admission.rates import WorkspaceRates
from wagtailpoint.admission.refusal import Refusal
from wagtailpoint.admission.refusals import refuse_server, refuse_slot, refuse_workspace
from wagtailpoint.admission.return_times import ReturnTimes
from wagtailpoint.admission.waiting import Waiter, WaitingLine
from wagtailpoint.admission.waits import Waits
from wagtailpoint.config.model import BackendServer
from wagtailpoint.ports.clock import Clock

__all__ = ["ServerChoice", "Slot", "SlotDemand", "SlotGrants", "SlotPool"]

BURST_PART: Final = 0.5
"""A queue that has stood for so much of the longest possible wait is no burst but an overload."""

STANDING_PART: Final = 0.25
"""So much of the longest possible wait a newcomer waits in such a queue."""

ANSWER_HOLDS: Final = 2.0
"""So many mean hold times are left for the answer itself: of exponential times, 86 % end within."""

TOO_LATE: Final = "it could not be answered within its deadline"
PUSHED_OUT: Final = "more urgent requests came"
QUEUE_FULL: Final = "the queue is full"


class _Pool:
    """What is kept of one pool."""

    def __init__(self, *, clock: Clock) -> None:
        self.arrived = 0
        self.line = WaitingLine(clock=clock)
        self.waits = Waits(clock=clock)


class SlotPool:
    """The slots of all backend servers, as far as this instance uses them."""

    def __init__(
        self,
        *,
        clock: Clock,
        max_queued: int,
        random: Random | None = None,
        grants: SlotGrants | None = None,
        limit_fraction: Callable[[], float] = lambda: 1.0,
    ) -> None:
        """Make it with all slots free.

        Args:
            clock: Of this instance.
            max_queued: The most requests that may wait, over all pools.
            random: Spreads ``Retry-After``.
            grants: The slots that this instance may use; by default all, by its own count.
            limit_fraction: The fraction of every workspace's limit that this instance may spend.
        """
        self._clock = clock
        self._most_queued = max_queued
        self._grants = grants if grants is not None else OwnCount()
        self._rates = WorkspaceRates(clock=clock, part=limit_fraction)
        self._return_times = ReturnTimes(clock=clock, random=random or Random())
        self._held = HeldSlots()
        self._pools: dict[str, _Pool] = {}

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return sum(len(pool.line) for pool in self._pools.values())

    @property
    def in_flight(self) -> int:
        """Slots held."""
        return self._held.total()

    def held_of(self, server: BackendServer) -> int:
        """Slots of one backend server that this instance holds."""
        return self._held.of(server)

    def queued_for(self, group: str) -> int:
        """Requests that wait for a slot of a group, named as in ``SERVICE/GROUP``."""
        return sum(len(pool.line) for pool in self._pools_of(group))

    def arrived_for(self, group: str) -> int:
        """Requests that have asked for a slot of a group since the start."""
        return sum(pool.arrived for pool in self._pools_of(group))

    async def acquire(self, demand: SlotDemand) -> Result[Slot, Refusal]:
        """Take a slot, waiting within the deadline; the caller must release it."""
        pool = self._pool(demand.pool)
        pool.arrived += 1
        if not demand.avoid:
            wait_s = self._rates.take(demand.workspace, demand.max_rps)
            if wait_s is not None:
                retry_after_s = wait_s + self._return_times.next_s()
                return Err(refuse_workspace(demand.workspace, demand.max_rps, retry_after_s))
        # Who comes now must not pass those that wait already, should a slot have become free
        # unnoticed, as when a backend server has recovered.
        self._serve_pool(pool, most=self._most_queued)
        slot = self._take(demand, pool) if not self._must_queue(demand, pool) else None
        if slot is not None:
            return Ok(slot)
        refusal = self._refuse_newcomer(demand, pool)
        return Err(refusal) if refusal is not None else await self._wait(demand, pool)

    def has_idle(self, pool: str) -> bool:
        """Whether nothing waits in a pool, so that its slots may go to what is not needed."""
        return not len(self._pool(pool).line)

    def take_idle(self, demand: SlotDemand) -> Slot | None:
        """Take a slot that is free now; None if there is none, or another request waits for it."""
        pool = self._pool(demand.pool)
        return None if len(pool.line) else self._take(demand, pool)

    def release(self, slot: Slot) -> None:
        """Give a slot back, and hand it to the most urgent request that waits."""
        self._held.remove(slot.server, slot.policy.priority)
        self._grants.give_back(slot.server)
        pool = self._pool(slot.pool)
        pool.line.queue(slot.policy.priority).note_released(slot.workspace)
        pool.waits.note_released(slot.policy.priority, self._clock.monotonic() - slot.taken_at)
        self.serve(most=1)

    def serve(self, *, most: int | None = None) -> None:
        """Give free slots to waiting requests; call it when more slots may be used than before.

        Args:
            most: So many at the most; a release frees only one, and to look for more would cost
                as much again. None: as many as there are.
        """
        left = self._most_queued if most is None else most
        waiting = [pool for pool in self._pools.values() if len(pool.line)]
        waiting.sort(key=lambda pool: pool.line.most_urgent().demand.policy.priority)
        for pool in waiting:
            left -= self._serve_pool(pool, most=left)
            if not left:
                return

    async def _wait(self, demand: SlotDemand, pool: _Pool) -> Result[Slot, Refusal]:
        waiter = pool.line.add(demand)
        try:
            with trio.move_on_after(demand.deadline - self._clock.monotonic()):
                await waiter.ready.wait()
        except trio.Cancelled:
            if waiter.slot is not None:
                self.release(waiter.slot)
            raise
        finally:
            if not waiter.ready.is_set():
                pool.line.remove(waiter)
        if waiter.slot is not None:
            return Ok(waiter.slot)
        return Err(waiter.refusal or self._no_slot(demand, TOO_LATE))

    def _must_queue(self, demand: SlotDemand, pool: _Pool) -> bool:
        if not len(pool.line):
            return False
        return pool.line.most_urgent().demand.policy.priority <= demand.policy.priority

    def _take(self, demand: SlotDemand, pool: _Pool) -> Slot | None:
        choice = demand.servers
        server = self._take_server(demand, choice.candidates())
        if server is None:
            return None
        choice.record_taken(server)
        priority = demand.policy.priority
        self._held.add(server, priority)
        pool.line.queue(priority).note_taken(demand.workspace)
        pool.waits.note_taken(priority)
        self._return_times.note_served()
        return Slot(demand.pool, server, demand.policy, demand.workspace, self._clock.monotonic())

    def _take_server(
        self, demand: SlotDemand, candidates: Sequence[BackendServer]
    ) -> BackendServer | None:
        open_tiers = self._open_tiers(demand, candidates)

        def rank(server: BackendServer) -> tuple[int, int]:
            return _avoid_rank(server, demand.avoid), demand.servers.tier_of(server)

        usable = [each for each in candidates if demand.servers.tier_of(each) in open_tiers]
        for _, alike in groupby(sorted(usable, key=rank), key=rank):
            server = self._grants.take(list(alike), deadline=demand.deadline, long=demand.long)
            if server is not None:
                return server
        return None

    def _open_tiers(self, demand: SlotDemand, candidates: Sequence[BackendServer]) -> set[int]:
        """The tiers in which the class is below its ceilings.

        Ceilings hold in each tier: brochures that filled all near slots, being below their ceiling
        of all slots near and far, would send an urgent request to another region.
        """
        tiers: dict[int, list[BackendServer]] = {}
        for server in candidates:
            tiers.setdefault(demand.servers.tier_of(server), []).append(server)
        binding = binding_policies(demand.policy, demand.classes)
        if not binding:
            return set(tiers)
        slots = {tier: sum(map(self._grants.slots_of, servers)) for tier, servers in tiers.items()}
        found = {
            tier
            for tier, servers in tiers.items()
            if is_below_ceilings(binding, self._held.by_priority(servers), slots[tier])
        }
        if not found and not any(max_held_slots(demand.policy, count) for count in slots.values()):
            # With so few slots the ceiling is less than one; a class that is never served at all
            # is worse than one slot too many.
            held = self._held.by_priority(candidates)
            if is_below_ceilings(binding, held, sum(slots.values()), least=1):
                return set(tiers)
        return found

    def _serve_pool(self, pool: _Pool, *, most: int) -> int:
        """Serve up to ``most`` waiting requests of a pool; return how many were.

        When the most urgent finds no slot, nobody behind it does: the candidates are the same, and
        what is open to a lower class is open to it.
        """
        served = 0
        while served < most and len(pool.line):
            waiter = pool.line.next_served(pool.waits.held)
            if self._is_too_late(waiter.demand, pool):
                self._turn_away(waiter, pool, TOO_LATE)
                continue
            slot = self._take(waiter.demand, pool)
            if slot is None and waiter is not pool.line.most_urgent():
                waiter = pool.line.most_urgent()
                slot = self._take(waiter.demand, pool)
            if slot is None:
                break
            waiter.slot = slot
            pool.line.remove(waiter)
            waiter.ready.set()
            served += 1
        return served

    def _refuse_newcomer(self, demand: SlotDemand, pool: _Pool) -> Refusal | None:
        """Refuse a request that has to wait, or else make room for it in the queue."""
        candidates = demand.servers.candidates()
        if not candidates:
            return refuse_server(demand.pool, self._return_times.next_s())
        # One at least: an instance that has no slot yet would refuse all, and so never ask for any.
        pool.waits.slots = max(1, sum(map(self._grants.slots_of, candidates)))
        if self._wait_s(demand, pool, None) > self._newcomer_patience_s(demand, pool):
            return self._no_slot(demand, TOO_LATE)
        while len(pool.line):
            last = pool.line.least_urgent()
            if self._wait_s(last.demand, pool, last) <= self._patience_s(last.demand, pool):
                break
            self._turn_away(last, pool, PUSHED_OUT)
        if self.queued < self._most_queued:
            return None
        return self._push_out(demand)

    def _push_out(self, demand: SlotDemand) -> Refusal | None:
        """Make room in the full queue, at the cost of the least urgent request of all pools."""
        longest = [pool for pool in self._pools.values() if len(pool.line)]
        if longest:
            pool = max(longest, key=lambda each: each.line.least_urgent().demand.policy.priority)
            last = pool.line.least_urgent()
            if pool.line.gives_way(last, demand):
                self._turn_away(last, pool, PUSHED_OUT)
                return None
        return self._no_slot(demand, QUEUE_FULL)

    def _wait_s(self, demand: SlotDemand, pool: _Pool, waiter: Waiter | None) -> float:
        line = pool.line
        ahead = line.ahead_of_newcomer(demand) if waiter is None else line.ahead_of(waiter)
        binding = binding_policies(demand.policy, demand.classes)
        return pool.waits.estimate(demand.policy, binding, ahead)

    def _patience_s(self, demand: SlotDemand, pool: _Pool) -> float:
        """How long a request can wait and still be answered in time."""
        left_s = demand.deadline - self._clock.monotonic()
        if demand.long:
            return left_s
        return left_s - ANSWER_HOLDS * pool.waits.hold_s(demand.policy.priority)

    def _newcomer_patience_s(self, demand: SlotDemand, pool: _Pool) -> float:
        """How long a newcomer may have to wait.

        In a burst, as long as it can. In a queue that has stood for long, every place is taken by
        somebody else if not by this one: as many are answered from a short queue as from a long
        one, but sooner, and none of them at the edge of its deadline, where half are too late and
        have held a slot for nothing.
        """
        patience_s = self._patience_s(demand, pool)
        standing_s = pool.line.standing_s(demand.policy.priority)
        is_burst = standing_s < BURST_PART * patience_s
        return patience_s if is_burst else STANDING_PART * patience_s

    def _is_too_late(self, demand: SlotDemand, pool: _Pool) -> bool:
        return self._patience_s(demand, pool) < 0

    def _turn_away(self, waiter: Waiter, pool: _Pool, why: str) -> None:
        pool.line.remove(waiter)
        waiter.refusal = self._no_slot(waiter.demand, why)
        waiter.ready.set()

    def _no_slot(self, demand: SlotDemand, why: str) -> Refusal:
        retry_after_s = self._return_times.next_s()
        return refuse_slot(demand.pool, demand.policy.name, why, retry_after_s)

    def _pools_of(self, group: str) -> list[_Pool]:
        """The pools whose requests may go to a group; those of a move name both of its groups."""
        service, _, wanted = group.partition("/")
        return [
            pool
            for name, pool in self._pools.items()
            if name.startswith(f"{service}/") and wanted in name.partition("/")[2].split("+")
        ]

    def _pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = _Pool(clock=self._clock)
        return pool


def _avoid_rank(server: BackendServer, avoid: Sequence[BackendServer]) -> int:
    """0 in a failure domain not tried yet, 1 for another backend server of one, 2 for the same."""
    if server in avoid:
        return 2
    return int(any(server.failure_domain == tried.failure_domain for tried in avoid))

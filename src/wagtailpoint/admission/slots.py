"""Allocation of backend server slots to requests: classes, queueing and refusals.

Classes have strict priority and ceilings: a class waits while a more urgent one does, and may use
idle slots up to its ceiling only, so that a burst of more urgent requests finds free slots. A
request that cannot be answered within its deadline is refused at once, the least urgent first.
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
from wagtailpoint.admission.local_slot_grants import LocalSlotGrants
from wagtailpoint.admission.rates import WorkspaceRateLimiter
from wagtailpoint.admission.refusal import Refusal
from wagtailpoint.admission.refusals import refuse_server, refuse_slot, refuse_workspace
from wagtailpoint.admission.retry_after import RetryAfterPolicy
from wagtailpoint.admission.wait_estimates import WaitEstimator
from wagtailpoint.admission.wait_queue import Waiter, WaitQueue
from wagtailpoint.config.model import BackendServer
from wagtailpoint.ports.clock import Clock

__all__ = ["ServerChoice", "Slot", "SlotDemand", "SlotGrants", "SlotPool"]

BURST_WAIT_FRACTION: Final = 0.5
"""A queue that is not empty for longer than this fraction of a request's maximum wait is caused by
an overload, not by a burst."""

OVERLOAD_WAIT_FRACTION: Final = 0.25
"""In an overload, a new request may wait for this fraction of its maximum wait."""

ANSWER_RESERVE_HOLDS: Final = 2.0
"""Number of mean hold times reserved for the answer itself; 86 % of exponentially distributed hold
times are no longer than that."""

MAX_TOKEN_WAIT_S: Final = 0.25
MAX_TOKEN_WAIT_FRACTION: Final = 0.25
"""Maximum wait for a token of the workspace's rate limit, in seconds and as a fraction of the time
until the request's deadline. Callers whose instance has failed send at another one, within tenths
of a second, what they would have sent over a longer time."""

DEADLINE_CAUSE: Final = "it could not be answered within its deadline"
DISPLACED_CAUSE: Final = "more urgent requests came"
QUEUE_FULL_CAUSE: Final = "the queue is full"


class _Pool:
    """The queue and statistics of one pool."""

    def __init__(self, *, clock: Clock) -> None:
        self.arrived = 0
        self.queue = WaitQueue(clock=clock)
        self.waits = WaitEstimator(clock=clock)


class SlotPool:
    """Gives slots of backend servers to requests, and queues or refuses the others."""

    def __init__(
        self,
        *,
        clock: Clock,
        max_queued: int,
        random: Random | None = None,
        grants: SlotGrants | None = None,
        limit_fraction: Callable[[], float] = lambda: 1.0,
        paused_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Initialise the pool with all slots free.

        Args:
            clock: Clock of this instance.
            max_queued: Maximum number of waiting requests over all pools.
            random: Source of randomness for the ``Retry-After`` delays.
            grants: Slots granted to this instance; by default all slots, counted locally.
            limit_fraction: Returns the fraction (0 to 1) of every workspace's rate limit that this
                instance may spend.
            paused_s: Returns the duration of all pauses of the process so far, in seconds.
        """
        self._clock = clock
        self._max_queued = max_queued
        self._grants = grants if grants is not None else LocalSlotGrants()
        self._rates = WorkspaceRateLimiter(clock=clock, fraction=limit_fraction, paused_s=paused_s)
        self._retry_after_policy = RetryAfterPolicy(clock=clock, random=random or Random())
        self._held = HeldSlots()
        self._pools: dict[str, _Pool] = {}

    @property
    def queued(self) -> int:
        """Number of requests waiting for a slot."""
        return sum(len(pool.queue) for pool in self._pools.values())

    @property
    def in_flight(self) -> int:
        """Number of slots held."""
        return self._held.total()

    def held_of(self, server: BackendServer) -> int:
        """Return how many slots of a backend server this instance holds."""
        return self._held.on_server(server)

    def queued_for(self, group: str) -> int:
        """Return how many requests wait for a slot of a group, named as ``SERVICE/GROUP``."""
        return sum(len(pool.queue) for pool in self._pools_of(group))

    def arrived_for(self, group: str) -> int:
        """Return how many requests have asked for a slot of a group since the start."""
        return sum(pool.arrived for pool in self._pools_of(group))

    async def acquire(self, demand: SlotDemand) -> Result[Slot, Refusal]:
        """Take a slot, waiting until the deadline if necessary; the caller must release it."""
        pool = self._pool(demand.pool)
        pool.arrived += 1
        if not demand.avoid:
            refusal = await self._wait_for_token(demand)
            if refusal is not None:
                return Err(refusal)
        # A slot may have become free without a release, as when a backend server recovers. It goes
        # to the waiting requests first, so that the new request does not overtake them.
        self._serve_pool(pool, max_served=self._max_queued)
        slot = self._take(demand, pool) if not self._must_wait(demand, pool) else None
        if slot is not None:
            return Ok(slot)
        refusal = self._refuse_or_make_room(demand, pool)
        return Err(refusal) if refusal is not None else await self._wait(demand, pool)

    async def _wait_for_token(self, demand: SlotDemand) -> Refusal | None:
        """Wait until the workspace's rate limit admits a request; return its refusal otherwise."""
        remaining_s = max(0.0, demand.deadline - self._clock.monotonic())
        taken = self._rates.take(
            demand.workspace,
            demand.max_rps,
            max_wait_s=min(MAX_TOKEN_WAIT_S, MAX_TOKEN_WAIT_FRACTION * remaining_s),
        )
        if isinstance(taken, Err):
            retry_after_s = taken.err_value + self._retry_after_policy.next_retry_after_s()
            return refuse_workspace(demand.workspace, demand.max_rps, retry_after_s)
        if taken.ok_value:
            await trio.sleep(taken.ok_value)
        return None

    def has_idle(self, pool: str) -> bool:
        """Return whether no request waits in a pool, so that hedged requests may use its slots."""
        return not len(self._pool(pool).queue)

    def take_idle(self, demand: SlotDemand) -> Slot | None:
        """Take a free slot; return None if there is none or if other requests wait for one."""
        pool = self._pool(demand.pool)
        return None if len(pool.queue) else self._take(demand, pool)

    def release(self, slot: Slot) -> None:
        """Release a slot and give it to the most urgent waiting request."""
        self._held.remove(slot.server, slot.policy.priority)
        self._grants.release(slot.server)
        pool = self._pool(slot.pool)
        pool.queue.class_queue(slot.policy.priority).record_released(slot.workspace)
        pool.waits.record_released(slot.policy.priority, self._clock.monotonic() - slot.taken_at)
        self.serve(max_served=1)

    def serve(self, *, max_served: int | None = None) -> None:
        """Give free slots to waiting requests; to be called when more slots have become usable.

        Args:
            max_served: Maximum number of requests served; None if unlimited. A release frees one
                slot only, so that searching for a second one would double its cost in vain.
        """
        left = self._max_queued if max_served is None else max_served
        waiting = [pool for pool in self._pools.values() if len(pool.queue)]
        waiting.sort(key=lambda pool: pool.queue.most_urgent().demand.policy.priority)
        for pool in waiting:
            left -= self._serve_pool(pool, max_served=left)
            if not left:
                return

    async def _wait(self, demand: SlotDemand, pool: _Pool) -> Result[Slot, Refusal]:
        waiter = pool.queue.add(demand)
        try:
            with trio.move_on_after(demand.deadline - self._clock.monotonic()):
                await waiter.ready.wait()
        except trio.Cancelled:
            if waiter.slot is not None:
                self.release(waiter.slot)
            raise
        finally:
            if not waiter.ready.is_set():
                pool.queue.remove(waiter)
        if waiter.slot is not None:
            return Ok(waiter.slot)
        return Err(waiter.refusal or self._slot_refusal(demand, DEADLINE_CAUSE))

    def _must_wait(self, demand: SlotDemand, pool: _Pool) -> bool:
        if not len(pool.queue):
            return False
        return pool.queue.most_urgent().demand.policy.priority <= demand.policy.priority

    def _take(self, demand: SlotDemand, pool: _Pool) -> Slot | None:
        choice = demand.servers
        server = self._take_server(demand, choice.candidates())
        if server is None:
            return None
        choice.record_taken(server)
        priority = demand.policy.priority
        self._held.add(server, priority)
        pool.queue.class_queue(priority).record_taken(demand.workspace)
        pool.waits.record_taken(priority)
        self._retry_after_policy.record_served()
        return Slot(demand.pool, server, demand.policy, demand.workspace, self._clock.monotonic())

    def _take_server(
        self, demand: SlotDemand, candidates: Sequence[BackendServer]
    ) -> BackendServer | None:
        open_tiers = self._open_tiers(demand, candidates)

        def rank(server: BackendServer) -> tuple[int, int]:
            return _avoid_rank(server, demand.avoid), demand.servers.tier_of(server)

        usable = [
            candidate for candidate in candidates if demand.servers.tier_of(candidate) in open_tiers
        ]
        for _, alike in groupby(sorted(usable, key=rank), key=rank):
            server = self._grants.take(list(alike), deadline=demand.deadline, long=demand.long)
            if server is not None:
                return server
        return None

    def _open_tiers(self, demand: SlotDemand, candidates: Sequence[BackendServer]) -> set[int]:
        """Return the tiers in which the class is below its ceilings.

        Ceilings apply to each tier separately: otherwise a class below its ceiling over all tiers
        could fill the nearest tier and force urgent requests into another region.
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
            # The ceiling rounds down to no slot in every tier. The class gets one slot above its
            # ceiling, because otherwise it would never be served.
            held = self._held.by_priority(candidates)
            if is_below_ceilings(binding, held, sum(slots.values()), min_allowed=1):
                return set(tiers)
        return found

    def _serve_pool(self, pool: _Pool, *, max_served: int) -> int:
        """Serve up to ``max_served`` waiting requests of a pool; return how many were served.

        Serving stops when the most urgent request finds no slot: all requests of a pool have the
        same candidates, and a tier open to a less urgent class is open to it too.
        """
        served = 0
        while served < max_served and len(pool.queue):
            waiter = pool.queue.next_to_serve(pool.waits.held)
            if self._cannot_meet_deadline(waiter.demand, pool):
                self._refuse_waiting(waiter, pool, DEADLINE_CAUSE)
                continue
            slot = self._take(waiter.demand, pool)
            if slot is None and waiter is not pool.queue.most_urgent():
                waiter = pool.queue.most_urgent()
                slot = self._take(waiter.demand, pool)
            if slot is None:
                break
            waiter.slot = slot
            pool.queue.remove(waiter)
            waiter.ready.set()
            served += 1
        return served

    def _refuse_or_make_room(self, demand: SlotDemand, pool: _Pool) -> Refusal | None:
        """Refuse a request that has to wait, or make room for it in the queue and return None."""
        candidates = demand.servers.candidates()
        if not candidates:
            return refuse_server(demand.pool, self._retry_after_policy.next_retry_after_s())
        # At least one slot is assumed: an instance without granted slots would otherwise refuse all
        # requests and therefore never ask for slots.
        pool.waits.slots = max(1, sum(map(self._grants.slots_of, candidates)))
        if self._wait_s(demand, pool, None) > self._max_new_wait_s(demand, pool):
            return self._slot_refusal(demand, DEADLINE_CAUSE)
        while len(pool.queue):
            last = pool.queue.least_urgent()
            if self._wait_s(last.demand, pool, last) <= self._max_wait_s(last.demand, pool):
                break
            self._refuse_waiting(last, pool, DISPLACED_CAUSE)
        if self.queued < self._max_queued:
            return None
        return self._displace(demand)

    def _displace(self, demand: SlotDemand) -> Refusal | None:
        """Refuse the least urgent waiting request of all pools, or else the new one."""
        longest = [pool for pool in self._pools.values() if len(pool.queue)]
        if longest:
            pool = max(longest, key=lambda pool: pool.queue.least_urgent().demand.policy.priority)
            last = pool.queue.least_urgent()
            if pool.queue.is_displaced_by(last, demand):
                self._refuse_waiting(last, pool, DISPLACED_CAUSE)
                return None
        return self._slot_refusal(demand, QUEUE_FULL_CAUSE)

    def _wait_s(self, demand: SlotDemand, pool: _Pool, waiter: Waiter | None) -> float:
        queue = pool.queue
        ahead = queue.count_ahead_of_new(demand) if waiter is None else queue.count_ahead_of(waiter)
        binding = binding_policies(demand.policy, demand.classes)
        return pool.waits.estimate(demand.policy, binding, ahead)

    def _max_wait_s(self, demand: SlotDemand, pool: _Pool) -> float:
        """Return how long a request can wait and still meet its deadline, in seconds."""
        left_s = demand.deadline - self._clock.monotonic()
        if demand.long:
            return left_s
        return left_s - ANSWER_RESERVE_HOLDS * pool.waits.hold_s(demand.policy.priority)

    def _max_new_wait_s(self, demand: SlotDemand, pool: _Pool) -> float:
        """Return how long a new request may have to wait, in seconds.

        In a burst, this is the longest wait that meets its deadline. In an overload the limit is
        lower: a short queue serves as many requests as a long one, but sooner, whereas from a long
        queue requests are answered close to their deadlines, where half of them are too late and
        have used a slot in vain.
        """
        max_wait_s = self._max_wait_s(demand, pool)
        nonempty_s = pool.queue.nonempty_s(demand.policy.priority)
        is_burst = nonempty_s < BURST_WAIT_FRACTION * max_wait_s
        return max_wait_s if is_burst else OVERLOAD_WAIT_FRACTION * max_wait_s

    def _cannot_meet_deadline(self, demand: SlotDemand, pool: _Pool) -> bool:
        return self._max_wait_s(demand, pool) < 0

    def _refuse_waiting(self, waiter: Waiter, pool: _Pool, cause: str) -> None:
        pool.queue.remove(waiter)
        waiter.refusal = self._slot_refusal(waiter.demand, cause)
        waiter.ready.set()

    def _slot_refusal(self, demand: SlotDemand, cause: str) -> Refusal:
        retry_after_s = self._retry_after_policy.next_retry_after_s()
        return refuse_slot(demand.pool, demand.policy.name, cause, retry_after_s)

    def _pools_of(self, group: str) -> list[_Pool]:
        """Return the pools whose requests may go to a group; pools of a move name both groups."""
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
    """Rank a backend server for a retry: lower is better.

    Returns:
        0 in a failure domain that was not tried, 1 for an untried backend server in one that was,
        2 for a backend server that was tried.
    """
    if server in avoid:
        return 2
    return int(any(server.failure_domain == tried.failure_domain for tried in avoid))

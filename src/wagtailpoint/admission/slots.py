"""Slots of backend servers, as one instance spends them: choice of server, queue, classes.

This is the rule "least in flight of all, by the instance's own count", the best of the rules that
need no message between instances.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple, Protocol

import trio
from result import Err, Ok, Result

from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.config.model import BackendServer, ClassPolicy
from wagtailpoint.ports.clock import Clock
from wagtailpoint.verdict import Verdict

SHED_RETRY_AFTER_S = 1.0


class ServerChoice(Protocol):
    """The backend servers that may take one request, from best to worst."""

    def candidates(self) -> Sequence[BackendServer]:
        """Those that may take it now, in order of preference."""
        ...

    def tier_of(self, server: BackendServer) -> int:
        """The tier of one of the last ``candidates``; the next is used when one is full."""
        ...

    def taken(self, server: BackendServer) -> None:
        """A slot of this backend server was taken, in the same step as ``candidates``."""
        ...


class SlotDemand(NamedTuple):
    """What one request needs.

    Attributes:
        pool: The service and group that it goes to.
        servers: The backend servers that may take it.
        policy: Its class.
        deadline: By the monotonic clock.
        avoid: Backend servers already tried; taken only if there is no other.
    """

    pool: str
    servers: ServerChoice
    policy: ClassPolicy
    deadline: float
    avoid: Sequence[BackendServer] = ()


class Slot(NamedTuple):
    """A slot of a backend server, held until it is released."""

    pool: str
    server: BackendServer
    policy: ClassPolicy


class _Waiter:
    """A request in the queue."""

    def __init__(self, *, demand: SlotDemand) -> None:
        self.demand = demand
        self.ready = trio.Event()
        self.slot: Slot | None = None


class SlotPool:
    """The slots of all backend servers, as far as this instance uses them."""

    def __init__(self, *, clock: Clock, most_queued: int) -> None:
        self._clock = clock
        self._most_queued = most_queued
        self._in_flight: Counter[BackendServer] = Counter()
        self._queue: list[tuple[int, int, _Waiter]] = []
        self._numbers = itertools.count()

    @property
    def queued(self) -> int:
        """Requests waiting for a slot."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Slots held."""
        return sum(self._in_flight.values())

    def held_of(self, server: BackendServer) -> int:
        """Slots of one backend server that this instance holds."""
        return self._in_flight[server]

    async def acquire(self, demand: SlotDemand) -> Result[Slot, Refusal]:
        """Take a slot, waiting within the deadline; the caller must release it."""
        slot = self._take(demand)
        if slot is not None:
            return Ok(slot)
        if not demand.servers.candidates():
            return Err(_no_server(demand))
        if len(self._queue) >= self._most_queued:
            return Err(_no_slot(demand, "the queue is full"))
        return await self._wait(demand)

    def release(self, slot: Slot) -> None:
        """Give a slot back, and hand it to the most urgent request that waits."""
        self._in_flight[slot.server] -= 1
        if not self._in_flight[slot.server]:
            del self._in_flight[slot.server]
        self._serve_queue()

    async def _wait(self, demand: SlotDemand) -> Result[Slot, Refusal]:
        waiter = _Waiter(demand=demand)
        item = (demand.policy.priority, next(self._numbers), waiter)
        heapq.heappush(self._queue, item)
        try:
            with trio.move_on_after(demand.deadline - self._clock.monotonic()):
                await waiter.ready.wait()
        except trio.Cancelled:
            if waiter.slot is not None:
                self.release(waiter.slot)
            raise
        finally:
            if waiter.slot is None:
                self._queue.remove(item)
                heapq.heapify(self._queue)
        if waiter.slot is None:
            return Err(_no_slot(demand, "no slot became free within the deadline"))
        return Ok(waiter.slot)

    def _take(self, demand: SlotDemand) -> Slot | None:
        choice = demand.servers
        free = [each for each in choice.candidates() if self._in_flight[each] < each.slots]
        preferred = [server for server in free if server not in demand.avoid] or free
        if not preferred:
            return None
        server = min(preferred, key=lambda each: (choice.tier_of(each), self._in_flight[each]))
        self._in_flight[server] += 1
        choice.taken(server)
        return Slot(demand.pool, server, demand.policy)

    def _serve_queue(self) -> None:
        for item in sorted(self._queue):
            waiter = item[2]
            waiter.slot = self._take(waiter.demand)
            if waiter.slot is not None:
                self._queue.remove(item)
                waiter.ready.set()
        heapq.heapify(self._queue)


def _no_slot(demand: SlotDemand, why: str) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_SLOT,
        f"all slots of {demand.pool} that class {demand.policy.name} may use are taken: {why}",
        Verdict.NOT_RUN,
        SHED_RETRY_AFTER_S,
    )


def _no_server(demand: SlotDemand) -> Refusal:
    return Refusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_BACKEND_SERVER,
        f"{demand.pool} has no backend server that takes new work",
        Verdict.NOT_RUN,
        SHED_RETRY_AFTER_S,
    )

"""The requests of one pool that wait for a slot: strict order of classes, fair within each."""

from collections.abc import Callable, Mapping
from itertools import count

import trio

from wagtailpoint.admission.demand import Slot, SlotDemand
from wagtailpoint.admission.fair_queue import FairQueue
from wagtailpoint.admission.refusal import Refusal
from wagtailpoint.ports.clock import Clock


class Waiter:
    """A request in the queue; it ends with a slot or with a refusal."""

    def __init__(self, *, demand: SlotDemand, number: int) -> None:
        self.demand = demand
        self.number = number
        self.ready = trio.Event()
        self.slot: Slot | None = None
        self.refusal: Refusal | None = None


class WaitingLine:
    """The waiting requests of one pool."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._since: dict[int, float] = {}
        self._queues: dict[int, FairQueue[Waiter]] = {}
        self._numbers = count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, demand: SlotDemand) -> Waiter:
        """Add a request."""
        waiter = Waiter(demand=demand, number=next(self._numbers))
        queue = self.queue(demand.policy.priority)
        if not len(queue):
            self._since[demand.policy.priority] = self._clock.monotonic()
        queue.push(demand.workspace, waiter.number, waiter)
        self._size += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request, wherever it stands."""
        demand = waiter.demand
        self.queue(demand.policy.priority).remove(demand.workspace, waiter.number)
        self._size -= 1

    def queue(self, priority: int) -> FairQueue[Waiter]:
        """The waiting requests of one class."""
        queue = self._queues.get(priority)
        if queue is None:
            queue = self._queues[priority] = FairQueue()
        return queue

    def standing_s(self, priority: int) -> float:
        """For how many seconds requests of a class have been waiting without a break."""
        if not len(self.queue(priority)):
            return 0.0
        return self._clock.monotonic() - self._since[priority]

    def most_urgent(self) -> Waiter:
        """The request to be served next; there must be one."""
        return self._queues[min(self._waiting_priorities())].first()

    def next_served(self, held: Callable[[int], int]) -> Waiter:
        """The most urgent request, or one of a class that would else never be served.

        Where a class stays below a ceiling, room is left above it anyway. Of the room below, a
        less urgent class that holds no slot at all gets one before the class goes on: else a
        download would never begin while browsing presses for hours. Before a class without a
        ceiling nobody goes.

        Args:
            held: Slots that a class holds now, by its priority.
        """
        first = self.most_urgent()
        if first.demand.policy.ceiling < 1:
            for priority in self._waiting_priorities():
                if priority > first.demand.policy.priority and not held(priority):
                    return self._queues[priority].first()
        return first

    def least_urgent(self) -> Waiter:
        """The request to be refused first; there must be one."""
        return self._queues[max(self._waiting_priorities())].last()

    def ahead_of_newcomer(self, demand: SlotDemand) -> Mapping[int, int]:
        """How many are served before a request that comes now, by priority."""
        own = demand.policy.priority
        ahead = {priority: len(queue) for priority, queue in self._queues.items() if priority < own}
        ahead[own] = self.queue(own).ahead_of_newcomer(demand.workspace)
        return ahead

    def ahead_of(self, waiter: Waiter) -> Mapping[int, int]:
        """How many are served before the newest request of a workspace, by priority."""
        own = waiter.demand.policy.priority
        ahead = {priority: len(queue) for priority, queue in self._queues.items() if priority < own}
        ahead[own] = self.queue(own).ahead_of_newest(waiter.demand.workspace)
        return ahead

    def gives_way(self, waiter: Waiter, demand: SlotDemand) -> bool:
        """Whether a waiting request is turned away for one that comes now, the queue being full.

        It is less urgent, or its workspace has more waiting than the other would have: the flood of
        one workspace must not keep the others out of the queue.
        """
        own, other = waiter.demand.policy.priority, demand.policy.priority
        if own != other:
            return own > other
        queue = self.queue(own)
        waiting = queue.waiting_of(waiter.demand.workspace)
        return waiting > queue.waiting_of(demand.workspace) + 1

    def _waiting_priorities(self) -> list[int]:
        return [priority for priority, queue in self._queues.items() if len(queue)]

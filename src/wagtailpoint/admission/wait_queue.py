"""Queue of one pool: strict priority between classes, fair queueing within each class."""

from collections.abc import Callable, Mapping
from itertools import count

import trio

from wagtailpoint.admission.demand import Slot, SlotDemand
from wagtailpoint.admission.fair_queue import FairQueue
from wagtailpoint.admission.refusal import Refusal
from wagtailpoint.ports.clock import Clock


class Waiter:
    """A request in the queue; ``ready`` is set when ``slot`` or ``refusal`` is."""

    def __init__(self, *, demand: SlotDemand, number: int) -> None:
        self.demand = demand
        self.number = number
        self.ready = trio.Event()
        self.slot: Slot | None = None
        self.refusal: Refusal | None = None


class WaitQueue:
    """The waiting requests of one pool, by class."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._since: dict[int, float] = {}
        self._queues: dict[int, FairQueue[Waiter]] = {}
        self._numbers = count()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, demand: SlotDemand) -> Waiter:
        """Add a request and return it as a waiter."""
        waiter = Waiter(demand=demand, number=next(self._numbers))
        queue = self.class_queue(demand.policy.priority)
        if not len(queue):
            self._since[demand.policy.priority] = self._clock.monotonic()
        queue.push(demand.workspace, waiter.number, waiter)
        self._size += 1
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from any position."""
        demand = waiter.demand
        self.class_queue(demand.policy.priority).remove(demand.workspace, waiter.number)
        self._size -= 1

    def class_queue(self, priority: int) -> FairQueue[Waiter]:
        """Return the waiting requests of one class."""
        queue = self._queues.get(priority)
        if queue is None:
            queue = self._queues[priority] = FairQueue()
        return queue

    def nonempty_s(self, priority: int) -> float:
        """Return for how many seconds the queue of a class has not been empty."""
        if not len(self.class_queue(priority)):
            return 0.0
        return self._clock.monotonic() - self._since[priority]

    def most_urgent(self) -> Waiter:
        """Return the request to serve first by strict priority; the queue must not be empty."""
        return self._queues[min(self._waiting_priorities())].next_to_serve()

    def next_to_serve(self, held: Callable[[int], int]) -> Waiter:
        """Return the request to serve next: the most urgent one, or one of a starving class.

        With strict priority only, a download would never start while requests of a more urgent
        class wait for hours. So a class that holds no slot gets one before a more urgent class that
        has a ceiling; the slots above that ceiling stay free in any case. A class without a ceiling
        always goes first.

        Args:
            held: Returns the number of slots that a class holds, given its priority.
        """
        first = self.most_urgent()
        if first.demand.policy.ceiling < 1:
            for priority in self._waiting_priorities():
                if priority > first.demand.policy.priority and not held(priority):
                    return self._queues[priority].next_to_serve()
        return first

    def least_urgent(self) -> Waiter:
        """Return the request to refuse first; the queue must not be empty."""
        return self._queues[max(self._waiting_priorities())].next_to_drop()

    def count_ahead_of_new(self, demand: SlotDemand) -> Mapping[int, int]:
        """Return the maximum number of requests served before a new one, by class priority."""
        own = demand.policy.priority
        ahead = {priority: len(queue) for priority, queue in self._queues.items() if priority < own}
        ahead[own] = self.class_queue(own).count_ahead_of_new(demand.workspace)
        return ahead

    def count_ahead_of(self, waiter: Waiter) -> Mapping[int, int]:
        """Return how many requests are served before ``waiter`` at most, by class priority.

        ``waiter`` must be the newest request of its workspace in its class.
        """
        own = waiter.demand.policy.priority
        ahead = {priority: len(queue) for priority, queue in self._queues.items() if priority < own}
        ahead[own] = self.class_queue(own).count_ahead_of_newest(waiter.demand.workspace)
        return ahead

    def is_displaced_by(self, waiter: Waiter, demand: SlotDemand) -> bool:
        """Return whether a new request displaces a waiting one when the queue is full.

        It does if the waiting request is less urgent. Within one class it does if the workspace of
        the waiting request has more requests waiting than the workspace of the new one would have,
        so that a flood of one workspace does not keep others out of the queue.
        """
        waiting_priority, new_priority = waiter.demand.policy.priority, demand.policy.priority
        if waiting_priority != new_priority:
            return waiting_priority > new_priority
        queue = self.class_queue(waiting_priority)
        waiting = queue.waiting_count(waiter.demand.workspace)
        return waiting > queue.waiting_count(demand.workspace) + 1

    def _waiting_priorities(self) -> list[int]:
        return [priority for priority, queue in self._queues.items() if len(queue)]

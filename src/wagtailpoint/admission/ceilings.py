"""Slot ceilings of request classes, which reserve slots for more urgent classes."""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import floor

from wagtailpoint.config.model import BackendServer, ClassPolicy

_ROUNDING_TOLERANCE = 1e-9
"""Added before rounding down: 0.29 × 100 is slightly less than 29 in floating point."""


def max_held_slots(policy: ClassPolicy, slots: int) -> int:
    """Return how many of ``slots`` a class and all less urgent classes may hold together."""
    return floor(policy.ceiling * slots + _ROUNDING_TOLERANCE)


def binding_policies(
    policy: ClassPolicy, classes: Iterable[ClassPolicy]
) -> tuple[ClassPolicy, ...]:
    """Return the classes whose ceilings limit a request of class ``policy``.

    These are its own class and all more urgent ones: a request below its own ceiling could still
    take slots that a more urgent class must leave free for the classes above it. A class with a
    ceiling of 1 is left out, because it limits nothing.
    """
    limits = {limit for limit in classes if limit.priority <= policy.priority} | {policy}
    return tuple(limit for limit in limits if limit.ceiling < 1)


class HeldSlots:
    """Counts the slots held, by backend server and class priority."""

    def __init__(self) -> None:
        self._by_server: dict[BackendServer, Counter[int]] = {}

    def on_server(self, server: BackendServer) -> int:
        """Return how many slots of a backend server are held."""
        held = self._by_server.get(server)
        return held.total() if held is not None else 0

    def total(self) -> int:
        """Return how many slots of all backend servers are held."""
        return sum(held.total() for held in self._by_server.values())

    def add(self, server: BackendServer, priority: int) -> None:
        """Record that a slot was taken."""
        self._by_server.setdefault(server, Counter())[priority] += 1

    def remove(self, server: BackendServer, priority: int) -> None:
        """Record that a slot was released."""
        held = self._by_server[server]
        held[priority] -= 1
        if not held[priority]:
            del held[priority]
        if not held:
            del self._by_server[server]

    def by_priority(self, servers: Iterable[BackendServer]) -> Counter[int]:
        """Return how many slots of the given backend servers are held, by class priority."""
        held: Counter[int] = Counter()
        for server in servers:
            for priority, count in self._by_server.get(server, {}).items():
                held[priority] += count
        return held


def is_below_ceilings(
    policies: Iterable[ClassPolicy], held: Mapping[int, int], slots: int, *, min_allowed: int = 0
) -> bool:
    """Return whether one more slot may be taken under the ceilings of ``policies``.

    Args:
        policies: Classes whose ceilings apply, see ``binding_policies``.
        held: Number of slots held, by class priority.
        slots: Total number of slots.
        min_allowed: Number of slots that every ceiling allows at least.
    """
    for policy in policies:
        below = sum(count for priority, count in held.items() if priority >= policy.priority)
        if below >= max(min_allowed, max_held_slots(policy, slots)):
            return False
    return True

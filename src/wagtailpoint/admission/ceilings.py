"""Ceilings: how many slots a class may still take, so that more urgent ones find room."""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import floor

from wagtailpoint.config.model import BackendServer, ClassPolicy

_ROUNDING = 1e-9
"""0.29 × 100 is a little less than 29 in floating point; the operator means 29."""


def max_held_slots(policy: ClassPolicy, slots: int) -> int:
    """How many of ``slots`` a class and all lower ones may hold together."""
    return floor(policy.ceiling * slots + _ROUNDING)


def binding_policies(
    policy: ClassPolicy, classes: Iterable[ClassPolicy]
) -> tuple[ClassPolicy, ...]:
    """The classes whose ceilings a request of ``policy`` counts against: its own and those above.

    A brochure below its own ceiling may still use up the room that holds and browsing together
    must leave to tonight-searches. A ceiling of all slots binds nothing.
    """
    found = {each for each in classes if each.priority <= policy.priority} | {policy}
    return tuple(each for each in found if each.ceiling < 1)


class HeldSlots:
    """Slots held, by backend server and priority."""

    def __init__(self) -> None:
        self._by_server: dict[BackendServer, Counter[int]] = {}

    def of(self, server: BackendServer) -> int:
        """Slots held of one backend server."""
        held = self._by_server.get(server)
        return held.total() if held is not None else 0

    def total(self) -> int:
        """Slots held of all backend servers."""
        return sum(held.total() for held in self._by_server.values())

    def add(self, server: BackendServer, priority: int) -> None:
        """Note a slot that was taken."""
        self._by_server.setdefault(server, Counter())[priority] += 1

    def remove(self, server: BackendServer, priority: int) -> None:
        """Note a slot that was given back."""
        held = self._by_server[server]
        held[priority] -= 1
        if not held[priority]:
            del held[priority]
        if not held:
            del self._by_server[server]

    def by_priority(self, servers: Iterable[BackendServer]) -> Counter[int]:
        """Slots held of some backend servers, by priority."""
        held: Counter[int] = Counter()
        for server in servers:
            for priority, count in self._by_server.get(server, {}).items():
                held[priority] += count
        return held


def is_below_ceilings(
    policies: Iterable[ClassPolicy], held: Mapping[int, int], slots: int, *, least: int = 0
) -> bool:
    """Whether one more slot may be taken under all these ceilings.

    Args:
        policies: Those that bind, see ``binding_policies``.
        held: Slots held now, by priority.
        slots: Slots in all.
        least: A ceiling allows at least so many slots.
    """
    for policy in policies:
        below = sum(count for priority, count in held.items() if priority >= policy.priority)
        if below >= max(least, max_held_slots(policy, slots)):
            return False
    return True

"""How long a request would wait for a slot, estimated from this instance's own evidence."""

from collections.abc import Iterable, Mapping
from math import exp, inf

from wagtailpoint.config.model import ClassPolicy
from wagtailpoint.ports.clock import Clock

WEIGHT = 1 / 16
"""Of the newest hold time in the mean."""

HELD_MEMORY_S = 0.5
"""Over so many seconds the slots held by a class are averaged: a burst shorter than that must not
look like a class that will never let others pass."""

FIRST_GUESS_S = 0.05
LEAST_ROOM = 0.1
"""Less than a tenth of one slot free on average is no room."""


class _ClassTimes:
    """What is known of one class: how long it holds a slot, and how many it holds on average."""

    def __init__(self, *, now: float) -> None:
        self.hold_s: float | None = None
        self.held = 0
        self._average = 0.0
        self._since = now

    def change(self, now: float, by: int) -> None:
        """Note slots taken or given back."""
        self._average, self._since = self.average(now), now
        self.held += by

    def average(self, now: float) -> float:
        """Slots held, averaged over the last time."""
        part = exp((self._since - now) / HELD_MEMORY_S)
        return self._average * part + self.held * (1 - part)

    def note_hold(self, hold_s: float) -> None:
        """Learn from one slot that was given back."""
        if self.hold_s is None:
            self.hold_s = hold_s
        else:
            self.hold_s += WEIGHT * (hold_s - self.hold_s)


class Waits:
    """Estimates waits in one pool."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._classes: dict[int, _ClassTimes] = {}
        self.slots = 0

    def note_taken(self, priority: int) -> None:
        """A slot was taken by a class."""
        self._of(priority).change(self._clock.monotonic(), 1)

    def note_released(self, priority: int, hold_s: float) -> None:
        """A slot was given back after ``hold_s`` seconds."""
        times = self._of(priority)
        times.change(self._clock.monotonic(), -1)
        times.note_hold(hold_s)

    def hold_s(self, priority: int) -> float:
        """How long a class holds a slot, in seconds, on average."""
        own = self._of(priority).hold_s
        if own is not None:
            return own
        known = [each.hold_s for each in self._classes.values() if each.hold_s is not None]
        return max(known, default=FIRST_GUESS_S)

    def estimate(
        self, policy: ClassPolicy, binding: Iterable[ClassPolicy], ahead: Mapping[int, int]
    ) -> float:
        """Seconds until a request would get its slot; infinite if there is no room for its class.

        Args:
            policy: Its class.
            binding: The ceilings that bind it.
            ahead: How many waiting requests are served before it, by priority.
        """
        own, binding = policy.priority, tuple(binding)
        sharing = {limit.priority for limit in binding if limit.priority < own}
        usual = self._time(own, ahead, self._room(policy, binding))
        if not sharing:
            return usual
        # The least share of one slot is taken from these, so that what they hold doesn't count.
        strict = {priority: count for priority, count in ahead.items() if priority not in sharing}
        left = self.slots - sum(
            held for priority, held in self._above(own).items() if priority not in sharing
        )
        return min(usual, self._time(own, strict, min(1.0, left)))

    def held(self, priority: int) -> int:
        """Slots that a class holds now."""
        return self._of(priority).held

    def _time(self, own: int, ahead: Mapping[int, int], room: float) -> float:
        if room < LEAST_ROOM:
            return inf
        work = sum(count * self.hold_s(priority) for priority, count in ahead.items())
        return (work + self.hold_s(own)) / room

    def _room(self, policy: ClassPolicy, binding: Iterable[ClassPolicy]) -> float:
        """Slots that the more urgent classes leave to this one, on average."""
        above = self._above(policy.priority)
        room = self.slots - sum(above.values())
        for limit in binding:
            taken = sum(held for priority, held in above.items() if priority >= limit.priority)
            room = min(room, max(1.0, limit.ceiling * self.slots) - taken)
        return room

    def _above(self, own: int) -> Mapping[int, float]:
        """Slots that each more urgent class holds on average."""
        now = self._clock.monotonic()
        return {
            priority: times.average(now)
            for priority, times in self._classes.items()
            if priority < own
        }

    def _of(self, priority: int) -> _ClassTimes:
        times = self._classes.get(priority)
        if times is None:
            times = self._classes[priority] = _ClassTimes(now=self._clock.monotonic())
        return times

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
        self._mean_hold_s: float | None = None
        self.held = 0
        self._taken_sum = 0.0
        self._average = 0.0
        self._since = now

    def note_taken(self, now: float) -> None:
        """A slot was taken."""
        self._change(now, 1)
        self._taken_sum += now

    def note_released(self, now: float, hold_s: float) -> None:
        """A slot was given back after ``hold_s`` seconds."""
        self._change(now, -1)
        self._taken_sum = self._taken_sum - (now - hold_s) if self.held else 0.0
        self._learn(hold_s)

    def expected_hold_s(self, now: float) -> float | None:
        """How long a slot is held, in seconds; None if nothing is known yet."""
        if not self.held:
            return self._mean_hold_s
        # Those in flight are held for their mean age so far. Of exponential times that is the mean
        # time itself, so half of it says nothing new, unless the backend servers stall: then no
        # slot is given back, and the mean of those that were would never learn of it.
        age_s = now - self._taken_sum / self.held
        return age_s if self._mean_hold_s is None else max(self._mean_hold_s, age_s / 2)

    def average(self, now: float) -> float:
        """Slots held, averaged over the last time."""
        part = exp((self._since - now) / HELD_MEMORY_S)
        return self._average * part + self.held * (1 - part)

    def _change(self, now: float, by: int) -> None:
        self._average, self._since = self.average(now), now
        self.held += by

    def _learn(self, hold_s: float) -> None:
        if self._mean_hold_s is None:
            self._mean_hold_s = hold_s
        else:
            self._mean_hold_s += WEIGHT * (hold_s - self._mean_hold_s)


class Waits:
    """Estimates waits in one pool."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._classes: dict[int, _ClassTimes] = {}
        self.slots = 0

    def note_taken(self, priority: int) -> None:
        """A slot was taken by a class."""
        self._of(priority).note_taken(self._clock.monotonic())

    def note_released(self, priority: int, hold_s: float) -> None:
        """A slot was given back after ``hold_s`` seconds."""
        self._of(priority).note_released(self._clock.monotonic(), hold_s)

    def hold_s(self, priority: int) -> float:
        """How long a class holds a slot, in seconds, on average."""
        now = self._clock.monotonic()
        own = self._of(priority).expected_hold_s(now)
        if own is not None:
            return own
        known = [each.expected_hold_s(now) for each in self._classes.values()]
        return max((hold_s for hold_s in known if hold_s is not None), default=FIRST_GUESS_S)

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

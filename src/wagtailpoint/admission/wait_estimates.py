"""Estimates of how long a request waits for a slot, from this instance's own measurements."""

from collections.abc import Iterable, Mapping
from math import exp, inf

from wagtailpoint.config.model import ClassPolicy
from wagtailpoint.ports.clock import Clock

HOLD_WEIGHT = 1 / 16
"""Weight of the newest hold time in the exponential average."""

HELD_TIME_CONSTANT_S = 0.5
"""Time constant of the exponential average of slots held by a class. Without averaging, a burst of
a more urgent class, even a short one, would look as if it left no slots to other classes."""

INITIAL_HOLD_S = 0.05
"""Hold time assumed before any was measured."""

MIN_ROOM = 0.1
"""Number of slots; with less than a tenth of one slot free on average, the wait is infinite."""


class _ClassTimes:
    """Statistics of one class: how long it holds a slot, and how many slots it holds."""

    def __init__(self, *, now: float) -> None:
        self._mean_hold_s: float | None = None
        self.held = 0
        self._taken_at_sum = 0.0
        self._mean_held = 0.0
        self._since = now

    def record_taken(self, now: float) -> None:
        """Record that a slot was taken."""
        self._change(now, 1)
        self._taken_at_sum += now

    def record_released(self, now: float, hold_s: float) -> None:
        """Record that a slot was released after ``hold_s`` seconds."""
        self._change(now, -1)
        self._taken_at_sum = self._taken_at_sum - (now - hold_s) if self.held else 0.0
        self._record_hold(hold_s)

    def expected_hold_s(self, now: float) -> float | None:
        """Return the expected hold time of a slot in seconds; None before any slot was taken."""
        if not self.held:
            return self._mean_hold_s
        # When backend servers stall, no slot is released, so the mean of completed hold times does
        # not rise; the mean age of the slots held does. With exponentially distributed hold times
        # that age equals the mean hold time, so half of it exceeds the mean only in a stall.
        age_s = now - self._taken_at_sum / self.held
        return age_s if self._mean_hold_s is None else max(self._mean_hold_s, age_s / 2)

    def mean_held(self, now: float) -> float:
        """Return the exponential average of the number of slots held."""
        decay = exp((self._since - now) / HELD_TIME_CONSTANT_S)
        return self._mean_held * decay + self.held * (1 - decay)

    def _change(self, now: float, by: int) -> None:
        self._mean_held, self._since = self.mean_held(now), now
        self.held += by

    def _record_hold(self, hold_s: float) -> None:
        if self._mean_hold_s is None:
            self._mean_hold_s = hold_s
        else:
            self._mean_hold_s += HOLD_WEIGHT * (hold_s - self._mean_hold_s)


class WaitEstimator:
    """Estimates how long requests of one pool wait for a slot."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._classes: dict[int, _ClassTimes] = {}
        self.slots = 0

    def record_taken(self, priority: int) -> None:
        """Record that a class took a slot."""
        self._times_of(priority).record_taken(self._clock.monotonic())

    def record_released(self, priority: int, hold_s: float) -> None:
        """Record that a class released a slot after ``hold_s`` seconds."""
        self._times_of(priority).record_released(self._clock.monotonic(), hold_s)

    def hold_s(self, priority: int) -> float:
        """Return how long a class holds a slot on average, in seconds."""
        now = self._clock.monotonic()
        own = self._times_of(priority).expected_hold_s(now)
        if own is not None:
            return own
        known = [times.expected_hold_s(now) for times in self._classes.values()]
        return max((hold_s for hold_s in known if hold_s is not None), default=INITIAL_HOLD_S)

    def estimate(
        self, policy: ClassPolicy, binding: Iterable[ClassPolicy], ahead: Mapping[int, int]
    ) -> float:
        """Return the estimated wait for a slot in seconds; infinite if its class finds no room.

        Args:
            policy: Class of the request.
            binding: Classes whose ceilings apply to it, see ``binding_policies``.
            ahead: Number of waiting requests that are served before it, by class priority.
        """
        own, binding = policy.priority, tuple(binding)
        sharing = {limit.priority for limit in binding if limit.priority < own}
        usual = self._time(own, ahead, self._room(policy, binding))
        if not sharing:
            return usual
        # Under a shared ceiling a class that holds no slot gets one before the more urgent classes
        # go on, so their slots and their waiting requests are left out for that one slot.
        strict = {priority: count for priority, count in ahead.items() if priority not in sharing}
        left = self.slots - sum(
            held for priority, held in self._above(own).items() if priority not in sharing
        )
        return min(usual, self._time(own, strict, min(1.0, left)))

    def held(self, priority: int) -> int:
        """Return the number of slots that a class holds."""
        return self._times_of(priority).held

    def _time(self, own: int, ahead: Mapping[int, int], room: float) -> float:
        if room < MIN_ROOM:
            return inf
        work = sum(count * self.hold_s(priority) for priority, count in ahead.items())
        return (work + self.hold_s(own)) / room

    def _room(self, policy: ClassPolicy, binding: Iterable[ClassPolicy]) -> float:
        """Return how many slots the more urgent classes leave to a class on average."""
        above = self._above(policy.priority)
        room = self.slots - sum(above.values())
        for limit in binding:
            taken = sum(held for priority, held in above.items() if priority >= limit.priority)
            room = min(room, max(1.0, limit.ceiling * self.slots) - taken)
        return room

    def _above(self, own: int) -> Mapping[int, float]:
        """Return the average number of slots held by each more urgent class, by priority."""
        now = self._clock.monotonic()
        return {
            priority: times.mean_held(now)
            for priority, times in self._classes.items()
            if priority < own
        }

    def _times_of(self, priority: int) -> _ClassTimes:
        times = self._classes.get(priority)
        if times is None:
            times = self._classes[priority] = _ClassTimes(now=self._clock.monotonic())
        return times

"""How late ready tasks and timers of this process run."""

from typing import Final

import trio

HOLD_S: Final = 0.25
"""The largest delay within this time counts in full, and decays afterwards."""

HALF_LIFE_S: Final = 0.5

LOAD_FRACTION: Final = 1 / 4
"""A delay of this fraction of the shortest objective is a load of 1: a request meets it twice, and
half of the objective is then left for the backend server."""

MIN_FREEZE_S: Final = 0.5
"""A longer gap with nothing before it is a freeze: an overload grows from shorter delays."""

CALM_DELAY_S: Final = 0.1
"""A delay before a gap up to which the gap counts as a freeze."""

MIN_DELAY_S: Final = 0.002
"""Shorter delays are not recorded, which keeps the cost of most turns low. They are far below an
eighth of any objective."""

CATCH_UP_S: Final = 0.5
"""Time after a freeze in which the work that waited is done, whose delays are no overload."""


class LoopDelay(trio.abc.Instrument):
    """Measures the delay of the event loop at each of its turns, without a timer of its own.

    The delay of a turn is the time by which the wait before it lasted longer than asked for, plus
    the time that its tasks ran: what was ready at its beginning waits up to that long. Trio removes
    an instrument that raises, and the last delay then decays.
    """

    def __init__(self) -> None:
        """Initialise the instrument; ``trio.lowlevel.add_instrument`` begins to measure."""
        self._peak_s = 0.0
        self._peak_at = 0.0
        self._wait_began_at: float | None = None
        self._wait_limit_s = 0.0
        self._turn_due_at: float | None = None
        self._frozen_until: float | None = None

    def before_io_wait(self, timeout: float) -> None:
        """Record that the tasks of a turn have run and the loop waits for at most ``timeout``."""
        now = trio.current_time()
        if self._turn_due_at is not None:
            if now - self._turn_due_at >= MIN_DELAY_S:
                self._record(self._turn_due_at, now)
            self._turn_due_at = None
        self._wait_began_at = now
        self._wait_limit_s = timeout

    def after_io_wait(self, timeout: float) -> None:
        """Record that a turn begins."""
        now = trio.current_time()
        if self._wait_began_at is not None:
            self._turn_due_at = min(now, self._wait_began_at + self._wait_limit_s)

    def read(self, now: float) -> float:
        """Return the delay in seconds: the largest of the last 0.25 s, or what is left of it.

        Args:
            now: The current trio time in seconds.
        """
        if self._turn_due_at is None:
            return self._decayed(now)
        return max(self._decayed(now), self._counted(self._turn_due_at, now))

    def load(self, shortest_objective_s: float) -> float:
        """Return the delay as a load from 0 to 1.

        Args:
            shortest_objective_s: The shortest latency objective of any route, in seconds.
        """
        return min(1.0, self.read(trio.current_time()) / (LOAD_FRACTION * shortest_objective_s))

    def _record(self, due_at: float, now: float) -> None:
        delay_s = self._counted(due_at, now)
        if delay_s >= self._decayed(now):
            self._peak_s = delay_s
            self._peak_at = now
        if not delay_s and now - due_at > MIN_FREEZE_S:
            self._frozen_until = now

    def _counted(self, due_at: float, now: float) -> float:
        """Return the delay of a turn; 0 for a freeze and for the work that waited through it."""
        delay_s = max(0.0, now - due_at)
        catches_up = self._frozen_until is not None and due_at - self._frozen_until < CATCH_UP_S
        if delay_s > MIN_FREEZE_S:
            is_freeze = not catches_up and self._decayed(due_at) <= CALM_DELAY_S
            return 0.0 if is_freeze else delay_s
        return 0.0 if catches_up else delay_s

    def _decayed(self, now: float) -> float:
        age_s = max(0.0, now - self._peak_at - HOLD_S)
        return float(self._peak_s * 0.5 ** (age_s / HALF_LIFE_S))

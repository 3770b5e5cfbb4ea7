"""How long the planned stop of this instance has run, and how long the process goes on."""

import math
from typing import Final

import trio

from wagtailpoint.ports.clock import Clock

MARGIN_S: Final = 0.5
"""The process ends this much earlier than the platform would kill it."""


class StopClock:
    """Measures the planned stop of an instance, which has one at most."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialise the clock of a stop that has not begun.

        Args:
            clock: The clock, which counts the time in suspension.
        """
        self._clock = clock
        self._began_at: float | None = None
        self._ends_at = math.inf
        self._has_ended = False

    @property
    def has_begun(self) -> bool:
        """Whether the instance is stopping."""
        return self._began_at is not None

    @property
    def has_ended(self) -> bool:
        """Whether the process ends now, and with it the requests that are still open."""
        return self._has_ended

    @property
    def running_s(self) -> float:
        """The time since the beginning of the stop in seconds; 0 before."""
        return 0.0 if self._began_at is None else self._clock.monotonic() - self._began_at

    @property
    def remaining_s(self) -> float:
        """The time until the process ends, in seconds; infinite before a stop."""
        return math.inf if self._began_at is None else self._ends_at - self._clock.monotonic()

    def running_at_s(self, time_s: float) -> float:
        """Return how long the stop had run at a trio time, in seconds; negative before it began."""
        return self.running_s - (trio.current_time() - time_s)

    def begin(self, *, began_at: float, lasts_s: float) -> None:
        """Begin the stop.

        Args:
            began_at: When it began, in seconds of the clock.
            lasts_s: The time from then on until the process ends, in seconds.
        """
        self._began_at = began_at
        self._ends_at = began_at + lasts_s

    def end(self) -> None:
        """Record that the process ends now."""
        self._has_ended = True

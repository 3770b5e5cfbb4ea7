"""How long the planned stop of this instance has run."""

import trio

from wagtailpoint.ports.clock import Clock


class StopClock:
    """Measures the planned stop of an instance, which has one at most."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialise the clock of a stop that has not begun.

        Args:
            clock: The clock, which counts the time in suspension.
        """
        self._clock = clock
        self._began_at: float | None = None
        self._has_ended = False

    @property
    def has_ended(self) -> bool:
        """Whether the process ends now, and with it the requests that are still open."""
        return self._has_ended

    @property
    def running_s(self) -> float:
        """The time since the beginning of the stop in seconds; 0 before."""
        return 0.0 if self._began_at is None else self._clock.monotonic() - self._began_at

    def running_at_s(self, time_s: float) -> float:
        """Return how long the stop had run at a trio time, in seconds; negative before it began."""
        return self.running_s - (trio.current_time() - time_s)

    def begin(self, began_at: float) -> None:
        """Begin the stop at a time of the clock, in seconds."""
        self._began_at = began_at

    def end(self) -> None:
        """Record that the process ends now."""
        self._has_ended = True

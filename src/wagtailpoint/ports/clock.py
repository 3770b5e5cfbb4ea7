"""Clocks, which are passed to all code that depends on the time, so that tests control it."""

from typing import Protocol


class Clock(Protocol):
    """The clocks of one instance."""

    def monotonic(self) -> float:
        """Return monotonic seconds that include time spent in suspension (CLOCK_BOOTTIME).

        Leases are measured with it. With a clock that stops during suspension, a holder that was
        suspended past the end of its lease would believe that it still holds it.
        """
        ...

    def wall(self) -> float:
        """Return seconds since the epoch; only for display and for the hybrid logical clock."""
        ...

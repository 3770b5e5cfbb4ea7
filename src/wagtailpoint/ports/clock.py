"""Clocks. Decisions never read the time by themselves, so that tests can move it."""

from typing import Protocol


class Clock(Protocol):
    """The clocks of one instance."""

    def monotonic(self) -> float:
        """Seconds that count on while the machine is suspended (CLOCK_BOOTTIME), never backwards.

        Leases are measured with it: with a clock that stops during suspension a holder that was
        frozen past its lease would wake and believe that it still holds it.
        """
        ...

    def wall(self) -> float:
        """Seconds since the epoch; only for people and for the hybrid logical clock."""
        ...

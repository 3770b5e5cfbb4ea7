"""Pacing of what one instance sends to the receiving side of a move."""

from math import floor
from typing import Final

from wagtailpoint.ports.clock import Clock

WINDOW_S: Final = 1.25
"""The window in which the allowance holds, in seconds.

The cap is a number for each second *at the receiving side*. What left evenly may arrive closer
together, since ways and queues take varying times. A quarter of a second is left for that.
"""

BURST_DIVISOR: Final = 5
"""The more an instance may send, the more of it at once: random arrivals come in small bursts, and
strict spacing would turn half of them away."""

_ROUNDING_TOLERANCE: Final = 1e-9


def floor_share(cap_rps: float, fraction: float) -> int:
    """The requests in any second that an instance may send with its part of a cap.

    Rounded down, so that the sum over all instances never exceeds the cap.

    Args:
        cap_rps: The cap of all instances together.
        fraction: The instance's part (0 to 1).
    """
    return floor(cap_rps * fraction + _ROUNDING_TOLERANCE)


class PacedAllowance:
    """Lets a number of requests pass in any ``WINDOW_S``, spread over it (the rule "GCRA").

    Nothing is saved up over idle time but a small burst. A plain token bucket that holds a second's
    worth sends twice the cap in the second after a pause.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # A process restarted within the second has the part that its predecessor may have spent.
        self._starts_at = clock.monotonic() + WINDOW_S
        self._next_due = self._starts_at

    def has_room(self, max_rps: int) -> bool:
        """Whether one more may pass now, of ``most`` in a second."""
        now = self._clock.monotonic()
        if max_rps < 1 or now < self._starts_at:
            return False
        burst, spacing_s = _burst_and_spacing(max_rps)
        return now >= self._next_due - (burst - 1) * spacing_s

    def spend(self, max_rps: int) -> None:
        """Note that one passes now; in the same step as ``room``, with no await in between."""
        _, spacing_s = _burst_and_spacing(max_rps)
        self._next_due = max(self._clock.monotonic(), self._next_due) + spacing_s


def _burst_and_spacing(max_rps: int) -> tuple[int, float]:
    """The burst, and the seconds between two requests.

    A second holds at most ``1 / spacing + burst`` requests, rounded down, which is ``most`` or
    less for every ``most``.
    """
    burst = 1 + max_rps // BURST_DIVISOR
    return burst, WINDOW_S / (max_rps - burst + 1)

"""Pacing of the requests that one instance sends to the receiving side of a move."""

from math import floor
from typing import Final

from wagtailpoint.ports.clock import Clock

WINDOW_S: Final = 1.25
"""The window to which the allowance applies, in seconds.

The cap limits the requests per second *at the receiving side*. Requests that leave evenly spaced
may arrive closer together, because network and queueing delays vary; a quarter of a second is
reserved for that.
"""

BURST_DIVISOR: Final = 5
"""The allowance per request of additional burst. Random arrivals come in small bursts, and strict
spacing would turn half of them away."""

_ROUNDING_TOLERANCE: Final = 1e-9


def floor_share(cap_rps: float, fraction: float) -> int:
    """Return the requests that an instance may send in any second, given its fraction of a cap.

    The result is rounded down, so that the sum over all instances never exceeds the cap.

    Args:
        cap_rps: The cap of all instances together, in requests per second.
        fraction: The fraction of the cap that the instance may use (0 to 1).
    """
    return floor(cap_rps * fraction + _ROUNDING_TOLERANCE)


class PacedAllowance:
    """Limits the requests in any ``WINDOW_S`` by the generic cell rate algorithm (GCRA).

    Requests are spaced, and idle time accumulates no more than a small burst. A token bucket that
    holds the tokens of one second would allow twice the cap in the second after a pause.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # A former process at this address may have spent the same fraction of the cap within the
        # last second, so nothing passes until that time is over.
        self._starts_at = clock.monotonic() + WINDOW_S
        self._next_due = self._starts_at

    def has_room(self, max_rps: int) -> bool:
        """Return whether one more request may pass now, with ``max_rps`` allowed in a second."""
        now = self._clock.monotonic()
        if max_rps < 1 or now < self._starts_at:
            return False
        burst, spacing_s = _burst_and_spacing(max_rps)
        return now >= self._next_due - (burst - 1) * spacing_s

    def spend(self, max_rps: int) -> None:
        """Record that a request passes now; must follow ``has_room`` with no await in between."""
        _, spacing_s = _burst_and_spacing(max_rps)
        self._next_due = max(self._clock.monotonic(), self._next_due) + spacing_s


def _burst_and_spacing(max_rps: int) -> tuple[int, float]:
    """Return the burst, and the spacing of requests in seconds.

    A second holds at most ``1 / spacing + burst`` requests, rounded down, which never exceeds
    ``max_rps``.
    """
    burst = 1 + max_rps // BURST_DIVISOR
    return burst, WINDOW_S / (max_rps - burst + 1)

"""How many instances share what is bounded for all of them together."""

import math
from collections.abc import Callable
from typing import Final

import trio

CONVERGENCE_DELAY_S: Final = 10.0
"""So long after the first other instance was heard of, all are known; before, the registered ones
count as well, although some of them may be gone."""

PEAK_RETENTION_S: Final = 300.0
"""An instance that hears of few others may be cut off from the rest, which go on to spend their
parts: the most that were alive count for so long."""


class InstanceCount:
    """A count that is too large rather than too small.

    Each instance spends its part of the repeated sends and of what cold backend servers bear. If
    one believes that there are fewer instances than there are, the sum exceeds the bound; the other
    way round a part of it is not used.
    """

    def __init__(self, *, alive: Callable[[], int], registered: Callable[[], int]) -> None:
        """Make it.

        Args:
            alive: How many instances are known to be alive, this one included.
            registered: How many have registered; those that were lost may be among them.
        """
        self._alive = alive
        self._registered = registered
        self._peak = 1
        self._peak_at = -math.inf
        self._first_peer_at = math.inf

    @property
    def value(self) -> int:
        """The number to divide by; at least 1."""
        now = trio.current_time()
        alive = max(1, self._alive())
        if alive >= self._peak or now - self._peak_at > PEAK_RETENTION_S:
            self._peak, self._peak_at = alive, now
        if alive > 1:
            self._first_peer_at = min(self._first_peer_at, now)
        if now - self._first_peer_at >= CONVERGENCE_DELAY_S:
            return self._peak
        return max(self._peak, self._registered())

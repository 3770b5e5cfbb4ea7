"""The number of instances that share a bound."""

import math
from collections.abc import Callable
from typing import Final

import trio

CONVERGENCE_DELAY_S: Final = 10.0
"""This long after the first other instance is seen, membership knows all of them. Until then the
registered instances count as well, although some of them may be gone."""

PEAK_RETENTION_S: Final = 300.0
"""How long the highest number of live instances counts. An instance that sees fewer of them may be
cut off from the others, which continue to spend their shares."""


class InstanceCount:
    """Counts instances, with errors towards too many.

    Each instance spends its share of the retries and of the requests that cold backend servers can
    take. A count that is too small makes the sum exceed the bound; a count that is too large
    leaves some of the bound unused.
    """

    def __init__(self, *, alive: Callable[[], int], registered: Callable[[], int]) -> None:
        """Initialise the count.

        Args:
            alive: Returns the number of instances known to be alive, including this one.
            registered: Returns the number of registered instances, which may include lost ones.
        """
        self._alive = alive
        self._registered = registered
        self._peak = 1
        self._peak_at = -math.inf
        self._first_peer_at = math.inf

    @property
    def value(self) -> int:
        """The number of instances to divide a bound by; at least 1."""
        now = trio.current_time()
        alive = max(1, self._alive())
        if alive >= self._peak or now - self._peak_at > PEAK_RETENTION_S:
            self._peak, self._peak_at = alive, now
        if alive > 1:
            self._first_peer_at = min(self._first_peer_at, now)
        if now - self._first_peer_at >= CONVERGENCE_DELAY_S:
            return self._peak
        return max(self._peak, self._registered())

"""How many requests a cold backend server gets, over all instances."""

from collections.abc import Callable
from typing import NamedTuple

import trio

SAFETY = 0.8
"""The part of the bound that is spent: requests sent evenly arrive bunched by delays on the way."""

BURST = 1.0


class ColdBound(NamedTuple):
    """What a cold backend server may get in a second, from all instances together.

    Attributes:
        overage: So many times its own rate,
        slack: and so many requests more.
    """

    overage: float
    slack: float

    def per_second(self, cold_per_s: float) -> float:
        """Requests a second for a backend server that bears ``cold_per_s``."""
        return cold_per_s * self.overage + self.slack


class _Bucket:
    def __init__(self, now: float) -> None:
        self.tokens = BURST
        self.at = now


class ColdPacing:
    """A token bucket for each cold backend server, with this instance's part of the bound.

    Every instance spends its own part, so that the sum keeps the bound without any message. Of
    ``n`` instances each may send its burst and a second's rate within one second, so the rate of
    one is what is left of its part after the burst.
    """

    def __init__(self, *, bound: Callable[[], ColdBound], instances: Callable[[], int]) -> None:
        """Make it.

        Args:
            bound: Of all instances together, as it is now.
            instances: How many instances there may be.
        """
        self._bound = bound
        self._instances = instances
        self._buckets: dict[str, _Bucket] = {}

    def may_send(self, server_id: str, cold_per_s: float) -> bool:
        """Whether a request may go to a cold backend server now."""
        bucket = self._refilled(server_id, cold_per_s)
        return bucket.tokens >= 1.0

    def note_sent(self, server_id: str, cold_per_s: float) -> None:
        """Spend what a request costs."""
        self._refilled(server_id, cold_per_s).tokens -= 1.0

    def forget(self, server_id: str) -> None:
        """Forget a backend server that is gone."""
        self._buckets.pop(server_id, None)

    def _refilled(self, server_id: str, cold_per_s: float) -> _Bucket:
        now = trio.current_time()
        bucket = self._buckets.get(server_id)
        if bucket is None:
            bucket = self._buckets[server_id] = _Bucket(now)
        part = SAFETY * self._bound().per_second(cold_per_s) / max(1, self._instances())
        rate = max(0.0, part - BURST)
        bucket.tokens = min(BURST, bucket.tokens + rate * (now - bucket.at))
        bucket.at = now
        return bucket

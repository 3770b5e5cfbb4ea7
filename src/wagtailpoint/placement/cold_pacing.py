"""How many requests a cold backend server gets, over all instances."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerStart

SAFETY_FRACTION = 0.8
"""The part of the bound that is spent: requests sent evenly arrive bunched by delays on the way."""

BURST_REQUESTS = 1.0

SENDER_RATE_PER_S = 5.0
"""Requests a second of one sender, its burst included. Fewer senders use more of the bound, as each
keeps back a burst; when two instances disagree who sends, one of few is a larger part too many."""


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
        self.tokens = BURST_REQUESTS
        self.refilled_at = now


class ColdPacing:
    """A token bucket for each cold backend server, with this instance's part of the bound.

    Every sender spends its own part, so that the sum keeps the bound without any message. Of ``n``
    senders each may send its burst and a second's rate within one second, so the rate of one is
    what is left of its part after the burst.
    """

    def __init__(
        self,
        *,
        bound: Callable[[], ColdBound],
        count_senders: Callable[[ServerStart, str, int], int],
    ) -> None:
        """Make it.

        Args:
            bound: Of all instances together, as it is now.
            count_senders: Given a backend server, its region and how many may share it: how many
                instances do, 0 if this one does not.
        """
        self._bound = bound
        self._count_senders = count_senders
        self._buckets: dict[ServerStart, _Bucket] = {}

    def may_send(self, start: ServerStart, region: str, cold_per_s: float) -> bool:
        """Whether a request may go to a cold backend server now."""
        return self._refilled(start, region, cold_per_s).tokens >= 1.0

    def record_sent(self, start: ServerStart, region: str, cold_per_s: float) -> None:
        """Spend what a request costs."""
        self._refilled(start, region, cold_per_s).tokens -= 1.0

    def remove(self, start: ServerStart) -> None:
        """Forget a backend server that is gone."""
        self._buckets.pop(start, None)

    def _refilled(self, start: ServerStart, region: str, cold_per_s: float) -> _Bucket:
        now = trio.current_time()
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = self._buckets[start] = _Bucket(now)
        bound = SAFETY_FRACTION * self._bound().per_second(cold_per_s)
        senders = self._count_senders(start, region, max(1, int(bound / SENDER_RATE_PER_S)))
        # A part below one burst is no part: the bursts of all would come in the same second.
        rate = bound / senders - BURST_REQUESTS if senders else -1.0
        burst = BURST_REQUESTS if rate >= 0 else 0.0
        bucket.tokens = min(burst, bucket.tokens + max(0.0, rate) * (now - bucket.refilled_at))
        bucket.refilled_at = now
        return bucket

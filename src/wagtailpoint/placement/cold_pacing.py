"""Rate limit for cold backend servers, shared by all instances."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerStart

SAFETY_FRACTION = 0.8
"""Fraction of the bound that is used, since network delays bunch requests that are sent evenly."""

BURST_REQUESTS = 1.0

SENDER_RATE_PER_S = 5.0
"""Rate of one sender in requests a second, including its burst. Each sender reserves a burst, so
fewer senders use more of the bound; but while two instances disagree about the senders, the surplus
sender adds a larger share the fewer senders there are."""


class ColdBound(NamedTuple):
    """Bound on the requests that all instances together send to a cold backend server.

    Attributes:
        overage: The factor by which the backend server's cold rate is multiplied.
        slack: The requests a second that are added to it.
    """

    overage: float
    slack: float

    def per_second(self, cold_per_s: float) -> float:
        """Return the bound in requests a second for a backend server with this cold rate."""
        return cold_per_s * self.overage + self.slack


class _Bucket:
    def __init__(self, now: float) -> None:
        self.tokens = BURST_REQUESTS
        self.refilled_at = now


class ColdPacing:
    """A token bucket for each cold backend server, with this instance's share of the bound.

    Each sender keeps to its own share, so the sum stays within the bound without any message. One
    sender may send its burst and a second's rate within the same second, so its rate is its share
    less the burst.
    """

    def __init__(
        self,
        *,
        bound: Callable[[], ColdBound],
        count_senders: Callable[[str, str, int], int],
    ) -> None:
        """Initialise the buckets.

        Args:
            bound: Returns the current bound of all instances together.
            count_senders: Returns how many instances send to a backend server, 0 if this one is
                not among them, given its id, its region and the maximum number of senders.
        """
        self._bound = bound
        self._count_senders = count_senders
        self._buckets: dict[ServerStart, _Bucket] = {}

    def may_send(self, start: ServerStart, region: str, cold_per_s: float) -> bool:
        """Return whether a request may be sent to a cold backend server at the moment."""
        return self._refilled(start, region, cold_per_s).tokens >= 1.0

    def record_sent(self, start: ServerStart, region: str, cold_per_s: float) -> None:
        """Take a token for a request that is sent."""
        self._refilled(start, region, cold_per_s).tokens -= 1.0

    def remove(self, start: ServerStart) -> None:
        """Remove the bucket of a backend server that is gone."""
        self._buckets.pop(start, None)

    def _refilled(self, start: ServerStart, region: str, cold_per_s: float) -> _Bucket:
        now = trio.current_time()
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = self._buckets[start] = _Bucket(now)
        bound = SAFETY_FRACTION * self._bound().per_second(cold_per_s)
        senders = self._count_senders(
            start.server_id, region, max(1, int(bound / SENDER_RATE_PER_S))
        )
        # A sender with a share below one burst must not send: all bursts could come in one second.
        rate = bound / senders - BURST_REQUESTS if senders else -1.0
        burst = BURST_REQUESTS if rate >= 0 else 0.0
        bucket.tokens = min(burst, bucket.tokens + max(0.0, rate) * (now - bucket.refilled_at))
        bucket.refilled_at = now
        return bucket

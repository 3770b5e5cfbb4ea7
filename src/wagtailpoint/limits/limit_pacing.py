"""Paces the requests to backend servers that state a limit, by a few instances for each."""

import math
from collections.abc import Callable
from typing import Final

import trio

from wagtailpoint.limits.stated_limit import StatedLimits
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics

MAX_SAVED_S: Final = 2.0
"""Duration, in seconds, whose requests all senders of a backend server may save together; they may
arrive at the same time. Each sender saves one request at least, which bounds their number."""

LOW_LIMIT_SENDERS: Final = 4
"""Number of senders up to which a limit is shared, however low; a higher limit may have more."""

MIN_SHARED_PER_S: Final = 1.0
"""Limit from which several senders share it. With a lower one, the requests that they may save
would add up to more than the limit allows in some seconds."""

MIN_PER_S: Final = 0.2
"""Rate at which a backend server gets requests that states a lower limit, or zero. Only an answer
can tell that the limit was lifted."""


class _Bucket:
    """The tokens of this instance for one backend server; each lets one request be sent."""

    def __init__(self, *, filled_at: float) -> None:
        # Empty, since this instance may have sent requests just before it heard of the limit.
        self.tokens = 0.0
        self.filled_at = filled_at
        self.rate_per_s = math.nan

    def refill(self, rate_per_s: float, depth: float, now: float) -> None:
        """Add the tokens since the last refill, at the lower of the former and the new rate."""
        rate = rate_per_s if math.isnan(self.rate_per_s) else min(rate_per_s, self.rate_per_s)
        self.tokens = min(depth, self.tokens + rate * (now - self.filled_at))
        self.filled_at = now
        self.rate_per_s = rate_per_s


class LimitPacing:
    """Token buckets with this instance's part of each stated limit.

    All instances choose the same senders of a backend server, so the sum keeps the limit without a
    message for each request. Instances that are no senders use other backend servers.
    """

    def __init__(
        self,
        *,
        limits: StatedLimits,
        count_senders: Callable[[str, str, int], int],
        metrics: Metrics,
    ) -> None:
        """Initialise without any bucket.

        Args:
            limits: The limits that backend servers state.
            count_senders: Returns how many instances send to a backend server, 0 if this one is
                not among them, given the server, its region and the maximum number of senders.
            metrics: Counts the requests that a limit kept from a backend server.
        """
        self._limits = limits
        self._count_senders = count_senders
        self._metrics = metrics
        self._buckets: dict[str, _Bucket] = {}

    @property
    def has_any(self) -> bool:
        """Whether any backend server has stated a limit."""
        return self._limits.has_any

    def has_limit(self, server: str) -> bool:
        """Return whether a backend server states a limit."""
        return self._limits.per_s(server) is not None

    def may_send(self, server: str, region: str) -> bool:
        """Return whether a request may be sent to a backend server at the moment."""
        per_s = self._limits.per_s(server)
        if per_s is None:
            self._buckets.pop(server, None)
            return True
        return self._refilled(server, region, max(MIN_PER_S, per_s)).tokens >= 1.0

    def take(self, server: str, region: str) -> bool:
        """Take a token for a request that is about to be sent; return False if there is none."""
        if not self.may_send(server, region):
            self._metrics.count("limit.withheld")
            return False
        bucket = self._buckets.get(server)
        if bucket is not None:
            bucket.tokens -= 1.0
        return True

    def forget(self, server: str) -> None:
        """Remove the bucket of a backend server that is gone or has restarted."""
        self._buckets.pop(server, None)

    def _refilled(self, server: str, region: str, per_s: float) -> _Bucket:
        bucket = self._buckets.get(server)
        if bucket is None:
            bucket = self._buckets[server] = _Bucket(filled_at=self._limits.heard_at(server))
        max_senders = _max_senders(per_s)
        senders = self._count_senders(server, region, max_senders)
        # While not all instances are known, they may all count as senders: too many to send.
        rate_per_s = per_s / senders if 0 < senders <= max_senders else 0.0
        if rate_per_s != bucket.rate_per_s:
            log_event(
                "limit-in-force",
                server=server,
                per_s=per_s,
                senders=senders,
                part_per_s=round(rate_per_s, 3),
            )
        bucket.refill(rate_per_s, _depth(rate_per_s), trio.current_time())
        return bucket


def _max_senders(per_s: float) -> int:
    """Return how many instances may send to a backend server with a limit."""
    if per_s < MIN_SHARED_PER_S:
        return 1
    return max(LOW_LIMIT_SENDERS, int(MAX_SAVED_S * per_s))


def _depth(rate_per_s: float) -> float:
    """Return how many requests a sender may save."""
    return max(1.0, MAX_SAVED_S * rate_per_s) if rate_per_s else 0.0

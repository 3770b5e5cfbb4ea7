"""The rate limit of a workspace over all instances, and token buckets for fractions of it.

Requests beyond the limit are refused at once, and requests within it are admitted by whichever
instance they reach.
"""

from typing import Final, NamedTuple

SLACK_FRACTION: Final = 0.5
"""Fraction of the slack that the buckets give out. Small workspaces need it, because they send
several requests at once, and a fraction of their burst is less than one request. The rest is
reserved for requests that are admitted at different times and reach backend servers together."""


class Allowance(NamedTuple):
    """A rate limit.

    Attributes:
        rate_per_s: Requests per second.
        burst: Number of requests beyond the rate that may arrive at the same time.
    """

    rate_per_s: float
    burst: float


class TakeResult(NamedTuple):
    """Result of taking tokens from a bucket.

    Attributes:
        tokens: Number of tokens taken; one request may run for each.
        wait_s: Time in seconds until a token is available; 0 if any was taken.
    """

    tokens: int
    wait_s: float


class AllowanceBucket:
    """A token bucket for a fraction of an allowance.

    It is empty initially, because a previous holder of the fraction may just have spent its tokens.
    """

    def __init__(self, *, now: float) -> None:
        self._tokens = 0.0
        self._filled_at = now

    def take(
        self, allowance: Allowance, *, wanted: int = 1, fraction: float, slack: float, now: float
    ) -> TakeResult:
        """Take tokens, up to the number available.

        Args:
            allowance: Current allowance; if it was lowered, tokens above its burst are dropped.
            wanted: Number of tokens wanted, at least 1.
            fraction: Fraction of the allowance that the bucket holds, 0 to 1.
            slack: Number of requests in a window that all buckets together may admit beyond the
                allowance.
            now: Current time in seconds.
        """
        rate = fraction * allowance.rate_per_s
        depth = max(1.0, fraction * (allowance.burst + SLACK_FRACTION * slack))
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(depth, self._tokens + rate * elapsed_s)
        tokens = min(wanted, int(self._tokens))
        if tokens == 0:
            return TakeResult(0, (1.0 - self._tokens) / rate)
        self._tokens -= tokens
        return TakeResult(tokens, 0.0)

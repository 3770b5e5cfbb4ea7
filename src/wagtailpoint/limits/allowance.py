"""What a workspace may send over all instances together, and the part that one of them spends.

Answers a workspace that sends many times what it may: what is beyond is refused at once, and what
is within is admitted wherever it arrives.
"""

from typing import Final, NamedTuple

SLACK_PART: Final = 0.5
"""The part of the slack that is given out. Small workspaces live by it: their requests come a few
at a time, and a part of their burst holds less than one. The rest is for requests that are admitted
at different times and reach backend servers together."""


class Allowance(NamedTuple):
    """A rate limit.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests beside that which may come at the same moment.
    """

    rate_per_s: float
    burst: float


class Taken(NamedTuple):
    """What a bucket gave.

    Attributes:
        tokens: So many requests may run.
        wait_s: If none may, the seconds until one may.
    """

    tokens: int
    wait_s: float


class AllowanceBucket:
    """A token bucket with a part of an allowance.

    It begins empty: whoever had the part before may just have spent all that it held.
    """

    def __init__(self, *, now: float) -> None:
        self._tokens = 0.0
        self._filled_at = now

    def take(
        self, allowance: Allowance, *, wanted: int = 1, part: float, slack: float, now: float
    ) -> Taken:
        """Spend tokens, as many as there are.

        Args:
            allowance: As it is now; a lowered one takes what is above it at once.
            wanted: How many, at least 1.
            part: The part of it, 0 to 1.
            slack: Requests in a window that all parts together may let through beside it.
            now: The time, in seconds.
        """
        rate = part * allowance.rate_per_s
        depth = max(1.0, part * (allowance.burst + SLACK_PART * slack))
        elapsed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._tokens = min(depth, self._tokens + rate * elapsed_s)
        tokens = min(wanted, int(self._tokens))
        if tokens == 0:
            return Taken(0, (1.0 - self._tokens) / rate)
        self._tokens -= tokens
        return Taken(tokens, 0.0)

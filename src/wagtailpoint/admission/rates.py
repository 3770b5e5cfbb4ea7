"""Rate limiting of workspaces: this instance's fraction of each ``Workspace.max_rps``."""

from collections.abc import Callable

from wagtailpoint.ports.clock import Clock

BURST_WINDOW_S = 0.1
"""A bucket holds the tokens of this many seconds, because callers send requests in bursts."""


class _Bucket:
    """The token bucket of one workspace."""

    def __init__(self, *, now: float, tokens: float) -> None:
        self.filled_at = now
        self.tokens = tokens


class WorkspaceRateLimiter:
    """Limits request rates with one token bucket for each workspace that has a limit."""

    def __init__(self, *, clock: Clock, fraction: Callable[[], float]) -> None:
        """Initialise the limiter with full buckets.

        Args:
            clock: Clock by which the buckets are filled.
            fraction: Returns the fraction (0 to 1) of every limit that this instance may spend.
                The fractions of all instances add up to at most 1.
        """
        self._clock = clock
        self._fraction = fraction
        self._buckets: dict[str, _Bucket] = {}

    def take(self, workspace: str, max_rps: float | None) -> float | None:
        """Take a token of a workspace.

        Args:
            workspace: Name of the workspace.
            max_rps: Its limit over all instances, in requests per second; None if unlimited.

        Returns:
            None if a token was available or there is no limit; otherwise the time until a token
            is available, in seconds.
        """
        if max_rps is None:
            return None
        now = self._clock.monotonic()
        rate = max_rps * self._fraction()
        if rate <= 0:
            return 1.0
        depth = max(1.0, rate * BURST_WINDOW_S)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(now=now, tokens=depth)
        bucket.tokens = min(depth, bucket.tokens + rate * (now - bucket.filled_at))
        bucket.filled_at = now
        if bucket.tokens < 1:
            return (1 - bucket.tokens) / rate
        bucket.tokens -= 1
        return None

"""The rates of workspaces: ``Workspace.max_rps``, as far as this instance may spend it."""

from collections.abc import Callable

from wagtailpoint.ports.clock import Clock

BURST_S = 0.1
"""A bucket holds what flows in within so many seconds: callers come in bursts."""


class _Bucket:
    """Tokens of one workspace."""

    def __init__(self, *, now: float, tokens: float) -> None:
        self.filled = now
        self.tokens = tokens


class WorkspaceRates:
    """A token bucket for each workspace that has a limit."""

    def __init__(self, *, clock: Clock, part: Callable[[], float]) -> None:
        """Make it with full buckets.

        Args:
            clock: Fills the buckets.
            part: The part (0 to 1) of every limit that this instance may spend now; those of all
                instances add up to at most 1.
        """
        self._clock = clock
        self._part = part
        self._buckets: dict[str, _Bucket] = {}

    def take(self, workspace: str, max_rps: float | None) -> float | None:
        """Spend a token.

        Returns:
            None if there was one, else the seconds until there will be.
        """
        if max_rps is None:
            return None
        now = self._clock.monotonic()
        rate = max_rps * self._part()
        if rate <= 0:
            return 1.0
        depth = max(1.0, rate * BURST_S)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(now=now, tokens=depth)
        bucket.tokens = min(depth, bucket.tokens + rate * (now - bucket.filled))
        bucket.filled = now
        if bucket.tokens < 1:
            return (1 - bucket.tokens) / rate
        bucket.tokens -= 1
        return None

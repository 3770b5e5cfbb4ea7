"""Rate limiting of workspaces: this instance's fraction of each ``Workspace.max_rps``."""

import math
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from wagtailpoint.ports.clock import Clock

BURST_WINDOW_S: Final = 0.1
"""A bucket holds the tokens of this many seconds, because callers send requests in bursts."""

MAX_CREDIT_S: Final = 10.0
"""Longest pause of the process, in seconds, for which a bucket gets credit."""

CREDIT_TTL_S: Final = 1.0
"""Time after a pause, in seconds, in which the requests that arrived meanwhile are handled."""


class _Bucket:
    """The token bucket of one workspace."""

    def __init__(self, *, now: float, paused_s: float, tokens: float) -> None:
        self._filled_at = now
        self._paused_s = paused_s
        self._tokens = tokens
        self._credit = 0.0
        self._credit_until = -math.inf

    def refill(self, *, now: float, paused_s: float, rate: float, depth: float) -> None:
        """Add the tokens since the last refill, with those of a pause as credit.

        Args:
            now: The current time, in seconds.
            paused_s: The duration of all pauses of the process, in seconds.
            rate: Tokens per second.
            depth: Maximum number of tokens, credit excluded.
        """
        pause_s = min(paused_s - self._paused_s, now - self._filled_at)
        if now >= self._credit_until:
            self._credit = 0.0
        if pause_s > 0.0:
            self._credit = min(self._credit + rate * pause_s, rate * MAX_CREDIT_S)
            self._credit_until = now + CREDIT_TTL_S
        self._tokens = min(depth, self._tokens + rate * (now - self._filled_at - pause_s))
        self._filled_at = now
        self._paused_s = paused_s

    def take(self, rate: float, max_wait_s: float) -> Result[float, float]:
        """Take a token, or reserve the next one if it is available within ``max_wait_s`` seconds.

        Returns:
            The time until the token may be used, or an error with the time until the next token.
            Both are in seconds.
        """
        wait_s = 0.0
        if self._tokens < 1.0 and self._credit >= 1.0:
            self._credit -= 1.0
            return Ok(wait_s)
        if self._tokens < 1.0:
            wait_s = (1.0 - self._tokens) / rate
            if wait_s > max_wait_s:
                return Err(wait_s)
        self._tokens -= 1.0
        return Ok(wait_s)


class WorkspaceRateLimiter:
    """Limits request rates with one token bucket for each workspace that has a limit.

    Requests that arrived while the process was paused are handled together when it goes on. They
    are admitted if they keep the limit by the time of the pause.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        fraction: Callable[[], float],
        paused_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Initialise the limiter with full buckets.

        Args:
            clock: Clock by which the buckets are filled.
            fraction: Returns the fraction (0 to 1) of every limit that this instance may spend.
                The fractions of all instances add up to at most 1.
            paused_s: Returns the duration of all pauses of the process so far, in seconds.
        """
        self._clock = clock
        self._paused_s = paused_s
        self._fraction = fraction
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self, workspace: str, max_rps: float | None, *, max_wait_s: float = 0.0
    ) -> Result[float, float]:
        """Take a token of a workspace, or reserve one that is available soon.

        Args:
            workspace: Name of the workspace.
            max_rps: Its limit over all instances, in requests per second; None if unlimited.
            max_wait_s: How long the request may wait for a token, in seconds.

        Returns:
            The time for which the request has to wait, 0 if there is no limit; or an error with the
            time until a token is available. Both are in seconds.
        """
        if max_rps is None:
            return Ok(0.0)
        now = self._clock.monotonic()
        rate = max_rps * self._fraction()
        if rate <= 0:
            return Err(1.0)
        depth = max(1.0, rate * BURST_WINDOW_S)
        paused_s = self._paused_s()
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = _Bucket(now=now, paused_s=paused_s, tokens=depth)
            self._buckets[workspace] = bucket
        bucket.refill(now=now, paused_s=paused_s, rate=rate, depth=depth)
        return bucket.take(rate, max_wait_s)

"""Estimates when a workspace over its allowance has a token for one more caller at an instance.

The holder of a slot states when its next token is available. The callers who wait here for one, or
were told to come back, have a claim to the tokens before a caller who arrives later.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import Final

RATE_HALF_LIFE_S: Final = 2.0
"""Half-life of the rate of granted tokens."""

MIN_RATE_PER_S: Final = 0.5
"""Lowest rate assumed, for a workspace that got no token here recently."""

MAX_TOLD: Final = 1000
"""Maximum number of callers that are remembered as told to come back."""


class AllowanceBacklog:
    """The callers of one workspace at this instance who have a claim to its next tokens."""

    def __init__(self, *, monotonic: Callable[[], float]) -> None:
        """Initialise a backlog without callers.

        Args:
            monotonic: Returns the time in seconds.
        """
        self._monotonic = monotonic
        self._rate = 0.0
        self._decayed_at = 0.0
        self._waiting = 0
        self._return_times: deque[float] = deque(maxlen=MAX_TOLD)

    def begin_wait(self) -> None:
        """Record that a request waits for a token."""
        self._waiting += 1

    def end_wait(self) -> None:
        """Record that a request no longer waits, with or without a token."""
        self._waiting -= 1

    def record_granted(self) -> None:
        """Record that a request got a token."""
        now = self._monotonic()
        self._rate = self._rate_at(now) + math.log(2) / RATE_HALF_LIFE_S
        self._decayed_at = now

    def record_told(self, delay_s: float) -> None:
        """Record that a caller was told to come back after ``delay_s`` seconds."""
        self._return_times.append(self._monotonic() + delay_s)

    def wait_for_waiting_s(self) -> float:
        """Return how long the tokens for the waiting requests take, in seconds."""
        return self._waiting / max(MIN_RATE_PER_S, self._rate_at(self._monotonic()))

    def wait_for_claims_s(self) -> float:
        """Return how long the tokens for all callers with a claim take, in seconds."""
        now = self._monotonic()
        # Times are nearly in order, so that the passed ones are at the front.
        while self._return_times and self._return_times[0] <= now:
            self._return_times.popleft()
        claims = self._waiting + len(self._return_times)
        return claims / max(MIN_RATE_PER_S, self._rate_at(now))

    def _rate_at(self, now: float) -> float:
        decay = math.exp2(-(now - self._decayed_at) / RATE_HALF_LIFE_S)
        return self._rate * decay

"""Choice of the ``Retry-After`` delays given to refused callers."""

from math import exp
from random import Random

from wagtailpoint.ports.clock import Clock

COUNT_TIME_CONSTANT_S = 5.0
"""Counts of refused and served requests decay exponentially with this time constant."""

MIN_DELAY_S = 1.0
MIN_SPREAD_S = 4.0
MAX_SPREAD_S = 60.0


class RetryAfterPolicy:
    """Chooses random ``Retry-After`` delays whose spread grows with the overload.

    With a fixed delay, all refused callers would retry in the same second and be refused again.
    Spread over ``s`` seconds, ``n`` callers retry at a rate of ``n / s`` per second; the spread
    therefore grows with the number of refusals per served request.
    """

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._refused = 0.0
        self._served = 0.0
        self._decayed_at = clock.monotonic()

    def record_served(self) -> None:
        """Record that a request got a slot."""
        self._decay()
        self._served += 1

    def next_retry_after_s(self) -> float:
        """Record a refusal and return the delay in seconds after which its caller should retry."""
        self._decay()
        self._refused += 1
        overload = self._refused / max(1.0, self._served)
        spread = min(MAX_SPREAD_S, MIN_SPREAD_S * (1 + overload))
        return MIN_DELAY_S + spread * self._random.random()

    def _decay(self) -> None:
        now = self._clock.monotonic()
        decay = exp((self._decayed_at - now) / COUNT_TIME_CONSTANT_S)
        self._refused *= decay
        self._served *= decay
        self._decayed_at = now

"""When refused callers are asked to come back: spread out, and later the more are refused."""

from math import exp
from random import Random

from wagtailpoint.ports.clock import Clock

MEMORY_S = 5.0
LEAST_S = 1.0
LEAST_SPREAD_S = 4.0
MOST_SPREAD_S = 60.0


class ReturnTimes:
    """Chooses ``Retry-After``.

    A fixed time brings everybody back in the same second, and what refused them then refuses them
    again. Over a spread of ``s`` seconds, ``n`` callers come back at ``n / s`` a second; so the
    spread grows with the refusals for each request served.
    """

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._refused = 0.0
        self._served = 0.0
        self._counted = clock.monotonic()

    def note_served(self) -> None:
        """A request got its slot."""
        self._fade()
        self._served += 1

    def next_s(self) -> float:
        """Seconds until one more refused caller shall come back."""
        self._fade()
        self._refused += 1
        overload = self._refused / max(1.0, self._served)
        spread = min(MOST_SPREAD_S, LEAST_SPREAD_S * (1 + overload))
        return LEAST_S + spread * self._random.random()

    def _fade(self) -> None:
        now = self._clock.monotonic()
        part = exp((self._counted - now) / MEMORY_S)
        self._refused *= part
        self._served *= part
        self._counted = now

"""Estimated reuse of the affinity keys of a route, which is the value of caching an object."""

import math
from typing import Final

RATE_HALF_LIFE_S: Final = 4.0
KEY_COUNT_WINDOW_S: Final = 10.0
MAX_KEYS: Final = 4096

KEY_COUNT_INTERVAL_S: Final = 0.2
"""Interval between updates of the estimated number of keys."""

PRIOR_REPEATS: Final = 0.1
"""Added to the observed repeats: without any repeat, the estimated number of keys would be
infinite."""

NEWTON_STEPS: Final = 6
"""Newton iterations. From a start within a factor of 2 they converge beyond the accuracy of the
counts."""

REUSE_HORIZON_S: Final = 8.0
"""Time over which the uses of a cached object are counted. If it were longer, each failure domain
would cache more objects of its own, and the first use of each is slow."""


class KeyReuse:
    """Estimates the request rate for each affinity key of one route at this instance.

    Keys are assumed to be equally popular: the rate for one is the rate of the route divided by the
    number of keys. That number exceeds the distinct keys seen: one of many instances gets a few
    requests a second, nearly all for keys that it has not seen before. If it took these for all
    keys, it would expect each of them again within the second, and a copy in every failure domain
    would seem to pay off. So the number of keys is estimated from the repeats.
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._rate_updated_at = 0.0
        self._seen_keys: set[str] = set()
        self._requests = 0
        self._window_began_at = 0.0
        self._previous_keys = 0.0
        self._keys = 1.0
        self._counted_at = -math.inf

    def record(self, key: str, now: float) -> None:
        """Record a request for a key."""
        self._rate = self._rate_at(now) + math.log(2) / RATE_HALF_LIFE_S
        self._rate_updated_at = now
        if now - self._window_began_at > KEY_COUNT_WINDOW_S:
            self._previous_keys = estimate_key_count(self._requests, len(self._seen_keys))
            self._seen_keys.clear()
            self._requests = 0
            self._window_began_at = now
        if len(self._seen_keys) < MAX_KEYS:
            self._seen_keys.add(key)
            self._requests += 1
        if now - self._counted_at >= KEY_COUNT_INTERVAL_S:
            keys = estimate_key_count(self._requests, len(self._seen_keys))
            self._keys = max(1.0, keys, self._previous_keys)
            self._counted_at = now

    def expected_uses(self, entries: int, now: float) -> float:
        """Return how often the callers of ``entries`` instances use a cached object, at least 1."""
        return max(1.0, REUSE_HORIZON_S * entries * self._rate_at(now) / self._keys)

    def _rate_at(self, now: float) -> float:
        return self._rate * math.exp(
            -math.log(2) * (now - self._rate_updated_at) / RATE_HALF_LIFE_S
        )


def estimate_key_count(requests: int, distinct: int) -> float:
    """Estimate the number of keys from the number of distinct keys among some requests.

    Among ``n`` requests for ``k`` equally popular keys, ``k * (1 - exp(-n / k))`` distinct ones are
    expected. This is solved for ``k`` by Newton's method, with ``x = n / k`` as the unknown.
    """
    if distinct == 0:
        return 0.0
    distinct_fraction = min(distinct, max(0.5, requests - PRIOR_REPEATS)) / requests
    x = 2 * (1 - distinct_fraction) if distinct_fraction > 0.5 else 1 / distinct_fraction
    for _ in range(NEWTON_STEPS):
        decay = math.exp(-x)
        x -= (1 - decay - distinct_fraction * x) / (decay - distinct_fraction)
    return max(float(distinct), requests / x)

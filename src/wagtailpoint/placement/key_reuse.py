"""How often the same affinity key comes again: what a place in a cache is worth."""

import math
from typing import Final

HALF_LIFE_S: Final = 4.0
KEY_COUNT_WINDOW_S: Final = 10.0
MAX_KEYS: Final = 4096

KEY_COUNT_INTERVAL_S: Final = 0.2
"""How often the number of keys is worked out anew."""

PRIOR_REPEATS: Final = 0.1
"""Counted beside the repeats that came: without any, the number of keys would have no upper end."""

NEWTON_STEPS: Final = 6
"""From a start within a factor of 2 they give more digits than the counts are good for."""

REUSE_HORIZON_S: Final = 8.0
"""An object is taken to be of use for so long. Longer, and each failure domain caches more by
itself, where its first uses are slow."""


class KeyReuse:
    """The rate of requests for each affinity key of one route, at this instance.

    Keys are taken to be equally popular: the rate of one is the rate of the route divided by the
    number of keys. That is not the number of keys that came: an instance of many gets a few
    requests a second, nearly all for keys that it has not seen before. Taking those for all that
    there are, it would expect each of them again within the second, and a copy in every failure
    domain would seem to pay. So the number is estimated from the repeats.
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
        """A request came."""
        self._rate = self._rate_at(now) + math.log(2) / HALF_LIFE_S
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
        """How often a cached object is used, by the callers of so many entries; at least 1."""
        return max(1.0, REUSE_HORIZON_S * entries * self._rate_at(now) / self._keys)

    def _rate_at(self, now: float) -> float:
        return self._rate * math.exp(-math.log(2) * (now - self._rate_updated_at) / HALF_LIFE_S)


def estimate_key_count(requests: int, distinct: int) -> float:
    """How many keys there are, if so many distinct ones came in so many requests.

    Of ``n`` requests for ``k`` equally popular keys, ``k * (1 - exp(-n / k))`` distinct ones are
    expected; that is solved for ``k`` by Newton's method, with ``x = n / k`` as the unknown.
    """
    if distinct == 0:
        return 0.0
    distinct_fraction = min(distinct, max(0.5, requests - PRIOR_REPEATS)) / requests
    x = 2 * (1 - distinct_fraction) if distinct_fraction > 0.5 else 1 / distinct_fraction
    for _ in range(NEWTON_STEPS):
        decay = math.exp(-x)
        x -= (1 - decay - distinct_fraction * x) / (decay - distinct_fraction)
    return max(float(distinct), requests / x)

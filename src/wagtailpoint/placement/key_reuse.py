"""How often the same affinity key comes again: what a place in a cache is worth."""

import math
from typing import Final

HALF_LIFE_S: Final = 4.0
KEYS_INTERVAL_S: Final = 10.0
MOST_KEYS: Final = 4096

HORIZON_S: Final = 8.0
"""An object is taken to be of use for so long. Longer, and each failure domain caches more by
itself, where its first uses are slow: of a calm day's value 20 s lost 0.002 and 0.022 more than 8 s
(one run on each site)."""


class KeyReuse:
    """The rate of requests for each affinity key of one route, at this instance.

    Keys are taken to be equally popular: the rate of one is the rate of the route divided by the
    number of keys that came lately.
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0
        self._keys: set[str] = set()
        self._keys_before = 0
        self._keys_since = 0.0

    def note(self, key: str, now: float) -> None:
        """A request came."""
        self._rate = self._rate_at(now) + math.log(2) / HALF_LIFE_S
        self._at = now
        if now - self._keys_since > KEYS_INTERVAL_S:
            self._keys_before = len(self._keys)
            self._keys.clear()
            self._keys_since = now
        if len(self._keys) < MOST_KEYS:
            self._keys.add(key)

    def uses(self, instances: int, now: float) -> float:
        """How often a cached object is used, by the callers of so many instances; at least 1."""
        keys = max(1, len(self._keys), self._keys_before)
        return max(1.0, HORIZON_S * instances * self._rate_at(now) / keys)

    def _rate_at(self, now: float) -> float:
        return self._rate * math.exp(-math.log(2) * (now - self._at) / HALF_LIFE_S)

"""Limit on how fast this instance's requests may shift between regions."""

import math
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Final

WINDOW_S: Final = 2.0
"""Length of a window. The operators' bound compares any two seconds with the two before."""

BUCKETS: Final = 8
BUCKET_S: Final = WINDOW_S / BUCKETS

BASE_SHIFT_FRACTION: Final = 0.4
MAX_SHIFT_FRACTION: Final = 0.7
"""Fractions of the bound: the shift that an instance may cause, and its maximum including an
allowance for random variation. The maximum is below the bound even for an instance with few
requests: random variation cancels out between instances, but a shift of all in one direction adds
up. The rest of the bound is left for requests that run in another window than the one they are
counted in."""


class RegionMix:
    """Counts the requests sent to each region in the last four seconds and limits their shift.

    The caches and links of a region are sized for its usual requests. If the choice by load moves a
    third of a region's requests to another region within two seconds, none of their objects is
    cached there, and the callers of that region have to wait.

    Each instance keeps the bound by itself, even one with few requests: hundreds of such instances
    together can move a large fraction of a region's requests.
    """

    def __init__(self, *, max_shift: Callable[[], float], random: Random) -> None:
        """Initialise the counts as empty.

        Args:
            max_shift: Returns the fraction of a region's requests, 0 to 1, that may run in another
                region than in the window before.
            random: The source of randomness for rounding.
        """
        self._max_shift = max_shift
        self._random = random
        self._rounding_offset = random.random()
        self._bucket_number = -math.inf
        self._buckets: deque[Counter[str]] = deque(maxlen=2 * BUCKETS)
        self._recent: Counter[str] = Counter()
        self._previous: Counter[str] = Counter()

    def record(self, region: str, now: float) -> None:
        """Record a request that is sent to a backend server of a region."""
        self._advance(now)
        self._buckets[-1][region] += 1
        self._recent[region] += 1

    def is_at_limit(self, region: str, now: float) -> bool:
        """Return whether one more request to a region would exceed the shift limit."""
        self._advance(now)
        recent, before = self._recent.total(), self._previous.total()
        if not before:
            return False
        share = self._previous[region] / before
        chance = math.sqrt(share * (1 - share) * (1 / (recent + 1) + 1 / before))
        bound = self._max_shift()
        shift = min(MAX_SHIFT_FRACTION * bound, BASE_SHIFT_FRACTION * bound + chance)
        # Rounded to whole requests at random: always rounding down would never let a region with
        # hardly any requests get one more.
        return self._recent[region] + 1 > (share + shift) * (recent + 1) + self._rounding_offset

    def _advance(self, now: float) -> None:
        bucket_number = now // BUCKET_S
        elapsed = bucket_number - self._bucket_number
        if not elapsed:
            return
        if elapsed >= 2 * BUCKETS:
            self._buckets.clear()
            elapsed = 1
        self._buckets.extend(Counter() for _ in range(int(elapsed)))
        self._bucket_number = bucket_number
        if bucket_number % BUCKETS < elapsed:
            self._rounding_offset = self._random.random()
        self._sum_windows()

    def _sum_windows(self) -> None:
        """Sum up both windows, or both halves of the time so far if it is shorter than these.

        If the previous window held only a few requests, their random distribution would decide for
        all that follow.
        """
        self._recent, self._previous = Counter(), Counter()
        half = len(self._buckets) // 2
        if half < BUCKETS // 2:
            return
        for age, counted in enumerate(reversed(self._buckets)):
            if age < half:
                self._recent += counted
            elif age < 2 * half:
                self._previous += counted

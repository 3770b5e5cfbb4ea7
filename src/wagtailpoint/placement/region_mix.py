"""In which regions this instance's requests run, and how fast that may change."""

import math
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Final

WINDOW_S: Final = 2.0
"""The bound of the operators compares any two seconds with the two before."""

BUCKETS: Final = 8
BUCKET_S: Final = WINDOW_S / BUCKETS

BASE_SHIFT_FRACTION: Final = 0.4
MAX_SHIFT_FRACTION: Final = 0.7
"""Of the bound: what an instance may shift, and the most that it may with an allowance for its own
chance. However few its requests are, that stays below the bound: the chance of the instances evens
out, but what moves all of them in one direction adds up. The rest is for requests that run in
another window than the one they are counted in."""


class RegionMix:
    """Counts where requests were sent in the last four seconds, and says where no more may go.

    Caches and links of a region are sized for what usually comes. When the choice by load moved a
    third of the requests of a region to another one within two seconds, that one's caches were cold
    for all of them, and its own callers had to wait.

    Each instance keeps the bound by itself, also one with few requests: hundreds of such instances
    together can move a large part of a region.
    """

    def __init__(self, *, max_shift: Callable[[], float], random: Random) -> None:
        """Make it empty.

        Args:
            max_shift: The part of a region's requests that may change the region in which they run
                from one window to the next, 0 to 1.
            random: For the rounding.
        """
        self._max_shift = max_shift
        self._random = random
        self._rounding_offset = random.random()
        self._bucket_number = -math.inf
        self._buckets: deque[Counter[str]] = deque(maxlen=2 * BUCKETS)
        self._recent: Counter[str] = Counter()
        self._previous: Counter[str] = Counter()

    def record(self, region: str, now: float) -> None:
        """A request is sent to a backend server of a region."""
        self._advance(now)
        self._buckets[-1][region] += 1
        self._recent[region] += 1

    def is_at_limit(self, region: str, now: float) -> bool:
        """Whether one more request there would shift too many from other regions."""
        self._advance(now)
        recent, before = self._recent.total(), self._previous.total()
        if not before:
            return False
        share = self._previous[region] / before
        chance = math.sqrt(share * (1 - share) * (1 / (recent + 1) + 1 / before))
        bound = self._max_shift()
        shift = min(MAX_SHIFT_FRACTION * bound, BASE_SHIFT_FRACTION * bound + chance)
        # Rounded to whole requests by lot: a region where hardly any run would never get one more.
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
        """Add up both windows; while less than two of them have passed, both halves of that.

        A window before of a few requests would have their chance decide for all that come.
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

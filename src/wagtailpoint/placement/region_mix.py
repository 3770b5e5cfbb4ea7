"""In which regions this instance's requests run, and how fast that may change."""

import math
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

WINDOW_S: Final = 2.0
"""The bound of the operators compares any two seconds with the two before."""

SLOTS: Final = 8
SLOT_S: Final = WINDOW_S / SLOTS

SAFETY: Final = 0.5
"""The part of the bound that is spent; the rest is for what the instances of a region send more or
less by chance, when that adds up."""

ENOUGH_REQUESTS: Final = 30
"""In fewer requests than that chance alone moves shares by more than the bound."""


class RegionMix:
    """Counts where requests were sent in the last four seconds, and says where no more may go.

    Caches and links of a region are sized for what usually comes. When the choice by load moved a
    third of the requests of a region to another one within two seconds, that one's caches were cold
    for all of them, and its own callers had to wait.
    """

    def __init__(self, *, most_shift: Callable[[], float]) -> None:
        """Make it empty.

        Args:
            most_shift: The part of a region's requests that may change the region in which they run
                from one window to the next, 0 to 1.
        """
        self._most_shift = most_shift
        self._slot = -math.inf
        self._past: deque[Counter[str]] = deque()
        self._recent: Counter[str] = Counter()
        self._before: Counter[str] = Counter()

    def note(self, region: str, now: float) -> None:
        """A request is sent to a backend server of a region."""
        self._advance(now)
        self._past[-1][region] += 1
        self._recent[region] += 1

    def is_full(self, region: str, now: float) -> bool:
        """Whether one more request there would shift too many from other regions."""
        self._advance(now)
        recent, before = self._recent.total(), self._before.total()
        if recent < ENOUGH_REQUESTS or before < ENOUGH_REQUESTS:
            return False
        share = (self._recent[region] + 1) / (recent + 1)
        share_before = self._before[region] / before
        # Chance moves the share of one instance; over those of a region it evens out.
        chance = math.sqrt(share_before * (1 - share_before) * (1 / recent + 1 / before))
        return share > share_before + SAFETY * self._most_shift() + chance

    def _advance(self, now: float) -> None:
        slot = now // SLOT_S
        if slot - self._slot >= 2 * SLOTS:
            self._past = deque([Counter()])
            self._recent, self._before = Counter(), Counter()
            self._slot = slot
        while self._slot < slot:
            self._slot += 1
            self._past.append(Counter())
            if len(self._past) > SLOTS:
                ripe = self._past[-SLOTS - 1]
                self._recent -= ripe
                self._before += ripe
            if len(self._past) > 2 * SLOTS:
                self._before -= self._past.popleft()

"""How much of a machine's deviation from its mean pace remains after some time."""

import math
from typing import Final

FIRST_GAP_S: Final = 0.05
GAPS: Final = 8
"""Gaps between reports for which the remaining deviation is learned: 0.05 s and each the double of
the one before, up to 6.4 s."""

INITIAL_HALF_LIFE_S: Final = 0.3
"""Half-life of a deviation before any was measured."""

MIN_GAP_S: Final = FIRST_GAP_S / math.sqrt(2)
MAX_GAP_S: Final = FIRST_GAP_S * 2 ** (GAPS - 0.5)
"""Bounds of the gaps that are learned from. Responses that arrive together report the same."""

PRIOR_WEIGHT: Final = 2.0
"""Weight of the assumed value against measured ones, each of which has its squared deviation as its
weight: machines at their mean say nothing about the decay."""

MAX_DEVIATION: Final = 3.0
"""Larger deviations are cut to this, so that a single one does not decide."""

FORGETTING_FACTOR: Final = 0.995
"""Factor of the weight of all earlier pairs of a gap at each new one."""


class PaceDecay:
    """The remaining fraction of a deviation by its age, learned from pairs of successive reports.

    For a gap with few pairs, the square of the fraction for half of that gap is assumed, as with an
    exponential decay.
    """

    def __init__(self) -> None:
        self._products = [0.0] * GAPS
        self._squares = [0.0] * GAPS
        self._remaining: list[float] = []
        self._update()

    def remaining(self, age_s: float) -> float:
        """Return the remaining fraction, 1 to 0, of a deviation reported ``age_s`` seconds ago."""
        if age_s <= FIRST_GAP_S:
            return 1.0 - (1.0 - self._remaining[0]) * max(0.0, age_s) / FIRST_GAP_S
        mantissa, exponent = math.frexp(age_s / FIRST_GAP_S)
        number = exponent - 1
        if number >= GAPS:
            return 0.0
        earlier, later = self._remaining[number], self._remaining[number + 1]
        return earlier + (later - earlier) * (2 * mantissa - 1)

    def record_pair(self, gap_s: float, earlier: float, later: float) -> None:
        """Record two successive reports of one machine.

        Args:
            gap_s: The seconds between them.
            earlier: The deviation of the earlier one from the machine's mean pace.
            later: The deviation of the later one.
        """
        if not MIN_GAP_S <= gap_s < MAX_GAP_S:
            return
        number = round(math.log2(gap_s / FIRST_GAP_S))
        earlier = max(-MAX_DEVIATION, min(MAX_DEVIATION, earlier))
        later = max(-MAX_DEVIATION, min(MAX_DEVIATION, later))
        self._products[number] = FORGETTING_FACTOR * self._products[number] + earlier * later
        self._squares[number] = FORGETTING_FACTOR * self._squares[number] + earlier * earlier
        self._update()

    def _update(self) -> None:
        assumed = 0.5 ** (FIRST_GAP_S / INITIAL_HALF_LIFE_S)
        at_most = 1.0
        remaining = []
        for product, square in zip(self._products, self._squares, strict=True):
            measured = (PRIOR_WEIGHT * assumed + product) / (PRIOR_WEIGHT + square)
            at_most = max(0.0, min(at_most, measured))
            remaining.append(at_most)
            assumed = at_most * at_most
        # The interpolation of ages beyond the last gap ends at 0.
        self._remaining = [*remaining, 0.0]

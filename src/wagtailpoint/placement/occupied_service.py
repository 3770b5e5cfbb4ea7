"""How much longer requests take at an occupied backend server than at a nearly idle one."""

import math
from bisect import bisect_left
from itertools import pairwise
from typing import Final, NamedTuple

BIN_ENDS: Final = (0.4, 0.6, 0.8, 0.95)
"""Upper ends of the bins of occupancy per slot; the last bin has none. Times often rise only when
the last slots are taken."""

MIN_SAMPLES: Final = 30
"""Minimum number of service times in a bin before it counts, and the weight of the ratio 1 there.
Service times vary by a fifth, and those of uncached objects by a factor of three."""

MIN_SAMPLE_WEIGHT: Final = 0.01

MAX_SAMPLE_RATIO: Final = 6.0
MAX_RATIO: Final = 4.0

MIN_RATIO: Final = 1.2
"""Smaller ratios count as 1: where a quarter of the requests takes three times as long,
the error of the measurement is nearly as large."""


MIN_STANDARD_ERRORS: Final = 3.0
"""Minimum difference of two bins, in standard errors. It is tested at each answer, so that a lower
bound is passed by chance."""


class _Bin:
    """The service times in one bin of occupancy."""

    def __init__(self) -> None:
        self.samples = 0
        self.fraction = 0.0
        self.mean_log = 0.0
        self.variance = 0.0

    def record(self, fraction: float, log_ratio: float) -> None:
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self.samples)
        self.fraction += weight * (fraction - self.fraction)
        difference = log_ratio - self.mean_log
        self.mean_log += weight * difference
        self.variance = (1 - weight) * (self.variance + weight * difference * difference)

    @property
    def squared_error(self) -> float:
        """The squared standard error of the mean."""
        return self.variance / min(self.samples, 1 / MIN_SAMPLE_WEIGHT)


class _Point(NamedTuple):
    fraction: float
    ratio: float


class OccupiedService:
    """The ratio of the service time at an occupancy to that at a nearly idle server of a service.

    The ratio is 1 without enough samples, and never falls with the occupancy.
    """

    def __init__(self) -> None:
        self._bins = [_Bin() for _ in range(len(BIN_ENDS) + 1)]
        self._points: list[_Point] = []

    @property
    def is_uniform(self) -> bool:
        """Whether the service time is the same at all occupancies."""
        return not self._points

    def ratio(self, fraction: float) -> float:
        """Return the ratio with ``fraction`` of the slots in use, the request's own included."""
        points = self._points
        if not points or fraction <= points[0].fraction:
            return 1.0
        for below, above in pairwise(points):
            if fraction <= above.fraction:
                share = (fraction - below.fraction) / (above.fraction - below.fraction)
                return below.ratio + share * (above.ratio - below.ratio)
        return points[-1].ratio

    def effect(self, occupancy: float, slots: int) -> tuple[float, float]:
        """Return the ratio for one more request, and the delay that it causes to the others.

        Args:
            occupancy: The number of requests there without it.
            slots: The number of slots there.

        Returns:
            The ratio, and the sum of the delays as a multiple of a service time.
        """
        ratio = self.ratio((occupancy + 1) / slots)
        if occupancy >= slots or ratio <= 1.0:
            return ratio, 0.0
        # On average, half of the service time of each is still ahead.
        return ratio, 0.5 * occupancy * (ratio / self.ratio(occupancy / slots) - 1)

    def record(self, fraction: float, service_s: float, normal_s: float) -> None:
        """Record a service time.

        Args:
            fraction: The occupancy per slot while the request ran, its own included.
            service_s: The service time without queueing at the normal pace, in seconds.
            normal_s: The estimated service time of its route, in seconds.
        """
        ratio = max(1 / MAX_SAMPLE_RATIO, min(MAX_SAMPLE_RATIO, service_s / normal_s))
        fraction = min(1.0, fraction)
        self._bins[bisect_left(BIN_ENDS, fraction)].record(fraction, math.log(ratio))
        self._points = self._measured_points()

    def _measured_points(self) -> list[_Point]:
        """Return the ratios of the bins that have enough samples; none if all are 1."""
        measured = [bin_ for bin_ in self._bins if bin_.samples >= MIN_SAMPLES]
        points: list[_Point] = []
        at_least = 1.0
        for bin_ in measured:
            trust = bin_.samples / (bin_.samples + MIN_SAMPLES)
            difference = bin_.mean_log - measured[0].mean_log
            error = math.sqrt(bin_.squared_error + measured[0].squared_error)
            ratio = math.exp(trust * difference)
            if ratio >= MIN_RATIO and difference >= MIN_STANDARD_ERRORS * error:
                at_least = max(at_least, min(MAX_RATIO, ratio))
            points.append(_Point(bin_.fraction, at_least))
        return points if at_least > 1.0 else []

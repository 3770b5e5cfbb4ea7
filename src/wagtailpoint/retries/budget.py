"""The retry budget of one service: retries as a part of fresh requests."""

from collections import deque
from typing import NamedTuple

from wagtailpoint.ports.clock import Clock

WINDOW_S = 10.0
_SLICES = 10


class _Slice(NamedTuple):
    began_at: float
    fresh: int
    retries: int


class RetryBudget:
    """Allows retries up to a ratio of the fresh requests of the last ten seconds.

    When every backend server fails, each request would otherwise be sent several times, and the
    load that keeps them failing would be multiplied by the retries.
    """

    def __init__(self, *, clock: Clock, ratio: float, minimum_per_s: float) -> None:
        """Make a full budget.

        Args:
            clock: Moves the window.
            ratio: Retries allowed as a part of fresh requests, 0 to 1.
            minimum_per_s: Retries a second that are always allowed, for services with little
                traffic, where the ratio alone would allow none.
        """
        self._clock = clock
        self._ratio = ratio
        self._min_retries = minimum_per_s * WINDOW_S
        self._slices: deque[_Slice] = deque()

    @property
    def remaining(self) -> float:
        """Retries allowed now."""
        self._expire()
        return self._allowed_retries - sum(slice_.retries for slice_ in self._slices)

    def record_request(self) -> None:
        """Count a fresh request."""
        newest = self._newest()
        self._slices[-1] = newest._replace(fresh=newest.fresh + 1)

    def take(self, *, reserve_fraction: float = 0.0) -> bool:
        """Take one retry out of the budget; False if none is left.

        Args:
            reserve_fraction: The part (0 to 1) of the whole budget that must be left after it.
        """
        if self.remaining - 1 < reserve_fraction * self._allowed_retries:
            return False
        newest = self._newest()
        self._slices[-1] = newest._replace(retries=newest.retries + 1)
        return True

    @property
    def _allowed_retries(self) -> float:
        return self._min_retries + self._ratio * sum(slice_.fresh for slice_ in self._slices)

    def _newest(self) -> _Slice:
        self._expire()
        now = self._clock.monotonic()
        if not self._slices or now - self._slices[-1].began_at >= WINDOW_S / _SLICES:
            self._slices.append(_Slice(now, 0, 0))
        return self._slices[-1]

    def _expire(self) -> None:
        expired_before = self._clock.monotonic() - WINDOW_S
        while self._slices and self._slices[0].began_at <= expired_before:
            self._slices.popleft()

"""Retry budget of one service, as a fraction of its first attempts."""

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
    """Allows retries up to a ratio of the first attempts in the last ten seconds.

    If all backend servers fail, each request would otherwise be sent several times, and the retries
    would multiply the load that keeps the servers failing.
    """

    def __init__(self, *, clock: Clock, ratio: float, minimum_per_s: float) -> None:
        """Initialise a full budget.

        Args:
            clock: The clock of the sliding window.
            ratio: The allowed ratio of retries to first attempts, 0 to 1.
            minimum_per_s: The retries a second that are always allowed, for services with little
                traffic, where the ratio alone would allow none.
        """
        self._clock = clock
        self._ratio = ratio
        self._min_retries = minimum_per_s * WINDOW_S
        self._slices: deque[_Slice] = deque()

    @property
    def remaining(self) -> float:
        """The number of retries that are allowed at the moment."""
        self._expire()
        return self._allowed_retries - sum(slice_.retries for slice_ in self._slices)

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        newest = self._newest()
        self._slices[-1] = newest._replace(fresh=newest.fresh + 1)

    def take(self, *, reserve_fraction: float = 0.0) -> bool:
        """Take one retry from the budget; return False if none is left.

        Args:
            reserve_fraction: The fraction, 0 to 1, of the total budget that must remain afterwards.
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

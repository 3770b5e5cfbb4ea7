"""``Retry-After`` of requests for which no backend server had room."""

from math import exp
from random import Random
from typing import Final

TIME_CONSTANT_S: Final = 2.0
"""The counts of requests that found room decay exponentially with this time constant."""

MIN_COUNT: Final = 2.0
"""With fewer recent requests that found room, their rate is not known."""

MIN_RETRY_AFTER_S: Final = 0.1
MAX_FRACTION: Final = 1 / 3
"""Callers honour a ``Retry-After`` up to this fraction of the time left until their deadline."""

MIN_JITTER: Final = 0.8
MAX_JITTER: Final = 1.2
"""Callers who are told a place in the order return about then, and not all at once."""

MAX_SERVICES: Final = 1024


class _ServiceRate:
    """The rate of room of one service, and until when it is promised, by priority."""

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._counted_at = now
        self._promised_until: dict[int, float] = {}

    def record_found(self, now: float) -> None:
        self._decay(now)
        self._count += 1

    def per_s(self, now: float) -> float | None:
        self._decay(now)
        return self._count / TIME_CONSTANT_S if self._count >= MIN_COUNT else None

    def promise(self, priority: int, delay_s: float, max_delay_s: float, now: float) -> float:
        """Return the time until the caller's place, in seconds, and keep it for the caller."""
        until = max(
            (until for other, until in self._promised_until.items() if other <= priority),
            default=now,
        )
        until = min(max(until, now) + delay_s, now + max_delay_s)
        self._promised_until[priority] = max(until, self._promised_until.get(priority, now))
        return until - now

    def _decay(self, now: float) -> None:
        self._count *= exp((self._counted_at - now) / TIME_CONSTANT_S)
        self._counted_at = now


class RoomRetryAfter:
    """Computes when the callers of refused requests should return.

    A place in the order of all callers is kept for each of them: after those who wait, and after
    those of equal or higher urgency who were told to return. Room is given to them at the recent
    rate.
    """

    def __init__(self, *, random: Random) -> None:
        """Initialise without known rates.

        Args:
            random: The source of jitter.
        """
        self._random = random
        self._rates: dict[str, _ServiceRate] = {}

    def record_found(self, service: str, now: float) -> None:
        """Record that a request of a service found room at ``now``, in seconds."""
        if service not in self._rates:
            if len(self._rates) >= MAX_SERVICES:
                self._rates.clear()
            self._rates[service] = _ServiceRate(now)
        self._rates[service].record_found(now)

    def next_s(
        self, service: str, *, priority: int, waiting_before: int, remaining_s: float, now: float
    ) -> float | None:
        """Return the ``Retry-After`` of a refused request in seconds; None if no rate is known.

        Args:
            service: The service of the request.
            priority: Its priority.
            waiting_before: The number of waiting requests before it.
            remaining_s: Seconds until its caller's deadline.
            now: The current time in seconds.
        """
        rate = self._rates.get(service)
        per_s = rate.per_s(now) if rate is not None else None
        if rate is None or per_s is None:
            return None
        max_s = max(0.0, MAX_FRACTION * remaining_s)
        # Those who wait are before all who return: their number is not part of the promise.
        place_s = waiting_before / per_s + rate.promise(priority, 1 / per_s, max_s, now)
        jittered_s = place_s * self._random.uniform(MIN_JITTER, MAX_JITTER)
        return min(max(MIN_RETRY_AFTER_S, jittered_s), max_s)

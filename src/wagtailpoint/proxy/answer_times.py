"""The longest times that requests have recently taken."""

from typing import Final, NamedTuple

import trio

RETENTION_S: Final = 60.0
"""A request is considered for this time at most, and for half of it at least."""

MAX_ROUTES: Final = 10_000
"""Maximum number of routes with times. Routes come and go with the configuration."""


class LongestTime(NamedTuple):
    """The longest of some times.

    Attributes:
        answered: The number of requests that were answered.
        seconds: The time that the longest one took, answered or not.
    """

    answered: int
    seconds: float


NO_TIME: Final = LongestTime(0, 0.0)


class AnswerTimes:
    """Remembers, by route and service, the longest time from a request to its whole answer."""

    def __init__(self) -> None:
        self._recent: dict[tuple[str, str], LongestTime] = {}
        self._older: dict[tuple[str, str], LongestTime] = {}
        self._recent_since = -RETENTION_S

    def record(self, route: str, service: str, seconds: float, *, answered: bool) -> None:
        """Record the time that a request took.

        Args:
            route: The name of its route.
            service: The service that it was sent to.
            seconds: The time until its whole answer, or until it ended without one. The latter says
                only that an answer takes longer.
            answered: Whether it was answered.
        """
        self._expire()
        if len(self._recent) >= MAX_ROUTES:
            self._recent.clear()
        key = (route, service)
        self._recent[key] = _longest(
            self._recent.get(key, NO_TIME), LongestTime(int(answered), seconds)
        )

    def longest(self, route: str, service: str) -> LongestTime:
        """Return the longest time of the recent requests of a route at a service."""
        self._expire()
        key = (route, service)
        return _longest(self._recent.get(key, NO_TIME), self._older.get(key, NO_TIME))

    def _expire(self) -> None:
        now = trio.current_time()
        if now - self._recent_since < RETENTION_S / 2:
            return
        is_expired = now - self._recent_since >= RETENTION_S
        self._older = {} if is_expired else self._recent
        self._recent = {}
        self._recent_since = now


def _longest(one: LongestTime, other: LongestTime) -> LongestTime:
    return LongestTime(one.answered + other.answered, max(one.seconds, other.seconds))

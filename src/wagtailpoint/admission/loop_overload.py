"""Which new requests an instance rejects that is itself short of processor time."""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from wagtailpoint.routing.table import HostRoute

OVERLOAD_FRACTION: Final = 1 / 8
"""A delay beyond this fraction of a route's objective is an overload for the route. A request meets
the delay twice, which then takes a quarter of its objective."""

DELAYS_PER_REQUEST: Final = 2
"""A request meets the delay before it is sent to a backend server, and before its response is."""

MAX_RETRY_AFTER_FRACTION: Final = 1 / 3
"""Callers honour a ``Retry-After`` up to this fraction of the time left until their deadline."""

RETENTION_S: Final = 60.0
"""The time of an answer is considered for this time at most, and for half of it at least."""

MAX_ROUTES: Final = 10_000
"""Maximum number of routes with times. Routes come and go with the configuration."""


class Overloaded(NamedTuple):
    """A request is rejected, since this instance is overloaded.

    Attributes:
        retry_after_s: Seconds after which its caller should retry.
    """

    retry_after_s: float


class LoopOverload:
    """Rejects requests that this instance could not answer before their callers' deadlines."""

    def __init__(self, *, delay_s: Callable[[float], float], random: Random) -> None:
        """Initialise without known times of answers.

        Args:
            delay_s: Returns the delay of the event loop in seconds, at a trio time in seconds.
            random: The source of jitter.
        """
        self._delay_s = delay_s
        self._random = random
        self._recent: dict[str, float] = {}
        self._older: dict[str, float] = {}
        self._recent_since = 0.0

    def record_answer(self, route: HostRoute, seconds: float, now: float) -> None:
        """Record the time of an answered request.

        The estimate adds the delay, so it must not be part of the time as well: a time measured in
        an overload only lowers a known one, and keeps it from being forgotten.

        Args:
            route: Its route.
            seconds: The time from its arrival until its whole answer.
            now: The current trio time in seconds.
        """
        shortest_s = self._shortest_s(route.name, now)
        if self._is_overload(route, self._delay_s(now)):
            if shortest_s is None:
                return
            seconds = min(seconds, shortest_s)
        if len(self._recent) >= MAX_ROUTES:
            self._recent.clear()
        self._recent[route.name] = min(seconds, self._recent.get(route.name, seconds))

    def refusal(self, route: HostRoute, remaining_s: float, now: float) -> Overloaded | None:
        """Return the rejection of a request whose answer would come too late; None to accept it.

        Args:
            route: Its route.
            remaining_s: Seconds until its caller's deadline.
            now: The current trio time in seconds.
        """
        delay_s = self._delay_s(now)
        if not self._is_overload(route, delay_s):
            return None
        shortest_s = self._shortest_s(route.name, now) or 0.0
        if DELAYS_PER_REQUEST * delay_s + shortest_s <= remaining_s:
            return None
        retry_after_s = delay_s + self._random.uniform(0.0, delay_s)
        return Overloaded(max(0.0, min(retry_after_s, MAX_RETRY_AFTER_FRACTION * remaining_s)))

    @staticmethod
    def _is_overload(route: HostRoute, delay_s: float) -> bool:
        return delay_s > OVERLOAD_FRACTION * route.objective_s

    def _shortest_s(self, route: str, now: float) -> float | None:
        """Return the shortest recent time of a route; None if none is known."""
        self._expire(now)
        times = (known[route] for known in (self._recent, self._older) if route in known)
        return min(times, default=None)

    def _expire(self, now: float) -> None:
        elapsed_s = now - self._recent_since
        if elapsed_s < RETENTION_S / 2:
            return
        self._older = {} if elapsed_s >= RETENTION_S else self._recent
        self._recent = {}
        self._recent_since = now

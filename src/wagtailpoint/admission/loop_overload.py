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

SEVERE_FRACTION: Final = 1 / 2
"""A delay beyond this fraction of the shortest objective of the configuration is a severe overload:
requests of the shortest objective then meet all of it as delay."""

STEP_S: Final = 1.0
"""Time for which an overload has to be severe, or not, before another priority is limited, or one
less. Most requests that were sent before are answered meanwhile."""

ACCEPTED_ONE_IN: Final = 4
"""Of the requests of a limited priority that come too late, one in this number is accepted."""

MAX_PRIORITIES: Final = 64

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


class _LimitedPriorities:
    """Which priorities are limited in a severe overload: the least urgent ones, step by step."""

    def __init__(self) -> None:
        self._seen_at: dict[int, float] = {}
        self._too_late: dict[int, int] = {}
        self._count = 0
        self._change = 0
        self._since = 0.0

    def update(self, delay_s: float, shortest_objective_s: float, now: float) -> None:
        """Limit one more priority, or one less, if the delay has been large or small for a time.

        More urgent priorities are limited only as long as the overload is severe. The least urgent
        one is until there is no overload, as its requests alone may bring a severe one back.
        """
        change = 0
        if delay_s > SEVERE_FRACTION * shortest_objective_s:
            change = 1
        elif self._count > 1 or delay_s <= OVERLOAD_FRACTION * shortest_objective_s:
            change = -1
        if change != self._change:
            self._change = change
            self._since = now
        if now - self._since > STEP_S:
            self._since = now
            self._expire(now)
            self._count = max(0, min(self._count + change, len(self._seen_at)))

    def includes(self, priority: int, now: float) -> bool:
        """Return whether a priority, of which a request has arrived, is limited."""
        if len(self._seen_at) >= MAX_PRIORITIES and priority not in self._seen_at:
            self._seen_at.clear()
        self._seen_at[priority] = now
        return sum(other > priority for other in self._seen_at) < self._count

    def rejects_next(self, priority: int) -> bool:
        """Return whether the next request of a limited priority that is too late is rejected."""
        if priority not in self._too_late and len(self._too_late) >= MAX_PRIORITIES:
            self._too_late.clear()
        self._too_late[priority] = self._too_late.get(priority, 0) + 1
        return self._too_late[priority] % ACCEPTED_ONE_IN != 0

    def _expire(self, now: float) -> None:
        self._seen_at = {
            priority: seen_at
            for priority, seen_at in self._seen_at.items()
            if now - seen_at < RETENTION_S
        }


class LoopOverload:
    """Rejects requests that this instance would answer too late.

    Those that it could not answer before their callers' deadlines, in any overload. In a severe
    one also those for which the delay leaves too little of their objective: the least urgent first,
    and never all of a priority.
    """

    def __init__(
        self,
        *,
        delay_s: Callable[[float], float],
        shortest_objective_s: Callable[[], float],
        random: Random,
    ) -> None:
        """Initialise without known times of answers.

        Args:
            delay_s: Returns the delay of the event loop in seconds, at a trio time in seconds.
            shortest_objective_s: Returns the shortest latency objective of any route, in seconds.
            random: The source of jitter.
        """
        self._delay_s = delay_s
        self._shortest_objective_s = shortest_objective_s
        self._limited = _LimitedPriorities()
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
        """Return the rejection of a request that would be answered too late; None to accept it.

        Args:
            route: Its route.
            remaining_s: Seconds until its caller's deadline.
            now: The current trio time in seconds.
        """
        delay_s = self._delay_s(now)
        self._limited.update(delay_s, self._shortest_objective_s(), now)
        is_limited = self._limited.includes(route.priority, now)
        if not self._is_overload(route, delay_s):
            return None
        answered_in_s = DELAYS_PER_REQUEST * delay_s + (self._shortest_s(route.name, now) or 0.0)
        if answered_in_s <= remaining_s and not (
            is_limited
            and answered_in_s > route.objective_s
            and self._limited.rejects_next(route.priority)
        ):
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

"""What requests of a route take: service time and size of the answer, learned."""

import math
from typing import Final

MIN_SAMPLE_WEIGHT: Final = 0.05
INITIAL_SERVICE_FRACTION: Final = 1 / 3
"""Of the latency objective, as long as no service time is known. Routes whose requests take long
have late objectives. One time for all would make an instance with few requests, which forgets as
fast as it learns, believe that an object that is not cached will be in time where it will not."""

INITIAL_REPLY_BYTES: Final = 4096.0

MAX_CACHED_RATIO: Final = 1.8
MAX_UNCACHED_RUN: Final = 50
"""An answer that took more than so many times what is believed is taken as not cached and teaches
nothing, unless so many came in a row: then the belief is too low."""

MAX_SAMPLE_RATIO: Final = 2.0
"""A sample counts as no more than so many times what is believed. An instance that was frozen for
seconds sees answers that took seconds; taken as they are, twenty of them made it believe that no
request could be answered in time."""

STALE_AFTER_S: Final = 1.0
STALE_HALF_LIFE_S: Final = 1.0
"""Without a sample for a second the belief returns to the first one, by half in each second more.
Who believes that all requests come too late sends none, and would learn nothing else for ever."""

MEAN_RETENTION_S: Final = 2.0
"""Without a sample for so long, what is ahead of a request is taken to be like the request."""


class RouteCost:
    """Means of one route on one service."""

    def __init__(self, *, objective_s: float) -> None:
        self._initial_service_s = INITIAL_SERVICE_FRACTION * objective_s
        self._service_s = self._initial_service_s
        self._bytes = INITIAL_REPLY_BYTES
        self._samples = 0
        self._uncached_run = 0
        self._sampled_at = -math.inf

    def service_s(self, now: float) -> float:
        """The time at the backend server, without queue, in seconds."""
        stale_s = max(0.0, now - self._sampled_at - STALE_AFTER_S)
        remaining_weight: float = 0.5 ** (stale_s / STALE_HALF_LIFE_S)
        return self._initial_service_s + remaining_weight * (
            self._service_s - self._initial_service_s
        )

    @property
    def reply_bytes(self) -> float:
        """The size of an answer."""
        return self._bytes

    def record(self, service_s: float, reply_bytes: int, now: float) -> None:
        """Take note of one answer.

        Those of objects that were not cached would make what is cached look slow, and backend
        servers without an object as good as those with it: where few requests come for each object
        more than half of the answers are such.
        """
        estimate = self.service_s(now)
        self._samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1 / self._samples)
        uncached = service_s > MAX_CACHED_RATIO * estimate
        self._uncached_run = self._uncached_run + 1 if uncached else 0
        if not uncached or self._uncached_run > MAX_UNCACHED_RUN:
            self._service_s = estimate + weight * (
                min(service_s, MAX_SAMPLE_RATIO * estimate) - estimate
            )
        self._bytes += weight * (reply_bytes - self._bytes)
        self._sampled_at = now


class MeanServiceTime:
    """Mean service time of the requests of all routes at one service."""

    def __init__(self) -> None:
        self._value_s = 0.0
        self._samples = 0
        self._sampled_at = -math.inf

    def value_s(self, now: float) -> float | None:
        """The mean in seconds; None without a sample in the last ``MEAN_RETENTION_S``."""
        return self._value_s if now - self._sampled_at <= MEAN_RETENTION_S else None

    def record(self, service_s: float, now: float) -> None:
        """Take note of one request, by what its route is believed to take."""
        self._samples += 1
        self._value_s += max(MIN_SAMPLE_WEIGHT, 1 / self._samples) * (service_s - self._value_s)
        self._sampled_at = now

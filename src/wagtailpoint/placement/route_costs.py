"""Estimated cost of a route's requests: service time and size of the answer."""

import math
from typing import Final

MIN_SAMPLE_WEIGHT: Final = 0.05
INITIAL_SERVICE_FRACTION: Final = 1 / 3
"""Initial service time as a fraction of the latency objective: routes with long requests have late
objectives. With one initial value for all routes, an instance with few requests, whose estimates
expire as fast as they are updated, would expect uncached objects in time where they will be
late."""

INITIAL_REPLY_BYTES: Final = 4096.0

MAX_CACHED_RATIO: Final = 1.8
MAX_UNCACHED_RUN: Final = 50
"""An answer that took more than this multiple of the estimate counts as uncached and is ignored. If
more than ``MAX_UNCACHED_RUN`` such answers come in a row, the estimate is too low, and they
count."""

MAX_SAMPLE_RATIO: Final = 2.0
"""Samples are capped at this multiple of the estimate. An instance that was frozen for seconds
measures answers that took seconds; uncapped, twenty of them raise the estimate so far that no
request seems to be answered in time."""

STALE_AFTER_S: Final = 1.0
STALE_HALF_LIFE_S: Final = 1.0
"""Half-life of the difference from the initial value, once there was no sample for
``STALE_AFTER_S``. An instance that expects all answers to be late sends no requests, and would
otherwise never get a sample that corrects the estimate."""

MEAN_RETENTION_S: Final = 2.0
"""Without a sample for this time, the requests queued ahead of a request are assumed to be like
it."""


class RouteCost:
    """Estimated means of one route at one service."""

    def __init__(self, *, objective_s: float) -> None:
        self._initial_service_s = INITIAL_SERVICE_FRACTION * objective_s
        self._service_s = self._initial_service_s
        self._bytes = INITIAL_REPLY_BYTES
        self._samples = 0
        self._uncached_run = 0
        self._sampled_at = -math.inf

    def service_s(self, now: float) -> float:
        """Return the service time of a cached object, without queueing, in seconds."""
        stale_s = max(0.0, now - self._sampled_at - STALE_AFTER_S)
        remaining_weight: float = 0.5 ** (stale_s / STALE_HALF_LIFE_S)
        return self._initial_service_s + remaining_weight * (
            self._service_s - self._initial_service_s
        )

    @property
    def reply_bytes(self) -> float:
        """The mean size of an answer in bytes."""
        return self._bytes

    def record(self, service_s: float, reply_bytes: int, now: float) -> None:
        """Record one answer.

        Answers of uncached objects are left out of the service time. They would make cached objects
        look slow, and backend servers without an object as good as those with it: where few
        requests come for each object, more than half of the answers are uncached.
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
    """Estimated mean service time of the requests of all routes at one service."""

    def __init__(self) -> None:
        self._value_s = 0.0
        self._samples = 0
        self._sampled_at = -math.inf

    def value_s(self, now: float) -> float | None:
        """Return the mean in seconds; None without a sample in the last ``MEAN_RETENTION_S``."""
        return self._value_s if now - self._sampled_at <= MEAN_RETENTION_S else None

    def record(self, service_s: float, now: float) -> None:
        """Record one request with the estimated service time of its route."""
        self._samples += 1
        self._value_s += max(MIN_SAMPLE_WEIGHT, 1 / self._samples) * (service_s - self._value_s)
        self._sampled_at = now

"""Estimated load and health of one backend server, as seen by one instance."""

import math
from collections import deque
from typing import Final, NamedTuple

from wagtailpoint.placement.load_report import LoadReport

MEAN_WEIGHT: Final = 0.15
"""Weight of a new load report in the mean."""

REPORT_HALF_LIFE_S: Final = 0.15
"""Half-life of a load report against the mean: after about two service times other requests have
come. Where instances exchange reports, the half-life is the mean service time of the service, as
long requests keep their slots for longer."""

RECENTLY_ENDED: Final = 16
"""Number of ended requests that are remembered: a report of another instance, which is older than
its arrival, may still count them."""

MEAN_HALF_LIFE_S: Final = 3.0
"""Half-life of the other instances' load without a new report: a backend server that was full must
be tried again at some time."""

LATENCY_WEIGHT: Final = 0.15
ERROR_WEIGHT: Final = 0.2
"""Weights of one sample. Five errors in a row bring the share of errors to two thirds."""

MAX_SLOWNESS: Final = 10.0

HEALTHY_SLOWNESS: Final = 2.0
HEALTHY_ERROR_SHARE: Final = 0.1
"""Limits below which a backend server is as good as others. Service times vary by a fifth; the
factor of three for uncached objects does not count, as it is part of the expected latency."""

FAILING_SLOWNESS: Final = 3.0
FAILING_ERROR_SHARE: Final = 0.3
"""Limits from which a backend server is worse than one where the object is not cached, which takes
three times as long. A few uncached answers in a row do not reach them."""

EVIDENCE_HALF_LIFE_S: Final = 2.0
"""Half-life of slowness and errors without new samples. A backend server that is avoided gives no
samples, and would otherwise be avoided for ever after it has recovered."""

MIN_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 4.0
"""Bounds of the exponential backoff of an unreachable backend server. After it a connection is
opened before the server gets requests again."""

SILENCE_FACTOR: Final = 3.0
SILENCE_SLACK_S: Final = 0.1
"""A backend server that has answered nothing since a request was sent counts as dead after this
multiple of the request's expected stay, or of the recent typical stay if that is longer, plus a
slack for pauses of either machine. A server that has lost power gives no other sign, and requests
to it wait until their deadlines."""


class InFlightRequest(NamedTuple):
    """A request of this instance that the backend server has not answered yet.

    Attributes:
        sent_at: The time when it was sent.
        expected_stay_s: The expected queueing and service time there, in seconds.
    """

    sent_at: float
    expected_stay_s: float


class ServerLoad:
    """Estimates the load and health of one backend server.

    Some of the requests in flight, or their answers, are in transit. A server with a
    round trip of 70 ms that takes 70 ms for a request holds half of them. If all were counted, a
    distant server would seem full, the more so the more requests are sent there. The requests of a
    load report, which is half a round trip old, would be counted as those of other instances.
    """

    def __init__(self) -> None:
        self._in_flight: list[InFlightRequest] = []
        self._ended: deque[tuple[float, float]] = deque(maxlen=RECENTLY_ENDED)
        self._others = 0.0
        self._others_mean = 0.0
        self._reported_at = -math.inf
        self._slowness = 1.0
        self._error_share = 0.0
        self._evidence_at = 0.0
        self._failures = 0
        self._resting_until: float | None = None
        self._heard_at = -math.inf
        self._path_since = -math.inf
        self._typical_s: float | None = None

    @property
    def in_flight(self) -> int:
        """The number of requests of this instance that are in flight."""
        return len(self._in_flight)

    @property
    def heard_at(self) -> float:
        """The time of the last answer."""
        return self._heard_at

    def occupancy(
        self, now: float, round_trip_s: float, report_half_life_s: float = REPORT_HALF_LIFE_S
    ) -> float:
        """Return the estimated number of requests that a request sent at ``now`` finds there."""
        age_s = now - self._reported_at
        mean = self._others_mean * _decay_factor(age_s, MEAN_HALF_LIFE_S)
        others = mean + (self._others - mean) * _decay_factor(age_s, report_half_life_s)
        return others + sum(
            _is_at_server(request, now, round_trip_s)
            for request in self._in_flight
            if request.sent_at >= self._path_since
        )

    def slowness(self, now: float) -> float:
        """Return the recent ratio of actual to expected latency, at least 1."""
        remaining = _decay_factor(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)
        return max(1.0, 1.0 + (self._slowness - 1.0) * remaining)

    def error_share(self, now: float) -> float:
        """Return the recent fraction of responses that were failures of the server itself."""
        return self._error_share * _decay_factor(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)

    def report_age_s(self, now: float) -> float:
        """Return the age of the newest load report, in seconds."""
        return now - self._reported_at

    def is_failing(self, now: float) -> bool:
        """Return whether it is so slow or fails so often that others should be considered."""
        return (
            self.slowness(now) >= FAILING_SLOWNESS or self.error_share(now) >= FAILING_ERROR_SHARE
        )

    @property
    def resting_until(self) -> float | None:
        """The end of the backoff of an unreachable backend server; None if it is reachable."""
        return self._resting_until

    def is_suspect(self, now: float, round_trip_s: float) -> bool:
        """Return whether the backend server is unreachable or silent."""
        return self._resting_until is not None or self._is_silent(now, round_trip_s)

    def _is_silent(self, now: float, round_trip_s: float) -> bool:
        if self._typical_s is None:
            return False
        return any(
            max(self._heard_at, self._path_since) < request.sent_at
            and now - request.sent_at - round_trip_s - SILENCE_SLACK_S
            > SILENCE_FACTOR * max(request.expected_stay_s, self._typical_s)
            for request in self._in_flight
        )

    def is_healthy(self, now: float) -> bool:
        """Return whether the backend server is neither failing nor slow."""
        return self.slowness(now) < HEALTHY_SLOWNESS and self.error_share(now) < HEALTHY_ERROR_SHARE

    def record_send(self, now: float, expected_stay_s: float) -> InFlightRequest:
        """Record a request that is sent and expected to stay for ``expected_stay_s`` seconds."""
        request = InFlightRequest(now, expected_stay_s)
        self._in_flight.append(request)
        return request

    def record_end(self, request: InFlightRequest, now: float) -> None:
        """Record that a request has ended at ``now``, whatever its result."""
        self._in_flight.remove(request)
        self._ended.append((request.sent_at, now))

    def record_report(self, report: LoadReport, now: float, round_trip_s: float) -> None:
        """Record a load report that came with a response.

        Args:
            report: The load report, which counts the request that is answered.
            now: The time when it arrived. The answered request still counts as in flight.
            round_trip_s: The round-trip time in seconds; requests sent less than this before
                ``now`` are not counted in the report.
        """
        counted_requests = sum(request.sent_at <= now - round_trip_s for request in self._in_flight)
        self._record_others(report, max(1, counted_requests), now)

    def record_peer_report(
        self, report: LoadReport, measured_at: float, round_trip_s: float
    ) -> bool:
        """Record a load report that another instance received.

        Args:
            report: The load report.
            measured_at: The time when the backend server wrote it.
            round_trip_s: The round-trip time between this instance and the backend server.

        Returns:
            Whether it is newer than the newest one so far, and was recorded.
        """
        arrived_at = measured_at + round_trip_s / 2
        if arrived_at <= self._reported_at:
            return False
        sent_before = measured_at - round_trip_s / 2
        counted_requests = sum(request.sent_at <= sent_before for request in self._in_flight)
        counted_requests += sum(
            sent_at <= sent_before and arrived_at < ended_at for sent_at, ended_at in self._ended
        )
        self._record_others(report, counted_requests, arrived_at)
        return True

    def _record_others(self, report: LoadReport, own_requests: int, reported_at: float) -> None:
        """Record the requests of other instances in a report."""
        self._others = max(0, report.running + report.waiting - own_requests)
        age_s = reported_at - self._reported_at
        mean = self._others_mean * _decay_factor(age_s, MEAN_HALF_LIFE_S)
        self._others_mean = mean + MEAN_WEIGHT * (self._others - mean)
        self._reported_at = reported_at

    def record_answer(self, now: float, *, failed: bool) -> None:
        """Record an answer; ``failed`` if it is a failure of the backend server itself."""
        self._heard_at = now
        self._failures = 0
        self._resting_until = None
        self._decay_evidence(now)
        self._error_share += ERROR_WEIGHT * ((1.0 if failed else 0.0) - self._error_share)

    def record_latency(self, took_s: float, expected_s: float, now: float) -> None:
        """Record the actual and the expected time at the backend server, queueing included."""
        self._decay_evidence(now)
        ratio = took_s / expected_s
        if self._typical_s is None:
            self._typical_s = took_s
        self._typical_s += LATENCY_WEIGHT * (took_s - self._typical_s)
        self._slowness += LATENCY_WEIGHT * (min(ratio, MAX_SLOWNESS) - self._slowness)

    def _decay_evidence(self, now: float) -> None:
        remaining = _decay_factor(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)
        self._slowness = 1.0 + (self._slowness - 1.0) * remaining
        self._error_share *= remaining
        self._evidence_at = now

    def record_unreachable(self, now: float) -> float:
        """Record that it could not be reached or broke off; return its backoff in seconds."""
        if self._resting_until is None or now >= self._resting_until:
            self._failures += 1
        backoff_s: float = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** (self._failures - 1))
        self._resting_until = max(self._resting_until or 0.0, now + backoff_s)
        return backoff_s

    def record_path_change(self, now: float) -> None:
        """Forget what a lost path has caused: failures, and requests that are stuck on it."""
        self._failures = 0
        self._resting_until = None
        self._error_share = 0.0
        self._path_since = now

    def record_reachable(self) -> None:
        """Record that a connection opened, which ends the backoff but not its doubling."""
        self._resting_until = None


def _is_at_server(request: InFlightRequest, now: float, round_trip_s: float) -> bool:
    """Return whether a request sent at ``now`` finds ``request`` still at the backend server.

    Once its expected stay is over, its answer is assumed to be in transit. If the answer has not
    arrived one round trip later, the request takes longer than expected and is still there.
    """
    age_s = now - request.sent_at
    return not request.expected_stay_s < age_s <= request.expected_stay_s + round_trip_s


def _decay_factor(age_s: float, half_life_s: float) -> float:
    """Return the weight, 1 to 0, of an estimate of a given age."""
    return math.exp(-math.log(2) * age_s / half_life_s)

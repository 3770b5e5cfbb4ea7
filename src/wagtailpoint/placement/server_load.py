"""What one instance believes of the load and the health of one backend server."""

import math
from typing import Final, NamedTuple

MEAN_WEIGHT: Final = 0.15
"""The weight of a new report against the mean of those before."""

REPORT_HALF_LIFE_S: Final = 0.15
"""How long a report says more than the mean: about two service times, then others have come."""

MEAN_HALF_LIFE_S: Final = 3.0
"""Without any report the belief in the others' load fades: a backend server that was full once must
be tried again."""

LATENCY_WEIGHT: Final = 0.15
ERROR_WEIGHT: Final = 0.2
"""Weights of one observation: five errors in a row bring the share to two thirds."""

MAX_SLOWNESS: Final = 10.0

HEALTHY_SLOWNESS: Final = 2.0
HEALTHY_ERROR_SHARE: Final = 0.1
"""Below these a backend server is as good as others: requests vary by a fifth, and answers that
meet a full cache take three times as long but are expected to."""

FAILING_SLOWNESS: Final = 3.0
FAILING_ERROR_SHARE: Final = 0.3
"""Above these a backend server is worse than another where the object is not cached, which takes
three times as long. A few answers that were not cached, one after the other, are not that bad."""

EVIDENCE_HALF_LIFE_S: Final = 2.0
"""Slowness and errors are forgotten without new evidence: a backend server that is avoided gives
none, and would be avoided for ever after it has recovered."""

MIN_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 4.0
"""After a failure to reach it a backend server rests, doubling; then a connection is opened to it
before it gets requests again."""

SILENCE_FACTOR: Final = 3.0
SILENCE_SLACK_S: Final = 0.1
"""A backend server that has answered nothing since a request was sent to it is taken for dead when
that stays so many times as long as expected, or as others did lately, and the slack for pauses of
either machine. One that has lost power gives no other sign: requests to it wait for their
deadlines."""


class LoadReport(NamedTuple):
    """What a backend server said of itself along with a response.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait in its queue.
        slots: Requests that it can run at the same time.
    """

    running: int
    waiting: int
    slots: int


def parse_load(value: bytes | None) -> LoadReport | None:
    """Read ``RUNNING,WAITING,SLOTS``; None if it has another form."""
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    return LoadReport(*(int(part) for part in parts))


class InFlightRequest(NamedTuple):
    """A request of this instance to the backend server.

    Attributes:
        sent_at: When it was sent.
        expected_stay_s: How long it is expected to wait and be worked on there, in seconds.
    """

    sent_at: float
    expected_stay_s: float


class ServerLoad:
    """The load and health of one backend server.

    Of the requests under way some are on the way there, and some of their answers on the way back.
    A server 70 ms away that takes 70 ms for a request has half of them. Whoever counts all of them
    takes a far server for full, the more so the more it sends there, and a report's requests, which
    are those of half a round trip ago, for others'.
    """

    def __init__(self) -> None:
        self._in_flight: list[InFlightRequest] = []
        self._others = 0.0
        self._others_mean = 0.0
        self._reported_at = -math.inf
        self._slowness = 1.0
        self._error_share = 0.0
        self._evidence_at = 0.0
        self._failures = 0
        self._resting_until: float | None = None
        self._heard_at = -math.inf
        self._typical_s: float | None = None

    @property
    def in_flight(self) -> int:
        """Requests of this instance at the backend server."""
        return len(self._in_flight)

    @property
    def heard_at(self) -> float:
        """When it last answered anything."""
        return self._heard_at

    def occupancy(self, now: float, round_trip_s: float) -> float:
        """Requests that one sent now will meet there: ours, and an estimate of the others'."""
        age_s = now - self._reported_at
        mean = self._others_mean * _decay_factor(age_s, MEAN_HALF_LIFE_S)
        others = mean + (self._others - mean) * _decay_factor(age_s, REPORT_HALF_LIFE_S)
        return others + sum(
            _is_at_server(request, now, round_trip_s) for request in self._in_flight
        )

    def slowness(self, now: float) -> float:
        """How many times as long as expected it takes, lately; 1 is as expected."""
        remaining = _decay_factor(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)
        return max(1.0, 1.0 + (self._slowness - 1.0) * remaining)

    def error_share(self, now: float) -> float:
        """The part of its responses that were failures of its own, lately."""
        return self._error_share * _decay_factor(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)

    def report_age_s(self, now: float) -> float:
        """How old the last report is, in seconds."""
        return now - self._reported_at

    def is_failing(self, now: float) -> bool:
        """Whether it is so slow or fails so often that others should be considered."""
        return (
            self.slowness(now) >= FAILING_SLOWNESS or self.error_share(now) >= FAILING_ERROR_SHARE
        )

    @property
    def resting_until(self) -> float | None:
        """When it may be tried again after a failure to reach it; None if there was none."""
        return self._resting_until

    def is_suspect(self, now: float, round_trip_s: float) -> bool:
        """Whether it could not be reached lately, or answers nothing."""
        return self._resting_until is not None or self._is_silent(now, round_trip_s)

    def _is_silent(self, now: float, round_trip_s: float) -> bool:
        if self._typical_s is None:
            return False
        return any(
            self._heard_at < request.sent_at
            and now - request.sent_at - round_trip_s - SILENCE_SLACK_S
            > SILENCE_FACTOR * max(request.expected_stay_s, self._typical_s)
            for request in self._in_flight
        )

    def is_healthy(self, now: float) -> bool:
        """Whether it neither fails nor is slow."""
        return self.slowness(now) < HEALTHY_SLOWNESS and self.error_share(now) < HEALTHY_ERROR_SHARE

    def record_send(self, now: float, expected_stay_s: float) -> InFlightRequest:
        """A request is sent to it that is expected to stay there for so many seconds."""
        request = InFlightRequest(now, expected_stay_s)
        self._in_flight.append(request)
        return request

    def record_end(self, request: InFlightRequest) -> None:
        """A request to it is over, in whatever way."""
        self._in_flight.remove(request)

    def record_report(self, report: LoadReport, now: float, round_trip_s: float) -> None:
        """Take in a report that came with the response to one of our requests.

        Args:
            report: The report; the request that it came with is counted in it.
            now: When it came. That request is still counted as under way.
            round_trip_s: The way there and back: what was sent later was not there yet.
        """
        counted_requests = sum(request.sent_at <= now - round_trip_s for request in self._in_flight)
        self._others = max(0, report.running + report.waiting - max(1, counted_requests))
        mean = self._others_mean * _decay_factor(now - self._reported_at, MEAN_HALF_LIFE_S)
        self._others_mean = mean + MEAN_WEIGHT * (self._others - mean)
        self._reported_at = now

    def record_answer(self, now: float, *, failed: bool) -> None:
        """It answered; ``failed`` if with a failure of its own."""
        self._heard_at = now
        self._failures = 0
        self._resting_until = None
        self._decay_evidence(now)
        self._error_share += ERROR_WEIGHT * ((1.0 if failed else 0.0) - self._error_share)

    def record_latency(self, took_s: float, expected_s: float, now: float) -> None:
        """An answer took so many seconds there, queue included; so many were expected."""
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
        """It could not be reached, or broke off; return for how long it rests, in seconds."""
        if self._resting_until is None or now >= self._resting_until:
            self._failures += 1
        rest_s: float = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0 ** (self._failures - 1))
        self._resting_until = max(self._resting_until or 0.0, now + rest_s)
        return rest_s

    def record_reachable(self) -> None:
        """A connection to it opened: requests may be sent, and will show whether it answers."""
        self._resting_until = None


def _is_at_server(request: InFlightRequest, now: float, round_trip_s: float) -> bool:
    """Whether a request that is sent now finds another one still there.

    If it was there for as long as it is expected to stay, its answer is on the way back; if that
    has not come in time, it stays longer than expected.
    """
    age_s = now - request.sent_at
    return not request.expected_stay_s < age_s <= request.expected_stay_s + round_trip_s


def _decay_factor(age_s: float, half_life_s: float) -> float:
    """What is left of a belief after so many seconds, 1 to 0."""
    return math.exp(-math.log(2) * age_s / half_life_s)

"""What one instance believes of the load and the health of one backend server."""

import math
from typing import Final, NamedTuple

MEAN_GAIN: Final = 0.15
"""The weight of a new report against the mean of those before."""

NEWS_HALF_LIFE_S: Final = 0.15
"""How long a report says more than the mean: about two service times, then others have come."""

MEAN_HALF_LIFE_S: Final = 3.0
"""Without any report the belief in the others' load fades: a backend server that was full once must
be tried again."""

LATENCY_GAIN: Final = 0.15
ERROR_GAIN: Final = 0.2
"""Weights of one observation: five errors in a row bring the share to two thirds."""

MOST_SLOWNESS: Final = 10.0

SOUND_SLOWNESS: Final = 2.0
SOUND_ERROR_SHARE: Final = 0.1
"""Below these a backend server is as good as others: requests vary by a fifth, and answers that
meet a full cache take three times as long but are expected to."""

EVIDENCE_HALF_LIFE_S: Final = 2.0
"""Slowness and errors are forgotten without new evidence: a backend server that is avoided gives
none, and would be avoided for ever after it has recovered."""

FIRST_SUSPICION_S: Final = 0.5
LONGEST_SUSPICION_S: Final = 4.0
"""After a failure to reach it a backend server rests, doubling; one that comes back is cold and
needs its first requests spread anyway."""


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


class ServerLoad:
    """The load and health of one backend server."""

    def __init__(self) -> None:
        self._in_flight = 0
        self._others = 0.0
        self._others_mean = 0.0
        self._reported_at = -math.inf
        self._slowness = 1.0
        self._error_share = 0.0
        self._evidence_at = 0.0
        self._failures = 0
        self._suspect_until = -math.inf
        self._heard_at = -math.inf

    @property
    def in_flight(self) -> int:
        """Requests of this instance at the backend server."""
        return self._in_flight

    @property
    def heard_at(self) -> float:
        """When it last answered anything."""
        return self._heard_at

    def occupancy(self, now: float) -> float:
        """Requests there: ours, and an estimate of the other instances'."""
        age_s = now - self._reported_at
        mean = self._others_mean * _faded(age_s, MEAN_HALF_LIFE_S)
        return self._in_flight + mean + (self._others - mean) * _faded(age_s, NEWS_HALF_LIFE_S)

    def slowness(self, now: float) -> float:
        """How many times as long as expected it takes, lately; 1 is as expected."""
        left = _faded(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)
        return max(1.0, 1.0 + (self._slowness - 1.0) * left)

    def error_share(self, now: float) -> float:
        """The part of its responses that were failures of its own, lately."""
        return self._error_share * _faded(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)

    def report_age_s(self, now: float) -> float:
        """How old the last report is, in seconds."""
        return now - self._reported_at

    def is_suspect(self, now: float) -> bool:
        """Whether it could not be reached lately."""
        return now < self._suspect_until

    def is_sound(self, now: float) -> bool:
        """Whether it neither fails nor is slow."""
        return self.slowness(now) < SOUND_SLOWNESS and self.error_share(now) < SOUND_ERROR_SHARE

    def began(self) -> None:
        """A request is sent to it."""
        self._in_flight += 1

    def ended(self) -> None:
        """A request to it is over, in whatever way."""
        self._in_flight -= 1

    def note_report(self, report: LoadReport, now: float) -> None:
        """Take in a report that came with the response to one of our requests.

        Args:
            report: The report.
            now: When it came. The request that it came with is still counted as in flight.
        """
        self._others = max(0, report.running + report.waiting - self._in_flight)
        mean = self._others_mean * _faded(now - self._reported_at, MEAN_HALF_LIFE_S)
        self._others_mean = mean + MEAN_GAIN * (self._others - mean)
        self._reported_at = now

    def note_answer(self, now: float, *, failed: bool) -> None:
        """It answered; ``failed`` if with a failure of its own."""
        self._heard_at = now
        self._failures = 0
        self._suspect_until = -math.inf
        self._fade_evidence(now)
        self._error_share += ERROR_GAIN * ((1.0 if failed else 0.0) - self._error_share)

    def note_latency(self, ratio: float, now: float) -> None:
        """An answer took ``ratio`` times as long as was expected."""
        self._fade_evidence(now)
        self._slowness += LATENCY_GAIN * (min(ratio, MOST_SLOWNESS) - self._slowness)

    def _fade_evidence(self, now: float) -> None:
        left = _faded(now - self._evidence_at, EVIDENCE_HALF_LIFE_S)
        self._slowness = 1.0 + (self._slowness - 1.0) * left
        self._error_share *= left
        self._evidence_at = now

    def note_unreachable(self, now: float) -> float:
        """It could not be reached, or broke off; return for how long it rests, in seconds."""
        if now >= self._suspect_until:
            self._failures += 1
        rest_s: float = min(LONGEST_SUSPICION_S, FIRST_SUSPICION_S * 2.0 ** (self._failures - 1))
        self._suspect_until = max(self._suspect_until, now + rest_s)
        return rest_s


def _faded(age_s: float, half_life_s: float) -> float:
    """What is left of a belief after so many seconds, 1 to 0."""
    return math.exp(-math.log(2) * age_s / half_life_s)

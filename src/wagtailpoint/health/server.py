"""The health of one backend server, from evidence that loses weight with age."""

from enum import Enum

from wagtailpoint.health.evidence import FULL_WEIGHT_TIMEOUT_S, Outcome
from wagtailpoint.ports.backend import LoadReport
from wagtailpoint.ports.clock import Clock

EVIDENCE_HALF_LIFE_S = 5.0
"""Time after which an outcome has half its weight."""

EJECT_FAULTS = 3.0
"""Sum of weighted faults at which a backend server is ejected."""

EJECT_FAULT_FRACTION = 0.5
"""Fraction of faults among all weighted outcomes that an ejection also requires."""

INITIAL_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
"""Each consecutive ejection is twice as long as the previous one, up to the maximum."""

INITIAL_TRIAL_FRACTION = 0.05
"""Fraction of requests for which a backend server is offered after an ejection; each good outcome
doubles it. A backend server that answers one request may still fail under full load, and with all
requests at once that would lose many requests instead of a few."""

REPORT_TTL_S = 5.0
"""Time after which a load report is stale."""

DRAINING_REPORT_TTL_S = 30.0
"""Time after which a report of draining is stale. It is longer, so that a backend server that is
leaving does not get requests again as soon as its reports stop."""

DRAINING_ANSWER_TTL_S = 10.0
"""Time for which an answer that says "draining" is valid, whatever reports say meanwhile."""

LATENCY_WEIGHT = 0.1
"""Weight of the newest latency in the exponential average."""

MIN_LATENCY_COUNT = 20
"""Number of latencies from which their average is used."""


class State(Enum):
    """Whether a backend server gets new requests."""

    HEALTHY = "healthy"
    TRIAL = "trial"
    """Returned from an ejection; gets a rising fraction of the requests."""
    EJECTED = "ejected"
    DRAINING = "draining"


class ServerHealth:
    """Derives the health of one backend server from outcomes and load reports."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._answers = 0.0
        self._faults = 0.0
        self._aged_at = clock.monotonic()
        self._latency_s = 0.0
        self._latencies = 0
        self._report: LoadReport | None = None
        self._report_at = self._aged_at
        self._draining_until = self._aged_at
        self._ejected_at: float | None = None
        self._ejections = 0
        self._trial_fraction = 1.0
        self._credit = 0.0
        self._is_known_healthy = True

    @property
    def is_known_healthy(self) -> bool:
        """True only if no evidence speaks against it; False if it must be evaluated by ``state``.

        Read for each backend server on each request, so it is cheaper than ``state``.
        """
        return self._is_known_healthy

    @property
    def state(self) -> State:
        """The current state."""
        if self.has_drain_answer or self.has_drain_report:
            return State.DRAINING
        if self._ejected_at is not None and not self._is_ejection_over(self._ejected_at):
            return State.EJECTED
        return State.HEALTHY if self._trial_fraction >= 1 else State.TRIAL

    @property
    def has_drain_answer(self) -> bool:
        """Whether an answer to an instance's request has said "draining" recently."""
        return self._clock.monotonic() < self._draining_until

    @property
    def has_drain_report(self) -> bool:
        """Whether its newest load report says "draining" and is not stale."""
        age_s = self._clock.monotonic() - self._report_at
        report = self._report
        return report is not None and report.draining and age_s <= DRAINING_REPORT_TTL_S

    @property
    def report(self) -> LoadReport | None:
        """Its newest load report; None if it is stale or missing."""
        fresh = self._clock.monotonic() - self._report_at <= REPORT_TTL_S
        return self._report if fresh else None

    @property
    def faults(self) -> float:
        """Sum of weighted faults, reduced by age."""
        self._age()
        return self._faults

    @property
    def latency_s(self) -> float | None:
        """Average of recent latencies in seconds; None before enough were recorded."""
        return self._latency_s if self._latencies >= MIN_LATENCY_COUNT else None

    def observe_outcome(self, outcome: Outcome, latency_s: float) -> None:
        """Record the outcome of an exchange.

        Args:
            outcome: How the exchange ended.
            latency_s: Time until the response's headers came or the exchange failed, in seconds.
        """
        self._age()
        if outcome is Outcome.DRAINING:
            self._draining_until = self._clock.monotonic() + DRAINING_ANSWER_TTL_S
            self._is_known_healthy = False
        elif outcome is Outcome.ANSWERED:
            self._record_answer(latency_s)
        elif outcome.weight > 0:
            fraction = (
                min(1.0, latency_s / FULL_WEIGHT_TIMEOUT_S) if outcome is Outcome.TIMEOUT else 1.0
            )
            self._record_fault(outcome.weight * fraction)

    def observe_report(self, report: LoadReport) -> None:
        """Record a load report of the backend server."""
        self._report = report
        self._report_at = self._clock.monotonic()
        self._is_known_healthy = self._is_known_healthy and not report.draining

    def eject(self) -> None:
        """Eject the backend server for a while, longer for each consecutive ejection."""
        self._ejected_at = self._clock.monotonic()
        self._ejections += 1
        self._trial_fraction = INITIAL_TRIAL_FRACTION
        self._credit = 0.0
        self._is_known_healthy = False
        # After the ejection only new evidence counts.
        self._answers = self._faults = 0.0
        self._latencies = 0

    def should_offer(self) -> bool:
        """Return whether to offer it for a request: always if healthy, sometimes if in trial.

        Each call counts as one request of the trial.
        """
        state = self.state
        if state is not State.TRIAL:
            self._is_known_healthy = state is State.HEALTHY
            return self._is_known_healthy
        self._credit += self._trial_fraction
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def _record_answer(self, latency_s: float) -> None:
        self._answers += 1
        self._latencies += 1
        weight = max(LATENCY_WEIGHT, 1 / self._latencies)
        self._latency_s += weight * (latency_s - self._latency_s)
        if self.state is State.TRIAL:
            self._trial_fraction = min(1.0, self._trial_fraction * 2)
            if self._trial_fraction >= 1:
                self._ejected_at = None
        elif self._ejections and self._answers > 10 * EJECT_FAULTS:
            self._ejections = 0

    def _record_fault(self, weight: float) -> None:
        self._faults += weight
        if self.state is State.EJECTED:
            # The fault is from a probe or a request in flight. Only a fault after the ejection
            # extends it.
            return
        enough = self._faults >= EJECT_FAULTS
        mostly = self._faults >= EJECT_FAULT_FRACTION * (self._answers + self._faults)
        if self.state is State.TRIAL or (enough and mostly):
            self.eject()

    def _is_ejection_over(self, ejected_at: float) -> bool:
        length_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2.0 ** (self._ejections - 1))
        # Without a report since the ejection, the backend server may be dead, so a request of a
        # caller is risked only after twice the time. The wait is limited, because reports may not
        # be requested at all.
        if self._report is None or self._report_at < ejected_at:
            length_s *= 2
        return self._clock.monotonic() >= ejected_at + length_s

    def _age(self) -> None:
        now = self._clock.monotonic()
        factor = 0.5 ** ((now - self._aged_at) / EVIDENCE_HALF_LIFE_S)
        self._answers *= factor
        self._faults *= factor
        self._aged_at = now

"""The health of one backend server, from evidence that ages."""

from enum import Enum

from wagtailpoint.health.evidence import PATIENCE_S, Outcome
from wagtailpoint.ports.backend import LoadReport
from wagtailpoint.ports.clock import Clock

HALF_LIFE_S = 5.0
"""After so many seconds an outcome counts half."""

EJECT_FAULTS = 3.0
"""Faults, weighed and aged, before a backend server is ejected."""

EJECT_RATIO = 0.5
"""The part of faults among all outcomes, weighed and aged, before it is ejected."""

FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 30.0
"""Each ejection in a row is twice as long as the one before, up to this, in seconds."""

FIRST_TRIAL_SHARE = 0.05
"""The part of the choices that a backend server back from ejection is offered for; each good
outcome doubles it. A backend server that answers one request may still fall over under full load,
and with all of the traffic at once that would cost many requests instead of a few."""

REPORT_AGE_S = 5.0
"""A load report older than this says nothing any more, in seconds."""

DRAINING_REPORT_AGE_S = 30.0
"""A report of draining holds longer, in seconds: a backend server that is leaving must not come
back into use because its reports stop arriving."""

DRAINING_MEMORY_S = 10.0
"""How long a shed answer that says "draining" holds, in seconds, whatever reports say meanwhile."""

LATENCY_WEIGHT = 0.1
"""The weight of the newest latency in the average."""

ENOUGH_LATENCIES = 20
"""Latencies before their average says something."""


class State(Enum):
    """Whether a backend server gets new work."""

    HEALTHY = "healthy"
    TRIAL = "trial"
    """Back from ejection: gets a rising part of the work."""
    EJECTED = "ejected"
    DRAINING = "draining"


class ServerHealth:
    """The health of one backend server."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._good = 0.0
        self._faults = 0.0
        self._aged_at = clock.monotonic()
        self._latency_s = 0.0
        self._latencies = 0
        self._report: LoadReport | None = None
        self._report_at = self._aged_at
        self._draining_until = self._aged_at
        self._ejected_at: float | None = None
        self._ejections = 0
        self._trial_share = 1.0
        self._credit = 0.0
        self._unblemished = True

    @property
    def unblemished(self) -> bool:
        """True only if nothing speaks against it; False may also mean that it was not looked at.

        Asked for each backend server on each request, hence cheaper than ``state``.
        """
        return self._unblemished

    @property
    def state(self) -> State:
        """Whether it gets new work."""
        if self.said_draining or self.reports_draining:
            return State.DRAINING
        if self._ejected_at is not None and not self._ejection_over(self._ejected_at):
            return State.EJECTED
        return State.HEALTHY if self._trial_share >= 1 else State.TRIAL

    @property
    def said_draining(self) -> bool:
        """Whether an answer to one of our own requests said "draining" a moment ago."""
        return self._clock.monotonic() < self._draining_until

    @property
    def reports_draining(self) -> bool:
        """Whether its newest report says "draining", and is not too old."""
        age_s = self._clock.monotonic() - self._report_at
        report = self._report
        return report is not None and report.draining and age_s <= DRAINING_REPORT_AGE_S

    @property
    def report(self) -> LoadReport | None:
        """Its newest report; None if there is none or it is too old."""
        fresh = self._clock.monotonic() - self._report_at <= REPORT_AGE_S
        return self._report if fresh else None

    @property
    def faults(self) -> float:
        """Faults, weighed and aged."""
        self._age()
        return self._faults

    @property
    def latency_s(self) -> float | None:
        """The average latency of late in seconds; None before there are enough."""
        return self._latency_s if self._latencies >= ENOUGH_LATENCIES else None

    def observe_outcome(self, outcome: Outcome, latency_s: float) -> None:
        """Take in how one of our own exchanges ended.

        Args:
            outcome: How it ended.
            latency_s: Until the response's headers came or the exchange failed, in seconds.
        """
        self._age()
        if outcome is Outcome.DRAINING:
            self._draining_until = self._clock.monotonic() + DRAINING_MEMORY_S
            self._unblemished = False
        elif outcome is Outcome.ANSWERED:
            self._observe_answer(latency_s)
        elif outcome.weight > 0:
            part = min(1.0, latency_s / PATIENCE_S) if outcome is Outcome.TIMEOUT else 1.0
            self._observe_fault(outcome.weight * part)

    def observe_report(self, report: LoadReport) -> None:
        """Take in what the backend server says of itself."""
        self._report = report
        self._report_at = self._clock.monotonic()
        self._unblemished = self._unblemished and not report.draining

    def eject(self) -> None:
        """Give it no work for a while; longer each time in a row."""
        self._ejected_at = self._clock.monotonic()
        self._ejections += 1
        self._trial_share = FIRST_TRIAL_SHARE
        self._credit = 0.0
        self._unblemished = False
        # Judged anew on what it does when it is back.
        self._good = self._faults = 0.0
        self._latencies = 0

    def offer(self) -> bool:
        """Whether it is offered for this choice: always if healthy, now and then in a trial."""
        state = self.state
        if state is not State.TRIAL:
            self._unblemished = state is State.HEALTHY
            return self._unblemished
        self._credit += self._trial_share
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def _observe_answer(self, latency_s: float) -> None:
        self._good += 1
        self._latencies += 1
        weight = max(LATENCY_WEIGHT, 1 / self._latencies)
        self._latency_s += weight * (latency_s - self._latency_s)
        if self.state is State.TRIAL:
            self._trial_share = min(1.0, self._trial_share * 2)
            if self._trial_share >= 1:
                self._ejected_at = None
        elif self._ejections and self._good > 10 * EJECT_FAULTS:
            self._ejections = 0

    def _observe_fault(self, weight: float) -> None:
        self._faults += weight
        if self.state is State.EJECTED:
            # A probe, or a request that was under way. Only a fresh fault prolongs the ejection.
            return
        enough = self._faults >= EJECT_FAULTS
        mostly = self._faults >= EJECT_RATIO * (self._good + self._faults)
        if self.state is State.TRIAL or (enough and mostly):
            self.eject()

    def _ejection_over(self, ejected_at: float) -> bool:
        length_s = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2.0 ** (self._ejections - 1))
        # Without a report since, the server may well be dead: wait twice as long before some
        # caller's request is spent on it, but not forever, for nobody may be asking for reports.
        if self._report is None or self._report_at < ejected_at:
            length_s *= 2
        return self._clock.monotonic() >= ejected_at + length_s

    def _age(self) -> None:
        now = self._clock.monotonic()
        factor = 0.5 ** ((now - self._aged_at) / HALF_LIFE_S)
        self._good *= factor
        self._faults *= factor
        self._aged_at = now

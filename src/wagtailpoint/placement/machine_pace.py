"""Expected pace of the machine that a backend server shares with others."""

import math
from collections import deque
from typing import Final, NamedTuple

from wagtailpoint.placement.load_report import NORMAL_PACE, LoadReport
from wagtailpoint.placement.pace_decay import MIN_GAP_S, PaceDecay

MEAN_TIME_S: Final = 20.0
"""Time constant of a machine's mean pace. It is long against the changes of the pace, which the
last report tells, and short enough to follow a machine that stays slow."""

SERVICE_MEAN_TIME_S: Final = 30.0
INITIAL_WEIGHT_S: Final = 1.0
"""Time constant of a service's mean pace, in seconds of its machines, and the weight of the normal
pace in it."""

MAX_REPORTED_S: Final = 1.0
"""Maximum time for which a report counts in the means. The reports of a slow machine are rarer, as
fewer requests are sent there, so each counts for the time since the one before."""

MAX_REPORTS: Final = 8
"""Number of reports kept of a machine, to estimate the pace at which a request has run."""


class PaceReport(NamedTuple):
    """A pace and the time when the backend server measured it, in seconds."""

    at: float
    pace: float


class ServicePace:
    """What the machines of a service have in common: the mean pace and its decay."""

    def __init__(self) -> None:
        self._weight_s = INITIAL_WEIGHT_S
        self._total = INITIAL_WEIGHT_S * NORMAL_PACE
        self._decay = PaceDecay()

    @property
    def mean(self) -> float:
        """The mean pace of the machines of the service."""
        return self._total / self._weight_s

    @property
    def decay(self) -> PaceDecay:
        """The decay of deviations from the mean."""
        return self._decay

    def record(self, pace: float, reported_s: float) -> None:
        """Record a pace that counts for ``reported_s`` seconds."""
        kept = math.exp(-reported_s / (SERVICE_MEAN_TIME_S * MAX_REPORTED_S))
        self._weight_s = kept * self._weight_s + reported_s
        self._total = kept * self._total + reported_s * pace


class MachinePace:
    """Estimates the pace of one machine from the reports of a backend server on it."""

    def __init__(self, *, service: ServicePace) -> None:
        """Initialise the estimate as the mean of the service.

        Args:
            service: The pace of the service's machines.
        """
        self._service = service
        self._mean = service.mean
        self._reports: deque[PaceReport] = deque(maxlen=MAX_REPORTS)
        self._paired: PaceReport | None = None

    def expected(self, at: float) -> float:
        """Return the expected pace at a time after the last report."""
        if not self._reports:
            return self._service.mean
        last = self._reports[-1]
        return self._mean + (last.pace - self._mean) * self._service.decay.remaining(at - last.at)

    def record(self, pace: float, at: float) -> None:
        """Record a reported pace, measured at the time ``at``."""
        if self._reports and at <= self._reports[-1].at:
            return
        since_s = at - self._reports[-1].at if self._reports else MAX_REPORTED_S
        reported_s = min(since_s, MAX_REPORTED_S)
        self._record_pair(pace, at)
        self._service.record(pace, reported_s)
        self._mean += (1 - math.exp(-reported_s / MEAN_TIME_S)) * (pace - self._mean)
        self._reports.append(PaceReport(at, pace))

    def _record_pair(self, pace: float, at: float) -> None:
        paired = self._paired
        if paired is not None:
            gap_s = at - paired.at
            if gap_s < MIN_GAP_S:
                return
            self._service.decay.record_pair(gap_s, paired.pace - self._mean, pace - self._mean)
        self._paired = PaceReport(at, pace)

    def during(self, begins_at: float, ends_at: float) -> float:
        """Return the estimated mean pace of a past interval, by Simpson's rule."""
        middle = self._estimate((begins_at + ends_at) / 2)
        return (self._estimate(begins_at) + 4 * middle + self._estimate(ends_at)) / 6

    def _estimate(self, at: float) -> float:
        """Return the estimated pace at a time from the reports before and after it.

        Both are weighted as for a process whose deviations decay exponentially.
        """
        before = after = 0.0
        remaining_before = remaining_after = 0.0
        decay = self._service.decay
        for report in reversed(self._reports):
            if report.at <= at:
                before = report.pace - self._mean
                remaining_before = decay.remaining(at - report.at)
                break
            after = report.pace - self._mean
            remaining_after = decay.remaining(report.at - at)
        both = 1 - (remaining_before * remaining_after) ** 2
        if both <= 0:
            return self._mean + (before + after) / 2
        deviation = (
            remaining_before * (1 - remaining_after**2) * before
            + remaining_after * (1 - remaining_before**2) * after
        ) / both
        return self._mean + deviation


class MachinePaces:
    """The paces of the machines of all backend servers whose reports state them.

    A backend server is given by its ``ServerStart``, or a plain tuple that equals it. Those of a
    service whose reports never stated a pace are at the normal pace.
    """

    def __init__(self) -> None:
        self._services: dict[str, ServicePace] = {}
        self._machines: dict[tuple[str, int], MachinePace] = {}

    def is_reported(self, service: str) -> bool:
        """Return whether backend servers of a service have stated the pace of their machines."""
        return service in self._services

    def expected(self, service: str, start: tuple[str, int], at: float) -> float:
        """Return the expected pace of a backend server's machine at a time from now on."""
        known = self._services.get(service)
        if known is None:
            return NORMAL_PACE
        machine = self._machines.get(start)
        return known.mean if machine is None else machine.expected(at)

    def during(
        self, service: str, start: tuple[str, int], begins_at: float, ends_at: float
    ) -> float:
        """Return the estimated mean pace of a backend server's machine in a past interval."""
        known = self._services.get(service)
        if known is None:
            return NORMAL_PACE
        machine = self._machines.get(start)
        return known.mean if machine is None else machine.during(begins_at, ends_at)

    def record(self, service: str, start: tuple[str, int], report: LoadReport, at: float) -> None:
        """Record a load report, measured at the time ``at``."""
        known = self._services.get(service)
        if known is None:
            if not report.has_pace:
                return
            known = self._services[service] = ServicePace()
        machine = self._machines.get(start)
        if machine is None:
            machine = self._machines[start] = MachinePace(service=known)
        machine.record(report.pace, at)

    def remove(self, start: tuple[str, int]) -> None:
        """Remove a backend server that is gone or has restarted."""
        self._machines.pop(start, None)

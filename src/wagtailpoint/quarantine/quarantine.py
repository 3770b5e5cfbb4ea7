"""Detection of requests that crash backend servers and must not be sent to any others.

When a backend server crashes, every request that it was running is a suspect, and most of them did
not cause the crash. A request is quarantined if several backend servers crashed while running it
and none answered it in between.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

import trio

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.observe.log import log_event

QUARANTINE_CRASH_COUNT: Final = 3
"""Number of backend servers that crashed while running a request, at which it is quarantined."""

RETRY_CRASH_LIMIT: Final = 2
"""Number of crashes at which instances stop retrying a request; its caller may still send it once
more."""

MAX_SUSPECTS: Final = 4096
SUSPECT_TTL_S: Final = 900.0
"""A request that is not quarantined is removed after this time without another crash."""

MAX_STARTS: Final = 16
"""Maximum number of backend server starts kept for one request."""

MAX_TEXT_CHARS: Final = 200
"""Maximum length of the target, and of the host, kept for operators."""


class Admission(Enum):
    """Whether a request may be sent to a backend server; the values are written to logs."""

    ADMITTED = "admitted"
    SUSPECT = "suspect"
    """With the same requests in flight, it may reach the number of crashes at which it is
    quarantined."""
    QUARANTINED = "quarantined"


class CrashReport(NamedTuple):
    """A request and the known crashes of backend servers that were running it.

    Attributes:
        fingerprint: Identifies the request.
        method: HTTP method; like host and target it is information for operators.
        host: Requested host, possibly truncated.
        target: Path and query, possibly truncated.
        starts: Starts of the crashed backend servers, without duplicates, earliest first.
    """

    fingerprint: str
    method: str
    host: str
    target: str
    starts: tuple[ServerStart, ...]


class _Suspect:
    """A request that was running on backend servers when they crashed."""

    def __init__(self, report: CrashReport) -> None:
        self.starts: dict[ServerStart, None] = {}
        self.last_crash_at = 0.0
        self.is_broadcast = False
        self._report = report._replace(
            host=report.host[:MAX_TEXT_CHARS], target=report.target[:MAX_TEXT_CHARS], starts=()
        )

    @property
    def report(self) -> CrashReport:
        return self._report._replace(starts=tuple(self.starts))

    def add(self, starts: Sequence[ServerStart]) -> None:
        for start in starts[: MAX_STARTS - len(self.starts)]:
            self.starts[start] = None


class CrashNotifier(Protocol):
    """Informs other instances about suspected requests."""

    def broadcast_crashes(self, report: CrashReport) -> None:
        """Send a crash report to all other instances."""
        ...

    def broadcast_cleared(self, fingerprint: str) -> None:
        """Tell all other instances that a suspected request was answered."""
        ...


class Quarantine:
    """Counts crashes by request, as seen by all instances, and quarantines requests.

    A request in the store is quarantined until it is removed from there. A request that reached
    the number of crashes is quarantined even while the store does not list it yet.
    """

    def __init__(self, *, others: CrashNotifier) -> None:
        """Initialise a quarantine without suspects.

        Args:
            others: Informs the other instances.
        """
        self._others = others
        self._suspects: dict[str, _Suspect] = {}
        self._stored: Mapping[str, CrashReport] = {}
        self._in_flight: Counter[str] = Counter()
        self._unstored_added = trio.Event()

    @property
    def suspects(self) -> int:
        """Number of requests with crashes that are not in the store, quarantined or not."""
        return len(self._suspects)

    @property
    def stored(self) -> Mapping[str, CrashReport]:
        """Quarantined requests in the store, by fingerprint."""
        return self._stored

    @property
    def unstored(self) -> Sequence[CrashReport]:
        """Quarantined requests that are not in the store."""
        return [
            suspect.report
            for suspect in self._suspects.values()
            if len(suspect.starts) >= QUARANTINE_CRASH_COUNT
        ]

    async def wait_unstored(self) -> None:
        """Wait until a quarantined request is not in the store."""
        while not self.unstored:
            await self._unstored_added.wait()

    def crashes(self, fingerprint: str) -> int:
        """Return the known number of crashes of backend servers that were running a request."""
        return len(self._starts_of(fingerprint))

    def admission(self, fingerprint: str) -> Admission:
        """Return whether a request may be sent to a backend server now."""
        if fingerprint in self._stored:
            return Admission.QUARANTINED
        crashes = self.crashes(fingerprint)
        if crashes >= QUARANTINE_CRASH_COUNT:
            return Admission.QUARANTINED
        if crashes and crashes + self._in_flight[fingerprint] >= QUARANTINE_CRASH_COUNT:
            return Admission.SUSPECT
        return Admission.ADMITTED

    def allows_retry(self, fingerprint: str) -> bool:
        """Return whether this instance may retry a request that was not answered."""
        admitted = self.admission(fingerprint) is Admission.ADMITTED
        return admitted and self.crashes(fingerprint) < RETRY_CRASH_LIMIT

    def record_started(self, fingerprint: str) -> None:
        """Record that a request is sent to a backend server."""
        self._in_flight[fingerprint] += 1

    def record_ended(self, fingerprint: str) -> None:
        """Record that a request sent to a backend server has ended."""
        self._in_flight[fingerprint] -= 1
        if not self._in_flight[fingerprint]:
            del self._in_flight[fingerprint]

    def record_crash(self, report: CrashReport) -> None:
        """Record that a backend server crashed while running a request of this instance.

        The report is broadcast at the second crash, or when the request ends without an answer:
        most requests with a single crash are soon answered by another backend server.
        """
        suspect = self._add(report, known="own")
        if len(suspect.starts) >= RETRY_CRASH_LIMIT:
            self._broadcast(suspect)

    def record_finished(self, fingerprint: str, *, answered: bool) -> None:
        """Record that a request of this instance has ended.

        Args:
            fingerprint: Identifies the request.
            answered: Whether a backend server that ran it has answered.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        if answered and len(suspect.starts) < QUARANTINE_CRASH_COUNT:
            self._clear(fingerprint)
            if suspect.is_broadcast:
                self._others.broadcast_cleared(fingerprint)
        elif not answered and not suspect.is_broadcast:
            self._broadcast(suspect)

    def apply_report(self, report: CrashReport) -> CrashReport | None:
        """Apply a report of another instance.

        Returns:
            The report of this instance if it names crashes that ``report`` lacks, else None.
        """
        known = self._stored.get(report.fingerprint)
        if known is None:
            suspect = self._add(report, known="peer")
            suspect.is_broadcast = True
            known = suspect.report
        return known if set(known.starts) - set(report.starts) else None

    def apply_cleared(self, fingerprint: str) -> None:
        """Apply the message that another instance got an answer to a suspected request."""
        if 0 < self.crashes(fingerprint) < QUARANTINE_CRASH_COUNT:
            self._clear(fingerprint)

    def apply_stored(self, reports: Mapping[str, CrashReport], *, lifted: Sequence[str]) -> None:
        """Apply a listing of the store.

        Args:
            reports: Requests in the store, by fingerprint.
            lifted: Fingerprints of requests that the caller knows to have been removed.
        """
        for fingerprint in [*lifted, *(self._stored.keys() - reports.keys())]:
            self._suspects.pop(fingerprint, None)
            log_event("quarantine-lifted", digest=fingerprint)
        for fingerprint in reports.keys() - self._stored.keys():
            if self._suspects.pop(fingerprint, None) is None:
                _log_quarantined(reports[fingerprint], known="store")
        self._stored = dict(reports)

    def _starts_of(self, fingerprint: str) -> Sequence[ServerStart]:
        suspect = self._suspects.get(fingerprint)
        return tuple(suspect.starts) if suspect is not None else ()

    def _add(self, report: CrashReport, *, known: str) -> _Suspect:
        self._expire_suspects()
        fingerprint = report.fingerprint
        # Suspects are ordered by their latest crash, so that the oldest expire first.
        suspect = self._suspects.pop(fingerprint, None) or _Suspect(report)
        self._suspects[fingerprint] = suspect
        suspect.last_crash_at = trio.current_time()
        before = len(suspect.starts)
        suspect.add(report.starts)
        log_event(
            "crash-suspect",
            digest=fingerprint,
            crashes=len(suspect.starts),
            servers=",".join(start.server_id for start in report.starts),
            known=known,
        )
        if before < QUARANTINE_CRASH_COUNT <= len(suspect.starts):
            _log_quarantined(suspect.report, known=known)
            self._unstored_added.set()
            self._unstored_added = trio.Event()
        return suspect

    def _expire_suspects(self) -> None:
        oldest_at = trio.current_time() - SUSPECT_TTL_S
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if len(self._suspects) < MAX_SUSPECTS and suspect.last_crash_at >= oldest_at:
                return
            self._clear(fingerprint)

    def _clear(self, fingerprint: str) -> None:
        suspect = self._suspects.pop(fingerprint)
        log_event("crash-suspect-cleared", digest=fingerprint, crashes=len(suspect.starts))

    def _broadcast(self, suspect: _Suspect) -> None:
        suspect.is_broadcast = True
        self._others.broadcast_crashes(suspect.report)


def _log_quarantined(report: CrashReport, *, known: str) -> None:
    log_event(
        "request-quarantined",
        level="WARNING",
        digest=report.fingerprint,
        known=known,
        servers=",".join(start.server_id for start in report.starts),
        method=report.method,
        host=report.host,
        target=report.target,
    )

"""Which requests crash the backend servers that run them, and must reach no more of them.

A request that meets a crash is not the cause of it: whatever else ran there met it, too. It is one
that met several, and was answered by none in between.
"""

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

import trio

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.observe.log import log_event

CRASHES: Final = 3
"""Backend servers that a request may crash; then it is quarantined."""

LAST_REPEAT: Final = 2
"""After so many crashes no instance repeats it by itself: only its caller may, once."""

MOST_SUSPECTS: Final = 4096
SUSPECT_S: Final = 900.0
"""Requests that met fewer crashes are forgotten after so many seconds without another one."""

MOST_STARTS: Final = 16
"""Backend servers that are named for one request."""

MOST_TEXT: Final = 200
"""Characters of a target, and of a host, that are kept for operators."""


class Admission(Enum):
    """Whether a request may be sent to a backend server; the values are for logs."""

    ADMITTED = "admitted"
    SUSPECT = "suspect"
    """Those under way may crash as many as it may crash in all."""
    QUARANTINED = "quarantined"


class CrashReport(NamedTuple):
    """A request, and the backend servers that it has crashed as far as is known.

    Attributes:
        fingerprint: Tells the request.
        method: For operators; so are the next two.
        host: The host that it asked for.
        target: The beginning of path and query.
        starts: Each start of a backend server once, the earliest first.
    """

    fingerprint: str
    method: str
    host: str
    target: str
    starts: tuple[ServerStart, ...]


class _Suspect:
    """A request that met crashes."""

    def __init__(self, report: CrashReport) -> None:
        self.starts: dict[ServerStart, None] = {}
        self.last_at = 0.0
        self.told = False
        self._report = report._replace(
            host=report.host[:MOST_TEXT], target=report.target[:MOST_TEXT], starts=()
        )

    @property
    def report(self) -> CrashReport:
        return self._report._replace(starts=tuple(self.starts))

    def add(self, starts: Sequence[ServerStart]) -> None:
        for start in starts[: MOST_STARTS - len(self.starts)]:
            self.starts[start] = None


class CrashTeller(Protocol):
    """Tells the other instances what this one has found."""

    def broadcast_crashes(self, report: CrashReport) -> None:
        """Tell them of the crashes that a request has met."""
        ...

    def broadcast_cleared(self, fingerprint: str) -> None:
        """Tell them that a request that met crashes was answered after all."""
        ...


class Quarantine:
    """Counts crashes by request, of this instance and of the others, and shuts out the guilty.

    What the store lists is shut out until it is removed there; what was found lately is shut out
    though the store may not list it yet.
    """

    def __init__(self, *, others: CrashTeller) -> None:
        """Make it without any suspect.

        Args:
            others: Tells the other instances.
        """
        self._others = others
        self._suspects: dict[str, _Suspect] = {}
        self._stored: Mapping[str, CrashReport] = {}
        self._under_way: Counter[str] = Counter()
        self._found = trio.Event()

    @property
    def suspects(self) -> int:
        """Requests that met crashes, but too few, or are quarantined and not in the store yet."""
        return len(self._suspects)

    @property
    def stored(self) -> Mapping[str, CrashReport]:
        """Those that the store lists as quarantined, by fingerprint."""
        return self._stored

    @property
    def unstored(self) -> Sequence[CrashReport]:
        """Those that are quarantined and that the store does not list."""
        return [each.report for each in self._suspects.values() if len(each.starts) >= CRASHES]

    async def wait_unstored(self) -> None:
        """Wait until there is one that the store does not list."""
        while not self.unstored:
            await self._found.wait()

    def crashes(self, fingerprint: str) -> int:
        """How many backend servers a request has crashed, as far as is known."""
        return len(self._starts_of(fingerprint))

    def admission(self, fingerprint: str) -> Admission:
        """Whether a request may be sent to a backend server now."""
        if fingerprint in self._stored:
            return Admission.QUARANTINED
        crashes = self.crashes(fingerprint)
        if crashes >= CRASHES:
            return Admission.QUARANTINED
        if crashes and crashes + self._under_way[fingerprint] >= CRASHES:
            return Admission.SUSPECT
        return Admission.ADMITTED

    def allows_retry(self, fingerprint: str) -> bool:
        """Whether this instance may send a request again after it was sent in vain."""
        admitted = self.admission(fingerprint) is Admission.ADMITTED
        return admitted and self.crashes(fingerprint) < LAST_REPEAT

    def record_started(self, fingerprint: str) -> None:
        """A request is sent to a backend server."""
        self._under_way[fingerprint] += 1

    def record_ended(self, fingerprint: str) -> None:
        """A request that was sent is over."""
        self._under_way[fingerprint] -= 1
        if not self._under_way[fingerprint]:
            del self._under_way[fingerprint]

    def record_crash(self, report: CrashReport) -> None:
        """A backend server crashed while it had a request of this instance.

        Others are told at the second crash, or when the request is over without an answer: most
        requests that met one are answered by another backend server soon.
        """
        suspect = self._add(report, known="own")
        if len(suspect.starts) >= LAST_REPEAT:
            self._tell(suspect)

    def record_finished(self, fingerprint: str, *, answered: bool) -> None:
        """A request of this instance is over; ``answered`` by a backend server that ran it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        if answered and len(suspect.starts) < CRASHES:
            self._clear(fingerprint)
            if suspect.told:
                self._others.broadcast_cleared(fingerprint)
        elif not answered and not suspect.told:
            self._tell(suspect)

    def learn(self, report: CrashReport) -> CrashReport | None:
        """Take in what another instance knows; return what is known here if that is more."""
        known = self._stored.get(report.fingerprint)
        if known is None:
            suspect = self._add(report, known="peer")
            suspect.told = True
            known = suspect.report
        return known if set(known.starts) - set(report.starts) else None

    def learn_cleared(self, fingerprint: str) -> None:
        """Another instance had an answer to a suspect."""
        if 0 < self.crashes(fingerprint) < CRASHES:
            self._clear(fingerprint)

    def take_stored(self, reports: Mapping[str, CrashReport], *, lifted: Sequence[str]) -> None:
        """Take in what the store lists.

        Args:
            reports: What it lists, by fingerprint.
            lifted: What it listed and lists no more, as far as the caller knows.
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
        self._forget_old()
        fingerprint = report.fingerprint
        # Moved to the end: the oldest are forgotten first.
        suspect = self._suspects.pop(fingerprint, None) or _Suspect(report)
        self._suspects[fingerprint] = suspect
        suspect.last_at = trio.current_time()
        before = len(suspect.starts)
        suspect.add(report.starts)
        log_event(
            "crash-suspect",
            digest=fingerprint,
            crashes=len(suspect.starts),
            servers=",".join(start.server_id for start in report.starts),
            known=known,
        )
        if before < CRASHES <= len(suspect.starts):
            _log_quarantined(suspect.report, known=known)
            self._found.set()
            self._found = trio.Event()
        return suspect

    def _forget_old(self) -> None:
        oldest_at = trio.current_time() - SUSPECT_S
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if len(self._suspects) < MOST_SUSPECTS and suspect.last_at >= oldest_at:
                return
            self._clear(fingerprint)

    def _clear(self, fingerprint: str) -> None:
        suspect = self._suspects.pop(fingerprint)
        log_event("crash-suspect-cleared", digest=fingerprint, crashes=len(suspect.starts))

    def _tell(self, suspect: _Suspect) -> None:
        suspect.told = True
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

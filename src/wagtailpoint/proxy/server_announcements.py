"""What backend servers announce about themselves in the heads of their responses."""

from collections import OrderedDict
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from result import Err

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.limits.requested_backoff import RequestedBackoffs, read_backoff
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.load_report import LoadReport, parse_load
from wagtailpoint.ports.backend import Headers
from wagtailpoint.proxy.headers import HeaderNames, header_value

LEAVES: Final = b"1"

MAX_LOGGED_STARTS: Final = 4096
"""Number of starts that are remembered as logged for a malformed load report."""


class ServerAnnouncements:
    """Reads what the responses of backend servers announce."""

    def __init__(
        self,
        *,
        backoffs: RequestedBackoffs,
        record_leaving: Callable[[ServerStart], None],
        tell_relay: Callable[[str, str], None],
        names: HeaderNames,
        metrics: Metrics,
    ) -> None:
        """Initialise the reader.

        Args:
            backoffs: Receives the backoffs that backend servers request.
            record_leaving: Called when a response announces that its backend server leaves.
            tell_relay: Called with a relay and the start of the backend server that requests a
                backoff on a connection through it.
            names: The deployment's header names.
            metrics: Counts values that can't be read.
        """
        self._backoffs = backoffs
        self._record_leaving = record_leaving
        self._tell_relay = tell_relay
        self._names = names
        self._metrics = metrics
        self._logged: OrderedDict[ServerStart, None] = OrderedDict()

    def record_head(
        self, entry: ServerEntry, status: int, headers: Headers, *, relay: str = ""
    ) -> None:
        """Record the head of any response that came from the address of a backend server.

        Args:
            entry: The backend server.
            status: The status of the response.
            headers: The headers of the response.
            relay: The instance that relayed it, as in ``OpenedStream.relay``; empty for none.
        """
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another backend server has the address now.
            return
        if header_value(headers, self._names.leaving) == LEAVES:
            self._record_leaving(entry.start)
        seconds = None
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            seconds = self._read_backoff(entry, headers)
        if seconds is not None:
            self._backoffs.record(entry.start.key, seconds, source="answer")
            if relay:
                self._tell_relay(relay, entry.start.key)
        else:
            self._backoffs.record_answer(entry.start.key)

    def _read_backoff(self, entry: ServerEntry, headers: Headers) -> float | None:
        backoff = read_backoff(headers)
        if isinstance(backoff, Err):
            self._metrics.count("backoff.unreadable")
            log_event(
                "backoff-unreadable",
                level="WARNING",
                server=entry.server_id,
                error=backoff.err_value,
            )
            return None
        return backoff.ok_value

    def read_load(self, entry: ServerEntry, headers: Headers) -> LoadReport | None:
        """Return the load report of a response; None if there is none or it is malformed.

        Malformed reports are counted, and logged once for each start of a backend server.
        """
        value = header_value(headers, self._names.load)
        if value is None:
            return None
        report = parse_load(value)
        if isinstance(report, Err):
            self._metrics.count("load-report.malformed")
            self._log_malformed(entry, report.err_value)
            return None
        return report.ok_value

    def _log_malformed(self, entry: ServerEntry, error: str) -> None:
        if entry.start in self._logged:
            return
        self._logged[entry.start] = None
        if len(self._logged) > MAX_LOGGED_STARTS:
            self._logged.popitem(last=False)
        log_event("load-report-malformed", level="WARNING", server=entry.server_id, error=error)

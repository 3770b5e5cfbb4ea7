"""Broadcasts of crash reports between instances."""

import re
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import trio

from wagtailpoint.fingerprint import DIGEST_BYTES
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import Message, PeerAddress, Peers, Received, register_message
from wagtailpoint.quarantine.quarantine import CrashReport, Quarantine

MAX_BURST: Final = 50.0
"""Broadcasts of one instance that may follow each other at once. When hundreds of backend servers
end together, each request that ran there is suspected of one crash, and most are answered by other
backend servers."""

MAX_REPORTS_PER_S: Final = 5.0
MAX_MESSAGES_PER_S: Final = 200.0
"""Sustained rates of one instance: broadcasts, and the messages to all other instances that they
consist of."""


class CrashCleared(NamedTuple):
    """States that a request suspected of crashes was answered by a backend server that ran it.

    Attributes:
        fingerprint: Identifies the request.
    """

    fingerprint: str


_FINGERPRINT: Final = re.compile(f"[0-9a-f]{{{2 * DIGEST_BYTES}}}")

register_message("crash-report", CrashReport)
register_message("crash-cleared", CrashCleared)


class CrashBroadcaster:
    """Sends crash reports to all other instances, and applies the reports that they send.

    Each instance sends its reports to all others directly, and received reports are not forwarded:
    they must arrive before the request is sent again, and reports are rare.
    """

    def __init__(self, *, peers: Peers, others: Callable[[], Sequence[PeerAddress]]) -> None:
        """Initialise the broadcaster.

        Args:
            peers: Links to other instances, over which reports are sent.
            others: Returns the addresses of the other instances that are not known to be dead.
        """
        self._peers = peers
        self._others = others
        self._tokens = MAX_BURST
        self._filled_at = 0.0

    def listen(self, quarantine: Quarantine) -> None:
        """Apply the messages of other instances to a quarantine."""

        def handle_report(received: Received) -> None:
            report: CrashReport = received.message
            if not _FINGERPRINT.fullmatch(report.fingerprint):
                log_event("crash-report-unreadable", level="WARNING", sender=received.sender)
                return
            known = quarantine.apply_report(report)
            # The sender may have started after the crashes were broadcast.
            if known is not None:
                self._peers.send(received.sender, known)

        def handle_cleared(received: Received) -> None:
            quarantine.apply_cleared(received.message.fingerprint)

        self._peers.handle(CrashReport, handle_report)
        self._peers.handle(CrashCleared, handle_cleared)

    def broadcast_crashes(self, report: CrashReport) -> None:
        """Send a crash report to all other instances."""
        self._send(report, report.fingerprint)

    def broadcast_cleared(self, fingerprint: str) -> None:
        """Tell all other instances that a suspected request was answered."""
        self._send(CrashCleared(fingerprint), fingerprint)

    def _send(self, message: Message, fingerprint: str) -> None:
        others = self._others()
        if not self._take_token(len(others)):
            log_event("crash-report-dropped", level="WARNING", digest=fingerprint)
            return
        for peer in others:
            self._peers.send(peer, message)

    def _take_token(self, copies: int) -> bool:
        now = trio.current_time()
        rate_per_s = min(MAX_REPORTS_PER_S, MAX_MESSAGES_PER_S / max(1, copies))
        self._tokens = min(MAX_BURST, self._tokens + rate_per_s * (now - self._filled_at))
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

"""How the instances tell each other of requests that met crashes."""

import re
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import trio

from wagtailpoint.fingerprint import DIGEST_BYTES
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import Message, PeerAddress, Peers, Received, register_message
from wagtailpoint.quarantine.quarantine import CrashReport, Quarantine

MOST_AT_ONCE: Final = 50.0
"""Reports of one instance. When hundreds of backend servers end at the same moment, what ran there
is suspect of a single crash, and most of it is answered elsewhere."""

MOST_A_SECOND: Final = 5.0
MOST_MESSAGES_A_SECOND: Final = 200.0
"""What may go on for long: reports, and messages of them to however many other instances."""


class CrashCleared(NamedTuple):
    """A request that met crashes was answered by a backend server that ran it."""

    fingerprint: str


_FINGERPRINT: Final = re.compile(f"[0-9a-f]{{{2 * DIGEST_BYTES}}}")

register_message("crash-report", CrashReport)
register_message("crash-cleared", CrashCleared)


class CrashBroadcaster:
    """Sends reports to all other instances, and takes in theirs.

    Each instance tells all others itself, and nobody tells it on: it must be known everywhere
    before the request comes again, and there are few of them.
    """

    def __init__(self, *, peers: Peers, others: Callable[[], Sequence[PeerAddress]]) -> None:
        """Make it.

        Args:
            peers: Carry the reports.
            others: The other instances that may live.
        """
        self._peers = peers
        self._others = others
        self._left = MOST_AT_ONCE
        self._left_at = 0.0

    def listen(self, quarantine: Quarantine) -> None:
        """Give a quarantine what the others tell."""

        def take_report(received: Received) -> None:
            report: CrashReport = received.message
            if not _FINGERPRINT.fullmatch(report.fingerprint):
                log_event("crash-report-unreadable", level="WARNING", sender=received.sender)
                return
            more = quarantine.learn(report)
            # The sender may have started after the others were told.
            if more is not None:
                self._peers.send(received.sender, more)

        def take_cleared(received: Received) -> None:
            quarantine.learn_cleared(received.message.fingerprint)

        self._peers.handle(CrashReport, take_report)
        self._peers.handle(CrashCleared, take_cleared)

    def broadcast_crashes(self, report: CrashReport) -> None:
        """Tell the others of the crashes that a request has met."""
        self._send(report, report.fingerprint)

    def broadcast_cleared(self, fingerprint: str) -> None:
        """Tell the others that a request that met crashes was answered after all."""
        self._send(CrashCleared(fingerprint), fingerprint)

    def _send(self, message: Message, fingerprint: str) -> None:
        others = self._others()
        if not self._may_send(len(others)):
            log_event("crash-report-dropped", level="WARNING", digest=fingerprint)
            return
        for peer in others:
            self._peers.send(peer, message)

    def _may_send(self, copies: int) -> bool:
        now = trio.current_time()
        a_second = min(MOST_A_SECOND, MOST_MESSAGES_A_SECOND / max(1, copies))
        self._left = min(MOST_AT_ONCE, self._left + a_second * (now - self._left_at))
        self._left_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

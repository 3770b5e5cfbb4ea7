"""Whether a backend server crashed while it had a request of this instance."""

from typing import Final

from result import Err

from wagtailpoint.config.model import BackendServer
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.entry.plan import PlannedRequest
from wagtailpoint.ports.backend import BackendAddress, BackendFailure, Backends, FailureReason
from wagtailpoint.ports.clock import Clock
from wagtailpoint.quarantine.quarantine import CrashReport, Quarantine

CHECK_TIMEOUT_S: Final = 0.3

SAME_CRASH_S: Final = 1.0
"""Ends of one backend server that were noticed within so many seconds are one. The configuration
names it by its address, which stays the same when it starts again."""


class CrashEvidence:
    """Tells the quarantine of crashes.

    A connection alone may end for many reasons; where nobody listens any more, all have.
    """

    def __init__(self, *, backends: Backends, quarantine: Quarantine, clock: Clock) -> None:
        """Make it.

        Args:
            backends: Asked whether a backend server still listens.
            quarantine: Is told of crashes.
            clock: Tells one crash of a backend server from the next.
        """
        self._backends = backends
        self._quarantine = quarantine
        self._clock = clock
        self._ended_at: dict[BackendAddress, float] = {}

    async def note(
        self, planned: PlannedRequest, server: BackendServer, failure: BackendFailure
    ) -> None:
        """Take note of a crash if the backend server is gone with the connection."""
        if failure.reason != FailureReason.RESET:
            return
        plan, request = planned.plan, planned.request
        asked = await self._backends.probe(
            server.address, timeout_s=CHECK_TIMEOUT_S, path=plan.service.report_path
        )
        if isinstance(asked, Err) and asked.err_value.reason == FailureReason.CONNECT_REFUSED:
            report = CrashReport(
                fingerprint=planned.fingerprint,
                method=request.method,
                host=plan.workspace.name,
                target=request.target,
                starts=(self._start_that_ended(server.address),),
            )
            self._quarantine.record_crash(report)

    def _start_that_ended(self, address: BackendAddress) -> ServerStart:
        now = self._clock.monotonic()
        ended_at = self._ended_at.get(address)
        if ended_at is None or now - ended_at > SAME_CRASH_S:
            ended_at = self._ended_at[address] = now
        return ServerStart(str(address), int(1000 * ended_at))

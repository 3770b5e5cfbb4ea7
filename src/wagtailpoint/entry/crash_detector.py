"""Detects crashes of backend servers that had a request of this instance."""

from typing import Final

from result import Err

from wagtailpoint.config.model import BackendServer
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.entry.plan import PlannedRequest
from wagtailpoint.ports.backend import BackendAddress, BackendFailure, Backends, FailureReason
from wagtailpoint.ports.clock import Clock
from wagtailpoint.quarantine.quarantine import CrashReport, Quarantine

CHECK_TIMEOUT_S: Final = 0.3

SAME_CRASH_WINDOW_S: Final = 1.0
"""Crashes of a backend server detected within this time count as one. The configuration identifies
a backend server only by its address, which stays the same after a restart."""


class CrashDetector:
    """Reports crashes of backend servers to the quarantine.

    A reset of a single connection has many possible causes. A refused connection shows that the
    backend server itself has ended.
    """

    def __init__(self, *, backends: Backends, quarantine: Quarantine, clock: Clock) -> None:
        """Initialise the detector.

        Args:
            backends: Probes whether a backend server still accepts connections.
            quarantine: Records crashes.
            clock: Gives the times by which crashes of a backend server are distinguished.
        """
        self._backends = backends
        self._quarantine = quarantine
        self._clock = clock
        self._crashed_at: dict[BackendAddress, float] = {}

    async def report_if_crashed(
        self, planned: PlannedRequest, server: BackendServer, failure: BackendFailure
    ) -> None:
        """Report a crash if the backend server refuses connections after a reset."""
        if failure.reason != FailureReason.RESET:
            return
        plan, request = planned.plan, planned.request
        probed = await self._backends.probe(
            server.address, timeout_s=CHECK_TIMEOUT_S, path=plan.service.report_path
        )
        if isinstance(probed, Err) and probed.err_value.reason == FailureReason.CONNECT_REFUSED:
            report = CrashReport(
                fingerprint=planned.fingerprint,
                method=request.method,
                host=plan.workspace.name,
                target=request.target,
                starts=(self._crashed_start(server.address),),
            )
            self._quarantine.record_crash(report)

    def _crashed_start(self, address: BackendAddress) -> ServerStart:
        now = self._clock.monotonic()
        crashed_at = self._crashed_at.get(address)
        if crashed_at is None or now - crashed_at > SAME_CRASH_WINDOW_S:
            crashed_at = self._crashed_at[address] = now
        return ServerStart(str(address), int(1000 * crashed_at))

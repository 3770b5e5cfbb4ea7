"""The graceful shutdown of an instance."""

import signal
from collections.abc import Awaitable, Callable

import trio

from wagtailpoint.entry.gate import RequestGate
from wagtailpoint.membership import Membership
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.timeline import Timeline

CLEANUP_TIMEOUT_S = 5.0
LEAVE_SPREAD_S = 1.5
"""Time for the news that an instance leaves to reach all members; added to the TTL of lookups."""


class GracefulStop:
    """Stops an instance without cutting any request.

    The order matters. The instance first leaves the lookups and continues to serve, because callers
    use a cached lookup until its TTL ends. Then it refuses new requests with ``not-run``, so that
    later callers retry at another entry. Finally it waits for the requests in flight.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        gate: RequestGate,
        timeline: Timeline,
        lookup_ttl_s: float,
        drain_timeout_s: float,
    ) -> None:
        self._membership = membership
        self._gate = gate
        self._timeline = timeline
        self._lookup_ttl_s = lookup_ttl_s
        self._drain_timeout_s = drain_timeout_s
        self._cleanups: list[Callable[[], Awaitable[None]]] = []

    def add_cleanup(self, cleanup: Callable[[], Awaitable[None]]) -> None:
        """Register a function to call after the last open request."""
        self._cleanups.append(cleanup)

    async def wait(self) -> None:
        """Wait for SIGTERM or SIGINT, then stop the instance gracefully."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                log_event("stop-begins", signal=signal.Signals(number).name)
                break
            await self._stop()

    async def _stop(self) -> None:
        self._timeline.record("leaving")
        self._membership.leave()
        await trio.sleep(self._lookup_ttl_s + LEAVE_SPREAD_S)
        self._gate.close()
        self._timeline.record("refusing-new-requests", open=self._gate.open_requests)
        log_event("stop-drains", open_requests=self._gate.open_requests)
        with trio.move_on_after(self._drain_timeout_s) as scope:
            await self._gate.wait_idle()
        if scope.cancelled_caught:
            log_event("stop-cuts", level="ERROR", open_requests=self._gate.open_requests)
        for cleanup in self._cleanups:
            # The platform may be unavailable; what could not be released ends with its lease.
            with trio.move_on_after(CLEANUP_TIMEOUT_S):
                await cleanup()
        self._membership.announce_exit()
        log_event("stopped")

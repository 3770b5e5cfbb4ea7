"""The graceful shutdown of an instance."""

import signal
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import Final

import trio

from wagtailpoint.daemon.stop_signal import STOP_SIGNALS, StopSignal
from wagtailpoint.entry.gate import RequestGate
from wagtailpoint.membership import Membership
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.timeline import Timeline
from wagtailpoint.ports.clock import Clock
from wagtailpoint.settings import Timings

CLEANUP_TIMEOUT_S = 5.0
LEAVE_SPREAD_S = 1.5
"""Time for the news that an instance leaves to reach all members; added to the TTL of lookups."""

HANDLED_SIGNALS: Final = (*STOP_SIGNALS, signal.SIGHUP)
"""SIGHUP ends a process without a configuration file to reload; here without cutting requests."""


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
        clock: Clock,
        timings: Timings,
    ) -> None:
        self._membership = membership
        self._gate = gate
        self._timeline = timeline
        self._timings = timings
        self._signal = StopSignal(clock=clock, signals=HANDLED_SIGNALS)
        self._cleanups: list[Callable[[], Awaitable[None]]] = []

    def add_cleanup(self, cleanup: Callable[[], Awaitable[None]]) -> None:
        """Register a function to call after the last open request."""
        self._cleanups.append(cleanup)

    def listen(self) -> AbstractContextManager[None]:
        """Receive the signals while the context is active, and ignore them after it.

        Enter it before serving: the default action of a signal would cut the first requests.
        """
        return self._signal.listen()

    async def wait(self) -> None:
        """Wait for a signal to stop, then stop the instance gracefully."""
        request = await self._signal.wait()
        log_event(
            "stop-begins",
            signal=request.name,
            open_requests=self._gate.open_requests,
            unresponsive_s=round(request.handled_at - request.sent_after, 3),
        )
        await self._stop()

    async def _stop(self) -> None:
        self._timeline.record("leaving")
        self._membership.leave()
        await trio.sleep(self._timings.lookup_ttl_s + LEAVE_SPREAD_S)
        self._gate.close()
        self._timeline.record("refusing-new-requests", open=self._gate.open_requests)
        log_event("stop-drains", open_requests=self._gate.open_requests)
        with trio.move_on_after(self._timings.drain_timeout_s) as scope:
            await self._gate.wait_idle()
        if scope.cancelled_caught:
            log_event("stop-cuts", level="ERROR", open_requests=self._gate.open_requests)
        for cleanup in self._cleanups:
            # The platform may be unavailable; what could not be released ends with its lease.
            with trio.move_on_after(CLEANUP_TIMEOUT_S):
                await cleanup()
        self._membership.announce_exit()

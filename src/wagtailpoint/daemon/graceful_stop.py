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
"""How long the word that an instance leaves takes to reach all lookups, beside the lookups' TTL."""


class GracefulStop:
    """Ends an instance without cutting any request.

    The order matters. The instance leaves the lookups first and goes on serving, because callers
    with a cached lookup still come for as long as its TTL. Only then does it refuse, ``not-run``,
    so that a caller that comes even later goes elsewhere. Then it waits for what is in flight.
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
        """Call ``duty`` when no request is open any more."""
        self._cleanups.append(cleanup)

    async def wait(self) -> None:
        """Wait for SIGTERM or SIGINT, then see the instance through to its end."""
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
            # The platform may be out; what could not be given back ends with its lease.
            with trio.move_on_after(CLEANUP_TIMEOUT_S):
                await cleanup()
        self._membership.announce_exit()
        log_event("stopped")

"""The graceful stop of an instance on the platform."""

from collections.abc import Awaitable, Callable, Sequence
from contextlib import AbstractContextManager
from typing import Final

import trio

from wagtailpoint.daemon.backend_paths import BackendPaths
from wagtailpoint.daemon.entry_pages import LOOKUP_TTL_S
from wagtailpoint.daemon.stop_signal import StopSignal
from wagtailpoint.daemon.workspace_rules import WorkspaceRules
from wagtailpoint.discovery.registration import Registration
from wagtailpoint.membership import Membership
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.proxy.answer_times import AnswerTimes
from wagtailpoint.proxy.caller_server import CallerServer
from wagtailpoint.proxy.dispatcher import Dispatcher
from wagtailpoint.proxy.stop_admission import StopAdmission
from wagtailpoint.proxy.stop_clock import MARGIN_S, StopClock

MIN_SERVING_S: Final = 4.0
"""Minimum time of service after SIGTERM, if the grace period allows: twice the TTL of lookups, as
some callers cache a lookup for longer than its TTL."""

MIN_FINISHING_S: Final = 1.0
"""Time for the last open requests after connections are no longer accepted."""

LAST_REPLIES_S: Final = 0.1
"""Time for the replies to requests that are still open at the end."""

MIN_SLEEP_S: Final = 0.001
MAX_SLEEP_S: Final = 0.25
"""Timers stand still while the machine is suspended, and the clock of the stop does not."""

WITHDRAW_TIMEOUT_S: Final = 0.5


class SteeringStop:
    """Waits for the signal to stop, and stops the instance without cutting requests."""

    def __init__(self, *, clock: Clock) -> None:
        """Initialise a stop that nothing has asked for.

        Args:
            clock: The clock, which counts the time in suspension.
        """
        self._signal = StopSignal(clock=clock)
        self._clock = StopClock(clock=clock)
        self._times = AnswerTimes()
        self._admission = StopAdmission(clock=self._clock, times=self._times)
        self._is_leaving = False

    @property
    def clock(self) -> StopClock:
        """Measures the stop."""
        return self._clock

    @property
    def times(self) -> AnswerTimes:
        """The times that requests take."""
        return self._times

    @property
    def admission(self) -> StopAdmission:
        """Says which requests are still accepted."""
        return self._admission

    @property
    def is_leaving(self) -> bool:
        """Whether the instance is stopping."""
        return self._is_leaving

    def listen(self) -> AbstractContextManager[None]:
        """Receive the signals while the context is active."""
        return self._signal.listen()

    async def run(
        self,
        *,
        grace_s: Callable[[], float],
        membership: Membership,
        registration: Registration,
        workspaces: WorkspaceRules,
        servers: Sequence[CallerServer],
        dispatcher: Dispatcher,
        paths: BackendPaths,
    ) -> None:
        """Wait for the signal, leave the lookups, serve callers with a cached lookup, then finish.

        Args:
            grace_s: Returns the seconds after which the platform kills the process.
            membership: Told that this instance leaves.
            registration: Withdrawn from the store.
            workspaces: Hold slots to release.
            servers: Accept the connections of callers.
            dispatcher: Has the open requests.
            paths: Relay connections for other instances.
        """
        request = await self._signal.wait()
        self._is_leaving = True
        self._clock.begin(began_at=request.sent_after, lasts_s=grace_s() - MARGIN_S)
        log_event(
            "stop-begins",
            signal=request.name,
            open_requests=dispatcher.open_requests,
            unresponsive_s=round(request.handled_at - request.sent_after, 3),
        )
        membership.leave()
        time_for_withdrawal_s = self._clock.remaining_s - 2 * LAST_REPLIES_S
        with trio.move_on_after(max(0.0, min(WITHDRAW_TIMEOUT_S, time_for_withdrawal_s))):
            await registration.withdraw()
            await workspaces.release_slots()
        await self._sleep_until(LOOKUP_TTL_S)
        for server in servers:
            server.close_idle()
        await self._sleep_until(max(MIN_SERVING_S, 2 * LOOKUP_TTL_S))
        for server in servers:
            server.stop_accepting()

        async def wait_idle() -> None:
            await dispatcher.wait_idle()
            # A connection that is closed before its caller has read the reply may be reset.
            for server in servers:
                await server.wait_closed()
            await paths.wait_idle()

        if not await self._completes(wait_idle, reserve_s=LAST_REPLIES_S):
            open_requests, relayed = dispatcher.open_requests, paths.relayed_connections
            if open_requests or relayed:
                log_event("stop-cuts", level="ERROR", open_requests=open_requests, relayed=relayed)
            self._clock.end()
            dispatcher.end_requests()
            overdue_s = LAST_REPLIES_S - self._clock.remaining_s
            await self._completes(wait_idle, reserve_s=-max(0.0, overdue_s))
        membership.announce_exit()

    async def _sleep_until(self, running_s: float) -> None:
        """Sleep until the stop has run for some seconds, or little time is left."""
        running_s = min(
            running_s, self._clock.running_s + self._clock.remaining_s - MIN_FINISHING_S
        )
        while self._clock.running_s < running_s:  # noqa: ASYNC110 - see MAX_SLEEP_S
            await _sleep_bounded(running_s - self._clock.running_s)

    async def _completes(self, work: Callable[[], Awaitable[None]], *, reserve_s: float) -> bool:
        """Run ``work``; return whether it ended before only ``reserve_s`` seconds were left."""
        completed = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_near_end, nursery.cancel_scope, reserve_s)
            await work()
            completed = True
            nursery.cancel_scope.cancel()
        return completed

    async def _cancel_near_end(self, scope: trio.CancelScope, reserve_s: float) -> None:
        while (left_s := self._clock.remaining_s - reserve_s) > 0.0:  # noqa: ASYNC110 - the same
            await _sleep_bounded(left_s)
        scope.cancel()


async def _sleep_bounded(seconds: float) -> None:
    await trio.sleep(max(MIN_SLEEP_S, min(seconds, MAX_SLEEP_S)))

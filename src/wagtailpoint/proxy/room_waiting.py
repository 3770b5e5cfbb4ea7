"""Requests that wait at this instance for room at a backend server."""

from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Final, NamedTuple

import trio

from wagtailpoint.admission.room_queue import Found, NotFound, RoomQueue, Turn, Waiting
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.choice import FREE_SLOT_SPEEDUP_FRACTION, Choice, Declined, NotPlaced
from wagtailpoint.proxy.refusal import Refusal, RefusalFactory
from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.proxy.retry_after import RoomRetryAfter
from wagtailpoint.proxy.sender import Sender
from wagtailpoint.proxy.stop_admission import StopAdmission
from wagtailpoint.verdict import Verdict

MAX_WAIT_FRACTION: Final = 1 / 8
"""Maximum wait as a fraction of the latency objective. A caller who is refused later has lost the
time in which another instance could have served its retry."""

OFFER_INTERVAL_S: Final = 0.025
"""Interval at which waiting requests repeat the selection, as estimates of loads decay, stated
limits allow another request, and the fleet changes without an exchange that ends here."""

NO_ROOM: Final = "no room"
LATE: Final = "deadline"
SHARE: Final = "workspace"

EXPECTATION_WEIGHT: Final = 0.1
MAX_EXPECTATIONS: Final = 1024


class _Waiter(NamedTuple):
    """A waiting request and the event that ends its wait.

    Attributes:
        context: The request.
        ended: Set when it has found room or has to leave.
        displaced: Set when it has to leave since the queue is full.
    """

    context: RequestContext
    ended: trio.Event
    displaced: trio.Event


class RoomWaiting:
    """Holds requests without room for a short time, and gives them the room of ended exchanges."""

    def __init__(
        self,
        *,
        sender: Sender,
        is_enabled: Callable[[str], bool],
        stop_admission: StopAdmission,
        metrics: Metrics,
        random: Random,
        queue: RoomQueue[_Waiter] | None = None,
        is_bounded: Callable[[str], bool] = lambda service: False,
    ) -> None:
        """Initialise without waiting requests.

        Args:
            sender: Selects backend servers, and tells when exchanges begin and end.
            is_enabled: Returns whether requests of a service may wait.
            stop_admission: Says which requests a stopping instance still sends.
            metrics: Receives counts.
            random: The source of jitter.
            queue: The order of the requests; by default one with the usual bounds.
            is_bounded: Returns whether requests of a service may wait although their servers have
                room, by the bound after a loss of all instances.
        """
        self._sender = sender
        self._is_enabled = is_enabled
        self._stop_admission = stop_admission
        self._metrics = metrics
        self._queue = queue if queue is not None else RoomQueue[_Waiter]()
        self._is_bounded = is_bounded
        self._retry_after = RoomRetryAfter(random=random)
        self._refusals = RefusalFactory(random=random)
        self._granted: dict[RequestContext, Waiting[_Waiter]] = {}
        self._expected_s: dict[tuple[str, str], float] = {}
        self._entered = trio.Event()
        sender.on_exchange_change(self._record_exchange)

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._queue)

    async def run(self) -> None:
        """Repeat the selection for waiting requests periodically, until cancelled."""
        while True:
            if not len(self._queue):
                self._entered = trio.Event()
                await self._entered.wait()
            await trio.sleep(OFFER_INTERVAL_S)
            self._end_if_stopping()
            for service in self._queue.services:
                self._offer(service)

    def choose(self, context: RequestContext) -> Choice | NotPlaced:
        """Choose a backend server for a request, unless one that ranks before waits for its room.

        Without waiting requests, and where requests may not wait, this is the sender's choice.
        """
        chosen = self._sender.choose(context)
        if not self._is_enabled(context.service) or isinstance(chosen, NotPlaced):
            return chosen
        self._record_expectation(context, chosen)
        if context in self._granted:
            return chosen
        server = chosen.entry.server_id
        turn = _turn(context)
        if self._queue.has_before(turn, server, trio.current_time()):
            self._offer(context.service, server)
            if self._queue.is_reserved(server) or self._queue.has_before(
                turn, server, trio.current_time()
            ):
                declined = Declined(chosen.entry, "queued", chosen.occupancy, chosen.report_age_s)
                return NotPlaced(NO_ROOM, (declined,))
        return chosen

    def may_wait(self, context: RequestContext, result: NotPlaced) -> bool:
        """Return whether a request that was not placed waits, or is refused by its place."""
        return (
            result.reason == NO_ROOM
            and self._is_enabled(context.service)
            and context.verdict is Verdict.NOT_RUN
        )

    async def wait(self, context: RequestContext, result: NotPlaced) -> Refusal | None:
        """Wait until a request may have room; return the refusal if it has to leave without.

        Everything that may have changed must be checked again afterwards, and the backend server
        chosen again.
        """
        self.release(context)
        now = trio.current_time()
        turn = _turn(context)
        servers = _servers(result)
        leave_at, is_late = self._leave_at(context)
        if leave_at <= now:
            return self._refuse(context, turn, servers, is_late=is_late)
        waiter = _Waiter(context, trio.Event(), trio.Event())
        entered = self._queue.enter(turn, waiter, servers, now)
        for displaced in entered.displaced:
            displaced.owner.displaced.set()
            displaced.owner.ended.set()
        waiting = entered.waiting
        if waiting is None:
            return self._refuse(context, turn, servers, is_late=False)
        self._metrics.count("room-queue.waited")
        self._entered.set()
        try:
            with trio.move_on_at(leave_at):
                await waiter.ended.wait()
        finally:
            self._queue.leave(waiting)
            context.room_wait_s += trio.current_time() - now
        if waiter.displaced.is_set():
            return self._refuse(context, turn, waiting.servers, is_late=False)
        if waiter.ended.is_set():
            return None
        if self._is_bounded(context.service) and isinstance(self._sender.choose(context), Choice):
            # The bound alone held this request, or those before it: it goes out of turn.
            self._granted[context] = waiting
            return None
        return self._refuse(context, turn, waiting.servers, is_late=is_late)

    def release(self, context: RequestContext) -> None:
        """End the reservation of room for a request that is not sent now, if there is one."""
        waiting = self._granted.pop(context, None)
        if waiting is None:
            return
        server = self._queue.release(waiting)
        if server:
            self._offer(context.service, server)

    def _record_exchange(
        self, context: RequestContext, entry: ServerEntry, *, has_begun: bool
    ) -> None:
        """Record that an exchange began, which uses the reserved room, or ended."""
        is_enabled = self._is_enabled(context.service)
        if has_begun:
            if is_enabled:
                now = trio.current_time()
                self._queue.record_admission(context.service, context.workspace_name, now)
                self._retry_after.record_found(context.service, now)
            # Also where the switch was turned off since: the room is in use from now on.
            self.release(context)
        elif is_enabled and len(self._queue):
            self._offer(context.service, entry.server_id)

    def _offer(self, service: str, server: str = "") -> None:
        now = trio.current_time()
        for waiting in self._queue.offer(service, self._select, now, server):
            self._granted[waiting.owner.context] = waiting
            waiting.owner.ended.set()

    def _select(self, waiting: Waiting[_Waiter]) -> Found | NotFound:
        chosen = self._sender.choose(waiting.owner.context)
        if isinstance(chosen, Choice):
            return Found(chosen.entry.server_id)
        if chosen.reason == NO_ROOM:
            return NotFound(_servers(chosen))
        return Found("")

    def _end_if_stopping(self) -> None:
        """End the waits of requests that the process will not outlast."""
        now = trio.current_time()
        for service in self._queue.services:
            for waiting in self._queue.in_order(service, now):
                if not self._stop_admission.admits(waiting.owner.context):
                    self._queue.leave(waiting)
                    waiting.owner.ended.set()

    def _leave_at(self, context: RequestContext) -> tuple[float, bool]:
        """Return until when a request may wait, and whether its deadline is the reason."""
        bound = context.request.arrived_at + MAX_WAIT_FRACTION * context.route.objective_s
        expected_s = self._expected_s.get((context.route.name, context.service), 0.0)
        in_time_until = context.deadline - expected_s
        return min(bound, in_time_until), in_time_until < bound

    def _record_expectation(self, context: RequestContext, chosen: Choice) -> None:
        """Record the shortest time until an answer that the selection takes to be possible."""
        expected = chosen.expected
        possible_s = (
            expected.latency_s - expected.wait_s - FREE_SLOT_SPEEDUP_FRACTION * expected.service_s
        )
        key = (context.route.name, context.service)
        if key not in self._expected_s and len(self._expected_s) >= MAX_EXPECTATIONS:
            self._expected_s.clear()
        mean_s = self._expected_s.setdefault(key, possible_s)
        self._expected_s[key] = mean_s + EXPECTATION_WEIGHT * (possible_s - mean_s)

    def _refuse(
        self, context: RequestContext, turn: Turn, servers: frozenset[str], *, is_late: bool
    ) -> Refusal:
        now = trio.current_time()
        reason = LATE if is_late else NO_ROOM
        if not is_late and self._queue.is_behind_by_share(turn, servers, now):
            reason = SHARE
        self._metrics.count(f"room-queue.refused.{reason.replace(' ', '-')}")
        retry_after_s = self._retry_after.next_s(
            context.service,
            priority=turn.priority,
            waiting_before=self._queue.count_before(turn, now),
            remaining_s=context.remaining_s,
            now=now,
        )
        if retry_after_s is None:
            return self._refusals.no_room(reason, context.remaining_s)
        return Refusal(HTTPStatus.SERVICE_UNAVAILABLE, reason, retry_after_s)


def _turn(context: RequestContext) -> Turn:
    return Turn(
        service=context.service,
        priority=context.route.priority,
        workspace=context.workspace_name,
        deadline=context.caller_deadline,
        body_bytes=len(context.body.read),
    )


def _servers(result: NotPlaced) -> frozenset[str]:
    return frozenset(declined.entry.server_id for declined in result.declined)

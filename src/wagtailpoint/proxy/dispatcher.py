"""Dispatches callers' requests: routing, access checks, sends to backend servers, reply and log."""

import re
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from urllib.parse import urlsplit

import trio

from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.choice import NotPlaced
from wagtailpoint.proxy.allowance_gate import AllowanceGate, Allowances
from wagtailpoint.proxy.answer_times import AnswerTimes
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest
from wagtailpoint.proxy.caller_input import CallerGone
from wagtailpoint.proxy.headers import (
    HeaderNames,
    content_length,
    has_body,
    header_text,
    header_value,
)
from wagtailpoint.proxy.key_check import KeyCheck
from wagtailpoint.proxy.overload_gate import OverloadGate
from wagtailpoint.proxy.refusal import Refusal, RefusalFactory
from wagtailpoint.proxy.request_context import Outcome, RequestContext
from wagtailpoint.proxy.request_log import RequestLog
from wagtailpoint.proxy.room_waiting import RoomWaiting
from wagtailpoint.proxy.sender import MIN_EXCHANGE_S, Sender
from wagtailpoint.proxy.stop_admission import StopAdmission
from wagtailpoint.proxy.stop_clock import StopClock
from wagtailpoint.quarantine.quarantine import Admission, Quarantine
from wagtailpoint.routing.access import AccessRefusal
from wagtailpoint.routing.split import SplitChooser
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import parse_key_digest
from wagtailpoint.verdict import Verdict

CUT_BY_STOP = "cut-by-stop"
"""The result of a request that may have run and had no whole answer when the process ended."""

READ_AHEAD_BYTES = 256 * 1024
"""A body up to this size is read before the request is sent, so that it can be sent again."""

DEADLINE_PATTERN = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?")


class Dispatcher:
    """Serves callers' requests by sending them to backend servers."""

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        sender: Sender,
        room: RoomWaiting,
        quarantine: Quarantine,
        key_check: KeyCheck,
        allowances: Allowances,
        stop_clock: StopClock,
        stop_admission: StopAdmission,
        answer_times: AnswerTimes,
        overload: OverloadGate,
        names: HeaderNames,
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Initialise the dispatcher.

        Args:
            table: Returns the route table in force; None before a configuration is known.
            sender: Sends requests to backend servers.
            room: Holds requests for which no backend server has room.
            quarantine: Tells which requests must not be sent.
            key_check: Finds the workspace of a request and whether it may run.
            allowances: The request allowances of workspaces.
            stop_clock: Measures the planned stop of this instance.
            stop_admission: Says which requests a stopping instance still accepts.
            answer_times: Receives the times that requests take.
            overload: Refuses requests that this instance can't answer in time.
            names: The deployment's header names.
            metrics: Receives counts and latencies.
            random: The source of jitter for ``Retry-After`` and of service choices.
        """
        self._table = table
        self._sender = sender
        self._room = room
        self._quarantine = quarantine
        self._key_check = key_check
        self._stop_clock = stop_clock
        self._stop_admission = stop_admission
        self._answer_times = answer_times
        self._overload = overload
        self._names = names
        self._metrics = metrics
        self._log = RequestLog(names=names, metrics=metrics, stop_clock=stop_clock)
        self._refusals = RefusalFactory(random=random)
        self._gate = AllowanceGate(allowances=allowances, refusals=self._refusals, names=names)
        self._split = SplitChooser(random=random)
        self._open_requests = 0
        self._serving: dict[RequestContext, trio.CancelScope] = {}
        self._idle = trio.Event()

    @property
    def open_requests(self) -> int:
        """The number of requests that have not been replied to."""
        return self._open_requests

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        while self._open_requests:
            self._idle = trio.Event()
            await self._idle.wait()

    def end_requests(self) -> None:
        """Reply to all open requests at once, since the process ends.

        Answers that have arrived, and replies that have begun, go on. A request that may have run
        gets no reply which says that it has not.
        """
        for context, scope in self._serving.items():
            if not context.has_answer:
                scope.cancel()

    async def handle(self, request: IncomingRequest, caller: CallerExchange) -> None:
        """Serve a request and send its reply."""
        self._open_requests += 1
        try:
            await self._handle(request, caller)
        finally:
            self._open_requests -= 1
            if not self._open_requests:
                self._idle.set()

    async def _handle(self, request: IncomingRequest, caller: CallerExchange) -> None:
        table = self._table()
        if table is None:
            outcome = await self._refusals.starting().send(caller)
            self._log.write(request, None, outcome, caller)
            return
        host = (header_value(request.headers, b"host") or b"").decode("latin-1")
        route = table.find(host, _path(request.target))
        if route is None:
            await caller.reply(HTTPStatus.NOT_FOUND, (), b"no such route\n")
            log_event(
                "no-route",
                id=header_text(header_value(request.headers, self._names.request_id)),
                host=host,
                path=request.target[:80],
                version=table.version,
            )
            return
        key = parse_key_digest(request.headers)
        access = self._key_check.access(table, route, key)
        if isinstance(access, AccessRefusal):
            self._log.write_key_refused(request, access, key)
            outcome = await self._refusals.no_access(access).send(caller)
            self._log.write(request, None, outcome, caller)
            return
        if access is not None:
            route = route.for_workspace(access)
        length = content_length(request.headers)
        if length is not None and length > table.bounds.body_bytes:
            await caller.reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, (), b"body too long\n")
            return
        early = self._gate.known_refusal(route, access, self._timeout_s(request, route))
        if early is not None:
            # Refused before its body is read, which the connection then discards.
            outcome = await early.send(caller)
            self._log.write_refused_early(request, table, route, outcome)
            return
        service = self._split.choose(route)
        deadline = request.arrived_at + self._timeout_s(request, route)
        overloaded = self._overload.refusal(route, service, deadline)
        if overloaded is not None:
            outcome = await self._overload.send(overloaded, caller)
            self._log.write_refused_early(request, table, route, outcome)
            return
        context = RequestContext(
            request=request, table=table, route=route, service=service, key=key, workspace=access
        )
        caller_timeout_s = self._caller_timeout_s(request)
        context.caller_deadline = request.arrived_at + (
            route.timeout_s if caller_timeout_s is None else caller_timeout_s
        )
        context.deadline = deadline
        answered = False
        try:
            outcome = await self._serve_until_ended(context, caller)
            # A 504 does not clear a crash suspect: the backend server may have stopped at the
            # deadline before it reached the code that crashes.
            late = outcome.status == HTTPStatus.GATEWAY_TIMEOUT
            answered = outcome.verdict is Verdict.RAN and not late
        except (trio.Cancelled, BaseExceptionGroup, CallerGone):
            # A nursery raises the cancellations of its tasks in a group.
            self._record_abandoned(request, context, caller)
            raise
        finally:
            self._record_time(context, caller, answered=answered)
            self._quarantine.record_finished(context.fingerprint, answered=answered)
        self._log.write(request, context, outcome, caller)

    def _record_time(
        self, context: RequestContext, caller: CallerExchange, *, answered: bool
    ) -> None:
        elapsed_s = trio.current_time() - context.request.arrived_at - caller.waited_s
        if answered or context.verdict is not Verdict.NOT_RUN:
            self._answer_times.record(
                context.route.name, context.service, elapsed_s, answered=answered
            )
        if answered:
            self._overload.record_answer(context.route, context.service, elapsed_s)

    def _record_abandoned(
        self, request: IncomingRequest, context: RequestContext, caller: CallerExchange
    ) -> None:
        """Record a request that ended without a reply."""
        if self._stop_clock.has_ended:
            self._log.write(request, context, Outcome(0, CUT_BY_STOP, context.verdict), caller)
            self._log.write_cut(context, caller)
            return
        self._metrics.count("request.abandoned")
        self._log.write(request, context, Outcome(0, "caller-gone", context.verdict), caller)

    async def _serve_until_ended(self, context: RequestContext, caller: CallerExchange) -> Outcome:
        with trio.CancelScope() as scope:
            self._serving[context] = scope
            try:
                return await self._serve(context, caller)
            finally:
                del self._serving[context]
                self._room.release(context)
        if caller.is_reply_begun:
            raise CallerGone
        outcome = await self._give_up(context, caller, self._refusals.stopping())
        if outcome.verdict is Verdict.NOT_RUN:
            return outcome
        self._log.write_cut(context, caller)
        return outcome._replace(result=CUT_BY_STOP)

    async def _serve(self, context: RequestContext, caller: CallerExchange) -> Outcome:
        self._sender.record_request(context)
        if not context.route.idempotent:
            # Callers resend requests that follow a reply which ended the connection, so a
            # non-idempotent request must not run before the earlier replies were sent.
            await caller.wait_turn()
        if not self._stop_admission.admits(context):
            # Refused before its body is read, which may last until the process ends.
            return await self._give_up(context, caller, self._refusals.stopping())
        if not await self._read_body(context, caller):
            context.has_answer = True
            await caller.reply(HTTPStatus.REQUEST_TIMEOUT, (), b"the body came too slowly\n")
            return Outcome(HTTPStatus.REQUEST_TIMEOUT, "slow-body", Verdict.NOT_RUN)
        return await self._send_until_answered(context, caller)

    async def _send_until_answered(
        self, context: RequestContext, caller: CallerExchange
    ) -> Outcome:
        while True:
            refusal = self._refusal(context)
            if refusal is not None:
                return await self._give_up(context, caller, refusal)
            chosen = self._room.choose(context)
            if isinstance(chosen, NotPlaced):
                context.declined = chosen.declined
                refusal = await self._wait_for_room(context, chosen)
                if refusal is None:
                    continue
                return await self._give_up(context, caller, refusal)
            if context.remaining_s < MIN_EXCHANGE_S:
                return await self._give_up(
                    context, caller, self._no_room_refusal(context, "deadline")
                )
            if not context.allowance_spent:
                # Others may use the room, as this may take longer than their wait.
                self._room.release(context)
                refusal = await self._gate.spend(context)
                if refusal is not None:
                    return await self._give_up(context, caller, refusal)
                # The choice may be outdated after the wait for the allowance.
                continue
            outcome = await self._sender.send(context, chosen, caller)
            if outcome is not None:
                return outcome
            if not self._sender.may_retry(context):
                return await self._give_up(
                    context, caller, self._no_room_refusal(context, "failed")
                )

    async def _wait_for_room(self, context: RequestContext, result: NotPlaced) -> Refusal | None:
        """Wait for room where requests may; return the refusal if the request has to end."""
        if not self._room.may_wait(context, result):
            return self._refusals.no_room(
                result.reason, context.remaining_s, room_in_s=result.retry_after_s
            )
        refusal = await self._room.wait(context, result)
        # Another reason may have come up meanwhile, which says more to the caller.
        return None if refusal is None else self._refusal(context) or refusal

    def _refusal(self, context: RequestContext) -> Refusal | None:
        """Return the refusal of a request that must not be sent now, or None if it may be sent."""
        if not self._stop_admission.admits(context):
            return self._refusals.stopping()
        admission = self._quarantine.admission(context.fingerprint)
        if admission is not Admission.ADMITTED:
            return self._refusals.crashing(admission, context.remaining_s)
        no_access = self._key_check.refusal(context)
        if no_access is not None:
            self._log.write_key_refused(context.request, no_access, context.key)
            return self._refusals.no_access(no_access)
        return None

    def _no_room_refusal(self, context: RequestContext, reason: str) -> Refusal:
        return self._refusals.no_room(reason, context.remaining_s)

    async def _read_body(self, context: RequestContext, caller: CallerExchange) -> bool:
        """Read the body ahead; return False if it does not arrive before the deadline."""
        if not has_body(context.request.headers):
            return True
        with trio.move_on_at(context.deadline):
            context.body = await caller.read_body(READ_AHEAD_BYTES)
            return True
        return False

    async def _give_up(
        self, context: RequestContext, caller: CallerExchange, refusal: Refusal
    ) -> Outcome:
        """Send the final reply to a request that no backend server answered successfully."""
        context.has_answer = True
        self._room.release(context)
        if context.failed_reply is not None:
            await caller.reply(
                context.failed_reply.status, context.failed_reply.headers, context.failed_reply.body
            )
            return Outcome(context.failed_reply.status, "answered", Verdict.RAN)
        if context.verdict is Verdict.NOT_RUN:
            return await refusal.send(caller)
        late = context.remaining_s < MIN_EXCHANGE_S
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        await caller.reply(status, (), b"no answer from a backend server\n")
        return Outcome(status, refusal.reason, context.verdict)

    def _timeout_s(self, request: IncomingRequest, route: HostRoute) -> float:
        """Return the shorter of the caller's remaining time and the route's timeout, in seconds."""
        caller_timeout_s = self._caller_timeout_s(request)
        if caller_timeout_s is None:
            return route.timeout_s
        return min(route.timeout_s, caller_timeout_s)

    def _caller_timeout_s(self, request: IncomingRequest) -> float | None:
        """Return the time for which the caller still waits, in seconds; None if it is not known."""
        value = header_value(request.headers, self._names.deadline_ms)
        if value is None or not DEADLINE_PATTERN.fullmatch(value):
            return None
        return float(value) / 1000


def _path(target: str) -> str:
    if target.startswith("/"):
        return target.partition("?")[0]
    return urlsplit(target).path

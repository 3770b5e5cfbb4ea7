"""One request from its head to the end of its reply: route, backend servers, verdict, answer."""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from random import Random
from typing import NamedTuple
from urllib.parse import urlsplit

import trio

from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import LatencyKey, Metrics
from wagtailpoint.placement.placement import Choice, Demand, NoRoom, Observation, Placement
from wagtailpoint.placement.server_load import parse_load
from wagtailpoint.ports.backend import FailureReason, Headers
from wagtailpoint.proxy.backend_connection import (
    BackendConnection,
    BackendReply,
    ExchangeFailed,
    OutgoingRequest,
)
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.caller_connection import CallerConnection, IncomingRequest, ReadBody
from wagtailpoint.proxy.headers import HeaderNames, content_length, end_to_end, first
from wagtailpoint.proxy.repeat_budget import RepeatBudget
from wagtailpoint.routing.split import SplitChooser
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.verdict import Verdict

READ_AHEAD_BYTES = 256 * 1024
"""A body up to this size is read before anything is sent, and can be sent again."""

MOST_UNREACHED = 3
"""Backend servers that may turn out unreachable for one request; no byte of it left then."""

RETURN_ALLOWANCE_S = 0.003
"""Taken off the deadline that is passed on, so that an answer in the last moment is in time."""

LEAST_EXCHANGE_S = 0.01
"""With less time left nothing is sent: it would only be cut off with an unknown outcome."""

SILENT_PART = 0.5
"""An idempotent request waits so much of its remaining time for a backend server that has not
answered anything since it was sent; then another one gets it while there is time."""

LEAST_SILENT_S = 0.15

COME_BACK_S = 0.2
"""When a refused caller may come back: about two service times later some slots have changed."""

COME_BACK_PART = 1 / 3
"""Callers honour a time to come back up to this part of what they have left."""

STARTING_COME_BACK_S = 0.5


class Outcome(NamedTuple):
    """What became of a request.

    Attributes:
        status: The status that the caller got.
        result: One word for logs and metrics.
        verdict: Whether it may have run.
    """

    status: int
    result: str
    verdict: Verdict


class _Attempt(NamedTuple):
    """One send to a backend server that gave no final answer."""

    choice: Choice
    verdict: Verdict
    reason: str


class _Job:
    """A request on its way, with what was tried."""

    def __init__(
        self, *, request: IncomingRequest, route: HostRoute, service: str, deadline: float
    ) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.deadline = deadline
        self.body = ReadBody(b"", None)
        self.attempts: list[_Attempt] = []
        self.failure: BackendReply | None = None
        self.last: Choice | None = None

    @property
    def left_s(self) -> float:
        """Seconds left until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def verdict(self) -> Verdict:
        """Whether any of the attempts may have run."""
        if all(each.verdict is Verdict.NOT_RUN for each in self.attempts):
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    @property
    def sent(self) -> int:
        """Attempts that may have reached a backend server."""
        return sum(each.reason not in _UNREACHED for each in self.attempts)


_UNREACHED = frozenset(
    (
        FailureReason.CONNECT_REFUSED,
        FailureReason.CONNECT_FAILED,
        FailureReason.CONNECT_TIMEOUT,
    )
)


class Dispatcher:
    """Serves requests."""

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        takes_work: Callable[[str], bool],
        placement: Placement,
        pool: BackendPool,
        budget: RepeatBudget,
        names: HeaderNames,
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Make it.

        Args:
            table: The routes in force; None before there are any.
            takes_work: Whether a backend server, by its id, may still take new work.
            placement: Chooses backend servers.
            pool: The connections to them.
            budget: Repeated sends.
            names: The deployment's header names.
            metrics: Counts and latencies.
            random: Spreads the times to come back.
        """
        self._table = table
        self._takes_work = takes_work
        self._placement = placement
        self._pool = pool
        self._budget = budget
        self._names = names
        self._metrics = metrics
        self._random = random
        self._split = SplitChooser()
        self._open = 0
        self._idle = trio.Event()

    @property
    def open_requests(self) -> int:
        """Requests that have not been answered."""
        return self._open

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        while self._open:
            self._idle = trio.Event()
            await self._idle.wait()

    async def handle(self, request: IncomingRequest, caller: CallerConnection) -> None:
        """Reply to a request."""
        self._open += 1
        try:
            await self._handle(request, caller)
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    async def _handle(self, request: IncomingRequest, caller: CallerConnection) -> None:
        table = self._table()
        if table is None:
            outcome = await self._refuse(caller, "starting", STARTING_COME_BACK_S)
            self._log(request, None, outcome)
            return
        host = (first(request.headers, b"host") or b"").decode("latin-1")
        route = table.find(host, _path(request.target))
        if route is None:
            await caller.reply(HTTPStatus.NOT_FOUND, (), b"no such route\n")
            log_event(
                "no-route",
                id=_text(first(request.headers, self._names.request_id)),
                host=host,
                path=request.target[:80],
                version=table.version,
            )
            return
        length = content_length(request.headers)
        if length is not None and length > table.bounds.body_bytes:
            await caller.reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, (), b"body too long\n")
            return
        job = _Job(
            request=request,
            route=route,
            service=self._split.choose(route),
            deadline=request.arrived + self._timeout_s(request, route),
        )
        try:
            outcome = await self._serve(job, table, caller)
        except trio.Cancelled:
            self._metrics.count("request.abandoned")
            self._log(request, job, Outcome(0, "caller-gone", job.verdict))
            raise
        self._log(request, job, outcome)

    async def _serve(self, job: _Job, table: RouteTable, caller: CallerConnection) -> Outcome:
        self._budget.note_request(job.service)
        if job.request.method not in ("GET", "HEAD") or _has_body(job.request.headers):
            job.body = await caller.read_body(READ_AHEAD_BYTES)
        while True:
            chosen = self._choose(job, table)
            if isinstance(chosen, NoRoom):
                return await self._give_up(job, caller, chosen.reason)
            if job.left_s < LEAST_EXCHANGE_S:
                return await self._give_up(job, caller, "deadline")
            outcome = await self._attempt(job, table, chosen, caller)
            if outcome is not None:
                return outcome
            if not self._may_go_on(job):
                return await self._give_up(job, caller, "failed")

    def _choose(self, job: _Job, table: RouteTable) -> Choice | NoRoom:
        chosen = self._placement.choose(self._demand(job, table))
        if isinstance(chosen, Choice):
            job.last = chosen
        return chosen

    def _demand(self, job: _Job, table: RouteTable) -> Demand:
        key = first(job.request.headers, self._names.affinity) if job.route.sticky else None
        return Demand(
            route=job.route,
            service=job.service,
            policy=table.services.get(job.service),
            key=f"{job.route.prefix}{_text(key)}" if key else job.request.target,
            tried=[each.choice.entry.server_id for each in job.attempts],
            left_s=job.left_s,
        )

    def _may_go_on(self, job: _Job) -> bool:
        """Whether another backend server may be tried after the last attempt."""
        if job.left_s < LEAST_EXCHANGE_S or job.body.rest is not None:
            return False
        if job.verdict is not Verdict.NOT_RUN and not job.route.idempotent:
            return False
        if job.sent == 0:
            return len(job.attempts) < MOST_UNREACHED
        return job.sent < job.route.most_attempts and self._budget.take(job.service)

    async def _attempt(
        self, job: _Job, table: RouteTable, choice: Choice, caller: CallerConnection
    ) -> Outcome | None:
        """Send it once; None if there is no answer that could be passed on."""
        entry = choice.entry
        demand = self._demand(job, table)
        self._placement.began(demand, entry)
        connection: BackendConnection | None = None
        began = trio.current_time()
        try:
            connection = await self._pool.acquire(entry.server_id, entry.address)
            if not self._takes_work(entry.server_id):
                raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_FAILED, "leaving")
            reply = await self._exchange(job, choice, connection)
            self._note(demand, choice, reply, trio.current_time() - began)
            if reply.not_run:
                moved = reply.status == HTTPStatus.MISDIRECTED_REQUEST
                reason = "misdirected" if moved else "shed"
                job.attempts.append(_Attempt(choice, Verdict.NOT_RUN, reason))
                return None
            if reply.status >= 500 and job.route.idempotent and self._may_repeat(job):
                job.attempts.append(_Attempt(choice, Verdict.RAN, f"status-{reply.status}"))
                job.failure = reply if reply.rest is None else None
                return None
            return await self._pass_on(job, reply, caller)
        except ExchangeFailed as error:
            rest_s = self._note_failed(choice, error)
            job.attempts.append(_Attempt(choice, error.verdict, error.reason))
            log_event(
                "attempt-failed",
                id=_text(first(job.request.headers, self._names.request_id)),
                server=entry.server_id,
                reason=error,
                verdict=error.verdict.value,
                rests_s=rest_s,
            )
            return None
        finally:
            self._placement.ended(entry)
            if connection is not None:
                await self._pool.release(entry.server_id, connection)

    def _note_failed(self, choice: Choice, error: ExchangeFailed) -> float:
        """Take note of a failed exchange; return for how long the backend server rests."""
        if error.reason in _UNREACHED or error.silent:
            return self._placement.note_unreachable(choice.entry)
        self._placement.note_broken(choice.entry)
        return 0.0

    def _may_repeat(self, job: _Job) -> bool:
        return (
            job.sent + 1 < job.route.most_attempts
            and job.body.rest is None
            and self._budget.left(job.service) >= 1.0
        )

    async def _exchange(
        self, job: _Job, choice: Choice, connection: BackendConnection
    ) -> BackendReply:
        patience_s = self._patience_s(job)
        sent_at = trio.current_time()
        with trio.move_on_at(job.deadline):
            with trio.move_on_after(patience_s):
                return await connection.exchange(self._outgoing(job, choice.entry.server_id))
        silent = self._placement.load_of(choice.entry.server_id).heard_at < sent_at
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, FailureReason.TIMEOUT, silent=silent)

    def _patience_s(self, job: _Job) -> float:
        """How long to wait for a backend server that may be dead."""
        if not job.route.idempotent or not self._may_repeat(job):
            return job.left_s
        return max(LEAST_SILENT_S, SILENT_PART * job.left_s, 1.2 * job.route.objective_s)

    def _outgoing(self, job: _Job, server_id: str) -> OutgoingRequest:
        names = self._names
        request = job.request
        headers = end_to_end(request.headers, (names.deadline_ms, names.expected_server, b"expect"))
        left_ms = max(1, int((job.left_s - RETURN_ALLOWANCE_S) * 1000))
        headers.append((names.deadline_ms, str(left_ms).encode()))
        headers.append((names.expected_server, server_id.encode()))
        return OutgoingRequest(
            request_id=first(request.headers, names.request_id) or b"",
            method=request.method,
            target=request.target,
            headers=headers,
            body=job.body.read,
            rest=job.body.rest,
            rest_bytes=content_length(request.headers),
        )

    def _note(self, demand: Demand, choice: Choice, reply: BackendReply, latency_s: float) -> None:
        cold = first(reply.headers, self._names.cold_ms)
        self._placement.note_answer(
            demand,
            choice,
            Observation(
                latency_s=latency_s,
                reply_bytes=len(reply.body),
                failed=reply.status >= 500 and not reply.not_run,
                shed=reply.not_run,
                report=parse_load(first(reply.headers, self._names.load)),
                cold_s=int(cold) / 1000 if cold is not None and cold.isdigit() else 0.0,
            ),
        )

    async def _pass_on(self, job: _Job, reply: BackendReply, caller: CallerConnection) -> Outcome:
        if reply.rest is None:
            await caller.reply(reply.status, reply.headers, reply.body)
        else:
            await self._stream(reply, reply.rest, caller)
        return Outcome(reply.status, "answered", Verdict.RAN)

    async def _stream(
        self, reply: BackendReply, rest: AsyncIterator[bytes], caller: CallerConnection
    ) -> None:
        if reply.length is not None:
            framing = (b"content-length", str(reply.length).encode())
        else:
            framing = (b"transfer-encoding", b"chunked")
        await caller.begin(reply.status, [*reply.headers, framing])
        await caller.send(reply.body)
        async for part in rest:
            await caller.send(part)
        await caller.finish()

    async def _give_up(self, job: _Job, caller: CallerConnection, reason: str) -> Outcome:
        """The final answer, at once, of a request that got none from a backend server."""
        if job.failure is not None:
            await caller.reply(job.failure.status, job.failure.headers, job.failure.body)
            return Outcome(job.failure.status, "answered", Verdict.RAN)
        if job.verdict is Verdict.NOT_RUN:
            return await self._refuse(caller, reason, self._come_back_s(job))
        late = job.left_s < LEAST_EXCHANGE_S
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        await caller.reply(status, (), b"no answer from a backend server\n")
        return Outcome(status, reason, job.verdict)

    async def _refuse(self, caller: CallerConnection, reason: str, come_back_s: float) -> Outcome:
        headers: Headers = [(b"retry-after", f"{come_back_s:.3f}".encode())]
        await caller.reply(HTTPStatus.SERVICE_UNAVAILABLE, headers, b"not run: no room\n")
        return Outcome(HTTPStatus.SERVICE_UNAVAILABLE, reason, Verdict.NOT_RUN)

    def _come_back_s(self, job: _Job) -> float:
        wanted = COME_BACK_S * self._random.uniform(0.5, 1.5)
        return max(0.0, min(wanted, COME_BACK_PART * job.left_s))

    def _timeout_s(self, request: IncomingRequest, route: HostRoute) -> float:
        """The shorter of the caller's remaining time and the route's timeout, in seconds."""
        value = first(request.headers, self._names.deadline_ms)
        if value is None or not value.isdigit():
            return route.timeout_s
        return min(route.timeout_s, int(value) / 1000)

    def _log(self, request: IncomingRequest, job: _Job | None, outcome: Outcome) -> None:
        elapsed_s = trio.current_time() - request.arrived
        route = job.route.name if job is not None else ""
        self._metrics.count(f"request.{outcome.result}")
        self._metrics.record_latency(
            LatencyKey("request", "", route, "", outcome.verdict.value, outcome.result), elapsed_s
        )
        last = job.last if job is not None else None
        log_event(
            "request",
            id=_text(first(request.headers, self._names.request_id)),
            route=route,
            service=job.service if job is not None else "",
            key=_text(first(request.headers, self._names.affinity)),
            status=outcome.status,
            result=outcome.result,
            verdict=outcome.verdict.value,
            ms=round(1000 * elapsed_s, 1),
            tried=(
                ",".join(f"{each.choice.entry.server_id}:{each.reason}" for each in job.attempts)
                if job is not None
                else ""
            ),
            server=last.entry.server_id if last is not None else "",
            domain=last.entry.failure_domain if last is not None else "",
            rank=last.rank if last is not None else "",
            expected_ms=round(1000 * last.expected_s) if last is not None else "",
            occupancy=round(last.occupancy, 1) if last is not None else "",
            report_age_s=round(min(last.report_age_s, 999.0), 2) if last is not None else "",
        )


def _path(target: str) -> str:
    return urlsplit(target).path if "//" in target or "?" in target else target


def _text(value: bytes | None) -> str:
    return value.decode("latin-1") if value is not None else ""


def _has_body(headers: Headers) -> bool:
    return first(headers, b"transfer-encoding") is not None or bool(content_length(headers))

"""One request from its head to the end of its reply: route, backend servers, verdict, answer."""

import re
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
from wagtailpoint.proxy.headers import (
    HeaderNames,
    content_length,
    end_to_end,
    first,
    has_body,
)
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

SILENT_PART = 0.4
"""After so much of its remaining time an idempotent request is sent to another backend server too,
if the first has answered nothing at all since: it may be dead. The first is still waited for, as
its silence proves nothing."""

LEAST_SILENT_S = 0.15

DEADLINE_FORM = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?")

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


class _Failure(NamedTuple):
    """A send to a backend server that gave no answer to pass on."""

    server_id: str
    verdict: Verdict
    reason: str


class _Job:
    """A request on its way, with what was tried.

    Attributes:
        tried: Backend servers that it was given to, by id.
        sends: Of these, how many may have seen it.
        failures: The sends that gave no answer to pass on.
        failed_reply: The last failure of a backend server's own, should there be nothing better.
        last: The last choice, for the log.
        load: The load that the last answer told, for the log.
    """

    def __init__(
        self, *, request: IncomingRequest, table: RouteTable, route: HostRoute, service: str
    ) -> None:
        self.request = request
        self.table = table
        self.route = route
        self.service = service
        self.deadline = 0.0
        self.body = ReadBody(b"", None)
        self.tried: list[str] = []
        self.sends = 0
        self.failures: list[_Failure] = []
        self.failed_reply: BackendReply | None = None
        self.last: Choice | None = None
        self.load = b""

    @property
    def left_s(self) -> float:
        """Seconds left until the deadline."""
        return self.deadline - trio.current_time()

    @property
    def verdict(self) -> Verdict:
        """Whether any of the sends may have run."""
        if all(each.verdict is Verdict.NOT_RUN for each in self.failures):
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN

    def fail(self, server_id: str, verdict: Verdict, reason: str) -> None:
        """A send is over without an answer to pass on."""
        self.failures.append(_Failure(server_id, verdict, reason))


class _Race:
    """The sends of one request that are under way; the first usable answer is passed on."""

    def __init__(self) -> None:
        self.outcome: Outcome | None = None
        self.error: Exception | None = None
        self.claimed_by: str | None = None
        self.scopes: dict[str, trio.CancelScope] = {}
        self.settled = trio.Event()

    def claim(self, server_id: str) -> bool:
        """Whether this answer is the first; then the other sends end."""
        if self.claimed_by is not None:
            return False
        self.claimed_by = server_id
        for other, scope in self.scopes.items():
            if other != server_id:
                scope.cancel()
        return True


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
        service = self._split.choose(route)
        job = _Job(request=request, table=table, route=route, service=service)
        job.deadline = request.arrived + self._timeout_s(request, route)
        try:
            outcome = await self._serve(job, caller)
        except trio.Cancelled:
            self._metrics.count("request.abandoned")
            self._log(request, job, Outcome(0, "caller-gone", job.verdict))
            raise
        self._log(request, job, outcome)

    async def _serve(self, job: _Job, caller: CallerConnection) -> Outcome:
        self._budget.note_request(job.service)
        self._placement.note_request(self._demand(job))
        if not await self._read_body(job, caller):
            await caller.reply(HTTPStatus.REQUEST_TIMEOUT, (), b"the body came too slowly\n")
            return Outcome(HTTPStatus.REQUEST_TIMEOUT, "slow-body", Verdict.NOT_RUN)
        while True:
            chosen = self._choose(job)
            if isinstance(chosen, NoRoom):
                return await self._give_up(job, caller, chosen.reason)
            if job.left_s < LEAST_EXCHANGE_S:
                return await self._give_up(job, caller, "deadline")
            outcome = await self._send(job, chosen, caller)
            if outcome is not None:
                return outcome
            if not self._may_go_on(job):
                return await self._give_up(job, caller, "failed")

    async def _read_body(self, job: _Job, caller: CallerConnection) -> bool:
        """Read the body ahead; False if the caller does not send it within the deadline."""
        if not has_body(job.request.headers):
            return True
        with trio.move_on_at(job.deadline):
            job.body = await caller.read_body(READ_AHEAD_BYTES)
            return True
        return False

    def _choose(self, job: _Job) -> Choice | NoRoom:
        chosen = self._placement.choose(self._demand(job))
        if isinstance(chosen, Choice):
            job.last = chosen
        return chosen

    def _demand(self, job: _Job) -> Demand:
        key = first(job.request.headers, self._names.affinity) if job.route.sticky else None
        return Demand(
            route=job.route,
            service=job.service,
            policy=job.table.services.get(job.service),
            key=f"{job.route.prefix}{_text(key)}" if key else job.request.target,
            tried=job.tried,
            left_s=job.left_s,
            objective_left_s=job.request.arrived + job.route.objective_s - trio.current_time(),
        )

    def _may_go_on(self, job: _Job) -> bool:
        """Whether another backend server may be tried after the last send."""
        if job.left_s < LEAST_EXCHANGE_S or job.body.rest is not None:
            return False
        if job.verdict is not Verdict.NOT_RUN and not job.route.idempotent:
            return False
        if job.sends == 0:
            return len(job.tried) < MOST_UNREACHED
        return job.sends < job.route.most_attempts and self._budget.take(job.service)

    def _may_repeat(self, job: _Job) -> bool:
        """Whether another backend server could be tried beside or after those under way."""
        return (
            job.route.idempotent
            and job.sends < job.route.most_attempts
            and job.body.rest is None
            and self._budget.left(job.service) >= 1.0
        )

    async def _send(self, job: _Job, choice: Choice, caller: CallerConnection) -> Outcome | None:
        """Send it, and once more beside if the backend server is silent; None if all failed."""
        race = _Race()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._contend, race, job, choice, caller)
            sent_at = trio.current_time()
            if job.route.idempotent:
                with trio.move_on_after(self._patience_s(job)):
                    await race.settled.wait()
                second = self._second(race, job, choice, sent_at)
                if second is not None:
                    nursery.start_soon(self._contend, race, job, second, caller)
        if race.error is not None:
            raise race.error
        return race.outcome

    def _second(self, race: _Race, job: _Job, choice: Choice, sent_at: float) -> Choice | None:
        """Another backend server, if the first is silent and there is budget and room."""
        silent = self._placement.load_of(choice.entry.server_id).heard_at < sent_at
        if race.settled.is_set() or race.claimed_by or not silent or not self._may_repeat(job):
            return None
        second = self._choose(job)
        if isinstance(second, NoRoom):
            return None
        self._budget.take(job.service)
        log_event(
            "sent-beside",
            id=_text(first(job.request.headers, self._names.request_id)),
            silent=choice.entry.server_id,
            beside=second.entry.server_id,
            after_ms=round(1000 * (trio.current_time() - sent_at)),
        )
        return second

    async def _contend(
        self, race: _Race, job: _Job, choice: Choice, caller: CallerConnection
    ) -> None:
        server_id = choice.entry.server_id
        try:
            with trio.CancelScope() as scope:
                race.scopes[server_id] = scope
                outcome = await self._attempt(race, job, choice, caller)
                if outcome is not None:
                    race.outcome = outcome
        except Exception as error:  # noqa: BLE001 - a nursery would wrap it; raised by its owner
            race.error = error
            for each in race.scopes.values():
                each.cancel()
        del race.scopes[server_id]
        if not race.scopes:
            race.settled.set()

    def _patience_s(self, job: _Job) -> float:
        """How long to wait for a backend server that may be dead."""
        return max(LEAST_SILENT_S, SILENT_PART * job.left_s, job.route.objective_s)

    async def _attempt(
        self, race: _Race, job: _Job, choice: Choice, caller: CallerConnection
    ) -> Outcome | None:
        """Send it once and pass the answer on; None if there is none to pass on."""
        entry = choice.entry
        demand = self._demand(job)
        job.tried.append(entry.server_id)
        job.sends += 1
        self._placement.began(demand, entry)
        connection: BackendConnection | None = None
        began = trio.current_time()
        try:
            connection = await self._pool.acquire(entry.server_id, entry.address)
            if not self._takes_work(entry.server_id):
                raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_FAILED, "leaving")
            reply = await self._exchange(job, choice, connection)
            self._note(demand, choice, reply, trio.current_time() - began)
            job.load = first(reply.headers, self._names.load) or b""
            if not self._is_final(job, entry.server_id, reply) or not race.claim(entry.server_id):
                return None
            return await self._pass_on(reply, caller)
        except ExchangeFailed as error:
            self._note_failed(job, choice, error)
            return None
        finally:
            self._placement.ended(entry)
            if connection is not None:
                await self._pool.release(entry.server_id, connection)

    def _is_final(self, job: _Job, server_id: str, reply: BackendReply) -> bool:
        """Whether an answer is passed on, and not replaced by another backend server's."""
        if reply.not_run:
            moved = reply.status == HTTPStatus.MISDIRECTED_REQUEST
            job.fail(server_id, Verdict.NOT_RUN, "misdirected" if moved else "shed")
            return False
        failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if failed and reply.rest is None and self._may_repeat(job):
            job.fail(server_id, Verdict.RAN, f"status-{reply.status}")
            job.failed_reply = reply
            return False
        return True

    async def _exchange(
        self, job: _Job, choice: Choice, connection: BackendConnection
    ) -> BackendReply:
        sent_at = trio.current_time()
        with trio.move_on_at(job.deadline):
            return await connection.exchange(self._outgoing(job, choice.entry.server_id))
        silent = self._placement.load_of(choice.entry.server_id).heard_at < sent_at
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, FailureReason.TIMEOUT, silent=silent)

    def _note_failed(self, job: _Job, choice: Choice, error: ExchangeFailed) -> None:
        entry = choice.entry
        rest_s = 0.0
        if error.reason in _UNREACHED:
            job.sends -= 1
        if error.reason in _UNREACHED or error.silent:
            rest_s = self._placement.note_unreachable(entry)
        elif error.reason is not FailureReason.TIMEOUT:
            self._placement.note_broken(entry)
        job.fail(entry.server_id, error.verdict, error.reason)
        log_event(
            "attempt-failed",
            id=_text(first(job.request.headers, self._names.request_id)),
            server=entry.server_id,
            reason=error,
            verdict=error.verdict.value,
            silent=error.silent,
            rests_s=rest_s,
        )

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

    async def _pass_on(self, reply: BackendReply, caller: CallerConnection) -> Outcome:
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
        if job.failed_reply is not None:
            await caller.reply(
                job.failed_reply.status, job.failed_reply.headers, job.failed_reply.body
            )
            return Outcome(job.failed_reply.status, "answered", Verdict.RAN)
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
        if value is None or not DEADLINE_FORM.fullmatch(value):
            return route.timeout_s
        return min(route.timeout_s, float(value) / 1000)

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
                ",".join(f"{each.server_id}:{each.reason}" for each in job.failures)
                if job is not None
                else ""
            ),
            server=last.entry.server_id if last is not None else "",
            domain=last.entry.failure_domain if last is not None else "",
            rank=last.rank if last is not None else "",
            cached=last.cached if last is not None else "",
            expected_ms=round(1000 * last.expected.latency_s) if last is not None else "",
            occupancy=round(last.occupancy, 1) if last is not None else "",
            load=_text(job.load) if job is not None else "",
            report_age_s=round(min(last.report_age_s, 999.0), 2) if last is not None else "",
        )


def _path(target: str) -> str:
    return urlsplit(target).path if "//" in target or "?" in target else target


def _text(value: bytes | None) -> str:
    return value.decode("latin-1") if value is not None else ""

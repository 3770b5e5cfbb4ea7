"""One request from its head to the end of its reply: route, sends, verdict, answer, log line."""

import re
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Any
from urllib.parse import urlsplit

import trio

from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import LatencyKey, Metrics
from wagtailpoint.placement.choice import Choice, Declined, NoRoom
from wagtailpoint.ports.backend import Headers
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest
from wagtailpoint.proxy.headers import (
    HeaderNames,
    content_length,
    first,
    has_body,
    text,
)
from wagtailpoint.proxy.job import Job, Outcome
from wagtailpoint.proxy.sender import LEAST_EXCHANGE_S, Sender
from wagtailpoint.quarantine.quarantine import Admission, Quarantine
from wagtailpoint.routing.split import SplitChooser
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.verdict import Verdict

READ_AHEAD_BYTES = 256 * 1024
"""A body up to this size is read before anything is sent, and can be sent again."""

DEADLINE_FORM = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?")

COME_BACK_S = 0.2
"""When a refused caller may come back: about two service times later some slots have changed."""

COME_BACK_PART = 1 / 3
"""Callers honour a time to come back up to this part of what they have left."""

STARTING_COME_BACK_S = 0.5

QUARANTINED_COME_BACK_S = 60.0
"""A request that crashes backend servers will not be served before somebody has mended them."""

LONGEST_AGE_S = 999.0
"""In log lines, for reports that never came."""


class Dispatcher:
    """Serves requests."""

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        sender: Sender,
        quarantine: Quarantine,
        names: HeaderNames,
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Make it.

        Args:
            table: The routes in force; None before there are any.
            sender: Sends requests to backend servers.
            quarantine: Which requests must not be sent.
            names: The deployment's header names.
            metrics: Counts and latencies.
            random: Spreads the times to come back.
        """
        self._table = table
        self._sender = sender
        self._quarantine = quarantine
        self._names = names
        self._metrics = metrics
        self._random = random
        self._split = SplitChooser(random=random)
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

    async def handle(self, request: IncomingRequest, caller: CallerExchange) -> None:
        """Reply to a request."""
        self._open += 1
        try:
            await self._handle(request, caller)
        finally:
            self._open -= 1
            if not self._open:
                self._idle.set()

    async def _handle(self, request: IncomingRequest, caller: CallerExchange) -> None:
        table = self._table()
        if table is None:
            outcome = await self._refuse(caller, "starting", STARTING_COME_BACK_S)
            self._log(request, None, outcome, caller)
            return
        host = (first(request.headers, b"host") or b"").decode("latin-1")
        route = table.find(host, _path(request.target))
        if route is None:
            await caller.reply(HTTPStatus.NOT_FOUND, (), b"no such route\n")
            log_event(
                "no-route",
                id=text(first(request.headers, self._names.request_id)),
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
        job = Job(request=request, table=table, route=route, service=service)
        job.deadline = request.arrived + self._timeout_s(request, route)
        answered = False
        try:
            outcome = await self._serve(job, caller)
            # A backend server that gave up at the deadline may not have come to what crashes it.
            late = outcome.status == HTTPStatus.GATEWAY_TIMEOUT
            answered = outcome.verdict is Verdict.RAN and not late
        except trio.Cancelled:
            self._metrics.count("request.abandoned")
            self._log(request, job, Outcome(0, "caller-gone", job.verdict), caller)
            raise
        finally:
            self._quarantine.note_over(job.fingerprint, answered=answered)
        self._log(request, job, outcome, caller)

    async def _serve(self, job: Job, caller: CallerExchange) -> Outcome:
        self._sender.note_request(job)
        if not job.route.idempotent:
            # A caller sends again what stands behind a reply that ends the connection.
            await caller.wait_turn()
        if not await self._read_body(job, caller):
            await caller.reply(HTTPStatus.REQUEST_TIMEOUT, (), b"the body came too slowly\n")
            return Outcome(HTTPStatus.REQUEST_TIMEOUT, "slow-body", Verdict.NOT_RUN)
        while True:
            admission = self._quarantine.admission(job.fingerprint)
            if admission is Admission.QUARANTINED:
                return await self._give_up(job, caller, admission.value, QUARANTINED_COME_BACK_S)
            if admission is not Admission.ADMITTED:
                return await self._give_up(job, caller, admission.value)
            chosen = self._sender.choose(job)
            if isinstance(chosen, NoRoom):
                job.declined = chosen.declined
                return await self._give_up(job, caller, chosen.reason)
            if job.left_s < LEAST_EXCHANGE_S:
                return await self._give_up(job, caller, "deadline")
            outcome = await self._sender.send(job, chosen, caller)
            if outcome is not None:
                return outcome
            if not self._sender.may_go_on(job):
                return await self._give_up(job, caller, "failed")

    async def _read_body(self, job: Job, caller: CallerExchange) -> bool:
        """Read the body ahead; False if the caller does not send it within the deadline."""
        if not has_body(job.request.headers):
            return True
        with trio.move_on_at(job.deadline):
            job.body = await caller.read_body(READ_AHEAD_BYTES)
            return True
        return False

    async def _give_up(
        self, job: Job, caller: CallerExchange, reason: str, come_back_s: float | None = None
    ) -> Outcome:
        """The final answer, at once, of a request that got none from a backend server."""
        if job.failed_reply is not None:
            await caller.reply(
                job.failed_reply.status, job.failed_reply.headers, job.failed_reply.body
            )
            return Outcome(job.failed_reply.status, "answered", Verdict.RAN)
        if job.verdict is Verdict.NOT_RUN:
            return await self._refuse(caller, reason, come_back_s or self._come_back_s(job))
        late = job.left_s < LEAST_EXCHANGE_S
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        await caller.reply(status, (), b"no answer from a backend server\n")
        return Outcome(status, reason, job.verdict)

    async def _refuse(self, caller: CallerExchange, reason: str, come_back_s: float) -> Outcome:
        headers: Headers = [(b"retry-after", f"{come_back_s:.3f}".encode())]
        body = f"not run: {reason}\n".encode()
        await caller.reply(HTTPStatus.SERVICE_UNAVAILABLE, headers, body)
        return Outcome(HTTPStatus.SERVICE_UNAVAILABLE, reason, Verdict.NOT_RUN)

    def _come_back_s(self, job: Job) -> float:
        wanted = COME_BACK_S * self._random.uniform(0.5, 1.5)
        return max(0.0, min(wanted, COME_BACK_PART * job.left_s))

    def _timeout_s(self, request: IncomingRequest, route: HostRoute) -> float:
        """The shorter of the caller's remaining time and the route's timeout, in seconds."""
        value = first(request.headers, self._names.deadline_ms)
        if value is None or not DEADLINE_FORM.fullmatch(value):
            return route.timeout_s
        return min(route.timeout_s, float(value) / 1000)

    def _log(
        self, request: IncomingRequest, job: Job | None, outcome: Outcome, caller: CallerExchange
    ) -> None:
        elapsed_s = trio.current_time() - request.arrived
        route = job.route.name if job is not None else ""
        self._metrics.count(f"request.{outcome.result}")
        self._metrics.record_latency(
            LatencyKey("request", "", route, "", outcome.verdict.value, outcome.result), elapsed_s
        )
        fields: dict[str, Any] = {}
        if job is not None:
            fields |= {"route": route, "service": job.service, "config": job.table.version}
            fields["tried"] = ",".join(f"{each.server_id}:{each.reason}" for each in job.failures)
            fields["load"] = text(job.load)
            fields["declined"] = ",".join(map(_declined_text, job.declined))
            fields["connect_ms"] = round(1000 * job.connect_s, 1)
            fields["digest"] = job.fingerprint
        log_event(
            "request",
            id=text(first(request.headers, self._names.request_id)),
            key=text(first(request.headers, self._names.affinity)),
            status=outcome.status,
            result=outcome.result,
            verdict=outcome.verdict.value,
            ms=round(1000 * elapsed_s, 1),
            turn_ms=round(1000 * caller.waited_s, 1),
            **fields,
            **_choice_fields(job.last if job is not None else None),
        )


def _path(target: str) -> str:
    if target.startswith("/"):
        return target.partition("?")[0]
    return urlsplit(target).path


def _declined_text(declined: Declined) -> str:
    age_s = min(declined.report_age_s, LONGEST_AGE_S)
    where = f"{declined.entry.server_id}@{declined.entry.failure_domain}"
    return f"{where}:{declined.reason}:{declined.occupancy:.1f}:{age_s:.2f}s"


def _choice_fields(choice: Choice | None) -> dict[str, Any]:
    """What a choice was made by, for the log."""
    if choice is None:
        return {}
    return {
        "server": choice.entry.server_id,
        "domain": choice.entry.failure_domain,
        "rank": choice.rank,
        "cached": choice.cached,
        "expected_ms": round(1000 * choice.expected.latency_s),
        "occupancy": round(choice.occupancy, 1),
        "report_age_s": round(min(choice.report_age_s, LONGEST_AGE_S), 2),
    }

"""One request from its head to the end of its reply: route, sends, verdict, answer, log line."""

import re
from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Any, Protocol
from urllib.parse import urlsplit

import trio

from wagtailpoint.limits.allowance_sharing import SpendResult
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import LatencyKey, Metrics
from wagtailpoint.placement.choice import Choice, Declined, NotPlaced
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest
from wagtailpoint.proxy.headers import (
    HeaderNames,
    content_length,
    first,
    has_body,
    text,
)
from wagtailpoint.proxy.job import Job, Outcome
from wagtailpoint.proxy.key_check import KeyCheck
from wagtailpoint.proxy.refusal import Refusal, Refusals
from wagtailpoint.proxy.sender import LEAST_EXCHANGE_S, Sender
from wagtailpoint.quarantine.quarantine import Admission, Quarantine
from wagtailpoint.routing.access import AccessRefusal
from wagtailpoint.routing.split import SplitChooser
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import abbreviate_digest, parse_key_digest
from wagtailpoint.verdict import Verdict

READ_AHEAD_BYTES = 256 * 1024
"""A body up to this size is read before anything is sent, and can be sent again."""

DEADLINE_FORM = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,6})?")

ALLOWANCE_WAIT_PART = 0.1
"""A request waits for the next token of its workspace up to this part of its objective."""

LONGEST_AGE_S = 999.0
"""In log lines, for reports that never came."""


class Allowances(Protocol):
    """What workspaces may send, over all instances."""

    async def spend(self, workspace: str) -> SpendResult:
        """Count a request."""
        ...


class Dispatcher:
    """Serves requests."""

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        sender: Sender,
        quarantine: Quarantine,
        key_check: KeyCheck,
        allowances: Allowances,
        names: HeaderNames,
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Make it.

        Args:
            table: The routes in force; None before there are any.
            sender: Sends requests to backend servers.
            quarantine: Which requests must not be sent.
            key_check: Whose a request is, and whether it may run.
            allowances: What workspaces may send.
            names: The deployment's header names.
            metrics: Counts and latencies.
            random: Spreads the times to come back.
        """
        self._table = table
        self._sender = sender
        self._quarantine = quarantine
        self._key_check = key_check
        self._allowances = allowances
        self._names = names
        self._metrics = metrics
        self._refusals = Refusals(random=random)
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
            outcome = await self._refusals.starting().send(caller)
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
        key = parse_key_digest(request.headers)
        found = self._key_check.access(table, route, key)
        if isinstance(found, AccessRefusal):
            self._log_key_refused(request, found, key)
            outcome = await self._refusals.no_access(found).send(caller)
            self._log(request, None, outcome, caller)
            return
        if found is not None:
            route = route.for_workspace(found)
        length = content_length(request.headers)
        if length is not None and length > table.bounds.body_bytes:
            await caller.reply(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, (), b"body too long\n")
            return
        service = self._split.choose(route)
        job = Job(
            request=request, table=table, route=route, service=service, key=key, workspace=found
        )
        job.deadline = request.arrived_at + self._timeout_s(request, route)
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
            self._quarantine.record_finished(job.fingerprint, answered=answered)
        self._log(request, job, outcome, caller)

    async def _serve(self, job: Job, caller: CallerExchange) -> Outcome:
        self._sender.note_request(job)
        if not job.route.idempotent:
            # A caller sends again what stands behind a reply that ends the connection.
            await caller.wait_turn()
        if not await self._read_body(job, caller):
            await caller.reply(HTTPStatus.REQUEST_TIMEOUT, (), b"the body came too slowly\n")
            return Outcome(HTTPStatus.REQUEST_TIMEOUT, "slow-body", Verdict.NOT_RUN)
        return await self._send_until_answered(job, caller)

    async def _send_until_answered(self, job: Job, caller: CallerExchange) -> Outcome:
        while True:
            refusal = self._refusal(job)
            if refusal is not None:
                return await self._give_up(job, caller, refusal)
            chosen = self._sender.choose(job)
            if isinstance(chosen, NotPlaced):
                job.declined = chosen.declined
                return await self._give_up(job, caller, self._no_room(job, chosen.reason))
            if job.left_s < LEAST_EXCHANGE_S:
                return await self._give_up(job, caller, self._no_room(job, "deadline"))
            if not job.allowed:
                refusal = await self._spend(job)
                if refusal is not None:
                    return await self._give_up(job, caller, refusal)
                # What was chosen may have changed since.
                continue
            outcome = await self._sender.send(job, chosen, caller)
            if outcome is not None:
                return outcome
            if not self._sender.may_go_on(job):
                return await self._give_up(job, caller, self._no_room(job, "failed"))

    def _refusal(self, job: Job) -> Refusal | None:
        """Why a request must not be sent now; None if it may."""
        admission = self._quarantine.admission(job.fingerprint)
        if admission is not Admission.ADMITTED:
            return self._refusals.crashing(admission, job.left_s)
        no_access = self._key_check.refusal(job)
        if no_access is not None:
            self._log_key_refused(job.request, no_access, job.key)
            return self._refusals.no_access(no_access)
        return None

    def _no_room(self, job: Job, reason: str) -> Refusal:
        return self._refusals.no_room(reason, job.left_s)

    async def _spend(self, job: Job) -> Refusal | None:
        """Count a request against its workspace's allowance; it may wait a little for that."""
        spent = await self._allowances.spend(job.workspace_name)
        if not spent.granted and spent.wait_s <= ALLOWANCE_WAIT_PART * job.route.objective_s:
            await trio.sleep(spent.wait_s)
            spent = await self._allowances.spend(job.workspace_name)
        job.allowed = spent.granted
        if spent.granted:
            return None
        log_event(
            "allowance-refused",
            id=text(first(job.request.headers, self._names.request_id)),
            workspace=job.workspace_name,
            told=spent.told,
            config=job.table.version,
        )
        return self._refusals.over_allowance(spent, job.left_s)

    def _log_key_refused(
        self, request: IncomingRequest, refusal: AccessRefusal, key: bytes | None
    ) -> None:
        log_event(
            "key-refused",
            id=text(first(request.headers, self._names.request_id)),
            reason=refusal.value,
            key_digest=abbreviate_digest(key),
        )

    async def _read_body(self, job: Job, caller: CallerExchange) -> bool:
        """Read the body ahead; False if the caller does not send it within the deadline."""
        if not has_body(job.request.headers):
            return True
        with trio.move_on_at(job.deadline):
            job.body = await caller.read_body(READ_AHEAD_BYTES)
            return True
        return False

    async def _give_up(self, job: Job, caller: CallerExchange, refusal: Refusal) -> Outcome:
        """The final answer, at once, of a request that got none from a backend server."""
        if job.failed_reply is not None:
            await caller.reply(
                job.failed_reply.status, job.failed_reply.headers, job.failed_reply.body
            )
            return Outcome(job.failed_reply.status, "answered", Verdict.RAN)
        if job.verdict is Verdict.NOT_RUN:
            return await refusal.send(caller)
        late = job.left_s < LEAST_EXCHANGE_S
        status = HTTPStatus.GATEWAY_TIMEOUT if late else HTTPStatus.BAD_GATEWAY
        await caller.reply(status, (), b"no answer from a backend server\n")
        return Outcome(status, refusal.reason, job.verdict)

    def _timeout_s(self, request: IncomingRequest, route: HostRoute) -> float:
        """The shorter of the caller's remaining time and the route's timeout, in seconds."""
        value = first(request.headers, self._names.deadline_ms)
        if value is None or not DEADLINE_FORM.fullmatch(value):
            return route.timeout_s
        return min(route.timeout_s, float(value) / 1000)

    def _log(
        self, request: IncomingRequest, job: Job | None, outcome: Outcome, caller: CallerExchange
    ) -> None:
        elapsed_s = trio.current_time() - request.arrived_at
        route = job.route.name if job is not None else ""
        self._metrics.count(f"request.{outcome.result}")
        self._metrics.record_latency(
            LatencyKey("request", "", route, "", outcome.verdict.value, outcome.result), elapsed_s
        )
        fields: dict[str, Any] = {}
        if job is not None:
            fields |= {"route": route, "service": job.service, "config": job.table.version}
            fields["workspace"] = job.workspace_name
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

"""The entry service: processes a request from its headers to the end of its reply."""

from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import NamedTuple

import trio
from result import Err, Ok, Result

from wagtailpoint import headers as names
from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.entry import refusals
from wagtailpoint.entry.forwarding import Forwarder
from wagtailpoint.entry.gate import RequestGate
from wagtailpoint.entry.observer import CompletedRequest, EntryObserver
from wagtailpoint.entry.plan import (
    BAD_REQUEST_RETRY_AFTER_S,
    Plan,
    PlannedRequest,
    plan_request,
)
from wagtailpoint.entry.replies import send_answer, send_outcome, send_refusal
from wagtailpoint.entry.request import (
    BodyTooLarge,
    BodyTooSlow,
    CallerRequest,
    ReplySink,
    header_value,
)
from wagtailpoint.fingerprint import fingerprint
from wagtailpoint.idempotency.binding import Binding, parse_binding
from wagtailpoint.idempotency.bound_entry import BoundEntries
from wagtailpoint.idempotency.claims import Claimed, Claims, NotClaimed
from wagtailpoint.idempotency.keys import (
    BeginResult,
    Join,
    KeyStore,
    Reject,
    Replay,
    RequestKey,
    Run,
)
from wagtailpoint.idempotency.outcome import Answered, MayHaveRun, NotRun, Outcome
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import BackendResponse, BodyBroken
from wagtailpoint.verdict import Verdict

READ_AHEAD_BYTES = 64 * 1024
"""A request body is read up to this size before a slot is taken, so that a caller that sends no
body holds no slot. A body within this size can be sent again; a longer one is streamed and can't.
"""

MAX_KEYED_ANSWER_BYTES = 8 * 1024 * 1024
"""The complete answer to a keyed request is held in memory for callers that join the attempt."""

JOIN_GRACE_S = 1.0
"""Time beyond their deadline for which callers wait for an attempt they joined. An attempt that is
refused at its deadline ends slightly later, and more so in a busy process. Callers that waited only
until their deadline would be told that the request may have run."""


PlanResult = Result[Plan, Refusal]


class ReadBody(NamedTuple):
    """A request body that was read up to a size limit.

    Attributes:
        read: The part that has been read.
        rest: The rest as it arrives; None if ``read`` is the complete body.
    """

    read: bytes
    rest: AsyncIterator[bytes] | None


class EntryService:
    """Serves callers' requests, with and without idempotency keys."""

    def __init__(
        self,
        *,
        config: Callable[[], EffectiveConfig | None],
        forwarder: Forwarder,
        keys: KeyStore,
        claims: Claims,
        bound_entries: BoundEntries,
        nursery: trio.Nursery,
        gate: RequestGate,
        observer: EntryObserver,
        max_body_bytes: int,
    ) -> None:
        """Initialise the service.

        Args:
            config: Returns the configuration in force; None before there is one.
            forwarder: Forwards admitted requests to backend servers.
            keys: Stores the state of keyed requests.
            claims: Claims keys that arrive without a binding.
            bound_entries: Queries the instance to which a key is bound if it is another one.
            nursery: Runs keyed attempts. They continue after the connection of their first caller
                has closed, so that a retry finds the attempt in flight or its answer.
            gate: Counts open requests and refuses new ones while the instance stops.
            observer: Receives the events of requests.
            max_body_bytes: Maximum size of a request body.
        """
        self._config = config
        self._forwarder = forwarder
        self._keys = keys
        self._claims = claims
        self._bound_entries = bound_entries
        self._nursery = nursery
        self._gate = gate
        self._observer = observer
        self._max_body_bytes = max_body_bytes

    async def handle(self, request: CallerRequest, sink: ReplySink) -> None:
        """Reply to a request.

        Raises:
            BodyBroken: The response was truncated after the reply had begun; the connection must be
                cut.
        """
        with self._gate.counted():
            try:
                completed = await self._handle(request, sink)
            except BodyBroken as error:
                self._observer.on_reply_broken(request, str(error))
                raise
            except trio.Cancelled:
                self._observer.on_abandoned(request)
                raise
        self._observer.on_completed(request, completed)

    async def _handle(self, request: CallerRequest, sink: ReplySink) -> CompletedRequest:
        planned = self._plan(request)
        key = header_value(request.headers, names.IDEMPOTENCY_KEY)
        repeatable = isinstance(planned, Ok) and planned.ok_value.route.idempotent
        if key is not None and not repeatable:
            workspace = header_value(request.headers, names.WORKSPACE) or ""
            return await self._handle_keyed(request, RequestKey(workspace, key), sink, planned)
        if isinstance(planned, Err):
            return await send_refusal(sink, planned.err_value, None)
        return await self._handle_plain(planned.ok_value, request, sink)

    def _plan(self, request: CallerRequest) -> PlanResult:
        refusal = self._gate.refusal()
        if refusal is not None:
            return Err(refusal)
        config = self._config()
        if config is None:
            return Err(refusals.not_ready())
        if request.content_length is not None and request.content_length > self._max_body_bytes:
            return Err(refusals.too_large(self._max_body_bytes))
        return plan_request(config, request)

    async def _handle_plain(
        self, plan: Plan, request: CallerRequest, sink: ReplySink
    ) -> CompletedRequest:
        read = await self._read_body(plan.deadline, request, READ_AHEAD_BYTES)
        if isinstance(read, Err):
            return await send_refusal(sink, read.err_value, plan)
        body, rest = read.ok_value
        status = 0
        # A caller may close its connection as soon as it has the last byte, which cancels this task
        # and would count a complete reply as abandoned. The rest of the work is therefore shielded.
        whole_reply = trio.CancelScope()

        async def forward_response(response: BackendResponse) -> None:
            nonlocal status
            status = response.status
            bytes_left = int(header_value(response.headers, b"content-length") or -1)
            await sink.begin(status=status, headers=response.headers, verdict=Verdict.RAN)
            async for chunk in response.body:
                await sink.send(chunk)
                bytes_left -= len(chunk)
                if bytes_left == 0:
                    whole_reply.shield = True
            whole_reply.shield = True

        try:
            with whole_reply:
                planned = PlannedRequest(
                    plan=plan,
                    request=request,
                    body=body if rest is None else None,
                    stream=None if rest is None else _chain_body(body, rest),
                    fingerprint=_request_fingerprint(plan, request, body),
                )
                outcome = await self._forwarder.forward(planned, sink=forward_response)
        except (BodyTooLarge, BodyTooSlow) as error:
            # Part of the body has already been sent to the backend server.
            refusal = self._body_refusal(error)._replace(verdict=Verdict.MAY_HAVE_RUN)
            return await send_refusal(sink, refusal, plan)
        if isinstance(outcome, Err):
            return await send_refusal(sink, outcome.err_value, plan)
        return CompletedRequest(plan, status, Verdict.RAN, "ok")

    async def _handle_keyed(
        self, request: CallerRequest, key: RequestKey, sink: ReplySink, planned: PlanResult
    ) -> CompletedRequest:
        parsed = _parse_binding_header(request)
        if isinstance(parsed, Err):
            return await send_refusal(sink, parsed.err_value, planned.ok())
        binding = parsed.ok_value
        if isinstance(planned, Err):
            return await self._refuse_keyed(key, binding, planned.err_value, sink, None)
        plan = planned.ok_value
        read = await self._read_body(plan.deadline, request, self._max_body_bytes)
        if isinstance(read, Err):
            return await self._refuse_keyed(key, binding, read.err_value, sink, plan)
        body, _ = read.ok_value
        digest = _request_fingerprint(plan, request, body)
        begun = self._keys.begin(key, digest, binding)
        if isinstance(begun, Run):
            # The key is now in flight; the attempt finishes it in every case.
            attempted = PlannedRequest(plan, request, body, None, digest)
            self._nursery.start_soon(self._attempt, key, attempted, binding)
            begun = self._keys.begin(key, digest, binding)
        if isinstance(begun, Reject) and begun.refusal.code is RefusalCode.OTHER_INCARNATION:
            assert binding is not None
            remaining_s = self._forwarder.remaining_s(plan)
            outcome = await self._bound_entries.settle(key, binding, wait_s=remaining_s)
            if outcome is not None:
                return await send_outcome(sink, outcome, plan)
        return await self._reply_keyed(begun, plan, sink)

    async def _reply_keyed(
        self, begun: BeginResult, plan: Plan, sink: ReplySink
    ) -> CompletedRequest:
        match begun:
            case Join(attempt):
                outcome: Outcome = MayHaveRun("still in flight at the deadline")
                with trio.move_on_after(self._forwarder.remaining_s(plan) + JOIN_GRACE_S):
                    outcome = await attempt.wait()
                return await send_outcome(sink, outcome, plan)
            case Replay(answer):
                return await send_answer(sink, answer, plan)
            case Reject(refusal):
                return await send_refusal(sink, refusal, plan)
            case Run():
                raise AssertionError("a key that was just begun is in flight")

    async def _refuse_keyed(
        self,
        key: RequestKey,
        binding: Binding | None,
        refusal: Refusal,
        sink: ReplySink,
        plan: Plan | None,
    ) -> CompletedRequest:
        """Refuse a keyed request before its body is known.

        The verdict ``not-run`` requires that no other copy of the request has run or will run, so
        the key is first forbidden under this binding. Otherwise a delayed copy could run after the
        caller, relying on the refusal, has sent the request elsewhere.
        """
        if binding is None:
            return await send_refusal(sink, refusal, plan)
        outcome = self._keys.forbid(key, binding)
        match outcome:
            case NotRun():
                return await send_refusal(sink, refusal, plan)
            case None:
                uncertain = refusal._replace(verdict=Verdict.MAY_HAVE_RUN)
                return await send_refusal(sink, uncertain, plan)
            case _:
                return await send_outcome(sink, outcome, plan)

    async def _attempt(
        self, key: RequestKey, planned: PlannedRequest, binding: Binding | None
    ) -> None:
        """Run a keyed request to its end, whether or not a caller still waits for it."""
        outcome: Outcome = MayHaveRun("the attempt was cut off")
        try:
            with self._gate.counted():
                outcome = await self._run_keyed(key, planned, binding)
        except BodyBroken:
            outcome = MayHaveRun("the answer of the backend server was truncated")
        except trio.Cancelled:
            # Callers that leave don't cancel an attempt, so the process ends.
            log_event("attempt-cut", level="ERROR", workspace=key.workspace, key=key.key)
            raise
        except Exception as error:  # noqa: BLE001 - one request's error must not end the process
            log_event("internal-error", level="ERROR", where="keyed attempt", error=repr(error))
        finally:
            self._keys.finish(key, outcome)
            self._observer.on_keyed_attempt_ended(planned.request, outcome)

    async def _run_keyed(
        self, key: RequestKey, planned: PlannedRequest, binding: Binding | None
    ) -> Outcome:
        if binding is None:
            refused = await self._claim(key, planned.plan)
            if refused is not None:
                return refused
        answers: list[Answered] = []

        async def collect(response: BackendResponse) -> None:
            answers.append(await _collect_answer(response))

        outcome = await self._forwarder.forward(planned, sink=collect)
        if isinstance(outcome, Ok):
            return answers[0]
        if binding is None and outcome.err_value.verdict is Verdict.NOT_RUN:
            await self._claims.release(key)
        return _outcome_from_refusal(outcome.err_value)

    async def _claim(self, key: RequestKey, plan: Plan) -> Outcome | None:
        """Claim a key that arrived without a binding; return None if this process may run it."""
        claimed: Claimed | NotClaimed = NotClaimed(refusals.claim_timed_out(), None)
        with trio.move_on_after(self._forwarder.remaining_s(plan)):
            claimed = await self._claims.claim(key)
        if isinstance(claimed, Claimed):
            return None
        outcome: Outcome | None = None
        if claimed.holder is not None:
            # Another copy of the request holds the claim, and its answer applies to this one too.
            outcome = await self._bound_entries.await_claimed(
                key, claimed.holder["incarnation"], wait_s=self._forwarder.remaining_s(plan)
            )
        return outcome if outcome is not None else _outcome_from_refusal(claimed.refusal)

    async def _read_body(
        self, deadline: float, request: CallerRequest, max_bytes: int
    ) -> Result[ReadBody, Refusal]:
        """Read the body up to ``max_bytes`` before the deadline."""
        if request.body is None:
            return Ok(ReadBody(b"", None))
        parts = bytearray()
        with trio.move_on_after(self._forwarder.seconds_until(deadline)) as scope:
            try:
                async for part in request.body:
                    parts += part
                    if len(parts) > max_bytes:
                        return Ok(ReadBody(bytes(parts), request.body))
            except (BodyTooLarge, BodyTooSlow) as error:
                return Err(self._body_refusal(error))
        if scope.cancelled_caught:
            return Err(refusals.body_too_late())
        return Ok(ReadBody(bytes(parts), None))

    def _body_refusal(self, error: BodyTooLarge | BodyTooSlow) -> Refusal:
        if isinstance(error, BodyTooLarge):
            return refusals.too_large(self._max_body_bytes)
        return refusals.body_too_slow()


def _request_fingerprint(plan: Plan, request: CallerRequest, body: bytes) -> str:
    return fingerprint(
        method=request.method, host=plan.workspace.name, target=request.target, body=body
    )


async def _chain_body(first: bytes, rest: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    yield first
    async for part in rest:
        yield part


def _parse_binding_header(request: CallerRequest) -> Result[Binding | None, Refusal]:
    text = header_value(request.headers, names.BINDING)
    if text is None:
        return Ok(None)
    parsed = parse_binding(text)
    if isinstance(parsed, Ok):
        return Ok(parsed.ok_value)
    reason = str(parsed.err_value)
    refusal = refuse(
        HTTPStatus.BAD_REQUEST, RefusalCode.BAD_BINDING, reason, BAD_REQUEST_RETRY_AFTER_S
    )
    return Err(refusal)


async def _collect_answer(response: BackendResponse) -> Answered:
    parts = bytearray()
    async for chunk in response.body:
        if len(parts) + len(chunk) > MAX_KEYED_ANSWER_BYTES:
            # The request ran; only its answer is not stored, and retries are told so.
            return Answered(response.status, response.headers, None)
        parts += chunk
    return Answered(response.status, response.headers, bytes(parts))


def _outcome_from_refusal(refusal: Refusal) -> Outcome:
    if refusal.verdict is Verdict.NOT_RUN:
        return NotRun(refusal)
    return MayHaveRun(refusal.reason)

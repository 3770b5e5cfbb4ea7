"""Forwarding of one admitted request: slot, exchange, retry, until a response or a failure."""

import secrets
from collections.abc import AsyncIterator, Callable, Sequence
from http import HTTPStatus
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from wagtailpoint import headers as names
from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.admission.slots import ServerChoice, Slot, SlotDemand, SlotPool
from wagtailpoint.config.model import BackendServer
from wagtailpoint.entry.observer import EntryObserver
from wagtailpoint.entry.plan import Plan
from wagtailpoint.entry.request import CallerRequest, without
from wagtailpoint.ports.backend import (
    BackendFailure,
    BackendRequest,
    BackendResponse,
    Backends,
)
from wagtailpoint.ports.clock import Clock
from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.retries.policy import may_retry
from wagtailpoint.verdict import Verdict

NOT_FORWARDED = (
    names.WORKSPACE,
    names.DEADLINE_MS,
    names.BINDING,
    names.VERDICT,
    names.REQUEST_ID,
)
LEAST_EXCHANGE_S = 0.001
FAILED_RETRY_AFTER_S = 1.0


class ResponseSink(Protocol):
    """Takes the response while the exchange is open."""

    async def __call__(self, response: BackendResponse) -> None:
        """Pass the response on, whole."""
        ...


class ServerSource(Protocol):
    """Which backend servers take new work of a request, and what became of it there."""

    def pool(self, plan: Plan) -> str:
        """Names the candidates: requests with the same ones wait in one line."""
        ...

    def choice(self, plan: Plan) -> ServerChoice:
        """The choice among the backend servers that may take it."""
        ...

    def note(
        self, server: BackendServer, answered: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        """Take note of how an exchange ended; ``latency_s`` until the response's headers."""
        ...


class Attempt(NamedTuple):
    """One exchange that was made."""

    server: BackendServer
    failure: BackendFailure


class Forwarder:
    """Sends a request to backend servers until it is answered or may not be tried again."""

    def __init__(
        self,
        *,
        clock: Clock,
        backends: Backends,
        slots: SlotPool,
        servers: ServerSource,
        budget: Callable[[Plan], RetryBudget],
        observer: EntryObserver,
    ) -> None:
        self._clock = clock
        self._backends = backends
        self._slots = slots
        self._servers = servers
        self._budget = budget
        self._observer = observer

    def remaining(self, plan: Plan) -> float:
        """Seconds left until the request's deadline, never negative."""
        return self.until(plan.deadline)

    def until(self, deadline: float) -> float:
        """Seconds left until a time of the monotonic clock, never negative."""
        return max(0.0, deadline - self._clock.monotonic())

    async def forward(
        self,
        plan: Plan,
        request: CallerRequest,
        *,
        body: bytes | None,
        stream: AsyncIterator[bytes] | None,
        sink: ResponseSink,
    ) -> Result[None, Refusal]:
        """Forward a request.

        Args:
            plan: Where it goes.
            request: The request.
            body: Its whole body, when it was read before; then it may be sent again.
            stream: Else its body as it arrives, which can be sent just once.
            sink: Takes the response.

        Raises:
            BodyBroken: The response broke off after the sink had begun.
        """
        budget = self._budget(plan)
        budget.note_fresh()
        tried: list[Attempt] = []
        while True:
            admitted = await self._slots.acquire(self._demand(plan, tried))
            if isinstance(admitted, Err):
                return Err(_after_attempts(admitted.err_value, tried))
            slot = admitted.ok_value
            try:
                remaining_s = self.remaining(plan)
                if remaining_s < LEAST_EXCHANGE_S:
                    # Sent now, it would only be cut off, with an outcome that nobody knows.
                    return Err(_after_attempts(_deadline_passed(), tried))
                sent = _as_sent(plan, request, body, stream, remaining_s)
                failure = await self._exchange(slot, sent, sink)
            finally:
                self._slots.release(slot)
            if failure is None:
                return Ok(None)
            tried.append(Attempt(slot.server, failure))
            decision = may_retry(
                idempotent=plan.route.idempotent,
                verdict=failure.verdict,
                response_started=False,
                attempts=len(tried),
                remaining_s=self.remaining(plan),
                budget=budget,
            )
            # A streamed body has been read in part by the first attempt: it can't be sent again.
            again = decision.allowed and stream is None
            self._observer.failed(request, slot.server.address, failure, again=again)
            if not again:
                return Err(_failed(failure, tried))

    async def _exchange(
        self, slot: Slot, request: BackendRequest, sink: ResponseSink
    ) -> BackendFailure | None:
        began = self._clock.monotonic()
        async with self._backends.exchange(slot.server.address, request) as outcome:
            latency_s = self._clock.monotonic() - began
            match outcome:
                case Ok(response):
                    self._servers.note(slot.server, response, latency_s)
                    await sink(response)
                    return None
                case Err(failure):
                    self._servers.note(slot.server, failure, latency_s)
                    return failure

    def _demand(self, plan: Plan, tried: Sequence[Attempt]) -> SlotDemand:
        return SlotDemand(
            pool=self._servers.pool(plan),
            servers=self._servers.choice(plan),
            policy=plan.policy,
            deadline=plan.deadline,
            avoid=[attempt.server for attempt in tried],
            workspace=plan.workspace.name,
            max_rps=plan.workspace.max_rps,
            classes=plan.service.classes.values(),
            long=plan.route.bulk,
        )


def _as_sent(
    plan: Plan,
    request: CallerRequest,
    body: bytes | None,
    stream: AsyncIterator[bytes] | None,
    remaining_s: float,
) -> BackendRequest:
    return BackendRequest(
        request_id=secrets.token_hex(8),
        method=request.method,
        target=request.target,
        headers=without(request.headers, NOT_FORWARDED),
        # None and not an empty body: a GET would else be sent as chunked.
        body=_once(body) if body else stream,
        deadline_s=remaining_s,
        idempotent=plan.route.idempotent,
        echoes_request_id=plan.service.echoes_request_id,
    )


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _deadline_passed() -> Refusal:
    return Refusal(
        HTTPStatus.GATEWAY_TIMEOUT,
        RefusalCode.DEADLINE_PASSED,
        "the deadline passed before the request was sent to a backend server",
        Verdict.NOT_RUN,
        FAILED_RETRY_AFTER_S,
    )


def _after_attempts(refusal: Refusal, tried: Sequence[Attempt]) -> Refusal:
    """A refusal after failed attempts can't claim more than the attempts allow."""
    if all(attempt.failure.verdict is Verdict.NOT_RUN for attempt in tried):
        return refusal
    return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)


def _failed(failure: BackendFailure, tried: Sequence[Attempt]) -> Refusal:
    timed_out = failure.reason == "timeout"
    servers = ", ".join(f"{attempt.server.address} {attempt.failure.reason}" for attempt in tried)
    refusal = Refusal(
        HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY,
        RefusalCode.DEADLINE_PASSED if timed_out else RefusalCode.BACKEND_FAILED,
        f"no answer from a backend server: {servers}",
        failure.verdict,
        failure.retry_after_s or FAILED_RETRY_AFTER_S,
    )
    if failure.shed:
        refusal = refusal._replace(status=HTTPStatus.SERVICE_UNAVAILABLE, code=RefusalCode.NO_SLOT)
    return _after_attempts(refusal, tried)

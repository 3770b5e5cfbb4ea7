"""Forwarding of one admitted request: slot, exchange, retry, until a response or a failure."""

import secrets
from collections.abc import AsyncIterator, Callable, Sequence
from functools import partial
from http import HTTPStatus
from typing import NamedTuple, Protocol

from result import Err, Ok, Result

from wagtailpoint import headers as names
from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.admission.slots import ServerChoice, Slot, SlotDemand, SlotPool
from wagtailpoint.config.model import BackendServer
from wagtailpoint.entry.crash_evidence import CrashEvidence
from wagtailpoint.entry.hedging import BUDGET_KEPT, Copy, HedgeDelays, Race, may_hedge
from wagtailpoint.entry.observer import EntryObserver
from wagtailpoint.entry.plan import Plan, PlannedRequest
from wagtailpoint.entry.request import without_headers
from wagtailpoint.ports.backend import (
    BackendFailure,
    BackendRequest,
    BackendResponse,
    Backends,
)
from wagtailpoint.ports.clock import Clock
from wagtailpoint.quarantine.quarantine import Admission, Quarantine
from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.retries.policy import decide_retry
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
QUARANTINED_RETRY_AFTER_S = 60.0


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

    def record_outcome(
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
        quarantine: Quarantine,
        observer: EntryObserver,
    ) -> None:
        self._clock = clock
        self._backends = backends
        self._slots = slots
        self._servers = servers
        self._budget = budget
        self._quarantine = quarantine
        self._evidence = CrashEvidence(backends=backends, quarantine=quarantine, clock=clock)
        self._delays = HedgeDelays()
        self._observer = observer

    def remaining(self, plan: Plan) -> float:
        """Seconds left until the request's deadline, never negative."""
        return self.until(plan.deadline)

    def until(self, deadline: float) -> float:
        """Seconds left until a time of the monotonic clock, never negative."""
        return max(0.0, deadline - self._clock.monotonic())

    async def forward(
        self, planned: PlannedRequest, *, sink: ResponseSink
    ) -> Result[None, Refusal]:
        """Forward a request; ``sink`` takes the response.

        Raises:
            BodyBroken: The response broke off after the sink had begun.
        """
        answered = False
        try:
            outcome = await self._forward(planned, sink)
            answered = isinstance(outcome, Ok)
            return outcome
        finally:
            self._quarantine.record_finished(planned.fingerprint, answered=answered)

    async def _forward(self, planned: PlannedRequest, sink: ResponseSink) -> Result[None, Refusal]:
        plan, fingerprint = planned.plan, planned.fingerprint
        budget = self._budget(plan)
        budget.record_request()
        tried: list[Attempt] = []
        while True:
            if self._quarantine.admission(fingerprint) is Admission.QUARANTINED:
                return Err(_after_attempts(_quarantined(), tried))
            admitted = await self._slots.acquire(
                self._demand(plan, [each.server for each in tried])
            )
            if isinstance(admitted, Err):
                return Err(_after_attempts(admitted.err_value, tried))
            slot = admitted.ok_value
            # It may have waited for its slot while others like it crashed what they met.
            admission = self._quarantine.admission(fingerprint)
            if admission is not Admission.ADMITTED:
                self._slots.release(slot)
                late = admission is Admission.QUARANTINED
                return Err(_after_attempts(_quarantined() if late else _suspect(), tried))
            if self.remaining(plan) < LEAST_EXCHANGE_S:
                # Sent now, it would only be cut off, with an outcome that nobody knows.
                self._slots.release(slot)
                return Err(_after_attempts(_deadline_passed(), tried))
            send = partial(self._send, planned)
            if tried or not self._is_hedged(planned, slot):
                attempts = await self._send_one(send, slot, sink)
            else:
                attempts = await self._send_hedged(send, slot, sink, plan)
            if not attempts:
                return Ok(None)
            tried += attempts
            failure = attempts[-1].failure
            decision = decide_retry(
                idempotent=plan.route.idempotent,
                verdict=failure.verdict,
                response_started=False,
                attempts=len(tried),
                remaining_s=self.remaining(plan),
                budget=budget,
            )
            # A streamed body has been read in part by the first attempt: it can't be sent again.
            again = decision.allowed and planned.stream is None
            again = again and self._quarantine.allows_retry(fingerprint)
            for attempt in attempts:
                self._observer.on_exchange_failed(
                    planned.request, attempt.server.address, attempt.failure, again=again
                )
            if not again:
                return Err(_failed(failure, tried))

    async def _send_one(self, send: Copy, slot: Slot, sink: ResponseSink) -> list[Attempt]:
        """Send it once; return the attempt if it failed."""
        failure = await send(slot, sink)
        return [] if failure is None else [Attempt(slot.server, failure)]

    async def _send_hedged(
        self, send: Copy, slot: Slot, sink: ResponseSink, plan: Plan
    ) -> list[Attempt]:
        """Send a second copy when the first is slow; return the attempts if all failed."""
        race = Race(
            copy=send,
            sink=sink,
            second=lambda: self._second_slot(plan, slot),
            delay_s=self._delays.delay_s(slot.pool),
        )
        await race.run(slot)
        self._delays.note(slot.pool, slow=race.slow)
        if race.answered:
            return []
        return [Attempt(failed.server, failure) for failed, failure in race.failures]

    def _is_hedged(self, planned: PlannedRequest, slot: Slot) -> bool:
        if planned.stream is not None or self._quarantine.crashes(planned.fingerprint):
            return False
        # Under overload no second copy would be sent; preparing for one costs processor time.
        return may_hedge(planned.plan) and self._slots.has_idle(slot.pool)

    def _second_slot(self, plan: Plan, first: Slot) -> Slot | None:
        """A slot for a second copy; only an idle one, and out of the retry budget."""
        if not self._slots.has_idle(first.pool) or self.remaining(plan) < LEAST_EXCHANGE_S:
            return None
        if not self._budget(plan).take(reserve_fraction=BUDGET_KEPT):
            return None
        return self._slots.take_idle(self._demand(plan, [first.server]))

    async def _send(
        self, planned: PlannedRequest, slot: Slot, sink: ResponseSink
    ) -> BackendFailure | None:
        self._quarantine.record_started(planned.fingerprint)
        try:
            sent = _as_sent(planned, self.remaining(planned.plan))
            failure = await self._exchange(slot, sent, sink)
            if failure is not None:
                await self._evidence.note(planned, slot.server, failure)
            return failure
        finally:
            self._quarantine.record_ended(planned.fingerprint)
            self._slots.release(slot)

    async def _exchange(
        self, slot: Slot, request: BackendRequest, sink: ResponseSink
    ) -> BackendFailure | None:
        began = self._clock.monotonic()
        async with self._backends.exchange(slot.server.address, request) as outcome:
            latency_s = self._clock.monotonic() - began
            match outcome:
                case Ok(response):
                    self._servers.record_outcome(slot.server, response, latency_s)
                    await sink(response)
                    return None
                case Err(failure):
                    self._servers.record_outcome(slot.server, failure, latency_s)
                    return failure

    def _demand(self, plan: Plan, avoid: Sequence[BackendServer]) -> SlotDemand:
        return SlotDemand(
            pool=self._servers.pool(plan),
            servers=self._servers.choice(plan),
            policy=plan.policy,
            deadline=plan.deadline,
            avoid=avoid,
            workspace=plan.workspace.name,
            max_rps=plan.workspace.max_rps,
            classes=plan.service.classes.values(),
            long=plan.route.bulk,
        )


def _as_sent(planned: PlannedRequest, remaining_s: float) -> BackendRequest:
    plan, request = planned.plan, planned.request
    return BackendRequest(
        request_id=secrets.token_hex(8),
        method=request.method,
        target=request.target,
        headers=without_headers(request.headers, NOT_FORWARDED),
        # None and not an empty body: a GET would else be sent as chunked.
        body=_once(planned.body) if planned.body else planned.stream,
        deadline_s=remaining_s,
        idempotent=plan.route.idempotent,
        echoes_request_id=plan.service.echoes_request_id,
    )


async def _once(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _quarantined() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.QUARANTINED,
        "backend servers crashed while they ran this request; it is kept from them",
        QUARANTINED_RETRY_AFTER_S,
    )


def _suspect() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_SLOT,
        "backend servers crashed while they ran this request, and others like it are under way",
        FAILED_RETRY_AFTER_S,
    )


def _deadline_passed() -> Refusal:
    return refuse(
        HTTPStatus.GATEWAY_TIMEOUT,
        RefusalCode.DEADLINE_PASSED,
        "the deadline passed before the request was sent to a backend server",
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

"""Forwards admitted requests to backend servers, with slots, retries and hedging."""

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
from wagtailpoint.entry.crash_detector import CrashDetector
from wagtailpoint.entry.hedging import (
    BUDGET_RESERVED_FOR_RETRIES,
    HedgeDelays,
    HedgedExchange,
    SendCopy,
    may_hedge,
)
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
MIN_EXCHANGE_S = 0.001
FAILED_RETRY_AFTER_S = 1.0
QUARANTINED_RETRY_AFTER_S = 60.0


class ResponseSink(Protocol):
    """Receives the response while the exchange is open."""

    async def __call__(self, response: BackendResponse) -> None:
        """Forward the complete response."""
        ...


class ServerSource(Protocol):
    """Selects the backend servers for a request and records the outcomes of exchanges."""

    def pool(self, plan: Plan) -> str:
        """Return the name of the slot pool; requests with the same candidates share one queue."""
        ...

    def choice(self, plan: Plan) -> ServerChoice:
        """Return the choice among the backend servers that may take the request."""
        ...

    def record_outcome(
        self, server: BackendServer, answered: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        """Record the outcome of an exchange and the latency until the response headers."""
        ...


class FailedAttempt(NamedTuple):
    """An exchange that failed."""

    server: BackendServer
    failure: BackendFailure


class Forwarder:
    """Sends a request to backend servers until it is answered or must not be retried."""

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
        self._crash_detector = CrashDetector(backends=backends, quarantine=quarantine, clock=clock)
        self._hedge_delays = HedgeDelays()
        self._observer = observer

    def remaining_s(self, plan: Plan) -> float:
        """Return the seconds left until the request's deadline, at least 0."""
        return self.seconds_until(plan.deadline)

    def seconds_until(self, deadline: float) -> float:
        """Return the seconds left until a time of the monotonic clock, at least 0."""
        return max(0.0, deadline - self._clock.monotonic())

    async def forward(
        self, planned: PlannedRequest, *, sink: ResponseSink
    ) -> Result[None, Refusal]:
        """Forward a request and pass the response to ``sink``.

        Raises:
            BodyBroken: The response was truncated after the sink had been called.
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
        failed_attempts: list[FailedAttempt] = []
        while True:
            if self._quarantine.admission(fingerprint) is Admission.QUARANTINED:
                return Err(_with_attempt_verdicts(_quarantined(), failed_attempts))
            admitted = await self._slots.acquire(
                self._demand(plan, [failed.server for failed in failed_attempts])
            )
            if isinstance(admitted, Err):
                return Err(_with_attempt_verdicts(admitted.err_value, failed_attempts))
            slot = admitted.ok_value
            # Checked again: while this request waited for its slot, requests with the same
            # fingerprint may have crashed backend servers.
            admission = self._quarantine.admission(fingerprint)
            if admission is not Admission.ADMITTED:
                self._slots.release(slot)
                is_quarantined = admission is Admission.QUARANTINED
                return Err(
                    _with_attempt_verdicts(
                        _quarantined() if is_quarantined else _suspect(), failed_attempts
                    )
                )
            if self.remaining_s(plan) < MIN_EXCHANGE_S:
                # The exchange would be cut off at the deadline with an unknown outcome.
                self._slots.release(slot)
                return Err(_with_attempt_verdicts(_deadline_passed(), failed_attempts))
            send = partial(self._send, planned)
            if failed_attempts or not self._is_hedged(planned, slot):
                new_failures = await self._send_one(send, slot, sink)
            else:
                new_failures = await self._send_hedged(send, slot, sink, plan)
            if not new_failures:
                return Ok(None)
            failed_attempts += new_failures
            failure = new_failures[-1].failure
            decision = decide_retry(
                idempotent=plan.route.idempotent,
                verdict=failure.verdict,
                response_started=False,
                attempts=len(failed_attempts),
                remaining_s=self.remaining_s(plan),
                budget=budget,
            )
            # A streamed body was partly consumed by the first attempt and can't be sent again.
            again = decision.allowed and planned.stream is None
            again = again and self._quarantine.allows_retry(fingerprint)
            for attempt in new_failures:
                self._observer.on_exchange_failed(
                    planned.request, attempt.server.address, attempt.failure, again=again
                )
            if not again:
                return Err(_failed(failure, failed_attempts))

    async def _send_one(
        self, send: SendCopy, slot: Slot, sink: ResponseSink
    ) -> list[FailedAttempt]:
        """Send the request once; return the failed attempt, or an empty list on success."""
        failure = await send(slot, sink)
        return [] if failure is None else [FailedAttempt(slot.server, failure)]

    async def _send_hedged(
        self, send: SendCopy, slot: Slot, sink: ResponseSink, plan: Plan
    ) -> list[FailedAttempt]:
        """Send a hedged request if the first is slow; return the failed attempts if all failed."""
        hedged = HedgedExchange(
            send_copy=send,
            sink=sink,
            take_second_slot=lambda: self._second_slot(plan, slot),
            delay_s=self._hedge_delays.delay_s(slot.pool),
        )
        await hedged.run(slot)
        self._hedge_delays.record(slot.pool, slow=hedged.slow)
        if hedged.answered:
            return []
        return [FailedAttempt(failed.server, failure) for failed, failure in hedged.failures]

    def _is_hedged(self, planned: PlannedRequest, slot: Slot) -> bool:
        if planned.stream is not None or self._quarantine.crashes(planned.fingerprint):
            return False
        # Under overload no slot is idle, so that no hedged request could be sent, and preparing for
        # one costs processor time.
        return may_hedge(planned.plan) and self._slots.has_idle(slot.pool)

    def _second_slot(self, plan: Plan, first: Slot) -> Slot | None:
        """Take an idle slot for a hedged request, which is charged to the retry budget."""
        if not self._slots.has_idle(first.pool) or self.remaining_s(plan) < MIN_EXCHANGE_S:
            return None
        if not self._budget(plan).take(reserve_fraction=BUDGET_RESERVED_FOR_RETRIES):
            return None
        return self._slots.take_idle(self._demand(plan, [first.server]))

    async def _send(
        self, planned: PlannedRequest, slot: Slot, sink: ResponseSink
    ) -> BackendFailure | None:
        self._quarantine.record_started(planned.fingerprint)
        try:
            sent = _backend_request(planned, self.remaining_s(planned.plan))
            failure = await self._exchange(slot, sent, sink)
            if failure is not None:
                await self._crash_detector.report_if_crashed(planned, slot.server, failure)
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


def _backend_request(planned: PlannedRequest, remaining_s: float) -> BackendRequest:
    plan, request = planned.plan, planned.request
    return BackendRequest(
        request_id=secrets.token_hex(8),
        method=request.method,
        target=request.target,
        headers=without_headers(request.headers, NOT_FORWARDED),
        # With an empty iterator instead of None, a GET would be sent with chunked encoding.
        body=_single_chunk(planned.body) if planned.body else planned.stream,
        deadline_s=remaining_s,
        idempotent=plan.route.idempotent,
        echoes_request_id=plan.service.echoes_request_id,
    )


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    yield body


def _quarantined() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.QUARANTINED,
        "backend servers crashed while they ran this request; it is quarantined",
        QUARANTINED_RETRY_AFTER_S,
    )


def _suspect() -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.NO_SLOT,
        "backend servers crashed while they ran this request, and identical requests are in flight",
        FAILED_RETRY_AFTER_S,
    )


def _deadline_passed() -> Refusal:
    return refuse(
        HTTPStatus.GATEWAY_TIMEOUT,
        RefusalCode.DEADLINE_PASSED,
        "the deadline passed before the request was sent to a backend server",
        FAILED_RETRY_AFTER_S,
    )


def _with_attempt_verdicts(refusal: Refusal, failed_attempts: Sequence[FailedAttempt]) -> Refusal:
    """Return the refusal with verdict ``MAY_HAVE_RUN`` if any failed attempt may have run."""
    if all(attempt.failure.verdict is Verdict.NOT_RUN for attempt in failed_attempts):
        return refusal
    return refusal._replace(verdict=Verdict.MAY_HAVE_RUN)


def _failed(failure: BackendFailure, failed_attempts: Sequence[FailedAttempt]) -> Refusal:
    timed_out = failure.reason == "timeout"
    servers = ", ".join(
        f"{attempt.server.address} {attempt.failure.reason}" for attempt in failed_attempts
    )
    refusal = Refusal(
        HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY,
        RefusalCode.DEADLINE_PASSED if timed_out else RefusalCode.BACKEND_FAILED,
        f"no answer from a backend server: {servers}",
        failure.verdict,
        failure.retry_after_s or FAILED_RETRY_AFTER_S,
    )
    if failure.shed:
        refusal = refusal._replace(status=HTTPStatus.SERVICE_UNAVAILABLE, code=RefusalCode.NO_SLOT)
    return _with_attempt_verdicts(refusal, failed_attempts)

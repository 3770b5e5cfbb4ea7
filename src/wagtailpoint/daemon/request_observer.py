"""Records the outcome of requests in the metrics and on the timeline."""

from typing import Final

from wagtailpoint import headers as names
from wagtailpoint.entry.observer import CompletedRequest
from wagtailpoint.entry.request import CallerRequest, header_value
from wagtailpoint.idempotency.outcome import Outcome
from wagtailpoint.observe.metrics import LatencyKey, Metrics
from wagtailpoint.observe.timeline import FieldValue, Timeline
from wagtailpoint.ports.backend import BackendAddress, BackendFailure
from wagtailpoint.ports.clock import Clock

OK: Final = "ok"
MAX_TARGET_CHARACTERS = 200
MAX_ID_CHARACTERS = 100


class RequestObserver:
    """Implements ``entry.observer.EntryObserver``.

    The metrics contain the latency of every request. The timeline contains events only of keyed
    requests and of those that were refused, retried, broken off or abandoned. Each event has the
    caller's request id and key, so that a request can be traced across entries.
    """

    def __init__(self, *, metrics: Metrics, timeline: Timeline, clock: Clock) -> None:
        """Initialise the observer.

        Args:
            metrics: Receives counts and latencies.
            timeline: Receives the events of requests. Separate from the timeline of other events,
                as a burst of refusals would evict those, for example configuration changes.
            clock: Clock of this instance.
        """
        self._metrics = metrics
        self._timeline = timeline
        self._clock = clock

    def on_completed(self, request: CallerRequest, completed: CompletedRequest) -> None:
        """Record that the whole reply was sent to the caller."""
        latency_s = self._clock.monotonic() - request.arrived_at
        plan, code, verdict = completed.plan, completed.code, completed.verdict.value
        key = LatencyKey(
            "request",
            plan.workspace.name if plan is not None else "",
            plan.policy.name if plan is not None else "",
            "",
            verdict,
            code,
        )
        self._metrics.record_latency(key, latency_s)
        self._metrics.count(f"verdict.{verdict}")
        if code != OK:
            self._metrics.count(f"refusal.{code}")
        if code != OK or header_value(request.headers, names.IDEMPOTENCY_KEY) is not None:
            self._record(
                "request-answered" if code == OK else "request-refused",
                request,
                status=int(completed.status),
                code=code,
                verdict=verdict,
                took_ms=round(latency_s * 1000, 3),
            )

    def on_reply_broken(self, request: CallerRequest, reason: str) -> None:
        """Record that a reply broke off after its start was sent."""
        self._metrics.count("reply-broken")
        self._record("request-broken", request, reason=reason)

    def on_abandoned(self, request: CallerRequest) -> None:
        """Record that the caller disconnected before it had its whole reply."""
        self._metrics.count("caller-gone")
        self._record("request-abandoned", request)

    def on_exchange_failed(
        self,
        request: CallerRequest,
        server: BackendAddress,
        failure: BackendFailure,
        *,
        again: bool,
    ) -> None:
        """Record a failed exchange; ``again`` tells whether the request is retried."""
        self._metrics.count("retried" if again else "given-up")
        self._record(
            "request-retried" if again else "request-given-up",
            request,
            backend_server=str(server),
            reason=str(failure.reason),
            verdict=failure.verdict.value,
        )

    def on_keyed_attempt_ended(self, request: CallerRequest, outcome: Outcome) -> None:
        """Record the end of a keyed attempt, even if no caller waits for it."""
        self._record("attempt-ended", request, outcome=type(outcome).__name__)

    def _record(self, event: str, request: CallerRequest, **fields: FieldValue) -> None:
        self._timeline.record(
            event,
            request_id=_truncated_header(request, names.REQUEST_ID),
            key=_truncated_header(request, names.IDEMPOTENCY_KEY),
            workspace=_truncated_header(request, names.WORKSPACE),
            target=request.target[:MAX_TARGET_CHARACTERS],
            **fields,
        )


def _truncated_header(request: CallerRequest, name: bytes) -> str | None:
    value = header_value(request.headers, name)
    return None if value is None else value[:MAX_ID_CHARACTERS]

"""What becomes of the requests, in metrics and on the time line."""

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

    Every latency is counted. An event on the time line is kept for what somebody may ask about:
    each keyed request, and each one that was refused, retried, broken or abandoned. Each bears the
    caller's request id and its key, so that one request can be followed across entries.
    """

    def __init__(self, *, metrics: Metrics, timeline: Timeline, clock: Clock) -> None:
        """Make an observer.

        Args:
            metrics: Takes counts and latencies.
            timeline: Takes the events of requests. Not the one of the instance's other events:
                a flood of refusals would push a change of configuration out of it.
            clock: The instance's clock.
        """
        self._metrics = metrics
        self._timeline = timeline
        self._clock = clock

    def on_completed(self, request: CallerRequest, completed: CompletedRequest) -> None:
        """The caller has its whole reply."""
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
        """The reply broke off after it had begun."""
        self._metrics.count("reply-broken")
        self._record("request-broken", request, reason=reason)

    def on_abandoned(self, request: CallerRequest) -> None:
        """The caller went away before its reply was whole."""
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
        """One exchange gave no answer; ``again`` if the request is sent once more."""
        self._metrics.count("retried" if again else "given-up")
        self._record(
            "request-retried" if again else "request-given-up",
            request,
            backend_server=str(server),
            reason=str(failure.reason),
            verdict=failure.verdict.value,
        )

    def on_keyed_attempt_ended(self, request: CallerRequest, outcome: Outcome) -> None:
        """A keyed attempt ended, whoever still waited for it."""
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

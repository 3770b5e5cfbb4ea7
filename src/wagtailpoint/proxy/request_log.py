"""The log lines and metrics of requests."""

from typing import Any, Final

import trio

from wagtailpoint.observe.log import admits_line, log_event
from wagtailpoint.observe.metrics import LatencyKey, Metrics
from wagtailpoint.placement.choice import Choice, Declined
from wagtailpoint.placement.load_report import NORMAL_PACE
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest
from wagtailpoint.proxy.headers import HeaderNames, header_text, header_value
from wagtailpoint.proxy.request_context import Outcome, RequestContext
from wagtailpoint.proxy.stop_clock import StopClock
from wagtailpoint.routing.access import AccessRefusal
from wagtailpoint.routing.table import HostRoute, RouteTable
from wagtailpoint.routing.workspaces import abbreviate_digest
from wagtailpoint.verdict import Verdict

NOT_RUN_BUDGET: Final = "request-not-run"
"""Budget of lines on requests that were not run. While thousands are refused per second, the lines
of requests that ran must not be dropped for theirs."""

MAX_LOGGED_AGE_S: Final = 999.0
"""Logged as the age of load reports that were never received."""


class RequestLog:
    """Writes what became of requests."""

    def __init__(self, *, names: HeaderNames, metrics: Metrics, stop_clock: StopClock) -> None:
        """Initialise the log.

        Args:
            names: The deployment's header names.
            metrics: Receives counts and latencies.
            stop_clock: Measures the planned stop of this instance.
        """
        self._names = names
        self._metrics = metrics
        self._stop_clock = stop_clock

    def write(
        self,
        request: IncomingRequest,
        context: RequestContext | None,
        outcome: Outcome,
        caller: CallerExchange,
    ) -> None:
        """Write the line of a request that is over, and count it.

        Args:
            request: The head of the request.
            context: The state of its dispatch; None if it was refused before.
            outcome: How it ended.
            caller: The exchange with the caller.
        """
        elapsed_s = trio.current_time() - request.arrived_at
        route = context.route.name if context is not None else ""
        self._metrics.count(f"request.{outcome.result}")
        self._metrics.record_latency(
            LatencyKey("request", "", route, "", outcome.verdict.value, outcome.result), elapsed_s
        )
        if outcome.verdict is Verdict.NOT_RUN and not admits_line(NOT_RUN_BUDGET):
            return
        fields = self._stop_fields(request)
        if context is not None:
            fields |= {"route": route, "service": context.service, "config": context.table.version}
            fields["workspace"] = context.workspace_name
            fields["tried"] = ",".join(
                f"{failure.server_id}:{failure.reason}" for failure in context.failures
            )
            fields["load"] = header_text(context.load_report)
            fields["declined"] = ",".join(map(_format_declined, context.declined))
            fields["connect_ms"] = round(1000 * context.connect_s, 1)
            if context.room_wait_s:
                fields["room_wait_ms"] = round(1000 * context.room_wait_s, 1)
            fields["digest"] = context.fingerprint
            if context.relay:
                fields["relay"] = context.relay
        log_event(
            "request",
            id=header_text(header_value(request.headers, self._names.request_id)),
            key=header_text(header_value(request.headers, self._names.affinity)),
            status=outcome.status,
            result=outcome.result,
            verdict=outcome.verdict.value,
            ms=round(1000 * elapsed_s, 1),
            turn_ms=round(1000 * caller.waited_s, 1),
            **fields,
            **_choice_log_fields(context.last_choice if context is not None else None),
        )

    def write_refused_early(
        self, request: IncomingRequest, table: RouteTable, route: HostRoute, outcome: Outcome
    ) -> None:
        """Write the line of a request that was refused before its dispatch began, and count it."""
        elapsed_s = trio.current_time() - request.arrived_at
        self._metrics.count(f"request.{outcome.result}")
        self._metrics.count(f"request.early.{outcome.result}")
        verdict = outcome.verdict.value
        self._metrics.record_latency(
            LatencyKey("request", "", route.name, "", verdict, outcome.result), elapsed_s
        )
        if not admits_line(NOT_RUN_BUDGET):
            return
        log_event(
            "request",
            id=header_text(header_value(request.headers, self._names.request_id)),
            status=outcome.status,
            result=outcome.result,
            verdict=verdict,
            ms=round(1000 * elapsed_s, 1),
            early=True,
            route=route.name,
            config=table.version,
        )

    def _stop_fields(self, request: IncomingRequest) -> dict[str, Any]:
        """Return how long the stop has run, and had when a request arrived; nothing before."""
        if not self._stop_clock.has_begun:
            return {}
        accepted_s = self._stop_clock.running_at_s(request.arrived_at)
        return {
            "accepted_s": round(accepted_s, 3),
            "stop_s": round(self._stop_clock.running_s, 3),
        }

    def write_key_refused(
        self, request: IncomingRequest, refusal: AccessRefusal, key: bytes | None
    ) -> None:
        """Write the line of a request that may not run by the key that it carries."""
        if not admits_line(NOT_RUN_BUDGET):
            return
        log_event(
            "key-refused",
            id=header_text(header_value(request.headers, self._names.request_id)),
            reason=refusal.value,
            key_digest=abbreviate_digest(key),
        )

    def write_cut(self, context: RequestContext, caller: CallerExchange) -> None:
        """Write the line of a request that ended with the process, without a whole reply."""
        request = context.request
        log_event(
            "request-cut",
            level="ERROR",
            id=header_text(header_value(request.headers, self._names.request_id)),
            **self._stop_fields(request),
            sends=context.send_count,
            server=context.last_choice.entry.server_id if context.last_choice else "",
            reply_begun=caller.is_reply_begun,
        )


def _format_declined(declined: Declined) -> str:
    age_s = min(declined.report_age_s, MAX_LOGGED_AGE_S)
    where = f"{declined.entry.server_id}@{declined.entry.failure_domain}"
    return f"{where}:{declined.reason}:{declined.occupancy:.1f}:{age_s:.2f}s"


def _choice_log_fields(choice: Choice | None) -> dict[str, Any]:
    """Return the log fields that describe the choice of a backend server."""
    if choice is None:
        return {}
    return {
        "server": choice.entry.server_id,
        "domain": choice.entry.failure_domain,
        "rank": choice.rank,
        "cached": choice.cached,
        "expected_ms": round(1000 * choice.expected.latency_s),
        "occupancy": round(choice.occupancy, 1),
        **({"pace": round(choice.pace, 2)} if choice.pace != NORMAL_PACE else {}),
        "report_age_s": round(min(choice.report_age_s, MAX_LOGGED_AGE_S), 2),
    }

"""What the configuration says about one request, worked out before anything is spent on it."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailpoint import headers as names
from wagtailpoint.admission.refusal import Refusal, RefusalCode, refuse
from wagtailpoint.config.model import ClassPolicy, EffectiveConfig, Route, Service, Workspace
from wagtailpoint.entry.request import CallerRequest, header_value
from wagtailpoint.entry.routing import find_route

MAX_DEADLINE_DIGITS = 12

BAD_REQUEST_RETRY_AFTER_S = 60.0
"""A request that breaks the interface is as wrong a second later; come back after a change."""


class Plan(NamedTuple):
    """Where a request goes, and until when.

    Attributes:
        workspace: The caller's workspace.
        route: The route it takes.
        service: The service of the route.
        policy: Its class.
        deadline: By the monotonic clock.
        affinity: The same for the same caller and thing asked for; a move keeps together what has
            the same one.
    """

    workspace: Workspace
    route: Route
    service: Service
    policy: ClassPolicy
    deadline: float
    affinity: str = ""


class PlannedRequest(NamedTuple):
    """A request on its way to a backend server.

    Attributes:
        plan: Where it goes.
        request: The request.
        body: Its whole body, when it was read before; then it may be sent again.
        stream: Else its body as it arrives, which can be sent just once.
        fingerprint: Tells it, see ``wagtailpoint.fingerprint``.
    """

    plan: Plan
    request: CallerRequest
    body: bytes | None
    stream: AsyncIterator[bytes] | None
    fingerprint: str


def plan_request(config: EffectiveConfig, request: CallerRequest) -> Result[Plan, Refusal]:
    """Find the workspace, the route and the deadline of a request."""
    name = header_value(request.headers, names.WORKSPACE)
    workspace = config.workspaces.get(name) if name else None
    if workspace is None:
        return Err(_unknown_workspace(name))
    route = find_route(workspace, method=request.method, path=request.path)
    if route is None:
        return Err(_no_route(workspace, request))
    timeout = _timeout_s(route, request)
    if isinstance(timeout, Err):
        return timeout
    service = config.services[route.service]
    return Ok(
        Plan(
            workspace=workspace,
            route=route,
            service=service,
            policy=service.classes[route.request_class],
            deadline=request.arrived_at + timeout.ok_value,
            affinity=_affinity(request),
        )
    )


def _affinity(request: CallerRequest) -> str:
    key = header_value(request.headers, names.IDEMPOTENCY_KEY) or ""
    return f"{request.client} {request.path} {key}"


def _timeout_s(route: Route, request: CallerRequest) -> Result[float, Refusal]:
    """The shorter of the caller's remaining time and the route's timeout, in seconds."""
    text = header_value(request.headers, names.DEADLINE_MS)
    if text is None:
        return Ok(route.timeout_s)
    # Python refuses to convert thousands of digits; no caller waits for 30 years.
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return Err(_bad_deadline(text))
    return Ok(min(route.timeout_s, int(text) / 1000))


def _unknown_workspace(name: str | None) -> Refusal:
    if not name:
        reason = "given no Wagtailpoint-Workspace header, expected the name of a workspace"
        return refuse(
            HTTPStatus.BAD_REQUEST, RefusalCode.BAD_REQUEST, reason, BAD_REQUEST_RETRY_AFTER_S
        )
    # A workspace created a moment ago may not have reached this instance yet.
    return refuse(
        HTTPStatus.NOT_FOUND,
        RefusalCode.UNKNOWN_WORKSPACE,
        f"given workspace {name[:80]!r}, which is not in the configuration",
        1.0,
    )


def _no_route(workspace: Workspace, request: CallerRequest) -> Refusal:
    prefixes = ", ".join(sorted({route.prefix for route in workspace.routes}))
    return refuse(
        HTTPStatus.NOT_FOUND,
        RefusalCode.NO_ROUTE,
        f"given {request.method} {request.path[:80]}, expected a path under {prefixes}",
        BAD_REQUEST_RETRY_AFTER_S,
    )


def _bad_deadline(text: str) -> Refusal:
    return refuse(
        HTTPStatus.BAD_REQUEST,
        RefusalCode.BAD_REQUEST,
        f"given Wagtailpoint-Deadline-Ms {text[:20]!r}, expected whole milliseconds",
        BAD_REQUEST_RETRY_AFTER_S,
    )

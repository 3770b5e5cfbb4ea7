"""Plans requests: finds workspace, route, service and deadline before any resource is used."""

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
"""An invalid request stays invalid until the caller or the configuration changes."""


class Plan(NamedTuple):
    """The destination and the deadline of a request.

    Attributes:
        workspace: The caller's workspace.
        route: The route of the request.
        service: The service of the route.
        policy: The policy of the request class.
        deadline: Time of the monotonic clock, in seconds.
        affinity: Equal for requests of the same caller with the same path and idempotency key.
            During a move, requests with the same affinity go to the same group.
    """

    workspace: Workspace
    route: Route
    service: Service
    policy: ClassPolicy
    deadline: float
    affinity: str = ""


class PlannedRequest(NamedTuple):
    """A request that is ready to be sent to a backend server.

    Attributes:
        plan: The plan of the request.
        request: The caller's request.
        body: The complete body if it was read ahead, so that it can be sent again; otherwise None.
        stream: The body as it arrives if it was not read ahead; it can be sent only once.
        fingerprint: Identifies equal requests, see ``wagtailpoint.fingerprint``.
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
    """Return the shorter of the caller's remaining time and the route's timeout, in seconds."""
    text = header_value(request.headers, names.DEADLINE_MS)
    if text is None:
        return Ok(route.timeout_s)
    # ``int`` raises ValueError for more than 4300 digits; 12 digits allow for 30 years.
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return Err(_bad_deadline(text))
    return Ok(min(route.timeout_s, int(text) / 1000))


def _unknown_workspace(name: str | None) -> Refusal:
    if not name:
        reason = "given no Wagtailpoint-Workspace header, expected the name of a workspace"
        return refuse(
            HTTPStatus.BAD_REQUEST, RefusalCode.BAD_REQUEST, reason, BAD_REQUEST_RETRY_AFTER_S
        )
    # A new workspace may not have reached this instance yet, so the caller may retry soon.
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

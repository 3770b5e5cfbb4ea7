"""Headers of an exchange with a backend server: forwarding, additions, and response metadata."""

from collections.abc import Iterable

from wagtailpoint.ports.backend import BackendAddress, BackendRequest, Headers
from wagtailpoint.proxy.headers import HOP_BY_HOP
from wagtailpoint.untrusted_input import parse_count

REQUEST_ID_HEADER = b"wagtailpoint-request-id"
DEADLINE_HEADER = b"wagtailpoint-deadline-ms"
SHED_HEADER = b"wagtailpoint-shed"
DRAINING_HEADER = b"wagtailpoint-draining"
LIMIT_HEADER = b"wagtailpoint-limit"
SHED_NOT_RUN = b"not-run"

RESPONSE_MARGIN_S = 0.005
"""Subtracted from the forwarded deadline, in seconds, so that a response sent just before the
deadline still arrives in time."""

OWN_REQUEST_HEADERS = frozenset((REQUEST_ID_HEADER, DEADLINE_HEADER, b"expect"))
"""Not forwarded: set anew for each exchange, or, as ``Expect``, handled by the entry itself."""


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a lower-case name; None if it is absent."""
    return next((value for key, value in headers if key.lower() == name), None)


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers without the hop-by-hop ones (RFC 9110, section 7.6.1)."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    dropped = HOP_BY_HOP | named
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def request_headers(
    server: BackendAddress, request: BackendRequest, *, remaining_s: float
) -> list[tuple[bytes, bytes]]:
    """Return the headers of the request that is sent to a backend server.

    Args:
        server: The receiving backend server.
        request: The request to forward.
        remaining_s: Time until the request's deadline, in seconds.
    """
    headers = _without(end_to_end(request.headers), OWN_REQUEST_HEADERS)
    if first_value(headers, b"host") is None:
        headers.insert(0, (b"Host", str(server).encode()))
    if request.body is None:
        headers = _without(headers, (b"content-length",))
        if request.method in ("POST", "PUT", "PATCH"):
            headers.append((b"Content-Length", b"0"))
    elif first_value(headers, b"content-length") is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    deadline_ms = max(1, int((remaining_s - RESPONSE_MARGIN_S) * 1000))
    headers.append((b"Wagtailpoint-Deadline-Ms", str(deadline_ms).encode()))
    headers.append((b"Wagtailpoint-Request-Id", request.request_id.encode()))
    return headers


def matches_request(headers: Headers, request: BackendRequest, *, must_echo: bool) -> bool:
    """Return whether the response belongs to the request, judged by the echoed request id."""
    echoed = first_value(headers, REQUEST_ID_HEADER)
    if echoed is None:
        return not must_echo
    return echoed == request.request_id.encode()


def retry_after_s(headers: Headers) -> float | None:
    """Return the value of ``Retry-After`` in seconds; None if it is absent or a date."""
    return parse_count(first_value(headers, b"retry-after") or b"")


def is_draining(headers: Headers) -> bool:
    """Return whether the headers announce that the backend server is draining."""
    return first_value(headers, DRAINING_HEADER) == b"1"


def _without(headers: Headers, names: Iterable[bytes]) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name.lower() not in names]

"""The headers of an exchange: what is passed on, what is added, what an answer says of itself."""

from collections.abc import Iterable

from wagtailpoint.ports.backend import BackendAddress, BackendRequest, Headers
from wagtailpoint.proxy.headers import HOP_BY_HOP

REQUEST_ID_HEADER = b"wagtailpoint-request-id"
DEADLINE_HEADER = b"wagtailpoint-deadline-ms"
SHED_HEADER = b"wagtailpoint-shed"
DRAINING_HEADER = b"wagtailpoint-draining"
SHED_NOT_RUN = b"not-run"

RETURN_ALLOWANCE_S = 0.005
"""Taken off the deadline that is passed on, in seconds, so that an answer made in the last moment
still arrives in time."""

OWN_REQUEST_HEADERS = frozenset((REQUEST_ID_HEADER, DEADLINE_HEADER, b"expect"))
"""Made new for each exchange, or, for ``Expect``, answered by the entry itself."""


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """The value of a header, by its name in lower case; None if it is absent."""
    return next((value for key, value in headers if key.lower() == name), None)


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """The headers without those that belong to one connection (RFC 9110, section 7.6.1)."""
    named: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(token.strip().lower() for token in value.split(b","))
    dropped = HOP_BY_HOP | named
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def request_headers(
    server: BackendAddress, request: BackendRequest, *, remaining_s: float
) -> list[tuple[bytes, bytes]]:
    """The headers to send.

    Args:
        server: Who it is sent to.
        request: The request.
        left_s: Seconds left until its deadline.
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
    deadline_ms = max(1, int((remaining_s - RETURN_ALLOWANCE_S) * 1000))
    headers.append((b"Wagtailpoint-Deadline-Ms", str(deadline_ms).encode()))
    headers.append((b"Wagtailpoint-Request-Id", request.request_id.encode()))
    return headers


def matches_request(headers: Headers, request: BackendRequest, *, must_echo: bool) -> bool:
    """Whether a response answers this request, as far as its request id tells."""
    echoed = first_value(headers, REQUEST_ID_HEADER)
    if echoed is None:
        return not must_echo
    return echoed == request.request_id.encode()


def retry_after_s(headers: Headers) -> float | None:
    """The seconds of ``Retry-After``; None if it is absent or a date."""
    value = first_value(headers, b"retry-after")
    return float(value) if value is not None and value.isdigit() else None


def is_draining(headers: Headers) -> bool:
    """Whether the backend server said that it is leaving."""
    return first_value(headers, DRAINING_HEADER) == b"1"


def has_delimited_body(method: str, status: int, headers: Headers) -> bool:
    """Whether the end of a response's body can be told from a broken connection."""
    if method == "HEAD" or status in (204, 304):
        return True
    names = {name.lower() for name, _ in headers}
    return b"content-length" in names or b"transfer-encoding" in names


def _without(headers: Headers, names: Iterable[bytes]) -> list[tuple[bytes, bytes]]:
    return [(name, value) for name, value in headers if name.lower() not in names]

"""Reading and filtering of HTTP headers, and the configurable names of a deployment's headers."""

from collections.abc import Iterable
from typing import NamedTuple

from wagtailpoint.ports.backend import Headers

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class HeaderNames(NamedTuple):
    """The names of a deployment's own headers, in lower case.

    Attributes:
        request_id: The caller's id of a request; a backend server echoes it in its response.
        deadline_ms: The time until the caller's deadline, in milliseconds.
        affinity: The affinity key, equal for requests that concern the same object.
        expected_server: The id of the backend server to which a request is sent.
        load: A backend server's load report: running requests, waiting requests and slots.
        limit: The requests a second that a backend server takes from all instances together.
        leaving: ``1`` in all responses of a backend server that leaves.
        not_run: Present in a response if the backend server did not run the request.
        cold_ms: The time for which a backend server stays cold, in milliseconds.
        workspace: The workspace of a request, for backend servers; a caller's value is dropped.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity: bytes
    expected_server: bytes
    load: bytes
    limit: bytes
    leaving: bytes
    not_run: bytes
    cold_ms: bytes
    workspace: bytes


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given its name in lower case; None if it is absent."""
    # Called some 30 times per request; a generator takes several times as long.
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end_headers(
    headers: Headers, also_drop: Iterable[bytes] = ()
) -> list[tuple[bytes, bytes]]:
    """Return the headers without hop-by-hop (RFC 9110, section 7.6.1) and framing headers."""
    dropped = HOP_BY_HOP | FRAMING_HEADERS | frozenset(also_drop)
    for name, value in headers:
        if name == b"connection":
            dropped |= {token.strip().lower() for token in value.split(b",")}
    return [(name, value) for name, value in headers if name not in dropped]


def content_length(headers: Headers) -> int | None:
    """Return the value of ``Content-Length``; None if it is absent or not a number."""
    value = header_value(headers, b"content-length")
    return int(value) if value is not None and value.isdigit() else None


def has_body(headers: Headers) -> bool:
    """Whether a request has a body."""
    return header_value(headers, b"transfer-encoding") is not None or bool(content_length(headers))


def header_text(value: bytes | None) -> str:
    """Decode a header value; return an empty string if it is None."""
    return value.decode("latin-1") if value is not None else ""

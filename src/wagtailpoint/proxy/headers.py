"""Headers of requests and responses, independent of how a deployment names its own."""

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
    """What a deployment calls its own headers, in lower case.

    Attributes:
        request_id: The caller's id of a request; a backend server repeats it in its response.
        deadline_ms: Milliseconds until the caller gives up.
        affinity: The same for requests that concern the same object.
        expected_server: The id of the backend server that a request is meant for.
        load: A backend server's running and waiting requests and its slots.
        not_run: In a response: the backend server did not run the request.
        cold_ms: How much longer a backend server stays cold, in milliseconds.
        workspace: Tells a backend server whose request it is; what a caller sends there is dropped.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity: bytes
    expected_server: bytes
    load: bytes
    not_run: bytes
    cold_ms: bytes
    workspace: bytes


def header_value(headers: Headers, name: bytes) -> bytes | None:
    """The value of a header, by its name in lower case; None if it is absent."""
    return next((value for key, value in headers if key == name), None)


def end_to_end_headers(
    headers: Headers, also_drop: Iterable[bytes] = ()
) -> list[tuple[bytes, bytes]]:
    """The headers without those of one connection (RFC 9110, section 7.6.1) and of framing."""
    dropped = HOP_BY_HOP | FRAMING_HEADERS | frozenset(also_drop)
    for name, value in headers:
        if name == b"connection":
            dropped |= {token.strip().lower() for token in value.split(b",")}
    return [(name, value) for name, value in headers if name not in dropped]


def content_length(headers: Headers) -> int | None:
    """The length that a message promises; None if it does not say one."""
    value = header_value(headers, b"content-length")
    return int(value) if value is not None and value.isdigit() else None


def has_body(headers: Headers) -> bool:
    """Whether a request has a body."""
    return header_value(headers, b"transfer-encoding") is not None or bool(content_length(headers))


def header_text(value: bytes | None) -> str:
    """The value of a header as text; empty if it is absent."""
    return value.decode("latin-1") if value is not None else ""

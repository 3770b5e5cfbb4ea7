"""Callers' requests and the sinks for their replies, independent of the HTTP library."""

from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, Protocol

from wagtailpoint.ports.backend import Headers
from wagtailpoint.verdict import Verdict


class CallerRequest(NamedTuple):
    """A received request.

    Attributes:
        method: For example ``GET``.
        path: The decoded path, for routing.
        target: Path and query as received, for the backend server.
        headers: All headers, with names in lower case.
        content_length: The announced length of the body, in bytes; None if absent.
        body: The body as it arrives; None if there is none.
        arrived_at: Time of the monotonic clock at which the headers were complete, in seconds.
        client: The IP number of the caller's end of the connection; empty if unknown.
    """

    method: str
    path: str
    target: str
    headers: Headers
    content_length: int | None
    body: AsyncIterator[bytes] | None
    arrived_at: float
    client: str = ""


class ReplySink(Protocol):
    """Sends the reply to one request.

    If an exception ends the reply after ``begin``, the connection is cut, so that the caller never
    takes a truncated body for a complete one.
    """

    async def begin(self, *, status: int, headers: Headers, verdict: Verdict) -> None:
        """Send status and headers."""
        ...

    async def send(self, data: bytes) -> None:
        """Send a part of the body, waiting while the caller reads slowly."""
        ...


class BodyTooLarge(Exception):
    """A request body exceeds the limit in this instance's settings."""


class BodyTooSlow(Exception):
    """A caller sends its request body too slowly or not at all."""


def header_value(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, given its name in lower case; None if it is absent."""
    for known, value in headers:
        if known == name:
            return value.decode("latin-1")
    return None


def without_headers(headers: Headers, names: Sequence[bytes]) -> list[tuple[bytes, bytes]]:
    """Return the headers whose names are not among ``names``."""
    return [(name, value) for name, value in headers if name not in names]

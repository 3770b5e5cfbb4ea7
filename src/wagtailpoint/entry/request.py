"""A caller's request and where its reply goes, independent of the HTTP library."""

from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple, Protocol

from wagtailpoint.ports.backend import Headers
from wagtailpoint.verdict import Verdict


class CallerRequest(NamedTuple):
    """A request as it arrived.

    Attributes:
        method: For example ``GET``.
        path: The decoded path, for routing.
        target: Path and query as they were written, for the backend server.
        headers: All headers, names in lower case.
        content_length: What the caller promised, in bytes; None when not said.
        body: The body as it arrives, or None when there is none.
        arrived_at: When its headers were complete, by the monotonic clock.
        client: The IP number at the other end of the connection; empty if not known.
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
    """Where the reply to one request goes.

    A reply that ends by an exception after ``begin`` is cut off visibly: the caller never takes a
    short body for a whole one.
    """

    async def begin(self, *, status: int, headers: Headers, verdict: Verdict) -> None:
        """Send status and headers."""
        ...

    async def send(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly."""
        ...


class BodyTooLarge(Exception):
    """A request body over the limit of this instance's settings."""


class BodyTooSlow(Exception):
    """A request body that its caller sends too slowly, or not at all."""


def header_value(headers: Headers, name: bytes) -> str | None:
    """The first value of a header, or None; ``name`` is in lower case."""
    for known, value in headers:
        if known == name:
            return value.decode("latin-1")
    return None


def without_headers(headers: Headers, names: Sequence[bytes]) -> list[tuple[bytes, bytes]]:
    """The headers whose names are not among ``names``."""
    return [(name, value) for name, value in headers if name not in names]

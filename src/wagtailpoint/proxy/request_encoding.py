"""The encoding of requests to backend servers in HTTP/1.1."""

from collections.abc import AsyncIterator
from typing import NamedTuple

import h11

from wagtailpoint.ports.backend import Headers


class OutgoingRequest(NamedTuple):
    """A request to send to a backend server.

    Attributes:
        request_id: The caller's id; the response must echo it.
        method: For example ``GET``.
        target: Path and query, unchanged.
        headers: The headers without framing headers.
        body: The part of the body that has been read.
        rest: The rest of the body as it arrives; None if ``body`` is complete.
        body_bytes: The length of the complete body; None if unknown. Used only if ``rest`` is set.
    """

    request_id: bytes
    method: str
    target: str
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None = None
    body_bytes: int | None = None


def encode_head(request: OutgoingRequest) -> tuple[h11.Connection, bytes]:
    """Return the head of a request, and the encoder of its body."""
    encoder = h11.Connection(h11.CLIENT)
    head = encoder.send(
        h11.Request(
            method=request.method,
            target=request.target,
            headers=[*request.headers, *_framing_headers(request)],
        )
    )
    return encoder, head or b""


def _framing_headers(request: OutgoingRequest) -> list[tuple[bytes, bytes]]:
    if request.rest is not None:
        if request.body_bytes is None:
            return [(b"transfer-encoding", b"chunked")]
        return [(b"content-length", str(request.body_bytes).encode())]
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        return [(b"content-length", str(len(request.body)).encode())]
    return []

"""The TCP stream below httpcore, which records whether a request may have been sent."""

import socket
from ssl import SSLContext
from typing import Any

import httpcore
import trio

from wagtailpoint.adapters.checked_network import feed_checked
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.response_head import HeadCheck
from wagtailpoint.tcp_options import set_liveness_options


class RecordingStream(httpcore.AsyncNetworkStream):
    """A plain TCP stream that records whether the current request may have been sent.

    httpcore ignores a failed write and goes on reading, and its trace events start before the
    headers are encoded, so neither shows whether a request was sent. The ``timeout`` arguments are
    part of httpcore's interface and unused: cancel scopes around the whole exchange enforce the
    deadlines.
    """

    def __init__(self, *, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._may_have_sent = False
        self._closed_by_peer = False
        self._response_began = False
        self._head_check = HeadCheck()

    @property
    def closed_before_response(self) -> bool:
        """Whether the peer closed the connection before any byte of the current response."""
        return self._closed_by_peer and not self._response_began

    @property
    def closed_by_peer(self) -> bool:
        """Whether the peer closed or reset the connection."""
        return self._closed_by_peer

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the current request may have been written to the socket."""
        return self._may_have_sent

    def start_request(self) -> None:
        """Reset the state of the previous request."""
        self._may_have_sent = False
        self._response_began = False
        self._head_check = HeadCheck()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:  # noqa: ASYNC109
        """Read up to ``max_bytes`` bytes; no bytes mean the end of the stream.

        Raises:
            httpcore.ReadError: The connection was reset.
            httpcore.RemoteProtocolError: What arrived is no head of a response.
        """
        try:
            data = await self._stream.receive_some(max_bytes)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._closed_by_peer = True
            raise httpcore.ReadError(str(error)) from error
        self._closed_by_peer = not data
        self._response_began = self._response_began or bool(data)
        feed_checked(self._head_check, data)
        return bytes(data)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:  # noqa: ASYNC109
        """Write the whole buffer."""
        if not buffer:
            return
        # Set before the write: one that fails or is cancelled half-way has sent bytes too, and a
        # `not-run` after that would let a release be paid twice.
        self._may_have_sent = True
        try:
            await self._stream.send_all(buffer)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,  # noqa: ASYNC109
    ) -> httpcore.AsyncNetworkStream:
        """Raise NotImplementedError: backend servers are reached over plain TCP."""
        raise NotImplementedError("backend servers are reached over plain TCP")

    def get_extra_info(self, info: str) -> Any:
        """Return whether the socket is readable, by which httpcore detects closed connections."""
        return self._stream.socket.is_readable() if info == "is_readable" else None


async def connect(server: BackendAddress) -> RecordingStream:
    """Open a connection to a backend server.

    Raises:
        OSError: The backend server refused the connection or can't be reached.
    """
    family = socket.AF_INET6 if ":" in server.address else socket.AF_INET
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        set_liveness_options(sock)
        await sock.connect((server.address, server.port))
    except BaseException:
        sock.close()
        raise
    return RecordingStream(stream=trio.SocketStream(sock))

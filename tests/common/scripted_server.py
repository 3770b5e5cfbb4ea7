"""A TCP server that serves each connection with a script of the test."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import trio

from tests.common.sockets import loopback_address
from wagtailpoint.ports.backend import BackendAddress

Script = Callable[["ScriptedStream"], Awaitable[None]]


class ScriptedStream:
    """The server side of a connection: receives whole requests and sends any bytes."""

    def __init__(self, *, stream: trio.SocketStream) -> None:
        self.stream = stream
        self._buffer = b""

    async def request(self) -> bytes:
        """Read one request with head and body; return nothing at the end of the connection."""
        while b"\r\n\r\n" not in self._buffer:
            if not await self._more():
                return b""
        head, _, rest = self._buffer.partition(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        while len(rest) < length:
            if not await self._more():
                break
            rest = self._buffer.partition(b"\r\n\r\n")[2]
        self._buffer = rest[length:]
        return head + b"\r\n\r\n" + rest[:length]

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        await self.stream.send_all(data)

    async def _more(self) -> bool:
        data = await self.stream.receive_some(65536)
        self._buffer += data
        return bool(data)


def response(body: bytes, *headers: str, status: str = "200 OK") -> bytes:
    """Encode a response with a content length."""
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@asynccontextmanager
async def scripted_server(script: Script) -> AsyncIterator[BackendAddress]:
    """Serve every connection with ``script`` while the context is active."""
    address = loopback_address()
    listeners = await trio.open_tcp_listeners(0, host=address)
    port = listeners[0].socket.getsockname()[1]

    async def serve(stream: trio.SocketStream) -> None:
        async with stream:
            try:
                await script(ScriptedStream(stream=stream))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield BackendAddress(address, port)
        nursery.cancel_scope.cancel()

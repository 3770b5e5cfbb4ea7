"""A small HTTP server on h11 whose application can close a connection without an answer.

ASGI servers do not let an application do this. It simulates a write that took effect although its
answer was lost, which is the most important fault of writes.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import msgspec
import trio

_CHUNK_BYTES = 65536


class Call(NamedTuple):
    """A request."""

    method: str
    path: Sequence[str]
    query: dict[str, list[str]]
    body: bytes

    def number(self, name: str) -> float:
        """Return a number from the query, or 0 if it is absent."""
        return float(self.query.get(name, ["0"])[0])


class Answer(NamedTuple):
    """A response."""

    status: int
    value: Any
    headers: Sequence[tuple[str, str]] = ()


class NoAnswer(Exception):
    """Raised by the application to close the connection without an answer."""


async def receive(connection: h11.Connection, stream: trio.SocketStream) -> Call | None:
    """Read the next request of a connection; return None if the client closed it."""
    request: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(_CHUNK_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and request is not None:
            url = urlsplit(request.target.decode())
            path = [unquote(part) for part in url.path.strip("/").split("/")]
            return Call(request.method.decode(), path, parse_qs(url.query), bytes(body))
        else:
            return None


async def send(connection: h11.Connection, stream: trio.SocketStream, answer: Answer) -> None:
    """Send one response."""
    body = msgspec.json.encode(answer.value)
    headers = [*answer.headers, ("Content-Length", str(len(body)))]
    head = connection.send(h11.Response(status_code=answer.status, headers=headers)) or b""
    payload = connection.send(h11.Data(data=body)) or b""
    await stream.send_all(head + payload + (connection.send(h11.EndOfMessage()) or b""))


async def serve(answer: Callable[[Call], Awaitable[Answer]], stream: trio.SocketStream) -> None:
    """Serve one connection."""
    connection = h11.Connection(h11.SERVER)
    async with stream:
        try:
            while call := await receive(connection, stream):
                await send(connection, stream, await answer(call))
                if connection.our_state is not h11.DONE:
                    return
                connection.start_next_cycle()
        except (NoAnswer, trio.BrokenResourceError, h11.ProtocolError):
            return

"""Generated request streams: each request gets exactly one complete reply, in order."""

import socket
import unittest
from collections.abc import Iterator
from typing import NamedTuple

import h11
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loguru import logger

from wagtailpoint.proxy.caller_connection import CallerConnection
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest
from wagtailpoint.routing.table import DEFAULT_CALLER_BOUNDS

LIMIT_S = 10
READ_AHEAD_BYTES = 64
"""Small, so that many bodies exceed it and their rest stays unread."""

STATUSES = (200, 204, 304, 404, 503)


class Sent(NamedTuple):
    """A generated request and its reply.

    Attributes:
        method: The method of the request.
        body: The body of the request; None if it has none.
        chunked: Whether the body is sent with chunked encoding instead of a length.
        status: The status of the reply.
        parts: The parts of the reply's body.
        streamed: Whether the parts of the reply are sent separately.
        reads: Whether the handler reads the complete request before it replies.
    """

    method: str
    body: bytes | None
    chunked: bool
    status: int
    parts: list[bytes]
    streamed: bool
    reads: bool

    def written(self, number: int) -> bytes:
        """Return the encoded request."""
        body = self.body or b""
        framing = ""
        if self.body is not None and self.chunked:
            framing = "Transfer-Encoding: chunked\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
        elif self.body is not None:
            framing = f"Content-Length: {len(body)}\r\n"
        return f"{self.method} /{number} HTTP/1.1\r\nHost: h\r\n{framing}\r\n".encode() + body


def requests() -> st.SearchStrategy[Sent]:
    bodies = st.none() | st.binary(max_size=200)
    return st.builds(
        Sent,
        method=st.sampled_from(("GET", "HEAD", "POST")),
        body=bodies,
        chunked=st.booleans(),
        status=st.sampled_from(STATUSES),
        parts=st.lists(st.binary(min_size=1, max_size=100), max_size=3),
        streamed=st.booleans(),
        reads=st.booleans(),
    )


def pieces(data: bytes, cuts: list[int]) -> Iterator[bytes]:
    places = sorted({cut % (len(data) + 1) for cut in cuts} | {0, len(data)})
    for start, end in zip(places, places[1:], strict=False):
        yield data[start:end]


class Replies:
    """Reads replies like a client, which knows the methods of the requests it sent."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._left = b""

    async def next(self, method: str) -> tuple[int, bytes, bool]:
        """Return status and body of the next reply, and whether it ends the connection."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=method, target="/", headers=[("host", "h")]))
        parser.send(h11.EndOfMessage())
        if self._left:
            parser.receive_data(self._left)
        status, body = 0, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(bytes(await self._stream.receive_some(4096)))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            else:
                break
        self._left = parser.trailing_data[0]
        return status, body, parser.their_state is h11.MUST_CLOSE


class CallerStreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    @settings(
        max_examples=150,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.lists(requests(), min_size=1, max_size=6),
        st.lists(st.integers(0, 5000), max_size=12),
    )
    def test_each_request_gets_its_reply(self, sent: list[Sent], cuts: list[int]) -> None:
        """Each request gets its reply, however the stream is split and however much is read.

        A reply may announce the end of the connection. Requests after it then count as unread, and
        callers send them again.
        """
        trio.run(self._exchange, sent, cuts)

    async def _exchange(self, sent: list[Sent], cuts: list[int]) -> None:
        here, there = socket.socketpair()
        for end in (here, there):
            end.setblocking(False)
        client = trio.SocketStream(trio.socket.from_stdlib_socket(here))
        connection = CallerConnection(
            stream=trio.SocketStream(trio.socket.from_stdlib_socket(there)),
            handler=lambda request, caller: self._handle(sent, request, caller),
            bounds=lambda: DEFAULT_CALLER_BOUNDS,
            is_leaving=lambda: False,
        )
        data = b"".join(request.written(number) for number, request in enumerate(sent))
        async with client:
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.run)
                    nursery.start_soon(self._send, client, list(pieces(data, cuts)))
                    await self._check_replies(client, sent)
                    nursery.cancel_scope.cancel()

    async def _send(self, client: trio.SocketStream, parts: list[bytes]) -> None:
        try:
            for part in parts:
                await client.send_all(part)
                await trio.lowlevel.checkpoint()
        except trio.BrokenResourceError:
            return

    async def _handle(
        self, sent: list[Sent], request: IncomingRequest, caller: CallerExchange
    ) -> None:
        expected = sent[int(request.target[1:])]
        self.assertEqual(request.method, expected.method)
        if expected.reads:
            body = await caller.read_body(READ_AHEAD_BYTES)
            read = body.read
            if body.rest is not None:
                read += b"".join([part async for part in body.rest])
            self.assertEqual(read, expected.body or b"")
        whole = b"".join(expected.parts)
        if not expected.streamed:
            await caller.reply(expected.status, (), whole)
            return
        await caller.begin(expected.status, [(b"transfer-encoding", b"chunked")])
        for part in expected.parts:
            await caller.send(part)
        await caller.finish()

    async def _check_replies(self, client: trio.SocketStream, sent: list[Sent]) -> None:
        replies = Replies(client)
        for expected in sent:
            status, body, ends = await replies.next(expected.method)
            bears_none = expected.method == "HEAD" or expected.status in (204, 304)
            whole = b"" if bears_none else b"".join(expected.parts)
            self.assertEqual((status, body), (expected.status, whole))
            if ends:
                self.assertFalse(
                    expected.reads, "a request that was read must not end the connection"
                )
                return

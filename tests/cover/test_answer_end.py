"""Ends of connections that are no end of an answer without a length."""

import socket
import unittest
from collections.abc import AsyncIterator
from typing import cast

import trio

from tests.common.reset_streams import ResetMetBySend
from tests.common.scripted_server import ScriptedStream, scripted_server
from tests.common.sockets import reset_connection
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.backend import BodyBroken, FailureReason
from wagtailpoint.proxy.backend_connection import (
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_INLINE_REQUEST_BYTES,
    BackendConnection,
    BackendReply,
    ExchangeFailed,
)
from wagtailpoint.proxy.backend_dialer import open_stream
from wagtailpoint.proxy.request_encoding import OutgoingRequest
from wagtailpoint.verdict import Verdict

LIMIT_S = 20
EARLY_ANSWERS = 200
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n\r\n"
LONG = b"x" * (MAX_INLINE_REQUEST_BYTES + 1)


async def in_parts() -> AsyncIterator[bytes]:
    for _ in range(3):
        yield LONG


def outgoing(body: bytes, rest: AsyncIterator[bytes] | None = None) -> OutgoingRequest:
    headers = [(b"host", b"h"), (b"x-attempt-id", b"a1")]
    return OutgoingRequest(b"a1", "POST", "/x", headers, body, rest)


async def exchange_on(
    stream: trio.SocketStream, request: OutgoingRequest
) -> BackendReply | ExchangeFailed:
    connection = BackendConnection(stream=stream, names=HEADER_NAMES)
    try:
        return await connection.exchange(request)
    except ExchangeFailed as error:
        return error


class EndAfterFailedSendTest(unittest.TestCase):
    def exchange(self, request: OutgoingRequest, received: bytes) -> BackendReply | ExchangeFailed:
        """Exchange on a connection whose reset is met by a send."""
        stream = cast(trio.SocketStream, ResetMetBySend(received=received))
        return trio.run(exchange_on, stream, request)

    def test_part_of_an_answer_is_rejected(self) -> None:
        """Guards against a part that looks whole since a send met the reset before the read did."""
        requests = {
            "short": outgoing(b"short"),
            "long": outgoing(LONG),
            "arriving": outgoing(b"", in_parts()),
        }
        for name, request in requests.items():
            for head in (HEAD, HEAD.replace(b"HTTP/1.1", b"HTTP/1.0")):
                with self.subTest(name, head=head):
                    failed = self.exchange(request, head + b"part")
                    assert isinstance(failed, ExchangeFailed), failed
                    self.assertIs(failed.reason, FailureReason.RESET)
                    self.assertIs(failed.verdict, Verdict.MAY_HAVE_RUN)

    def test_part_of_a_skipped_answer_is_rejected(self) -> None:
        """Guards against an answer of another request whose end is none."""
        head = HEAD.replace(b"a1", b"a7")
        self.assertIsInstance(self.exchange(outgoing(LONG), head + b"part"), ExchangeFailed)

    def test_answer_with_a_length_is_accepted(self) -> None:
        """Guards against complete refusals that are lost since the upload was not read."""
        head = HEAD.replace(b"200 OK", b"413 Too Large").replace(
            b"\r\n\r\n", b"\r\nContent-Length: 5\r\n\r\n"
        )
        for request in (outgoing(b"short"), outgoing(LONG)):
            reply = self.exchange(request, head + b"whole")
            assert isinstance(reply, BackendReply), reply
            self.assertEqual((reply.status, reply.body), (413, b"whole"))

    def test_streamed_answer_breaks(self) -> None:
        """Guards against a long answer that is passed on in parts and seems to have ended."""
        body = b"x" * (MAX_BUFFERED_RESPONSE_BYTES + 1)
        reply = self.exchange(outgoing(LONG), HEAD + body)
        assert isinstance(reply, BackendReply), reply
        assert reply.rest is not None

        async def read(rest: AsyncIterator[bytes]) -> None:
            async for _ in rest:
                pass

        with self.assertRaises(BodyBroken):
            trio.run(read, reply.rest)


class EarlyAnswerTest(unittest.TestCase):
    def test_early_answer_that_is_reset_is_never_whole(self) -> None:
        """Guards against a part of an early answer to an upload that is reset while it is sent."""
        outcomes: list[BackendReply | ExchangeFailed] = []

        async def script(stream: ScriptedStream) -> None:
            stream.stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await stream.stream.receive_some(1024)
            await stream.send(HEAD + b"part")
            await reset_connection(stream.stream)

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(script) as address:
                    for _ in range(EARLY_ANSWERS):
                        stream = await open_stream(address)
                        outcomes.append(await exchange_on(stream, outgoing(LONG * 400)))
                        await trio.aclose_forcefully(stream)

        trio.run(run)
        self.assertEqual(len(outcomes), EARLY_ANSWERS)
        self.assertFalse([reply for reply in outcomes if isinstance(reply, BackendReply)])

"""Ends of relayed connections: only that of the backend server ends an answer without a length."""

import unittest
from collections.abc import Awaitable, Callable
from typing import cast

import trio

from tests.common.relay_case import LIMIT_S, RELAY_PORT, SOON_S, RelayCase
from tests.common.reset_streams import ResetMetBySend
from tests.common.scripted_server import ScriptedStream
from tests.common.steering_parts import make_server
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.backend import BackendAddress, BodyBroken, FailureReason
from wagtailpoint.proxy.backend_connection import (
    MAX_BUFFERED_RESPONSE_BYTES,
    BackendConnection,
    ExchangeFailed,
)
from wagtailpoint.proxy.request_encoding import OutgoingRequest
from wagtailpoint.relay.marked_end import END, encode_frame
from wagtailpoint.relay.pipe import Pipe
from wagtailpoint.verdict import Verdict

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Response-Seal: s\r\n"
OLD_OPENING = b"HTTP/1.1 200 OK\r\nrelay-number: 1\r\n\r\n"
OPENING = b"HTTP/1.1 200 OK\r\nrelay-number: 1\r\nrelay-frames: 1\r\n\r\n"
REQUEST = OutgoingRequest(b"a1", "GET", "/x", [(b"host", b"h"), (b"x-attempt-id", b"a1")], b"")
ANSWERS = {
    "without a length": HEAD + b"\r\npart",
    "HTTP/1.0": HEAD.replace(b"1.1", b"1.0") + b"\r\npart",
    "in its head": HEAD,
    "before its head": b"",
    "with a length": HEAD + b"Content-Length: 10\r\n\r\npart",
    "in chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
}


class RelayEndTest(RelayCase):
    async def connect(self, entry: ServerEntry) -> BackendConnection:
        opened = await self.client.open(entry)
        return BackendConnection(stream=opened.stream, names=HEADER_NAMES, relay=opened.relay)

    def run_with_relay(
        self, *sent: bytes, opening: bytes, test: Callable[[BackendConnection], Awaitable[None]]
    ) -> None:
        """Run a test with a relay that sends bytes after a request, and whose process then ends.

        The kernel closes the connections of a process that ends in order.
        """

        async def serve(stream: trio.SocketStream) -> None:
            async with stream:
                await stream.receive_some(4096)
                await stream.send_all(opening)
                await stream.receive_some(4096)
                for data in sent:
                    await stream.send_all(data)

        async def run() -> None:
            listeners = await trio.open_tcp_listeners(RELAY_PORT, host=self.relay.address)
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(trio.serve_listeners, serve, listeners)
                    entry = make_server("i-1", BackendAddress("127.0.0.1", 9))
                    connection = await self.connect(entry)
                    await test(connection)
                    await connection.close()
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def check_reset(self, connection: BackendConnection) -> None:
        with self.assertRaises(ExchangeFailed) as caught:
            await connection.exchange(REQUEST)
        self.assertIs(caught.exception.reason, FailureReason.RESET)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    def test_killed_relay_does_not_end_an_answer(self) -> None:
        """Guards against a part of an answer that looks whole since its relay was killed."""
        for name, answer in ANSWERS.items():
            with self.subTest(name):
                frame = encode_frame(answer) if answer else b""
                self.run_with_relay(frame, opening=OPENING, test=self.check_reset)

    def test_relay_that_dies_within_a_frame_does_not_end_an_answer(self) -> None:
        """Guards against the same where the last frame did not arrive whole."""
        answer = encode_frame(ANSWERS["without a length"])
        for cut in (answer[:-1], answer + END[:-1], answer + encode_frame(b"more")[:-2]):
            self.run_with_relay(cut, opening=OPENING, test=self.check_reset)

    def test_relay_of_an_older_version_states_no_end(self) -> None:
        """Guards against the same during an upgrade, beside relays that send no frames."""
        for name, answer in ANSWERS.items():
            with self.subTest(name):
                self.run_with_relay(answer, opening=OLD_OPENING, test=self.check_reset)

    def test_invalid_frame_ends_the_connection(self) -> None:
        """Guards against memory for a frame whose length is none."""
        self.run_with_relay(b"\xff\xff\xff\xffx", opening=OPENING, test=self.check_reset)

    def test_killed_relay_breaks_a_streamed_answer(self) -> None:
        """Guards against a long answer that is passed on in parts and seems to have ended."""
        body = b"x" * (MAX_BUFFERED_RESPONSE_BYTES // 2 + 1)

        async def test(connection: BackendConnection) -> None:
            reply = await connection.exchange(REQUEST)
            assert reply.rest is not None
            with self.assertRaises(BodyBroken):
                async for _ in reply.rest:
                    pass

        frames = [encode_frame(data) for data in (HEAD + b"\r\n", body, body, body)]
        self.run_with_relay(*frames, opening=OPENING, test=test)

    def test_stopped_relay_does_not_end_an_answer(self) -> None:
        """Guards against a part that looks whole when a planned stop cuts relayed connections."""
        sent = trio.Event()

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(ANSWERS["without a length"])
            sent.set()
            await trio.sleep_forever()

        async def stop(scope: trio.CancelScope) -> None:
            await sent.wait()
            await trio.sleep(0.05)
            scope.cancel()

        async def test(entry: ServerEntry) -> None:
            async with trio.open_nursery() as relay_nursery, trio.open_nursery() as nursery:
                await relay_nursery.start(self.server.run)
                connection = await self.connect(entry)
                nursery.start_soon(stop, relay_nursery.cancel_scope)
                await self.check_reset(connection)
                await connection.close()

        self.run_with(script, test, starts_relay=False)

    def test_end_of_the_backend_server_is_stated(self) -> None:
        """Guards against whole answers without a length that are taken for cut ones."""

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(HEAD + b"\r\nwhole")

        async def test(entry: ServerEntry) -> None:
            connection = await self.connect(entry)
            self.assertEqual((await connection.exchange(REQUEST)).body, b"whole")
            await connection.close()

        self.run_with(script, test)

    def test_connection_that_the_backend_server_closed_is_not_used_again(self) -> None:
        """Guards against a request that is sent behind the stated end of its connection."""

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(HEAD + b"Content-Length: 5\r\n\r\nwhole")

        async def test(entry: ServerEntry) -> None:
            connection = await self.connect(entry)
            await connection.exchange(REQUEST)
            connection.mark_idle()
            await trio.sleep(0.05)
            self.assertTrue(connection.has_expired())
            await connection.close()

        self.run_with(script, test)


class PipeEndTest(unittest.TestCase):
    def received_through(self, far: ResetMetBySend, *, has_frames: bool) -> tuple[bytes, bool]:
        """Return what the near side of a pipe receives, and whether it is reset."""

        async def run() -> tuple[bytes, bool]:
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            async with trio.open_nursery() as nursery:
                caller = await trio.open_tcp_stream(*listener.socket.getsockname())
                near = await listener.accept()
                pipe = Pipe(near=near, far=cast(trio.SocketStream, far), has_frames=has_frames)
                nursery.start_soon(pipe.run, b"the beginning of an upload")
                received = b""
                with trio.fail_after(SOON_S):
                    try:
                        while data := await caller.receive_some():
                            received += data
                    except trio.BrokenResourceError:
                        return received, True
                    finally:
                        await trio.aclose_forcefully(caller)
                return received, False

        return trio.run(run)

    def test_end_after_a_failed_send_is_not_stated(self) -> None:
        """Guards against a reset that a send meets, so that the next read says end of input."""
        received, _ = self.received_through(ResetMetBySend(received=b"part"), has_frames=True)
        self.assertEqual(received, b"\0\0\0\4part")

    def test_end_after_a_failed_send_is_a_reset_without_frames(self) -> None:
        """Guards against the same towards an instance of an older version."""
        received, is_reset = self.received_through(
            ResetMetBySend(received=b"part"), has_frames=False
        )
        self.assertTrue(is_reset)

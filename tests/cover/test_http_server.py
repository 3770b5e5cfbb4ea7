"""The HTTP server alone, with a scripted handler, over real sockets."""

import json
import socket
import unittest
from collections.abc import Awaitable, Callable

import trio

from tests.common.fake_clock import TrioClock
from tests.common.sockets import loopback_address
from wagtailpoint.adapters.http_connection import CallerLimits
from wagtailpoint.adapters.http_server import AsgiReply, HttpServer, ServerOptions
from wagtailpoint.entry.request import CallerRequest
from wagtailpoint.ports.backend import BodyBroken
from wagtailpoint.verdict import Verdict

PORT = 7180
GET = b"GET / HTTP/1.1\r\nHost: e\r\n\r\n"
TEN_BYTES = [(b"content-length", b"10")]

Handler = Callable[[CallerRequest, AsgiReply], Awaitable[None]]


class HttpServerTest(unittest.TestCase):
    leaving = False

    def serve(self, handler: Handler, client_script: Callable[[], Awaitable[None]]) -> None:
        """Run a server, use it, stop it; the stop has to end by itself."""
        self.address = loopback_address()
        self.stop = trio.Event()
        options = ServerOptions(
            address=self.address,
            port=PORT,
            header_bytes=4096,
            request_body_bytes=4096,
            connections=10,
            limits=CallerLimits(idle_s=20.0, stall_s=5.0),
        )
        server = HttpServer(
            options=options,
            clock=TrioClock(),
            handler=handler,
            is_leaving=lambda: self.leaving,
        )

        async def run() -> None:
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:

                    async def serve(*, task_status: trio.TaskStatus) -> None:
                        await server.run(stop=self.stop.wait, task_status=task_status)

                    await nursery.start(serve)
                    await client_script()
                    self.stop.set()

        trio.run(run)

    def test_connection_opened_just_before_the_end_is_still_answered(self) -> None:
        """Symptom: a request on its way during a planned stop is told `may-have-run`.

        Sequence: a caller connects; the server ends in that moment; the caller sends its request.
        Cause: connections without a request were closed at once, and the request met a reset.
        """

        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            await reply.begin(status=200, headers=TEN_BYTES, verdict=Verdict.RAN)
            await reply.send(b"0123456789")

        async def client_script() -> None:
            async with await trio.open_tcp_stream(self.address, PORT) as stream:
                await trio.sleep(0.1)
                self.stop.set()
                await trio.sleep(0.1)
                await stream.send_all(GET)
                answer = bytes(await stream.receive_some(65536))
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

        self.leaving = True
        self.serve(handler, client_script)

    def test_connections_that_wait_in_the_kernel_at_the_end_are_still_answered(self) -> None:
        """Symptom: beside load, one of a hundred requests in a planned stop is told `may-have-run`.

        Sequence: callers connect and send while the process is busy; then it stops accepting.
        Cause: the kernel had accepted them, the process had not; closing the socket reset them.
        """

        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            await reply.begin(status=200, headers=TEN_BYTES, verdict=Verdict.RAN)
            await reply.send(b"0123456789")

        async def client_script() -> None:
            callers = []
            for _ in range(5):
                # Without an await in between: the server's task gets no turn.
                caller = socket.create_connection((self.address, PORT))
                caller.sendall(GET)
                caller.setblocking(False)
                callers.append(trio.SocketStream(trio.socket.from_stdlib_socket(caller)))
            self.stop.set()
            for stream in callers:
                async with stream:
                    answer = bytes(await stream.receive_some(65536))
                self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

        self.leaving = True
        self.serve(handler, client_script)

    async def ask(self, request: bytes) -> bytes:
        """Everything that comes until the connection ends; a reset is an error."""
        stream = await trio.open_tcp_stream(self.address, PORT)
        async with stream:
            await stream.send_all(request)
            data = b""
            while received := await stream.receive_some():
                data += received
            return data

    def test_answers_without_body_bear_none(self) -> None:
        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            status = 204 if request.path == "/204" else 304
            await reply.begin(status=status, headers=[], verdict=Verdict.RAN)
            await reply.send(b"no such body")

        async def client_script() -> None:
            for status in (b"204", b"304"):
                head = b"GET /" + status + b" HTTP/1.1\r\nHost: e\r\n"
                data = await self.ask(head + b"\r\n" + head + b"Connection: close\r\n\r\n")
                self.assertEqual(data.count(b"HTTP/1.1 " + status), 2)
                self.assertNotIn(b"no such body", data)

        self.serve(handler, client_script)

    def test_broken_reply_never_looks_whole(self) -> None:
        """A reply that broke off is cut so that its caller notices.

        Symptom: an agent's certificate is short, and nobody notices. Sequence: a backend server
        dies in the middle of a body; the entry ends the reply. Cause: for a caller of HTTP/1.0 the
        regular end of a body without a length is the end of the connection.
        """

        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            headers = TEN_BYTES if request.path == "/length" else []
            await reply.begin(status=200, headers=headers, verdict=Verdict.RAN)
            await reply.send(b"short")
            raise BodyBroken("test")

        async def client_script() -> None:
            data = await self.ask(b"GET /length HTTP/1.1\r\nHost: e\r\n\r\n")
            self.assertTrue(data.endswith(b"\r\n\r\nshort"), data)
            data = await self.ask(GET)
            self.assertIn(b"chunked", data)
            self.assertTrue(data.endswith(b"\r\nshort\r\n"), "ended like a whole body")
            with self.assertRaises(trio.BrokenResourceError):
                await self.ask(b"GET / HTTP/1.0\r\n\r\n")

        self.serve(handler, client_script)

    def test_fault_of_a_handler_is_answered_and_ends_nothing_else(self) -> None:
        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            raise ZeroDivisionError("test")

        async def client_script() -> None:
            for _ in range(2):
                data = await self.ask(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
                self.assertTrue(data.startswith(b"HTTP/1.1 500"), data)
                value = json.loads(data.partition(b"\r\n\r\n")[2])
                self.assertEqual(value["code"], "internal-error")
                self.assertEqual(value["verdict"], "may-have-run")

        self.serve(handler, client_script)

    def test_malformed_rest_of_a_body_is_not_called_not_run(self) -> None:
        """A request that the application already has may run, whatever its last bytes are.

        Symptom: a refusal says that nothing ran, and the release was paid. Sequence: the entry
        passes a body on as it arrives; its next chunk is malformed. Cause: the error is answered
        like one in the headers.
        """

        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            assert request.body is not None
            async for _ in request.body:
                pass

        async def client_script() -> None:
            headers = b"POST / HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n"
            data = await self.ask(headers + b"1\r\nx\r\nnonsense\r\n")
            self.assertTrue(data.startswith(b"HTTP/1.1 400"), data)
            self.assertIn(b"wagtailpoint-verdict: may-have-run", data.lower())

        self.serve(handler, client_script)

    def test_leaving_instance_ends_the_connection_with_the_reply(self) -> None:
        """A caller does not send its next request to an instance that is just closing.

        Symptom: a reset, and so `may-have-run`, during a planned stop. Sequence: the instance
        stops and closes its idle connections; a caller sends on one of them at that moment. Cause:
        the replies before did not say that the connection would be closed.
        """

        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            date = (b"date", b"Wed, 02 Dec 2026 00:00:00 GMT")
            await reply.begin(status=200, headers=[*TEN_BYTES, date], verdict=Verdict.RAN)
            await reply.send(b"0123456789")

        async def client_script() -> None:
            self.leaving = True
            data = await self.ask(GET + GET)
            self.assertEqual(data.count(b"HTTP/1.1 200"), 1)
            self.assertIn(b"connection: close", data.lower())
            self.assertEqual(data.lower().count(b"\r\ndate: "), 1)

        self.serve(handler, client_script)

    def test_stop_ends_idle_connections_and_finishes_replies(self) -> None:
        async def handler(request: CallerRequest, reply: AsgiReply) -> None:
            await reply.begin(status=200, headers=TEN_BYTES, verdict=Verdict.RAN)
            self.stop.set()
            await trio.sleep(0.05)
            await reply.send(b"0123456789")

        async def client_script() -> None:
            idle = await trio.open_tcp_stream(self.address, PORT)
            data = await self.ask(GET)
            self.assertTrue(data.endswith(b"0123456789"), data)
            self.assertEqual(await idle.receive_some(), b"")

        self.serve(handler, client_script)

"""What becomes of open requests and connections when a planned stop ends the process."""

import socket
import time
import unittest
from collections.abc import Awaitable, Callable

import trio

from tests.common.dispatcher_case import Backend, DispatcherCase, get, ok
from tests.common.sockets import loopback_address
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.proxy.caller_exchange import CallerExchange, IncomingRequest
from wagtailpoint.proxy.caller_server import CallerServer
from wagtailpoint.routing.table import DEFAULT_CALLER_BOUNDS

LIMIT_S = 10.0
ANSWERED_AFTER_S = 0.5


class OpenRequestsTest(DispatcherCase):
    def end(self) -> None:
        """End a stop of the instance."""
        self.parts.stop_clock.begin(began_at=trio.current_time(), lasts_s=10.0)
        self.parts.stop_clock.end()
        self.parts.dispatcher.end_requests()

    def test_request_without_an_answer(self) -> None:
        """Guards against connections that end without an answer."""
        served = trio.Event()
        replies: list[bytes] = []

        async def send(endpoint: Endpoint) -> None:
            replies.append(await self.reply(endpoint, get("/r/sent")))

        def arrive(request: bytes) -> None:
            served.set()

        async def test(endpoint: Endpoint) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, endpoint)
                await served.wait()
                self.end()

        self.run_with({"i-1": Backend(arrive).script}, test)
        self.assertTrue(replies[0].startswith(b"HTTP/1.1 502 "), replies)

    def test_answered_request_that_waits_for_its_turn(self) -> None:
        """Guards against a refusal as not run of a request that has run."""
        replies = b""

        def answer(request: bytes) -> bytes | None:
            return None if b"/r/first" in request else ok(request)

        async def test(endpoint: Endpoint) -> None:
            nonlocal replies
            second = get("/r/second").replace(b"X-Attempt-Id: 1", b"X-Attempt-Id: 2")
            async with await trio.open_tcp_stream(*endpoint) as stream:
                await stream.send_all(get("/r/first") + second)
                await trio.sleep(ANSWERED_AFTER_S)
                self.end()
                with trio.move_on_after(1.0):
                    async for part in stream:
                        replies += bytes(part)

        backends = [Backend(answer), Backend(answer)]
        self.run_with({f"i-{n}": each.script for n, each in enumerate(backends)}, test)
        self.assertTrue(
            any(b"/r/second" in each for backend in backends for each in backend.requests)
        )
        self.assertIn(b" 502 ", replies)
        self.assertIn(b" 200 ", replies)

    def test_answer_that_arrives_as_the_process_ends(self) -> None:
        """Guards against an answer that is discarded because the process ends in that moment."""
        replies: list[bytes] = []
        record_answer = self.parts.placement.record_answer

        def end_and_record(*args: object) -> None:
            self.end()
            record_answer(*args)  # type: ignore[arg-type]

        self.parts.placement.record_answer = end_and_record  # type: ignore[method-assign,assignment]

        async def test(endpoint: Endpoint) -> None:
            replies.append(await self.reply(endpoint, get("/r/x")))

        self.run_with({"i-1": Backend(ok).script}, test)
        self.assertTrue(replies[0].startswith(b"HTTP/1.1 200 "), replies)


class IdleConnectionsTest(unittest.TestCase):
    leaving = True

    def run_with(
        self,
        handle: Callable[[IncomingRequest, CallerExchange], Awaitable[None]],
        test: Callable[[CallerServer, Endpoint], Awaitable[None]],
    ) -> None:
        """Run a test with a server of callers."""

        async def run() -> None:
            endpoint = Endpoint(loopback_address(), 8155)
            server = CallerServer(
                endpoint=endpoint,
                handler=handle,
                bounds=lambda: DEFAULT_CALLER_BOUNDS,
                is_leaving=lambda: self.leaving,
                max_connections=5,
            )
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.run)
                    await test(server, endpoint)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def reply(self, request: IncomingRequest, caller: CallerExchange) -> None:
        await caller.reply(200, (), b"ok")

    def test_request_that_has_reached_the_socket(self) -> None:
        """Guards against a request that is read and discarded since its connection seemed idle."""
        replies: list[bytes] = []

        async def test(server: CallerServer, endpoint: Endpoint) -> None:
            with socket.create_connection(endpoint) as caller:  # noqa: ASYNC210
                await trio.sleep(0.1)
                caller.sendall(get("/x"))
                # The bytes arrive before the loop runs again.
                time.sleep(0.05)  # noqa: ASYNC251
                server.close_idle()
                await server.wait_closed()
                replies.append(caller.recv(1000))

        self.run_with(self.reply, test)
        self.assertTrue(replies[0].startswith(b"HTTP/1.1 200 "), replies)

    def test_idle_connection(self) -> None:
        async def test(server: CallerServer, endpoint: Endpoint) -> None:
            async with await trio.open_tcp_stream(*endpoint) as stream:
                await trio.sleep(0.1)
                server.close_idle()
                self.assertEqual(await stream.receive_some(), b"")
            await server.wait_closed()

        self.run_with(self.reply, test)

    def test_connection_whose_reply_began_before_the_stop(self) -> None:
        """Guards against a stop that waits for a caller which was not told to close."""
        self.leaving = False
        begun, go_on = trio.Event(), trio.Event()

        async def handle(request: IncomingRequest, caller: CallerExchange) -> None:
            await caller.begin(200, ((b"content-length", b"4"),))
            begun.set()
            await go_on.wait()
            await caller.send(b"done")
            await caller.finish()

        async def test(server: CallerServer, endpoint: Endpoint) -> None:
            async with await trio.open_tcp_stream(*endpoint) as stream:
                await stream.send_all(get("/x"))
                await begun.wait()
                self.leaving = True
                server.stop_accepting()
                go_on.set()
                data = b""
                async for part in stream:
                    data += bytes(part)
                self.assertTrue(data.endswith(b"done"), data)
            await server.wait_closed()

        self.run_with(handle, test)

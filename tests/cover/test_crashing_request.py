"""Tests of one instance whose connections to backend servers are reset."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from tests.common.scripted_server import ScriptedStream
from tests.common.sockets import loopback_address, reset_connection
from tests.common.steering_parts import SteeringParts, make_route, make_server, make_table
from wagtailpoint.fingerprint import fingerprint
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.quarantine.quarantine import Admission
from wagtailpoint.routing.table import RouteKind

LIMIT_S = 20
SERVERS = 6
GET = b"GET /r/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nConnection: close\r\n\r\n"
POST = (
    b"POST /r/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nContent-Length: 2\r\n"
    b"Connection: close\r\n\r\n{}"
)
GET_FINGERPRINT = fingerprint(method="GET", host="h", target="/r/x", body=b"")


class CrashingRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.parts = SteeringParts(make_table(make_route()))
        self.requests = 0
        self.crashes = True
        self.leave_first = False

    def run_with(self, test: Callable[[Endpoint], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    servers = [await nursery.start(self.serve) for _ in range(SERVERS)]
                    self.parts.fleet.update(
                        make_server(f"i-{number}", address)
                        for number, address in enumerate(servers)
                    )
                    await self.parts.run_with(test)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def serve(self, *, task_status: trio.TaskStatus[BackendAddress]) -> None:
        """Reset the connection of each request; with ``crashes``, also stop listening."""
        address = loopback_address()
        (listener,) = await trio.open_tcp_listeners(0, host=address)
        task_status.started(BackendAddress(address, listener.socket.getsockname()[1]))
        async with listener, trio.open_nursery() as nursery:

            async def serve_one(stream: trio.SocketStream) -> None:
                if await ScriptedStream(stream=stream).request():
                    self.requests += 1
                    if self.leave_first:
                        self.parts.fleet.update([])
                    if self.crashes:
                        nursery.cancel_scope.cancel()
                        await listener.aclose()
                await reset_connection(stream)

            await trio.serve_listeners(serve_one, [listener], handler_nursery=nursery)

    async def send(self, endpoint: Endpoint, request: bytes = GET) -> bytes:
        async with await trio.open_tcp_stream(*endpoint) as stream:
            await stream.send_all(request)
            reply = b""
            async for part in stream:
                reply += bytes(part)
            return reply

    def admission(self) -> Admission:
        return self.parts.quarantine.admission(GET_FINGERPRINT)

    def test_request_is_refused_after_three_crashes(self) -> None:
        """Guards against a request that crashes one backend server after the other."""

        async def test(endpoint: Endpoint) -> None:
            replies = [await self.send(endpoint) for _ in range(4)]
            self.assertEqual([reply[9:12] for reply in replies], [b"502", b"502", b"503", b"503"])
            self.assertIn(b"retry-after: 60", replies[3])
            self.assertEqual(self.requests, 3)
            self.assertIs(self.admission(), Admission.QUARANTINED)

        self.run_with(test)

    def test_non_idempotent_request_is_refused_after_three_crashes(self) -> None:
        """Guards against the verdict "not run" for a request that has run."""
        self.parts = SteeringParts(make_table(make_route(kind=RouteKind.NON_IDEMPOTENT)))

        async def test(endpoint: Endpoint) -> None:
            replies = [await self.send(endpoint, POST) for _ in range(4)]
            self.assertEqual([reply[9:12] for reply in replies], [b"502", b"502", b"502", b"503"])
            self.assertEqual(self.requests, 3)

        self.run_with(test)

    def test_reset_by_a_running_backend_server_is_not_a_crash(self) -> None:
        """Guards against a quarantine of requests because of network faults."""
        self.crashes = False

        async def test(endpoint: Endpoint) -> None:
            for _ in range(4):
                await self.send(endpoint)
            self.assertEqual(self.parts.quarantine.suspects, 0)

        self.run_with(test)

    def test_planned_stop_of_a_backend_server_is_not_a_crash(self) -> None:
        """Guards against planned stops of backend servers counted as crashes."""
        self.leave_first = True

        async def test(endpoint: Endpoint) -> None:
            await self.send(endpoint)
            self.assertEqual((self.requests, self.parts.quarantine.suspects), (1, 0))

        self.run_with(test)


if __name__ == "__main__":
    unittest.main()

"""The TCP options of the connections that instances, callers and tools open."""

import socket
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

import trio

from tests.common.scripted_server import ScriptedStream, response, scripted_server
from wagtailpoint.adapters import backend_stream
from wagtailpoint.adapters.object_calls import Call, ObjectCalls
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.proxy.backend_dialer import open_stream
from wagtailpoint.tcp_options import LIVENESS_TIMEOUT_S

LIMIT_S = 10.0
TCP_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 1000 * LIVENESS_TIMEOUT_S),
)


class LivenessOptionsTest(unittest.TestCase):
    """Guards against connections that stay silent for minutes after their path is lost."""

    def check_options(self, connect: Callable[[BackendAddress], Awaitable[object]]) -> None:
        """Check the options of the sockets that ``connect`` has set when it connects."""
        checked = 0
        real_connect = socket.socket.connect

        def check_and_connect(sock: socket.socket, address: tuple[str, int]) -> None:
            nonlocal checked
            self.assertTrue(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
            for option, value in TCP_OPTIONS:
                self.assertEqual(sock.getsockopt(socket.IPPROTO_TCP, option), value)
            checked += 1
            real_connect(sock, address)

        async def answer_all(stream: ScriptedStream) -> None:
            while await stream.request():
                await stream.send(response(b"{}"))

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(answer_all) as address:
                    with patch.object(socket.socket, "connect", check_and_connect):
                        await connect(address)

        trio.run(run)
        self.assertEqual(checked, 1)

    def test_connection_of_the_request_path(self) -> None:
        self.check_options(open_stream)

    def test_connection_of_the_own_interface(self) -> None:
        self.check_options(backend_stream.connect)

    def test_connection_to_the_store(self) -> None:
        """Its options are set by the library after it has connected."""

        async def read(address: BackendAddress) -> None:
            calls = ObjectCalls(addresses=[(address.address, address.port)], timeout_s=1.0)
            (await calls.read(Call("GET", "/"))).unwrap()
            connection: Any = calls._pool.connections[0]
            opened = connection._connection._network_stream.get_extra_info("socket")
            for option, value in TCP_OPTIONS:
                self.assertEqual(opened.getsockopt(socket.IPPROTO_TCP, option), value)
            await calls.aclose()

        async def answer_all(stream: ScriptedStream) -> None:
            while await stream.request():
                await stream.send(response(b"{}"))

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(answer_all) as address:
                    await read(address)

        trio.run(run)

"""Base class of tests that dispatch requests over real sockets, with scripted backend servers."""

import unittest
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack

import trio
from loguru import logger

from tests.common.scripted_server import Script, ScriptedStream, response, scripted_server
from tests.common.steering_parts import SteeringParts, make_route, make_server, make_table
from wagtailpoint.node_settings import Endpoint

LIMIT_S = 20
Answer = Callable[[bytes], bytes | None]


def echo_id_header(request: bytes) -> str:
    for line in request.split(b"\r\n"):
        if line.lower().startswith(b"x-attempt-id:"):
            return "X-Attempt-Id: " + line.partition(b":")[2].strip().decode()
    raise AssertionError(request)


class Backend:
    """A backend server that responds to each request with the result of a function."""

    def __init__(self, answer: Answer) -> None:
        self.requests: list[bytes] = []
        self._answer = answer

    async def script(self, stream: ScriptedStream) -> None:
        while True:
            request = await stream.request()
            if not request:
                return
            self.requests.append(request)
            answer = self._answer(request)
            if answer is None:
                await trio.sleep_forever()
            assert answer is not None
            if not answer:
                return
            await stream.send(answer)


def ok(request: bytes) -> bytes:
    return response(b"ok", echo_id_header(request), "X-Response-Seal: s")


def silent(request: bytes) -> None:
    return None


def get(target: str, *headers: str) -> bytes:
    lines = [f"GET {target} HTTP/1.1", "Host: h", "X-Attempt-Id: 1", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def whole_reply(stream: trio.SocketStream) -> bytes:
    data = b""
    while True:
        head, found, body = data.partition(b"\r\n\r\n")
        if found:
            length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            if len(body) >= length:
                return data
        part = await stream.receive_some(65536)
        if not part:
            return data
        data += bytes(part)


class DispatcherCase(unittest.TestCase):
    """Runs a dispatcher in front of scripted backend servers.

    Attributes:
        parts: The dispatcher and its collaborators.
    """

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.parts = SteeringParts(make_table(make_route()))

    def run_with(
        self, scripts: Mapping[str, Script], test: Callable[[Endpoint], Awaitable[None]]
    ) -> None:
        """Run a test with backend servers, given as their scripts by id."""

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with AsyncExitStack() as stack:
                    entries = []
                    for name, script in scripts.items():
                        address = await stack.enter_async_context(scripted_server(script))
                        entries.append(make_server(name, address))
                    self.parts.fleet.update(entries)
                    await self.parts.run_with(test)

        trio.run(run)

    def replies(self, scripts: Mapping[str, Script], *requests: bytes) -> list[bytes]:
        """Send each request on a separate connection and return the replies."""
        got: list[bytes] = []

        async def test(endpoint: Endpoint) -> None:
            for request in requests:
                got.append(await self.reply(endpoint, request))

        self.run_with(scripts, test)
        return got

    async def reply(self, endpoint: Endpoint, request: bytes) -> bytes:
        """Send a request on a connection of its own and return the reply."""
        stream = await trio.open_tcp_stream(*endpoint)
        async with stream:
            await stream.send_all(request)
            return await whole_reply(stream)

"""How the HTTP adapter reports answers that are broken, crossed or from an intermediary."""

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from loguru import logger
from result import Result

from tests.common.odd_values import UNREADABLE
from tests.common.revisions import rev
from wagtailpoint.adapters.platform_http import HttpPlatform
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld
from wagtailpoint.ports.platform import ABSENT, Conflict, Listing, StoredObject, WatchBatch

T = TypeVar("T")

PORT = 9001
LIMIT_S = 60
WRITTEN = b'{"kind":"thing","name":"x","version":7}'
OBJECT = b'{"kind":"thing","name":"x","version":7,"value":[1]}'
CROSSED = OBJECT.replace(b'"x"', b'"y"')


def http(status: int, body: bytes, *, promised: int | None = None, headers: str = "") -> bytes:
    length = len(body) if promised is None else promised
    return f"HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n{headers}\r\n".encode() + body


class ScriptedServer:
    """A server that sends one answer on each connection and closes it."""

    def __init__(self, answer: bytes) -> None:
        numbers = random.SystemRandom()
        self.address = "127." + ".".join(str(numbers.randint(1, 250)) for _ in range(3))
        self.requests = 0
        self._answer = answer

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        listeners = await trio.open_tcp_listeners(PORT, host=self.address)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            received = b""
            while b"\r\n\r\n" not in received:
                received += await stream.receive_some() or b"\r\n\r\n"
            self.requests += 1
            await stream.send_all(self._answer)
            await stream.send_eof()
            while await stream.receive_some():
                pass


def call_platform(servers: list[ScriptedServer], call: Callable[[HttpPlatform], Awaitable[T]]) -> T:
    async def run() -> T:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                for server in servers:
                    await nursery.start(server.run)
                addresses = [(server.address, PORT) for server in servers]
                async with HttpPlatform(addresses=addresses, timeout_s=LIMIT_S) as platform:
                    outcome = await call(platform)
                nursery.cancel_scope.cancel()
        return outcome

    return trio.run(run)


async def put(
    platform: HttpPlatform,
) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
    return await platform.put(kind="thing", name="x", value=[1], if_version=ABSENT)


async def get(platform: HttpPlatform) -> Result[StoredObject | None, PlatformUnavailable]:
    return await platform.get(kind="thing", name="x")


async def list_things(platform: HttpPlatform) -> Result[Listing, PlatformUnavailable]:
    return await platform.list(kind="thing")


async def watch_things(
    platform: HttpPlatform,
) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable]:
    return await platform.watch(kinds=["thing"], from_version=rev(6), wait_s=1.0)


class WriteTest(unittest.TestCase):
    def test_invalid_answer_leaves_the_outcome_unknown(self) -> None:
        """Guards against a write that took effect but is reported as certainly not made.

        The answer to the write is truncated, belongs to another request or is an error page. Only
        an explicit refusal proves that the write had no effect, not every other answer.
        """
        for answer in (
            http(500, b"null"),
            http(504, b"null"),
            http(200, WRITTEN[:10], promised=len(WRITTEN)),
            http(200, WRITTEN[:10]),
            http(200, WRITTEN.replace(b'"x"', b'"y"')),
            http(409, CROSSED),
            http(409, b"<html>"),
            b"HTTP/1.1 200 OK\r\nConte",
            b"nonsense\r\n\r\n",
            b"",
        ):
            with self.subTest(answer=answer):
                servers = [ScriptedServer(answer), ScriptedServer(http(200, WRITTEN))]
                self.assertIsInstance(call_platform(servers, put).unwrap_err(), OutcomeUnknown)
                self.assertEqual([server.requests for server in servers], [1, 0])

    def test_valid_answers(self) -> None:
        stored = StoredObject("thing", "x", rev(7), [1])
        self.assertEqual(call_platform([ScriptedServer(http(200, WRITTEN))], put).unwrap(), stored)
        self.assertEqual(
            call_platform([ScriptedServer(http(409, OBJECT))], put).unwrap_err(), Conflict(stored)
        )
        self.assertEqual(
            call_platform([ScriptedServer(http(409, b"null"))], put).unwrap_err(), Conflict(None)
        )
        for status in (400, 413, 429, 503):
            refused = call_platform(
                [ScriptedServer(http(status, b"", headers="Retry-After: 3\r\n"))], put
            )
            error = refused.unwrap_err()
            assert isinstance(error, PlatformUnavailable)
            self.assertEqual(error.retry_after_s, 3.0)

    def test_next_server_is_tried_after_a_refusal(self) -> None:
        servers = [ScriptedServer(http(503, b"")), ScriptedServer(http(200, WRITTEN))]
        self.assertTrue(call_platform(servers, put).is_ok())


class UnreadableObjectTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def test_unreadable_value_leaves_the_others_readable(self) -> None:
        """Guards against instances that end, or learn no change, for a value of another writer."""
        readable = [StoredObject("thing", name, rev(7), [1]) for name in ("x", "z")]
        expected = [readable[0], StoredObject("thing", "y", rev(7), None), readable[1]]
        for text in UNREADABLE:
            odd = CROSSED.replace(b"[1]", text.encode())
            objects = (OBJECT, odd, b"7", OBJECT.replace(b'"x"', b'"z"'))
            events = [b'{"action":"put","object":%s}' % each for each in objects]
            with self.subTest(text=text[:20]):
                listing = http(200, b'{"version":9,"objects":[%s]}' % b",".join(objects))
                listed = call_platform([ScriptedServer(listing)], list_things)
                self.assertEqual(listed.unwrap().objects, expected)
                batch = http(200, b'{"version":9,"events":[%s]}' % b",".join(events))
                watched = call_platform([ScriptedServer(batch)], watch_things).unwrap()
                self.assertEqual([event.stored for event in watched.events], expected)
                conflict = http(409, odd.replace(b'"y"', b'"x"'))
                refused = call_platform([ScriptedServer(conflict)], put).unwrap_err()
                self.assertEqual(refused, Conflict(expected[1]._replace(name="x")))


class ReadTest(unittest.TestCase):
    def test_foreign_404_page_does_not_mean_that_an_object_is_deleted(self) -> None:
        """Guards against instances that take the configuration for deleted.

        An intermediary answers 404 with its own page; only the platform's 404 shows that an object
        does not exist.
        """
        for answer in (http(404, b"<html>"), http(200, CROSSED), http(200, b"{}"), b""):
            with self.subTest(answer=answer):
                self.assertIsInstance(
                    call_platform([ScriptedServer(answer)], get).unwrap_err(), PlatformUnavailable
                )
        self.assertIsNone(call_platform([ScriptedServer(http(404, b"null"))], get).unwrap())

    def test_broken_read_is_retried_at_the_next_address(self) -> None:
        servers = [ScriptedServer(b""), ScriptedServer(http(200, OBJECT))]
        self.assertEqual(
            call_platform(servers, get).unwrap(), StoredObject("thing", "x", rev(7), [1])
        )

"""Answers of the platform that are long, slow, stalled or endless."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from result import Err, Ok, Result

from tests.common.scripted_server import Script, ScriptedStream, response, scripted_server
from wagtailpoint.adapters.object_calls import (
    MAX_ANSWER_BYTES,
    MIN_BYTES_PER_S,
    Answer,
    AnswerTooLong,
    Call,
    ObjectCalls,
    decode_answer,
)
from wagtailpoint.errors import PlatformUnavailable
from wagtailpoint.platform.wire_objects import WirePage

LIMIT_S = 20
TIMEOUT_S = 0.4
PART = b"x" * 65536
ENDLESS = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"


class LongAnswerTest(unittest.TestCase):
    def run_with(self, script: Script, test: Callable[[ObjectCalls], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(script) as address:
                    calls = ObjectCalls(addresses=[address], timeout_s=TIMEOUT_S)
                    await test(calls)
                    await calls.aclose()

        trio.run(run)

    def read(
        self, script: Script, *, max_bytes: int = MAX_ANSWER_BYTES
    ) -> tuple[Result[Answer, PlatformUnavailable], float]:
        """Return the outcome of a call and how long it took."""
        outcomes: list[tuple[Result[Answer, PlatformUnavailable], float]] = []

        async def test(calls: ObjectCalls) -> None:
            began = trio.current_time()
            outcome = await calls.read(Call("GET", "/x", max_bytes=max_bytes))
            outcomes.append((outcome, trio.current_time() - began))
            self.assertFalse(calls.is_receiving)

        self.run_with(script, test)
        return outcomes[0]

    def test_body_that_takes_longer_than_the_timeout(self) -> None:
        """Guards against a body that grows until no call has the time for it."""

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            data = response(PART * 4)
            for begin in range(0, len(data), 32768):
                await stream.send(data[begin : begin + 32768])
                await trio.sleep(TIMEOUT_S / 4)

        outcome, took_s = self.read(script)
        assert isinstance(outcome, Ok), outcome
        self.assertEqual(outcome.ok_value.body, PART * 4)
        self.assertGreater(took_s, TIMEOUT_S)

    def test_body_that_trickles_is_given_up(self) -> None:
        """Guards against calls that a failing platform holds for ever with single bytes."""
        for head in (ENDLESS, WITHOUT_LENGTH):

            async def script(stream: ScriptedStream, head: bytes = head) -> None:
                await stream.request()
                await stream.send(head)
                while True:
                    await stream.send(b"x" * int(0.02 * MIN_BYTES_PER_S / 2))
                    await trio.sleep(0.02)

            outcome, took_s = self.read(script)
            self.assertIsInstance(outcome, Err)
            self.assertLess(took_s, 4 * TIMEOUT_S)

    def test_body_that_stalls_is_given_up(self) -> None:
        """Guards against a stalled body that is waited for as long as its length would allow."""

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            await stream.send(ENDLESS + PART * 20)
            await trio.sleep_forever()

        outcome, took_s = self.read(script)
        self.assertIsInstance(outcome, Err)
        self.assertLess(took_s, 2 * TIMEOUT_S)

    def test_endless_body_is_given_up(self) -> None:
        """Guards against bytes without end that take the instance's memory."""
        for head in (
            ENDLESS,
            WITHOUT_LENGTH,
            WITHOUT_LENGTH[:-2] + b"Content-Length: 5000000\r\n\r\n",
        ):
            sent_bytes = 0

            async def script(stream: ScriptedStream, head: bytes = head) -> None:
                nonlocal sent_bytes
                await stream.request()
                await stream.send(head)
                while True:
                    await stream.send(PART)
                    sent_bytes += len(PART)

            outcome, _ = self.read(script, max_bytes=4_000_000)
            assert isinstance(outcome, Err)
            self.assertIsInstance(outcome.err_value, AnswerTooLong)
            self.assertLess(sent_bytes, 16_000_000)

    def test_endless_head_is_given_up(self) -> None:
        """Guards against a head without end that takes the instance's memory."""
        sent_bytes = 0

        async def script(stream: ScriptedStream) -> None:
            nonlocal sent_bytes
            await stream.request()
            await stream.send(b"HTTP/1.1 200 OK\r\nx: ")
            while True:
                await stream.send(PART)
                sent_bytes += len(PART)

        outcome, _ = self.read(script)
        self.assertIsInstance(outcome, Err)
        self.assertLess(sent_bytes, 16_000_000)

    def test_body_that_ends_early_is_no_answer(self) -> None:
        """Guards against a part of a listing that is taken for all of it."""
        body = b'{"items":[{"Metadata":{"Name":"a"}}],"HasMore":false,"StoreRevision":7}'
        for length in range(len(body)):

            async def script(stream: ScriptedStream, length: int = length) -> None:
                await stream.request()
                await stream.send(WITHOUT_LENGTH + body[:length])

            outcome, _ = self.read(script)
            self.assertIsInstance(outcome.and_then(lambda a: decode_answer(a, WirePage)), Err)

    def test_receiving_is_known_while_it_lasts(self) -> None:
        """Guards against checks that take the link from a long answer."""
        received = trio.Event()

        async def script(stream: ScriptedStream) -> None:
            await stream.request()
            data = response(PART * 4)
            await stream.send(data[:-1])
            await received.wait()
            await stream.send(data[-1:])

        async def test(calls: ObjectCalls) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(calls.read, Call("GET", "/x"))
                began = trio.current_time()
                await trio.sleep(TIMEOUT_S / 4)
                self.assertTrue(calls.is_receiving)
                self.assertGreater(calls.received_at, began)
                received.set()
            self.assertFalse(calls.is_receiving)

        self.run_with(script, test)

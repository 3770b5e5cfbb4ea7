"""Messages between instances: envelopes, drops and requests, in memory and over sockets."""

import unittest
from functools import partial
from random import Random
from typing import Any, NamedTuple

import msgspec
import trio
import trio.testing
from loguru import logger
from result import Err, Ok

from tests.common.fake_clock import FakeClock
from tests.common.fake_peers import FakeNetwork, FakePeers
from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.peer_codec import Envelope
from wagtailpoint.adapters.peers_nng import MAX_UNANSWERED_REQUESTS, MIN_REDIAL_AGE_S, NngPeers
from wagtailpoint.observe.hlc import HybridClock, Stamp
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import (
    MAX_MESSAGE_BYTES,
    PeerAddress,
    PeerFailure,
    Peers,
    Received,
    register_message,
)


class Question(NamedTuple):
    text: str


class Answer(NamedTuple):
    text: str


class Unheard(NamedTuple):
    number: int


class Anything(NamedTuple):
    value: Any


register_message("test-question", Question)
register_message("test-answer", Answer)
register_message("test-unheard", Unheard)
register_message("test-anything", Anything)


def answer(received: Received) -> Answer:
    return Answer(received.message.text.upper())


def answer_with(value: Any, _: Received) -> Anything:
    return Anything(value)


class MessagesInMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_pair(self, scenario) -> None:
        async def main() -> None:
            network = FakeNetwork()
            first, second = (
                FakePeers(network=network, address=PeerAddress(f"127.0.0.{n}", 7000, n))
                for n in (1, 2)
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(first.run)
                nursery.start_soon(second.run)
                await trio.testing.wait_all_tasks_blocked()
                with trio.fail_after(30):
                    await scenario(network, first, second)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_request_and_reply(self) -> None:
        async def scenario(network: FakeNetwork, first: Peers, second: Peers) -> None:
            second.handle(Question, answer)
            reply = await first.request(second.address, Question("ja"), timeout_s=1)
            self.assertEqual(reply, Ok(Answer("JA")))
            self.assertEqual(first.counts.sent["test-question"].messages, 1)
            self.assertEqual(second.counts.received["test-question"].messages, 1)

        self.run_pair(scenario)

    def test_cut_link_is_a_timeout(self) -> None:
        async def scenario(network: FakeNetwork, first: Peers, second: Peers) -> None:
            network.cut(["127.0.0.2"], ["127.0.0.1"])
            second.handle(Question, answer)
            reply = await first.request(second.address, Question("ja"), timeout_s=1)
            self.assertEqual(reply, Err(PeerFailure.TIMEOUT))

        self.run_pair(scenario)

    def test_message_for_the_previous_process_is_dropped(self) -> None:
        """Guards against a restarted instance that handles a message for the previous process.

        A message is buffered while its receiver is frozen; the receiver is replaced at the same
        address; the link reconnects and delivers the message. An address alone does not identify a
        process.
        """

        async def scenario(network: FakeNetwork, first: Peers, second: Peers) -> None:
            second.handle(Question, answer)
            previous = second.address._replace(incarnation=77)
            reply = await first.request(previous, Question("ja"), timeout_s=1)
            self.assertEqual(reply, Err(PeerFailure.TIMEOUT))
            self.assertEqual(second.counts.dropped, {"other-incarnation": 1})

        self.run_pair(scenario)

    def test_invalid_messages_are_counted_and_ignored(self) -> None:
        """Guards against invalid messages that end the receiving task.

        Instances of another version and unrelated programs may send bytes that are no envelope, a
        kind without a handler, or a message on which the handler fails. An error that leaves the
        receiving loop would stop the valid messages after it.
        """

        def fail(received: Received) -> None:
            raise RuntimeError("handler failed")

        async def scenario(network: FakeNetwork, first: Peers, second: Peers) -> None:
            second.handle(Question, answer)
            second.handle(Answer, fail)
            for data in (b"", b"\xc1\xff", b"GET / HTTP/1.1\r\n\r\n", b"\x99" + b"\xff" * 20):
                network.carry("127.0.0.1", second.address, data)
            first.send(second.address, Unheard(1))
            first.send(second.address, Answer("x"))
            self.assertTrue(
                (await first.request(second.address, Question("a"), timeout_s=1)).is_ok()
            )
            self.assertEqual(
                second.counts.dropped, {"undecodable": 4, "no-handler": 1, "handler-failed": 1}
            )

        self.run_pair(scenario)

    def test_nested_message_is_counted_and_ignored(self) -> None:
        """Guards against instances that end for a nested value that a peer passes on."""

        async def scenario(network: FakeNetwork, first: Peers, second: Peers) -> None:
            second.handle(Question, answer)
            envelope = Envelope(
                kind="test-anything",
                address=first.address.address,
                port=first.address.port,
                incarnation=first.address.incarnation,
                to_incarnation=second.address.incarnation,
                stamp=Stamp(0, 0),
                number=0,
                reply_to=0,
                body=msgspec.Raw(b"\x91" * 5000 + b"\xc0"),
            )
            network.carry("127.0.0.1", second.address, msgspec.msgpack.encode(envelope))
            reply = await first.request(second.address, Question("a"), timeout_s=1)
            self.assertTrue(reply.is_ok())
            self.assertEqual(second.counts.dropped, {"undecodable": 1})

        self.run_pair(scenario)

    def test_message_that_cannot_be_encoded_is_dropped(self) -> None:
        """Guards against watchers that end when they answer with a value they can't encode."""

        async def scenario(network: FakeNetwork, first: Peers, second: Peers) -> None:
            nested: list[Any] = []
            for _ in range(5000):
                nested = [nested]
            for value in (2**127, nested, object()):
                second.handle(Question, partial(answer_with, value))
                reply = await first.request(second.address, Question("a"), timeout_s=1)
                self.assertEqual(reply, Err(PeerFailure.TIMEOUT))
                self.assertFalse(first.send(second.address, Anything(value)))
            self.assertEqual(second.counts.dropped, {"unencodable": 3})
            second.handle(Question, answer)
            reply = await first.request(second.address, Question("a"), timeout_s=1)
            self.assertTrue(reply.is_ok())

        self.run_pair(scenario)

    def test_oversized_message_is_refused_by_the_sender(self) -> None:
        async def scenario(network: FakeNetwork, first: Peers, second: Peers) -> None:
            self.assertFalse(first.send(second.address, Question("x" * MAX_MESSAGE_BYTES)))
            self.assertEqual(first.counts.dropped, {"too-large": 1})

        self.run_pair(scenario)

    def test_one_kind_for_each_type(self) -> None:
        with self.assertRaisesRegex(ValueError, "expected one message type"):
            register_message("test-question", Answer)
        with self.assertRaisesRegex(ValueError, "expected one kind"):
            register_message("test-question-2", Question)


class LinksOnSocketsTest(unittest.TestCase):
    def setUp(self) -> None:
        random = Random()
        self.prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"

    def make(self, number: int, *, incarnation: int = 0, clock: Clock | None = None) -> NngPeers:
        clock = clock or SystemClock()
        return NngPeers(
            address=PeerAddress(f"{self.prefix}.{number}", 7400, incarnation or number),
            hybrid_clock=HybridClock(wall=clock.wall),
            clock=clock,
        )

    def test_request_reaches_a_peer_that_starts_later(self) -> None:
        async def main() -> None:
            first, second = self.make(1), self.make(2)
            second.handle(Question, answer)
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(first.run)
                    self.assertTrue(first.send(second.address, Question("early")))
                    nursery.start_soon(second.run)
                    while (
                        await first.request(second.address, Question("a"), timeout_s=0.5)
                    ).is_err():
                        pass
                    self.assertEqual(first.open_links, 1)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_link_is_replaced_after_the_end_of_its_connection(self) -> None:
        """Guards against a sender that keeps a link over which nothing is sent any more."""

        async def main() -> None:
            first = self.make(1)

            async def restart_between_requests() -> None:
                for incarnation in (2, 3, 4):
                    second = self.make(2, incarnation=incarnation)
                    second.handle(Question, answer)
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(second.run)
                        while (
                            await first.request(second.address, Question("a"), timeout_s=0.5)
                        ).is_err():
                            pass
                        self.assertEqual(first.open_links, 1)
                        nursery.cancel_scope.cancel()

            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(first.run)
                    await restart_between_requests()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_new_link_is_kept_and_an_unresponsive_one_is_redialled(self) -> None:
        """Guards against a link to a distant peer that is closed each time before it has opened."""

        async def main() -> None:
            clock = FakeClock()
            first = self.make(1, clock=clock)
            nobody = PeerAddress(f"{self.prefix}.9", 7400)

            async def call_platform() -> None:
                await first.request(nobody, Question("x"), timeout_s=0.01)

            for expected_links in (1, 0):
                async with trio.open_nursery() as nursery:
                    for _ in range(MAX_UNANSWERED_REQUESTS):
                        nursery.start_soon(call_platform)
                self.assertEqual(first.open_links, expected_links)
                clock.now += MIN_REDIAL_AGE_S

        trio.run(main)

    def test_full_link_drops_and_never_blocks(self) -> None:
        """Guards against a sender that is blocked by one of its peers.

        The receiver is frozen or gone and the sender goes on sending: a send must not wait for
        room in the buffers of the link.
        """

        async def main() -> None:
            first = self.make(1)
            nobody = PeerAddress(f"{self.prefix}.9", 7400)
            sent = [first.send(nobody, Question("x")) for _ in range(200)]
            self.assertIn(False, sent)
            self.assertEqual(first.counts.dropped["link-full"], sent.count(False))

        trio.run(main)

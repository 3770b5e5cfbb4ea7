"""Messages between instances: envelopes, drops, requests; in memory and over real sockets."""

import unittest
from random import Random
from typing import NamedTuple

import trio
import trio.testing
from result import Err, Ok

from tests.common.fake_clock import FakeClock
from tests.common.fake_peers import FakeNetwork, FakePeers
from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.peers_nng import DIALLING_S, UNANSWERED_BEFORE_REDIAL, NngPeers
from wagtailpoint.observe.hlc import HybridClock
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


register_message("test-question", Question)
register_message("test-answer", Answer)
register_message("test-unheard", Unheard)


def answer(received: Received) -> Answer:
    return Answer(received.message.text.upper())


class MessagesInMemoryTest(unittest.TestCase):
    def run_pair(self, story) -> None:
        async def main() -> None:
            network = FakeNetwork()
            one, other = (
                FakePeers(network=network, address=PeerAddress(f"127.0.0.{n}", 7000, n))
                for n in (1, 2)
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(one.run)
                nursery.start_soon(other.run)
                await trio.testing.wait_all_tasks_blocked()
                with trio.fail_after(30):
                    await story(network, one, other)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_request_and_reply(self) -> None:
        async def story(network: FakeNetwork, one: Peers, other: Peers) -> None:
            other.handle(Question, answer)
            reply = await one.request(other.address, Question("ja"), timeout_s=1)
            self.assertEqual(reply, Ok(Answer("JA")))
            self.assertEqual(one.counts.sent["test-question"].messages, 1)
            self.assertEqual(other.counts.received["test-question"].messages, 1)

        self.run_pair(story)

    def test_cut_link_is_a_timeout(self) -> None:
        async def story(network: FakeNetwork, one: Peers, other: Peers) -> None:
            network.cut(["127.0.0.2"], ["127.0.0.1"])
            other.handle(Question, answer)
            reply = await one.request(other.address, Question("ja"), timeout_s=1)
            self.assertEqual(reply, Err(PeerFailure.TIMEOUT))

        self.run_pair(story)

    def test_message_for_the_former_process_is_dropped(self) -> None:
        """A restarted instance acts on a message that was meant for the process before it.

        Sequence: a message is buffered while its receiver is frozen; the receiver is replaced at
        the same address; the link reconnects and delivers. Cause: an address alone does not name
        a process.
        """

        async def story(network: FakeNetwork, one: Peers, other: Peers) -> None:
            other.handle(Question, answer)
            former = other.address._replace(incarnation=77)
            reply = await one.request(former, Question("ja"), timeout_s=1)
            self.assertEqual(reply, Err(PeerFailure.TIMEOUT))
            self.assertEqual(other.counts.dropped, {"other-incarnation": 1})

        self.run_pair(story)

    def test_what_cannot_be_understood_is_counted_and_ignored(self) -> None:
        """An instance of another version, or a stray program, ends the receiving task.

        Sequence: bytes that are no envelope, a kind without a handler and a handler that fails
        arrive, then a good message. Cause: an error that leaves the receiving loop.
        """

        def fail(received: Received) -> None:
            raise RuntimeError("a fault of a handler")

        async def story(network: FakeNetwork, one: Peers, other: Peers) -> None:
            other.handle(Question, answer)
            other.handle(Answer, fail)
            for data in (b"", b"\xc1\xff", b"GET / HTTP/1.1\r\n\r\n", b"\x99" + b"\xff" * 20):
                network.carry("127.0.0.1", other.address, data)
            one.send(other.address, Unheard(1))
            one.send(other.address, Answer("x"))
            self.assertTrue((await one.request(other.address, Question("a"), timeout_s=1)).is_ok())
            self.assertEqual(
                other.counts.dropped, {"undecodable": 4, "no-handler": 1, "handler-failed": 1}
            )

        self.run_pair(story)

    def test_oversized_message_is_refused_here(self) -> None:
        async def story(network: FakeNetwork, one: Peers, other: Peers) -> None:
            self.assertFalse(one.send(other.address, Question("x" * MAX_MESSAGE_BYTES)))
            self.assertEqual(one.counts.dropped, {"too-large": 1})

        self.run_pair(story)

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
            one, other = self.make(1), self.make(2)
            other.handle(Question, answer)
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(one.run)
                    self.assertTrue(one.send(other.address, Question("early")))
                    nursery.start_soon(other.run)
                    while (await one.request(other.address, Question("a"), timeout_s=0.5)).is_err():
                        pass
                    self.assertEqual(one.open_links, 1)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_young_link_is_kept_and_a_mute_one_is_dialled_anew(self) -> None:
        """Guards against a link to a far peer that is closed each time before it has opened."""

        async def main() -> None:
            clock = FakeClock()
            one = self.make(1, clock=clock)
            nobody = PeerAddress(f"{self.prefix}.9", 7400)

            async def ask() -> None:
                await one.request(nobody, Question("x"), timeout_s=0.01)

            for left in (1, 0):
                async with trio.open_nursery() as nursery:
                    for _ in range(UNANSWERED_BEFORE_REDIAL):
                        nursery.start_soon(ask)
                self.assertEqual(one.open_links, left)
                clock.now += DIALLING_S

        trio.run(main)

    def test_full_link_drops_and_never_blocks(self) -> None:
        """A sender stands still because one of its peers does.

        Sequence: the receiver is frozen or gone, and the sender goes on sending. Cause: a send
        that waits for room in the buffers of the link.
        """

        async def main() -> None:
            one = self.make(1)
            nobody = PeerAddress(f"{self.prefix}.9", 7400)
            sent = [one.send(nobody, Question("x")) for _ in range(200)]
            self.assertIn(False, sent)
            self.assertEqual(one.counts.dropped["link-full"], sent.count(False))

        trio.run(main)

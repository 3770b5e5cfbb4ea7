"""Replies between instances that are too long for one message or for the time of one request."""

import unittest
import zlib
from collections.abc import Awaitable, Callable
from random import Random
from typing import NamedTuple

import trio
import trio.testing
from loguru import logger
from result import Err, Ok

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.narrow_link import incompressible
from tests.common.watch_sharing_case import COUNT, WatchSharingCase
from wagtailpoint.adapters.reply_parts import (
    ACCEPTS_PARTS,
    KEPT_S,
    MAX_KEPT_BYTES,
    MAX_REPLY_BYTES,
    PART_BYTES,
    KeptReplies,
    LargeReply,
    PartRequest,
    decode_reply,
)
from wagtailpoint.observe.hlc import Stamp
from wagtailpoint.ports.peers import PeerAddress, PeerFailure, Received, register_message

LIMIT_S = 60.0
LINK_MBPS = 5
TIMEOUT_S = 0.4
"""Of a request, as for the state of a kind."""

LARGE = incompressible(2_000_000)
APPLY_S = 4.0


class Ask(NamedTuple):
    pass


class Tell(NamedTuple):
    text: str


register_message("test-ask", Ask)
register_message("test-tell", Tell)

Scenario = Callable[[FakePeers, FakePeers], Awaitable[None]]


class ReplyPartsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.network = FakeNetwork()

    def run_pair(self, scenario: Scenario, *, text: str = LARGE) -> None:
        """Run a scenario between one that asks over a narrow link, and one that answers."""

        async def main() -> None:
            asker, teller = (
                FakePeers(network=self.network, address=PeerAddress(f"127.0.0.{n}", 7000, n))
                for n in (1, 2)
            )
            teller.handle(Ask, lambda received: Tell(text))
            self.network.narrow("127.0.0.1", mbps=LINK_MBPS)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(asker.run)
                nursery.start_soon(teller.run)
                await trio.testing.wait_all_tasks_blocked()
                with trio.fail_after(LIMIT_S):
                    await scenario(asker, teller)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_large_reply_arrives_over_a_narrow_link(self) -> None:
        """Guards against a state that is too long for one message, or for the time of a request."""

        async def scenario(asker: FakePeers, teller: FakePeers) -> None:
            replied = await asker.request(teller.address, Ask(), timeout_s=TIMEOUT_S)
            self.assertEqual(replied, Ok(Tell(LARGE)))

        self.run_pair(scenario)

    def test_parts_are_kept_over_a_failure(self) -> None:
        """Guards against a long reply that begins anew with each try, and never arrives."""

        async def cut_now_and_then() -> None:
            while True:
                await trio.sleep(0.7)
                self.network.cut(["127.0.0.2"], ["127.0.0.1"])
                await trio.sleep(2.5)
                self.network.heal()

        async def scenario(asker: FakePeers, teller: FakePeers) -> None:
            tries = 0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cut_now_and_then)
                replied = None
                while not isinstance(replied, Ok):
                    tries += 1
                    replied = await asker.request(teller.address, Ask(), timeout_s=TIMEOUT_S)
                nursery.cancel_scope.cancel()
            self.assertEqual(replied, Ok(Tell(LARGE)))
            self.assertGreater(tries, 2)
            self.assertLess(self.network.delivered_bytes, 1.3 * len(zlib.compress(LARGE.encode())))

        self.run_pair(scenario)

    def test_short_messages_pass_between_the_parts(self) -> None:
        """Guards against instances that look dead while a long reply is sent to them."""
        late: list[float] = []

        async def scenario(asker: FakePeers, teller: FakePeers) -> None:
            asker.handle(Tell, lambda received: late.append(trio.current_time()))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    lambda: asker.request(teller.address, Ask(), timeout_s=TIMEOUT_S)
                )
                for _ in range(10):
                    await trio.sleep(0.1)
                    sent_at = trio.current_time()
                    teller.send(asker.address, Tell("short"))
                    await trio.sleep(2 * PART_BYTES / (LINK_MBPS * 125_000) + 0.02)
                    self.assertGreater(late.pop(), sent_at)

        self.run_pair(scenario)

    def test_repetitive_reply_is_compressed(self) -> None:
        """Guards against configurations that take a narrow link for seconds on their way."""
        text = "".join(f'{{"name":"r-{n:07d}","path":"/book{n:06d}/"}}' for n in range(20_000))

        async def scenario(asker: FakePeers, teller: FakePeers) -> None:
            replied = await asker.request(teller.address, Ask(), timeout_s=TIMEOUT_S)
            self.assertEqual(replied, Ok(Tell(text)))
            self.assertLess(self.network.delivered_bytes, len(text) / 4)

        self.run_pair(scenario, text=text)

    def test_peer_of_an_older_version_gets_the_whole_reply(self) -> None:
        """Guards against replies that older instances can't read during an upgrade."""
        text = incompressible(200_000)

        async def scenario(asker: FakePeers, teller: FakePeers) -> None:
            told: list[Received] = []
            asker.handle(Tell, told.append)
            for number in (7, 7 | ACCEPTS_PARTS):
                teller.reply(Received(asker.address, Stamp(0, 0), number, None), Tell(text))
            await trio.sleep(2.0)
            self.assertEqual(asker.counts.dropped, {"late-reply": 2})
            sizes = {kind: traffic.bytes for kind, traffic in asker.counts.received.items()}
            self.assertGreater(sizes["test-tell"], len(text))
            self.assertLess(sizes["large-reply"], 500)

        self.run_pair(scenario)

    def test_reply_that_is_not_kept_any_more_ends_the_request(self) -> None:
        """Guards against a request without end at a peer that was started again."""

        async def scenario(asker: FakePeers, teller: FakePeers) -> None:
            teller.handle(Ask, lambda received: LargeReply("test-tell", b"unknown", 100_000))
            replied = await asker.request(teller.address, Ask(), timeout_s=TIMEOUT_S)
            self.assertEqual(replied, Err(PeerFailure.TIMEOUT))
            self.assertEqual(asker.counts.dropped, {"part-gone": 1})
            negative = await asker.request(
                teller.address, PartRequest(b"unknown", -5), timeout_s=TIMEOUT_S
            )
            self.assertEqual(negative.unwrap().data, b"")

        self.run_pair(scenario)

    def test_reply_beyond_the_limit_is_refused(self) -> None:
        """Guards against a peer's reply that takes the instance's memory."""

        async def scenario(asker: FakePeers, teller: FakePeers) -> None:
            size = MAX_REPLY_BYTES + 1
            teller.handle(Ask, lambda received: LargeReply("test-tell", b"large", size))
            replied = await asker.request(teller.address, Ask(), timeout_s=TIMEOUT_S)
            self.assertEqual(replied, Err(PeerFailure.TIMEOUT))
            self.assertEqual(asker.counts.dropped, {"too-large": 1})

        self.run_pair(scenario)

    def test_only_the_announced_reply_is_decoded(self) -> None:
        """Guards against parts of two replies, and against one that grows without bound."""
        replies = KeptReplies(now=lambda: 0.0)
        reply = replies.keep("test-tell", b"good")
        data = replies.part(PartRequest(reply.digest, 0)).data
        self.assertEqual(decode_reply(reply, data), b"good")
        for other in (data[:-1], data + b"x", b"", zlib.compress(b"other")):
            self.assertIsNone(decode_reply(reply, other))
        reply = replies.keep("test-tell", bytes(MAX_REPLY_BYTES + 1))
        offsets = range(0, reply.size, PART_BYTES)
        parts = [replies.part(PartRequest(reply.digest, offset)).data for offset in offsets]
        data = b"".join(parts)
        self.assertEqual(len(data), reply.size)
        self.assertIsNone(decode_reply(reply, data))

    def test_kept_replies_are_bounded(self) -> None:
        """Guards against memory for replies that nobody fetches."""
        replies = KeptReplies(now=lambda: 0.0)
        kept = [replies.keep("test-tell", Random(n).randbytes(2_000_000)) for n in range(20)]
        found = [bool(replies.part(PartRequest(reply.digest, 0)).data) for reply in kept]
        self.assertLessEqual(sum(found) * 2_000_000, MAX_KEPT_BYTES)
        self.assertEqual(replies.total_bytes, sum(found) * kept[0].size)
        self.assertTrue(found[-1])

    def test_replies_are_kept_for_some_time(self) -> None:
        """Guards against memory for replies that were fetched long ago."""
        now = 0.0
        replies = KeptReplies(now=lambda: now)
        first, second = (replies.keep("test-tell", bytes(n)) for n in (100_000, 200_000))
        now = KEPT_S - 1.0
        self.assertTrue(replies.part(PartRequest(first.digest, 0)).data)
        now = KEPT_S + 1.0
        third = replies.keep("test-tell", bytes(300_000))
        self.assertEqual(replies.part(PartRequest(second.digest, 0)).data, b"")
        self.assertTrue(replies.part(PartRequest(first.digest, 0)).data)
        self.assertEqual(replies.total_bytes, first.size + third.size)


class LargeChangeTest(WatchSharingCase):
    def test_large_change_reaches_all_instances_over_narrow_links(self) -> None:
        """Guards against a large configuration that only the watchers of a region ever have."""
        for sharer in self.sharers:
            self.network.narrow(sharer.own.address, mbps=LINK_MBPS)

        async def test() -> None:
            await self.put("large", value=incompressible(900_000))
            await trio.sleep(APPLY_S)
            self.assertEqual(self.known(), [{"first", "large"}] * COUNT)

        self.run_with(test)

"""A few instances watch the store for all: calls, delays, faults of the watchers."""

import random
import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform
from tests.common.fixed_membership import FixedMembership
from tests.common.steering_parts import make_freshness
from wagtailpoint.discovery.follower import WATCH_WAIT_S, KindFollower
from wagtailpoint.discovery.history import ChangeHistory, KindChanges
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.watch_sharing import (
    SOURCE_COUNT,
    WatchAnswer,
    WatchQuestion,
    WatchSharing,
    watcher_count,
)
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import StoredObject, WatchEvent

KIND = "servers"
COUNT = 12
AT_ONCE_S = 0.5
"""A change is gathered for 0.25 s and passed on by one more message."""

BOUND_S = 2.0
"""Changes must be in force within 2.5 s, whatever becomes of the watchers."""


class Sharer:
    """One instance: it follows one kind, alone or by others."""

    def __init__(
        self,
        *,
        platform: FakePlatform,
        network: FakeNetwork,
        own: PeerAddress,
        places: list[PeerAddress],
    ) -> None:
        self.own = own
        self.peers = FakePeers(network=network, address=own)
        self.check = StoreCheck(store=platform, random=random.Random(1))
        self.follower = KindFollower(
            kind=KIND,
            platform=platform,
            peers=self,
            check=self.check,
            on_change=self._changed,
            random=random.Random(1),
            can_expire=True,
            watching=False,
        )
        self.sharing = WatchSharing(
            peers=self.peers,
            membership=FixedMembership(addresses=places, own=own),  # type: ignore[arg-type]
            followers={KIND: self.follower},
            freshness=make_freshness(self.follower),
        )

    async def ask(self, kind: str, newer_than: int) -> None:
        """No peer knows more when the store is away; ``PeerStates``."""

    def _changed(self) -> None:
        self.sharing.answer_waiting()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for task in (self.peers.run, self.check.run, self.follower.run, self.sharing.run):
                nursery.start_soon(task)


class WatchSharingTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.network = FakeNetwork()
        # Of its own for each instance, so that a fault can meet some of them only.
        self.platforms = [FakePlatform() for _ in range(COUNT)]
        self.operator = FakePlatform()
        for platform in self.platforms:
            platform.store = self.operator.store
        places = [PeerAddress(f"127.9.0.{number}", 7000, number + 1) for number in range(COUNT)]
        self.sharers = [
            Sharer(platform=platform, network=self.network, own=place, places=places)
            for platform, place in zip(self.platforms, places, strict=True)
        ]

    @property
    def watchers(self) -> list[Sharer]:
        return [each for each in self.sharers if each.follower.is_watching]

    def run_with(
        self, test: Callable[[], Awaitable[None]], *, settle_s: float = WATCH_WAIT_S + 3.0
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await self.put("first")
                for each in self.sharers:
                    nursery.start_soon(each.run)
                await trio.sleep(settle_s)
                await test()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    async def put(self, name: str) -> None:
        (await self.operator.put(kind=KIND, name=name, value={}, if_version=0)).unwrap()
        self.wake()

    async def delete(self, name: str) -> None:
        stored = self.operator.store.get(KIND, name)
        assert stored is not None
        await self.operator.delete(kind=KIND, name=name, if_version=stored.version)
        self.wake()

    def wake(self) -> None:
        for platform in self.platforms:
            platform.answer_fresh()

    def known(self) -> list[set[str]]:
        return [set(each.follower.objects) for each in self.sharers]

    def calls(self) -> int:
        return sum(platform.counts["WATCH", KIND] for platform in self.platforms)

    def test_calls_do_not_grow_with_the_instances(self) -> None:
        """Symptom: at 77 instances calls of the store cost a third of a day's worth.

        Cause: each instance watched the store, and each change ended all of the watches.
        """

        async def test() -> None:
            self.assertEqual(len(self.watchers), watcher_count(COUNT))
            before = self.calls()
            for number in range(10):
                await self.put(f"s{number}")
                await trio.sleep(1.0)
            self.assertEqual(self.known(), [{"first", *(f"s{n}" for n in range(10))}] * COUNT)
            self.assertLessEqual(self.calls() - before, 10 * watcher_count(COUNT))

        self.run_with(test)

    def test_start_of_all_costs_a_cheap_listing_each(self) -> None:
        """Symptom: a start of 195 instances cost 15 calls each, nine tenths of a calm day's.

        Sequence: all start at once, and backend servers register in the seconds after that. Cause:
        none had met the others yet, so each of them listed and watched for itself, and each
        registration ended all of their watches; those that waited then were checked for 20 s.
        """

        async def test() -> None:
            for number in range(20):
                await self.put(f"s{number}")
                await trio.sleep(0.2)
            await trio.sleep(1.0)
            self.assertEqual(self.known(), [{"first", *(f"s{n}" for n in range(20))}] * COUNT)
            stale = [platform.counts["LIST-STALE", KIND] for platform in self.platforms]
            self.assertEqual(stale, [1] * COUNT)
            self.assertEqual(
                [platform.counts["LIST", KIND] for platform in self.platforms], [0] * COUNT
            )
            watching = [each for each in self.platforms if each.counts["WATCH", KIND]]
            self.assertEqual(len(watching), watcher_count(COUNT))
            self.assertLessEqual(self.calls(), 20 * watcher_count(COUNT))

        self.run_with(test, settle_s=0.0)

    def test_who_is_asked_just_after_its_start_watches(self) -> None:
        """Symptom: changes reach nobody for two seconds after a watcher has started again.

        Sequence: it is asked at once by who takes it for its source, and says that nothing is new.
        Cause: it does not watch yet, but the answer says that it does.
        """

        async def test() -> None:
            await trio.sleep(0.2)
            first = next(each for each in self.sharers if each.sharing.is_watcher())
            other = next(each for each in self.sharers if each is not first)
            versions = [(KIND, first.follower.state.version)]
            answered = await other.peers.request(
                first.own, WatchQuestion(versions), timeout_s=BOUND_S
            )
            self.assertTrue(answered.unwrap().watches)
            self.assertTrue(first.follower.is_watching)
            await self.put("new")
            await trio.sleep(AT_ONCE_S)
            self.assertIn("new", first.follower.objects)

        self.run_with(test, settle_s=0.0)

    def test_number_of_watchers(self) -> None:
        """Two sources are the least, and each watcher serves a few dozen instances at most."""
        watchers = [watcher_count(instances) for instances in (1, 3, 5, 6, 25, 64, 65, 122)]
        self.assertEqual(watchers, [1, 3, 5, 2, 2, 2, 3, 4])

    def test_all_are_told_at_once(self) -> None:
        async def test() -> None:
            await self.put("new")
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [{"first", "new"}] * COUNT)
            await self.delete("first")
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [{"new"}] * COUNT)

        self.run_with(test)

    def test_killed_watchers_are_done_without(self) -> None:
        """Symptom: a backend server that left gets requests for seconds from healthy instances.

        Sequence: all watchers are killed, and a backend server leaves. Cause: the instances that
        they told wait for news that nobody sends.
        """

        async def test() -> None:
            killed = self.watchers
            for each in killed:
                self.network.close(each.peers)
            await self.delete("first")
            await trio.sleep(BOUND_S)
            alive = [each for each in self.sharers if each not in killed]
            self.assertEqual([set(each.follower.objects) for each in alive], [set()] * len(alive))

        self.run_with(test)

    def test_watchers_that_the_store_turns_away_say_so(self) -> None:
        """Symptom as above. Sequence: the store turns the watchers away and serves the others."""

        async def test() -> None:
            refused = self.watchers
            for each in refused:
                self.platforms[self.sharers.index(each)].set_down(True)
            await self.put("new")
            await trio.sleep(BOUND_S)
            others = [each for each in self.sharers if each not in refused]
            for each in others:
                self.assertEqual(set(each.follower.objects), {"first", "new"})

        self.run_with(test)

    def test_refused_watcher_is_replaced_by_one_and_not_by_all(self) -> None:
        """Symptom: calls of the store double while it turns a third of the instances away.

        Sequence: a watcher among them says that it has lost the store. Cause: each instance that it
        told had one source left, and began to watch for itself, three kinds each.
        """

        async def test() -> None:
            refused = self.watchers[0]
            self.platforms[self.sharers.index(refused)].set_down(True)
            await self.put("noticed")
            for platform in self.platforms:
                platform.counts.clear()
            for number in range(8):
                await self.put(f"new-{number}")
                await trio.sleep(1.0)
                told = [each for each in self.sharers if each is not refused]
                for each in told:
                    self.assertIn(f"new-{number}", each.follower.objects)
            served = [each for each in self.platforms if not each.down]
            watched = [each for each in served if each.counts["WATCH", KIND] > 2]
            self.assertLessEqual(len(watched), watcher_count(COUNT) + 1)

        self.run_with(test)

    def test_watcher_of_another_version_harms_nobody(self) -> None:
        """Symptom: instances end by themselves while the program is replaced by a newer one.

        Cause: the newer ones follow one more kind of object and tell of it.
        """

        async def test() -> None:
            answer = WatchAnswer(True, [KindChanges("quotas", 99, True, [], [])])
            for each in self.watchers:
                each.peers.handle(WatchQuestion, lambda _: answer)
            # Longer than a question that waits already.
            await trio.sleep(BOUND_S)
            for each in self.watchers:
                each.peers.handle(WatchQuestion, lambda _: None)
            await self.put("new")
            await trio.sleep(BOUND_S)
            self.assertEqual(self.known(), [{"first", "new"}] * COUNT)

        self.run_with(test)

    def test_cut_off_watcher_that_has_not_noticed(self) -> None:
        """Symptom as above.

        Sequence: one watcher's watch has gone silent, and it still answers its peers that there is
        nothing new. Cause: an instance that had it as its only source believed it.
        """

        async def test() -> None:
            silent = self.watchers[0]
            platform = self.platforms[self.sharers.index(silent)]
            platform.answer_stale()
            await self.put("new")
            platform.answer_stale()
            await trio.sleep(AT_ONCE_S)
            others = [each for each in self.sharers if each is not silent]
            for each in others:
                self.assertIn("new", each.follower.objects)

        self.assertGreater(SOURCE_COUNT, 1)
        self.run_with(test)


def event(action: str, name: str, version: int) -> WatchEvent:
    return WatchEvent(action, StoredObject(KIND, name, version, {}))  # type: ignore[arg-type]


class ChangeHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ChangeHistory(kind=KIND)
        self.history.record(before=10, after=12, events=[event("put", "a", 11)])
        self.history.record(
            before=12, after=15, events=[event("delete", "a", 13), event("put", "b", 15)]
        )
        self.objects = {"b": StoredObject(KIND, "b", 15, {})}

    def test_nothing_newer(self) -> None:
        self.assertIsNone(self.history.changes_since(15, 15, self.objects))

    def test_only_what_changed(self) -> None:
        changes = self.history.changes_since(12, 15, self.objects)
        assert changes is not None
        self.assertEqual((changes.whole, changes.removed), (False, ["a"]))
        self.assertEqual(changes.objects, [("b", 15, {})])

    def test_version_between_two_batches(self) -> None:
        """The state at 14 came by another watcher, whose batches end elsewhere."""
        changes = self.history.changes_since(14, 15, self.objects)
        assert changes is not None
        self.assertEqual((changes.whole, changes.removed), (False, ["a"]))

    def test_too_old_a_state_is_replaced(self) -> None:
        changes = self.history.changes_since(9, 15, self.objects)
        assert changes is not None
        self.assertEqual((changes.whole, changes.objects), (True, [("b", 15, {})]))

    def test_gap_is_never_bridged(self) -> None:
        """Symptom: a removed backend server stays known for ever.

        Cause: the state was replaced by a listing between two watches: the removal is in no batch.
        """
        self.history.record(before=20, after=21, events=[event("put", "c", 21)])
        changes = self.history.changes_since(15, 21, {"c": StoredObject(KIND, "c", 21, {})})
        assert changes is not None
        self.assertTrue(changes.whole)

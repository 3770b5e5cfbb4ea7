"""A few instances watch the store for all: number of calls, delays, faults of the watchers."""

import random
import unittest
from collections.abc import Awaitable, Callable, Sequence

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform
from tests.common.fixed_membership import FixedMembership
from tests.common.steering_parts import make_freshness
from wagtailpoint.discovery.follower import BATCH_DELAY_S, WATCH_WAIT_S, KindFollower
from wagtailpoint.discovery.history import ChangeHistory, KindChanges
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.watch_order import watcher_count
from wagtailpoint.discovery.watch_sharing import (
    SOURCE_COUNT,
    WatchAnswer,
    WatchQuestion,
    WatchSharing,
)
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import StoredObject, WatchEvent

KIND = "servers"
COUNT = 12
AT_ONCE_S = 0.5
"""A change waits up to 0.25 s for others and is passed on by one more message."""

BOUND_S = 2.0
"""Changes must arrive this soon even if watchers fail; they must be in force within 2.5 s."""

UNHEARD_S = 1.0
"""Time in which a store that is about to discard its history answers no watch."""

DISCARDING_S = 0.12
"""Time in which watches that begin are never answered: instances begin their own within it."""


class Sharer:
    """An instance that follows one kind, by its own watch or through watchers."""

    def __init__(
        self,
        *,
        platform: FakePlatform,
        network: FakeNetwork,
        own: PeerAddress,
        places: list[PeerAddress],
        region_of: Callable[[str], str],
    ) -> None:
        self.own = own
        self.region = region_of(own.address)
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
            membership=FixedMembership(  # type: ignore[arg-type]
                addresses=places, own=own, region_of=region_of
            ),
            followers={KIND: self.follower},
            freshness=make_freshness(self.follower),
        )

    async def ask(self, kind: str, newer_than: int) -> None:
        """Return None, as if no peer answered; ``PeerStates``."""

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
        # One platform for each instance, so that a fault can affect only some of them.
        self.platforms = [FakePlatform() for _ in range(COUNT)]
        self.operator = FakePlatform()
        for platform in self.platforms:
            platform.store = self.operator.store
        self.start_in(lambda _: "a")

    def start_in(self, region_of: Callable[[str], str]) -> None:
        """Make the instances, each in its region."""
        places = [PeerAddress(f"127.9.0.{number}", 7000, number + 1) for number in range(COUNT)]
        self.sharers = [
            Sharer(
                platform=platform,
                network=self.network,
                own=place,
                places=places,
                region_of=region_of,
            )
            for platform, place in zip(self.platforms, places, strict=True)
        ]

    @property
    def watchers(self) -> list[Sharer]:
        return [sharer for sharer in self.sharers if sharer.follower.is_watching]

    def run_with(
        self, test: Callable[[], Awaitable[None]], *, settle_s: float = WATCH_WAIT_S + 3.0
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await self.put("first")
                for sharer in self.sharers:
                    nursery.start_soon(sharer.run)
                await trio.sleep(settle_s)
                await test()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    async def put(self, name: str) -> None:
        await self.put_unheard(name)
        self.answer_watches()

    async def put_unheard(self, name: str) -> None:
        """Store an object without answering the watches that wait."""
        (await self.operator.put(kind=KIND, name=name, value={}, if_version=0)).unwrap()

    async def delete(self, name: str) -> None:
        stored = self.operator.store.get(KIND, name)
        assert stored is not None
        await self.operator.delete(kind=KIND, name=name, if_version=stored.version)
        self.answer_watches()

    def answer_watches(self) -> None:
        for platform in self.platforms:
            platform.answer_fresh()

    def known(self) -> list[set[str]]:
        return [set(sharer.follower.objects) for sharer in self.sharers]

    def calls(self) -> int:
        return sum(platform.counts["WATCH", KIND] for platform in self.platforms)

    def test_calls_do_not_grow_with_the_number_of_instances(self) -> None:
        """Guards against calls of the store that grow with the number of instances.

        If each instance watches the store, each change ends all of the watches. With 77 instances
        these calls cost a third of a day's value.
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

    def test_start_of_all_instances_costs_one_stale_listing_each(self) -> None:
        """Guards against the cost of a simultaneous start: 15 calls for each of 195 instances.

        That is nine tenths of the calls of a quiet day. All instances start at once, and backend
        servers register in the next seconds. If instances that don't know each other yet list and
        watch for themselves, each registration ends all of their watches, and further calls check
        the waiting watches for 20 s.
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
            watching = [platform for platform in self.platforms if platform.counts["WATCH", KIND]]
            self.assertEqual(len(watching), watcher_count(COUNT))
            self.assertLessEqual(self.calls(), 20 * watcher_count(COUNT))

        self.run_with(test, settle_s=0.0)

    def test_watcher_that_is_asked_just_after_its_start_watches(self) -> None:
        """Guards against changes delayed for 2 s after the restart of a watcher.

        An instance asks the restarted watcher at once. The answer says that the watcher watches and
        has no changes, so it must not wait with its watch.
        """

        async def test() -> None:
            await trio.sleep(0.2)
            first = next(sharer for sharer in self.sharers if sharer.sharing.is_watcher())
            other = next(sharer for sharer in self.sharers if sharer is not first)
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
        """Guards against a single source, and against a watcher that serves too many instances."""
        watchers = [watcher_count(instances) for instances in (1, 3, 5, 6, 25, 64, 65, 122)]
        self.assertEqual(watchers, [1, 3, 5, 2, 2, 2, 3, 4])

    def test_changes_reach_all_instances_at_once(self) -> None:
        async def test() -> None:
            await self.put("new")
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [{"first", "new"}] * COUNT)
            await self.delete("first")
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [{"new"}] * COUNT)

        self.run_with(test)

    def test_changes_arrive_after_all_watchers_are_killed(self) -> None:
        """Guards against requests to a backend server that left some seconds ago.

        All watchers are killed and a backend server leaves. The other instances must not wait for
        changes from the killed watchers.
        """

        async def test() -> None:
            killed = self.watchers
            for sharer in killed:
                self.network.close(sharer.peers)
            await self.delete("first")
            await trio.sleep(BOUND_S)
            alive = [sharer for sharer in self.sharers if sharer not in killed]
            self.assertEqual(
                [set(sharer.follower.objects) for sharer in alive], [set()] * len(alive)
            )

        self.run_with(test)

    def test_refused_watchers_are_replaced(self) -> None:
        """Guards against missed changes while the store refuses only the watchers."""

        async def test() -> None:
            refused = self.watchers
            for sharer in refused:
                self.platforms[self.sharers.index(sharer)].set_down(True)
            await self.put("new")
            await trio.sleep(BOUND_S)
            others = [sharer for sharer in self.sharers if sharer not in refused]
            for sharer in others:
                self.assertEqual(set(sharer.follower.objects), {"first", "new"})

        self.run_with(test)

    def test_refused_watcher_is_replaced_by_one_instance(self) -> None:
        """Guards against twice the calls while the store refuses a third of the instances.

        A refused watcher answers that it has lost the store. Each instance that asked it has one
        source left, and must not begin to watch three kinds for itself.
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
                others = [sharer for sharer in self.sharers if sharer is not refused]
                for sharer in others:
                    self.assertIn(f"new-{number}", sharer.follower.objects)
            served = [platform for platform in self.platforms if not platform.down]
            watched = [platform for platform in served if platform.counts["WATCH", KIND] > 2]
            self.assertLessEqual(len(watched), watcher_count(COUNT) + 1)

        self.run_with(test)

    def test_answer_with_an_unknown_kind_is_tolerated(self) -> None:
        """Guards against instances that crash during an upgrade.

        Instances of the newer version follow one more kind of object and send its changes.
        """

        async def test() -> None:
            answer = WatchAnswer(True, [KindChanges("quotas", 99, True, [], [])])
            for sharer in self.watchers:
                sharer.peers.handle(WatchQuestion, lambda _: answer)
            # Longer than a question that waits already.
            await trio.sleep(BOUND_S)
            for sharer in self.watchers:
                sharer.peers.handle(WatchQuestion, lambda _: None)
            await self.put("new")
            await trio.sleep(BOUND_S)
            self.assertEqual(self.known(), [{"first", "new"}] * COUNT)

        self.run_with(test)

    def test_watcher_that_is_cut_off_without_noticing(self) -> None:
        """Guards against missed changes while one watcher's connection to the store is silent.

        That watcher still answers its peers that there are no changes. An instance must not have it
        as its only source.
        """

        async def test() -> None:
            silent = self.watchers[0]
            platform = self.platforms[self.sharers.index(silent)]
            platform.answer_stale()
            await self.put("new")
            platform.answer_stale()
            await trio.sleep(AT_ONCE_S)
            others = [sharer for sharer in self.sharers if sharer is not silent]
            for sharer in others:
                self.assertIn("new", sharer.follower.objects)

        self.assertGreater(SOURCE_COUNT, 1)
        self.run_with(test)

    def test_watches_begun_while_the_store_discards_its_history(self) -> None:
        """Guards against a dropped route that a whole region serves for five more seconds.

        The store cuts all watches. Watches that begin at this moment are never answered, and reads
        that may be stale stay behind. Who is asked instead of a watcher must not hide the change.
        """

        async def test() -> None:
            before = self.operator.store.copy()
            for platform in self.platforms:
                platform.answer_stale(before)
            await self.put_unheard("new")
            await trio.sleep(UNHEARD_S)
            self.operator.store.forget_events()
            for platform in self.platforms:
                platform.stale_reads = before
                platform.deaf = True
                platform.cut_watches()
            await trio.sleep(DISCARDING_S)
            for platform in self.platforms:
                platform.deaf = False
                platform.answer_fresh()
            await trio.sleep(BOUND_S)
            self.assertEqual(self.known(), [{"first", "new"}] * COUNT)

        self.run_with(test)

    async def deafen(self, sharers: Sequence[Sharer]) -> None:
        """Make watches of these instances hear nothing, while their other calls are answered."""
        before = self.operator.store.copy()
        for sharer in sharers:
            platform = self.platforms[self.sharers.index(sharer)]
            platform.deaf = True
            platform.stale_reads = before
        # An answered watch is followed by another one, which is never answered.
        await self.put("noticed")
        await trio.sleep(2 * BATCH_DELAY_S)
        for sharer in sharers:
            platform = self.platforms[self.sharers.index(sharer)]
            platform.deaf = False

    def test_watcher_whose_watch_is_never_answered(self) -> None:
        """Guards against a watcher that serves an outdated state while all others know the newest.

        A watch may be neither answered nor ended. A watcher must not have it as its only source.
        """

        async def test() -> None:
            await self.deafen(self.watchers[:1])
            await self.put("new")
            await trio.sleep(BOUND_S)
            self.assertEqual(self.known(), [{"first", "noticed", "new"}] * COUNT)

        self.run_with(test)

    def test_region_whose_watches_are_never_answered(self) -> None:
        """Guards against a region that serves an outdated state while the others know the newest.

        Watches that begin at the same bad moment may all be neither answered nor ended.
        """
        self.start_in(lambda address: "a" if int(address.rpartition(".")[2]) % 2 else "b")

        async def test() -> None:
            await self.deafen([each for each in self.watchers if each.region == "a"])
            await self.put("new")
            await trio.sleep(BOUND_S)
            self.assertEqual(self.known(), [{"first", "noticed", "new"}] * COUNT)

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

    def test_no_changes_since_the_newest_version(self) -> None:
        self.assertIsNone(self.history.changes_since(15, 15, self.objects))

    def test_changes_since_an_older_version(self) -> None:
        changes = self.history.changes_since(12, 15, self.objects)
        assert changes is not None
        self.assertEqual((changes.whole, changes.removed), (False, ["a"]))
        self.assertEqual(changes.objects, [("b", 15, {})])

    def test_version_between_two_batches(self) -> None:
        """Guards against a lost event if the state at 14 came from a watcher with other batches."""
        changes = self.history.changes_since(14, 15, self.objects)
        assert changes is not None
        self.assertEqual((changes.whole, changes.removed), (False, ["a"]))

    def test_whole_state_for_a_version_that_is_too_old(self) -> None:
        changes = self.history.changes_since(9, 15, self.objects)
        assert changes is not None
        self.assertEqual((changes.whole, changes.objects), (True, [("b", 15, {})]))

    def test_whole_state_after_a_gap(self) -> None:
        """Guards against a removed backend server that stays known for ever.

        A listing between two watches replaces the state, so the removal is in no batch.
        """
        self.history.record(before=20, after=21, events=[event("put", "c", 21)])
        changes = self.history.changes_since(15, 21, {"c": StoredObject(KIND, "c", 21, {})})
        assert changes is not None
        self.assertTrue(changes.whole)

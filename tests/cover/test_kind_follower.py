"""Following a kind of object: outages, lost history, lapsed entries, help from peers."""

import random
import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_platform import FakePlatform
from wagtailpoint.discovery.follower import (
    BATCH_DELAY_S,
    REMOVAL_GRACE_S,
    KindFollower,
)
from wagtailpoint.discovery.kind_state import KindState, PeerState
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.ports.platform import StoredObject

KIND = "servers"
SETTLED_S = 3.0
"""After the store was in trouble for the last time, everything must be as usual again."""


class FakePeerStates:
    """Says what the test put here."""

    def __init__(self) -> None:
        self.told: PeerState | None = None

    async def ask(self, kind: str, newer_than: int) -> PeerState | None:
        """Answer as the test wants."""
        return self.told


class KindFollowerTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.platform = FakePlatform(most_events=5)
        self.peers = FakePeerStates()
        self.seen: list[set[str]] = []

    def run_with(self, test: Callable[[KindFollower], Awaitable[None]], can_expire: bool = True):
        async def run() -> None:
            check = StoreCheck(store=self.platform, random=random.Random(1))
            follower = KindFollower(
                kind=KIND,
                platform=self.platform,
                peers=self.peers,
                check=check,
                on_change=lambda: self.seen.append(set(follower.objects)),
                random=random.Random(1),
                can_expire=can_expire,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                nursery.start_soon(check.run)
                await trio.sleep(0.1)
                await test(follower)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    async def put(self, name: str) -> None:
        (await self.platform.put(kind=KIND, name=name, value={}, if_version=0)).unwrap()

    async def delete(self, name: str) -> None:
        stored = (await self.platform.get(kind=KIND, name=name)).unwrap()
        assert stored is not None
        (await self.platform.delete(kind=KIND, name=name, if_version=stored.version)).unwrap()

    def test_outage_costs_few_calls(self) -> None:
        """Symptom: on days with an outage of the store, its calls are the largest price.

        Sequence: the store refuses everybody for 20 s. Cause: each instance tried a watch of each
        kind once a second; a refused call costs as much as another.
        """

        async def test(follower: KindFollower) -> None:
            await self.put("a")
            await trio.sleep(1.0)
            before = self.platform.counts["WATCH", KIND]
            self.platform.set_down(True)
            await trio.sleep(20.0)
            self.assertGreater(follower.lost_for_s, 15.0)
            self.assertLess(self.platform.counts["WATCH", KIND] - before, 12)
            self.platform.set_down(False)
            await self.put("b")
            await trio.sleep(2.0)
            self.assertEqual(set(follower.objects), {"a", "b"})

        self.run_with(test)

    def test_changes_are_seen_at_once(self) -> None:
        async def test(follower: KindFollower) -> None:
            await self.put("a")
            await trio.sleep(0.01)
            self.assertEqual(set(follower.objects), {"a"})
            await trio.sleep(BATCH_DELAY_S)
            await self.delete("a")
            await trio.sleep(0.01)
            self.assertEqual(set(follower.objects), set())

        self.run_with(test)

    def test_changes_in_quick_succession_cost_few_calls(self) -> None:
        """Symptom: half of all calls to the store fall into the seconds of a release.

        Sequence: backend servers start one after the other, 50 ms apart. Cause: each event ended a
        watch by itself, and each watch is a priced call.
        """

        async def test(follower: KindFollower) -> None:
            before = self.platform.counts["WATCH", KIND]
            for number in range(20):
                await self.put(f"s{number}")
                await trio.sleep(0.05)
            await trio.sleep(BATCH_DELAY_S)
            self.assertEqual(len(follower.objects), 20)
            self.assertLessEqual(self.platform.counts["WATCH", KIND] - before, 6)

        self.run_with(test)

    def test_entries_that_lapsed_during_an_outage_are_kept_until_they_can_return(self) -> None:
        """Symptom: after an outage of the store no backend server takes requests.

        Nobody could renew the entries, so all lapsed. The list that is read just after the store's
        return lacks them, though the backend servers live and write again within two seconds.
        """

        async def test(follower: KindFollower) -> None:
            await self.put("lives")
            await self.put("dead")
            await trio.sleep(0.1)
            self.platform.set_down(True)
            await trio.sleep(5.0)
            self.platform.down = False
            await self.delete("lives")
            await self.delete("dead")
            await trio.sleep(1.2)
            self.assertEqual(set(follower.objects), {"lives", "dead"})
            await self.put("lives")
            await trio.sleep(REMOVAL_GRACE_S + 0.2)
            self.assertEqual(set(follower.objects), {"lives"})

        self.run_with(test)

    def test_removal_that_a_peer_saw_is_believed_at_once(self) -> None:
        """Symptom: a backend server that left gets requests for seconds after a cut has healed.

        An instance that was cut off held the removal for a lapse, since for it the store had been
        away. Its peers had reached the store all the while.
        """

        async def test(follower: KindFollower) -> None:
            await self.put("left")
            await trio.sleep(0.1)
            version = follower.state.version
            self.platform.set_down(True)
            await trio.sleep(3.0)
            self.peers.told = PeerState(True, KindState(version + 5, {}))
            await trio.sleep(1.0)
            self.assertEqual(set(follower.objects), set())

        self.run_with(test)

    def test_removals_after_a_cut_of_this_instance_alone_are_believed(self) -> None:
        async def test(follower: KindFollower) -> None:
            await self.put("left")
            await trio.sleep(0.1)
            self.platform.set_down(True)
            self.peers.told = PeerState(True, None)
            await trio.sleep(5.0)
            self.platform.down = False
            await self.delete("left")
            await trio.sleep(1.3)
            self.assertEqual(set(follower.objects), set())

        self.run_with(test)

    def test_silent_outage_ends_with_the_store_s_return(self) -> None:
        """Symptom: backend servers that left get requests for 20 s from all instances.

        Sequence: the store takes calls and never answers them, for a few seconds. It is well again;
        a backend server leaves. Cause: the watch of each instance is one of those calls. Its
        connection stays open, and it waits there for its whole time.
        """

        async def test(follower: KindFollower) -> None:
            await self.put("left")
            await trio.sleep(0.1)
            self.platform.set_silent(True)
            await trio.sleep(5.0)
            self.platform.set_silent(False)
            await trio.sleep(SETTLED_S)
            await self.delete("left")
            await trio.sleep(1.0)
            self.assertEqual(set(follower.objects), set())

        self.run_with(test)

    def test_watch_lost_in_a_short_silence_delays_no_change(self) -> None:
        """Guards against a watch that is never answered while all other calls are."""

        async def test(follower: KindFollower) -> None:
            await self.put("stays")
            await self.put("left")
            await trio.sleep(0.5)
            for silent_at_s in (0.0, 0.1, 0.3, 0.5, 0.7):
                await trio.sleep(silent_at_s)
                self.platform.set_silent(True)
                await trio.sleep(0.05)
                self.platform.set_silent(False)
                await trio.sleep(SETTLED_S)
                await self.put(f"new-{silent_at_s}")
                await trio.sleep(2.0)
                self.assertIn(f"new-{silent_at_s}", follower.objects)
            await self.delete("left")
            await trio.sleep(2.0)
            self.assertNotIn("left", follower.objects)

        self.run_with(test, can_expire=False)

    def test_watches_that_are_all_unanswered_delay_no_change(self) -> None:
        """Guards against one unanswered watch that is replaced by another."""

        async def test(follower: KindFollower) -> None:
            await self.put("first")
            await trio.sleep(0.1)
            self.platform.deaf = True
            await trio.sleep(1.0)
            for number in range(3):
                await self.put(f"new-{number}")
                await trio.sleep(2.0)
                self.assertIn(f"new-{number}", follower.objects)

        self.run_with(test, can_expire=False)

    def test_fresh_start_without_the_store_learns_from_a_peer(self) -> None:
        async def test(follower: KindFollower) -> None:
            self.assertFalse(follower.has_state)
            self.peers.told = PeerState(False, KindState(9, {"a": StoredObject(KIND, "a", 3, {})}))
            await trio.sleep(1.0)
            self.assertEqual(set(follower.objects), {"a"})
            self.assertTrue(follower.has_state)

        self.platform.down = True
        self.run_with(test)

    def test_stale_listing_at_a_start_that_a_peer_overtook_changes_nothing(self) -> None:
        """Guards against older objects under a newer version, which hide a change for good."""

        async def test(follower: KindFollower) -> None:
            self.assertFalse(follower.has_state)
            self.platform.answer_stale()
            self.platform.list_delay_s = 1.0
            self.platform.set_down(False)
            await trio.sleep(0.5)
            newer = self.replace_in_store()
            await trio.sleep(3.0)
            self.assertEqual(follower.state, newer)

        self.platform.store.put(KIND, "a", {}, 0)
        self.platform.down = True
        self.run_with(test)

    def test_listing_after_lost_history_that_a_peer_overtook_changes_nothing(self) -> None:
        """Guards against older objects under a newer version, which hide a change for good."""

        async def test(follower: KindFollower) -> None:
            self.platform.set_down(True)
            await trio.sleep(0.1)
            for number in range(10):
                self.platform.store.put(KIND, f"s{number}", {}, 0)
            self.platform.list_delay_s = 1.0
            self.platform.set_down(False)
            await trio.sleep(0.5)
            newer = self.replace_in_store()
            await trio.sleep(3.0)
            self.assertEqual(follower.state, newer)

        self.platform.store.put(KIND, "a", {}, 0)
        self.run_with(test)

    def replace_in_store(self) -> KindState:
        """Delete ``a`` and put ``b``, and have a peer tell so."""
        store = self.platform.store
        stored = store.get(KIND, "a")
        assert stored is not None
        store.delete(KIND, "a", stored.version)
        store.put(KIND, "b", {}, 0)
        newer = KindState(store.version, {each.name: each for each in store.list(KIND)})
        self.peers.told = PeerState(True, newer)
        return newer

    def test_older_state_of_a_peer_changes_nothing(self) -> None:
        async def test(follower: KindFollower) -> None:
            await self.put("a")
            await trio.sleep(0.1)
            self.platform.set_down(True)
            self.peers.told = PeerState(True, KindState(0, {}))
            await trio.sleep(2.0)
            self.assertEqual(set(follower.objects), {"a"})

        self.run_with(test)

    def test_lost_history_is_listed_again(self) -> None:
        async def test(follower: KindFollower) -> None:
            await self.put("first")
            await trio.sleep(0.1)
            self.platform.set_down(True)
            await trio.sleep(0.3)
            self.platform.down = False
            for number in range(10):
                await self.put(f"s{number}")
            await trio.sleep(2.0)
            self.assertEqual(len(follower.objects), 11)

        self.run_with(test)

"""A few instances watch the store for all: number of calls, delays, faults of the watchers."""

import trio

from tests.common.narrow_link import incompressible
from tests.common.revisions import rev
from tests.common.watch_sharing_case import BOUND_S, COUNT, KIND, WatchSharingCase
from wagtailpoint.adapters.reply_parts import LargeReply, ReplyPart
from wagtailpoint.discovery.follower import WATCH_WAIT_S
from wagtailpoint.discovery.history import KindChanges
from wagtailpoint.discovery.watch_order import watcher_count
from wagtailpoint.discovery.watch_sharing import SOURCE_COUNT, WatchAnswer, WatchQuestion
from wagtailpoint.ports.peers import get_message_kind

AT_ONCE_S = 0.5
"""A change waits up to 0.25 s for others and is passed on by one more message."""

LARGE_BYTES = 50_000
"""More than the questions and answers of some seconds that carry no change."""


class WatchSharingTest(WatchSharingCase):
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

    def test_watchers_send_each_other_no_change_that_both_watch(self) -> None:
        """Guards against a copy of each change for each watcher that has it from the store."""

        async def test() -> None:
            before = self.bytes_to_watchers()
            for number in range(5):
                await self.put(f"s{number}", value=incompressible(LARGE_BYTES))
                await trio.sleep(1.0)
            self.assertEqual(self.known(), [{"first", *(f"s{n}" for n in range(5))}] * COUNT)
            self.assertLess(self.bytes_to_watchers() - before, LARGE_BYTES)

        self.run_with(test)

    def bytes_to_watchers(self) -> int:
        """Return the bytes of the answers, and their parts, that the watchers got from others."""
        kinds = [get_message_kind(kind) for kind in (WatchAnswer, LargeReply, ReplyPart)]
        counts = [watcher.peers.counts.received for watcher in self.watchers]
        received = [count.get(kind) for count in counts for kind in kinds]
        return sum(traffic.bytes for traffic in received if traffic is not None)

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
            answer = WatchAnswer(True, [KindChanges("quotas", rev(99), True, [], [])])
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

    def test_change_that_cannot_be_sent_ends_no_instance(self) -> None:
        """Guards against watchers that end when they pass on a value they can't encode."""

        async def test() -> None:
            await self.put("odd", 2**127)
            await trio.sleep(BOUND_S)
            await self.put("new")
            await trio.sleep(2 * WATCH_WAIT_S)
            self.assertEqual(self.known(), [{"first", "odd", "new"}] * COUNT)

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

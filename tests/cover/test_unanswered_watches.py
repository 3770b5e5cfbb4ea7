"""Watches of the store that are neither answered nor ended, on some or all watchers of a region."""

from collections.abc import Sequence

import trio

from tests.common.watch_sharing_case import BOUND_S, COUNT, Sharer, WatchSharingCase
from wagtailpoint.discovery.follower import BATCH_DELAY_S
from wagtailpoint.discovery.watch_sharing import QUESTION_WAIT_S

UNHEARD_S = 1.0
"""Time in which a store that is about to discard its history answers no watch."""

DISCARDING_S = 0.12
"""Time in which watches that begin are never answered: instances begin their own within it."""

AT_ONCE_S = 0.5
"""Time in which a change that nothing delays reaches all instances."""

PROOF_BOUND_S = 5.0
"""Age from which a state may not be served without a newer proof; nothing proves a state here."""


class UnansweredWatchesTest(WatchSharingCase):
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

    def test_watcher_without_a_proof_is_told_at_once(self) -> None:
        """Guards against a watcher that can't serve while another one withholds the newest state.

        A change is withheld from watchers, which normally learn it from the store before. One that
        lacks a proof of its state may only lack this change.
        """

        async def test() -> None:
            deaf = self.watchers[0]
            await self.deafen([deaf])
            self.bound_s = PROOF_BOUND_S
            await trio.sleep(QUESTION_WAIT_S)
            await self.put("new")
            await trio.sleep(AT_ONCE_S)
            self.assertIn("new", deaf.follower.objects)

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

"""Following the configuration: nothing older after something newer, whatever the platform does."""

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from loguru import logger
from result import Err, Ok
from trio.testing import MockClock

from tests.common.fake_platform import FakePlatform, WatchAnswer
from wagtailpoint.config.manifest import HEAD_KIND, Snapshot
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.config.watcher import ConfigWatcher
from wagtailpoint.errors import PlatformUnavailable, WatchTooOld

LIMIT_S = 3600
IN_FORCE_S = 11.0
CALL_TIMEOUT_S = 2.0


class TimingOutPlatform(FakePlatform):
    """Gives up a watch that is never answered, as the client of the platform does."""

    async def watch(self, *, wait_s: float, **arguments: Any) -> WatchAnswer:
        with trio.move_on_after(wait_s + CALL_TIMEOUT_S):
            return await super().watch(wait_s=wait_s, **arguments)
        return Err(PlatformUnavailable("no answer in time"))


class WatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = FakePlatform(max_events=10)
        self.store = ConfigStore(platform=self.platform, clock_wall=lambda: 0.0)
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.versions: list[int] = []
        self.delivered = trio.Event()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        self.versions.append(snapshot.change.version)
        self.delivered.set()
        self.delivered = trio.Event()

    async def change(self, value: Any) -> Snapshot:
        current = (await self.store.read()).unwrap()
        outcome = await self.store.apply(
            puts={"service/a": value},
            deletes=[],
            base_version=current.change.version if current else 0,
            author="ann",
            message="",
        )
        return outcome.unwrap()

    async def until(self, version: int) -> None:
        while version not in self.versions:
            await self.delivered.wait()

    def run_with(
        self, test: Callable[[ConfigWatcher], Awaitable[None]], *, watching: bool = True
    ) -> None:
        async def run() -> None:
            watcher = ConfigWatcher(
                store=ConfigStore(platform=self.platform, clock_wall=lambda: 0.0),
                platform=self.platform,
                on_snapshot=self.on_snapshot,
                watching=watching,
                rng=random.Random(1),
            )
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(watcher.run)
                    await test(watcher)
                    nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))
        self.assertEqual(self.versions, sorted(set(self.versions)))

    def test_changes_are_delivered_at_once(self) -> None:
        async def test(_: ConfigWatcher) -> None:
            await trio.testing.wait_all_tasks_blocked()
            for version in (1, 2, 3):
                asked_s = trio.current_time()
                await self.change(version)
                await self.until(version)
                self.assertEqual(trio.current_time(), asked_s)

        self.run_with(test)

    def test_a_stale_watch_never_reverts(self) -> None:
        """Symptom: a revoked route came back on some instances for a minute.

        Sequence: the instance had version 3; its next watch was answered by a replica that still
        had the events of versions 1 and 2, and whose reads lagged too. Cause: taking the last
        event that arrived for the newest configuration.
        """

        async def test(_: ConfigWatcher) -> None:
            for version in (1, 2):
                await self.change(version)
                await self.until(version)
            replica = self.platform.store.copy()
            await self.change(3)
            await self.until(3)
            old_events = replica.events_since([HEAD_KIND], 0)
            assert old_events is not None
            self.platform.scripted_watches.append(Ok(old_events))
            self.platform.answer_stale(replica)
            await trio.sleep(600)
            self.assertEqual(self.versions, [1, 2, 3])
            self.assertFalse(self.platform.scripted_watches)
            self.platform.answer_fresh()
            await self.change(4)
            await self.until(4)

        self.run_with(test)

    def test_events_that_were_forgotten_are_made_up_for_by_a_listing(self) -> None:
        async def test(_: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)
            self.platform.set_down(True)
            await trio.sleep(60)
            self.platform.down = False
            for version in range(2, 12):
                await self.change(version)
            await self.until(11)
            self.assertNotIn(5, self.versions[2:])

        self.run_with(test)

    def test_a_change_whose_read_failed_is_not_missed(self) -> None:
        """Symptom: one instance went on with an old configuration until the next change.

        Sequence: a watch told of the new head, reading its manifest was refused, the next watch
        went on behind that event. Cause: the event was used up before the change was delivered.
        """

        async def test(_: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)

            async def refuse_next(kind: str, _: str) -> None:
                self.platform.refuse_calls = 1 if kind == HEAD_KIND else 0

            self.platform.after_put = refuse_next
            await self.change(2)
            await self.until(2)
            self.assertEqual(self.platform.refuse_calls, 0)

        self.run_with(test)

    def test_an_outage_is_met_with_few_calls(self) -> None:
        async def test(_: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)
            self.platform.set_down(True)
            before = self.platform.counts.total()
            await trio.sleep(600)
            self.assertLess(self.platform.counts.total() - before, 100)
            self.platform.set_down(False)
            await self.change(2)
            await self.until(2)

        self.run_with(test)

    def test_without_watching_it_polls_slowly_and_can_be_switched(self) -> None:
        async def test(watcher: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)
            await self.change(2)
            await self.until(2)
            self.assertEqual(self.platform.counts["WATCH", HEAD_KIND], 0)
            before = self.platform.counts.total()
            await trio.sleep(600)
            self.assertIn(self.platform.counts.total() - before, range(10, 41))
            watcher.watching = True
            await self.change(3)
            await self.until(3)
            await trio.sleep(1)
            self.assertGreater(self.platform.counts["WATCH", HEAD_KIND], 0)
            watcher.watching = False
            await self.change(4)
            await trio.sleep(1)
            self.assertNotIn(4, self.versions)
            await self.until(4)

        self.run_with(test, watching=False)

    def test_what_a_peer_knew_is_not_undone_by_the_platform(self) -> None:
        async def test(watcher: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)
            self.platform.answer_stale()
            newer = await ConfigStore(platform=self.platform, clock_wall=lambda: 0.0).apply(
                puts={"service/a": 2}, deletes=[], base_version=1, author="bob", message=""
            )
            self.platform.scripted_watches.append(Err(WatchTooOld()))
            self.assertTrue(watcher.learn(newer.unwrap()))
            self.assertFalse(watcher.learn(newer.unwrap()))
            await trio.sleep(600)
            self.assertEqual(self.versions, [1, 2])

        self.run_with(test)

    def test_watch_lost_in_a_short_silence_delays_no_change_beyond_its_bound(self) -> None:
        """Guards against a watch that is never answered while all other calls are."""
        self.platform = TimingOutPlatform(max_events=10)
        self.store = ConfigStore(platform=self.platform, clock_wall=lambda: 0.0)

        async def test(_: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)
            await trio.sleep(1.0)
            self.platform.set_silent(True)
            await trio.testing.wait_all_tasks_blocked()
            self.platform.set_silent(False)
            asked_s = trio.current_time()
            await self.change(2)
            await self.until(2)
            self.assertLess(trio.current_time() - asked_s, IN_FORCE_S)

        self.run_with(test)

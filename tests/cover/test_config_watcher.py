"""The configuration watcher: delivers versions in rising order, whatever the platform answers."""

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

import trio
from loguru import logger
from result import Err, Ok
from trio.testing import MockClock

from tests.common.fake_platform import FakePlatform, WatchAnswer
from wagtailpoint.config.manifest import HEAD_KIND, Snapshot
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.config.watcher import WATCH_WAIT_S, ConfigWatcher
from wagtailpoint.errors import PlatformUnavailable, WatchTooOld
from wagtailpoint.revision import NO_REVISION

LIMIT_S = 3600
MAX_DELIVERY_S = 11.0
CALL_TIMEOUT_S = 2.0


class TimingOutPlatform(FakePlatform):
    """Times out a watch that is never answered, as the platform client does."""

    async def watch(self, *, wait_s: float, **arguments: Any) -> WatchAnswer:
        with trio.move_on_after(wait_s + CALL_TIMEOUT_S):
            return await super().watch(wait_s=wait_s, **arguments)
        return Err(PlatformUnavailable("no answer in time"))


class SwitchingPlatform(FakePlatform):
    """Calls ``before_answer`` when the answer to a watch has arrived but is not yet returned."""

    before_answer: Callable[[], None] | None = None

    async def watch(self, **arguments: Any) -> WatchAnswer:
        answer = await super().watch(**arguments)
        if self.before_answer is not None:
            self.before_answer()
        return answer


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

    def test_changes_are_delivered_immediately(self) -> None:
        async def test(_: ConfigWatcher) -> None:
            await trio.testing.wait_all_tasks_blocked()
            for version in (1, 2, 3):
                asked_s = trio.current_time()
                await self.change(version)
                await self.until(version)
                self.assertEqual(trio.current_time(), asked_s)

        self.run_with(test)

    def test_stale_watch_does_not_revert_the_configuration(self) -> None:
        """Guards against enforcing an older version again, for example a revoked route.

        An instance has version 3. A stale replica, whose reads are stale too, answers its next
        watch with the events of versions 1 and 2. The latest event received is then not the newest
        configuration.
        """

        async def test(_: ConfigWatcher) -> None:
            for version in (1, 2):
                await self.change(version)
                await self.until(version)
            replica = self.platform.store.copy()
            await self.change(3)
            await self.until(3)
            old_events = replica.events_since([HEAD_KIND], NO_REVISION)
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

    def test_lists_again_after_the_platform_discarded_events(self) -> None:
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

    def test_change_is_delivered_after_a_failed_read(self) -> None:
        """Guards against an instance that keeps an old configuration until the next change.

        A watch returns the new head, but reading its manifest fails. If the next watch continued
        after that event, the change would never be delivered.
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

    def test_backs_off_during_an_outage(self) -> None:
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

    def test_long_requested_delay_is_shortened(self) -> None:
        """Guards against a watcher that follows no change any more after one odd refusal."""

        async def test(_: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)
            with patch.object(
                self.platform, "watch", return_value=Err(PlatformUnavailable(retry_after_s=1e18))
            ):
                self.platform.cut_watches()
                await trio.sleep(WATCH_WAIT_S)
            await self.change(2)
            await self.until(2)

        self.run_with(test)

    def test_polls_while_not_watching_and_can_be_switched(self) -> None:
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

    def test_watching_ends_while_an_answer_arrives(self) -> None:
        """Guards against an instance that ends by itself when it stops watching.

        The answer to the watch has arrived, so the cancellation of the watch comes too late.
        """
        platform = self.platform = SwitchingPlatform()
        self.store = ConfigStore(platform=platform, clock_wall=lambda: 0.0)

        async def test(watcher: ConfigWatcher) -> None:
            def stop_watching() -> None:
                watcher.watching = False

            await self.change(1)
            await self.until(1)
            platform.before_answer = stop_watching
            await self.change(2)
            await self.until(2)
            self.assertFalse(watcher.watching)

        self.run_with(test)

    def test_stale_platform_does_not_revert_a_snapshot_from_a_peer(self) -> None:
        async def test(watcher: ConfigWatcher) -> None:
            await self.change(1)
            await self.until(1)
            self.platform.answer_stale()
            newer = await ConfigStore(platform=self.platform, clock_wall=lambda: 0.0).apply(
                puts={"service/a": 2}, deletes=[], base_version=1, author="bob", message=""
            )
            self.platform.scripted_watches.append(Err(WatchTooOld()))
            self.assertTrue(watcher.deliver(newer.unwrap()))
            self.assertFalse(watcher.deliver(newer.unwrap()))
            await trio.sleep(600)
            self.assertEqual(self.versions, [1, 2])

        self.run_with(test)

    def test_unanswered_watch_delays_a_change_within_its_bound(self) -> None:
        """Guards against changes hidden by a watch that is never answered.

        The platform doesn't answer for a moment, in which the watch is opened, and then answers all
        other calls. The watch has to time out early enough for the change to be enforced in 11 s.
        """
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
            self.assertLess(trio.current_time() - asked_s, MAX_DELIVERY_S)

        self.run_with(test)

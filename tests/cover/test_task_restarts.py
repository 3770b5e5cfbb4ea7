"""Restarting of tasks after a fault of the program."""

import random
import unittest

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_platform import FakePlatform
from wagtailpoint.daemon.task_restarts import MAX_DELAY_S, MIN_DELAY_S, Task, restarting_tasks
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.platform import ABSENT, StoredObject
from wagtailpoint.revision import Revision

KIND = "servers"


class NoPeers:
    """Stands for an instance without others."""

    async def ask(self, kind: str, newer_than: Revision) -> None:
        """Return no answer."""


class TaskRestartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = Metrics()
        self.lines: list[dict[str, object]] = []
        logger.remove()
        sink = logger.add(
            lambda message: self.lines.append(
                {"event": message.record["message"], **message.record["extra"]}
            )
        )
        self.addCleanup(logger.remove, sink)

    def restarting(self, name: str, task: Task) -> Task:
        (restarting,) = restarting_tasks({name: task}, metrics=self.metrics)
        return restarting

    def run_for(self, task: Task, seconds: float) -> None:
        async def run() -> None:
            with trio.move_on_after(seconds):
                await task()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_failed_task_is_restarted_after_growing_delays(self) -> None:
        """Guards against processes that end, with all requests, for one fault of a task."""
        began: list[float] = []

        async def fail() -> None:
            began.append(trio.current_time())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep, 100.0)
                raise RecursionError("x" * 1000)

        self.run_for(self.restarting("store", fail), 100.0)
        delays = [after - before for before, after in zip(began, began[1:], strict=False)]
        self.assertEqual(delays[:3], [MIN_DELAY_S, 2 * MIN_DELAY_S, 4 * MIN_DELAY_S])
        self.assertEqual(max(delays), MAX_DELAY_S)
        self.assertEqual(self.metrics.counts["task-failed.store"], len(began))
        line = self.lines[0]
        self.assertEqual((line["event"], line["task"]), ("task-failed", "store"))
        self.assertTrue(str(line["error"]).startswith("RecursionError: xxx"))
        self.assertLess(len(str(line["error"])), 300)
        self.assertRegex(str(line["at"]), r"^test_task_restarts\.py:\d+$")

    def test_delay_is_short_after_a_long_run(self) -> None:
        began: list[float] = []

        async def fail_late() -> None:
            began.append(trio.current_time())
            await trio.sleep(2 * MAX_DELAY_S if len(began) > 3 else 0.0)
            raise ValueError("late")

        self.run_for(self.restarting("store", fail_late), 100.0)
        self.assertEqual(began[5] - began[4], 2 * MAX_DELAY_S + MIN_DELAY_S)

    def test_task_that_returns_is_not_restarted(self) -> None:
        runs = 0

        async def once() -> None:
            nonlocal runs
            runs += 1

        self.run_for(self.restarting("store", once), 100.0)
        self.assertEqual((runs, self.lines), (1, []))

    def test_changes_are_followed_after_a_fault_in_one(self) -> None:
        """Guards against an instance that learns no change any more after it failed on one."""
        platform = FakePlatform()
        seen: list[set[str]] = []

        def record() -> None:
            if "odd" in follower.objects:
                raise OverflowError("odd")
            seen.append(set(follower.objects))

        async def put(name: str) -> StoredObject:
            written = await platform.put(kind=KIND, name=name, value={}, if_version=ABSENT)
            return written.unwrap()

        async def change() -> None:
            await trio.sleep(1.0)
            await put("a")
            await trio.sleep(1.0)
            odd = await put("odd")
            await trio.sleep(30.0)
            await platform.delete(kind=KIND, name="odd", if_version=odd.version)
            await put("b")
            await trio.sleep(2 * MAX_DELAY_S)
            self.assertEqual(seen[-1], {"a", "b"})

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(check.run)
                nursery.start_soon(self.restarting(f"store.{KIND}", follower.run))
                await change()
                nursery.cancel_scope.cancel()

        check = StoreCheck(store=platform, random=random.Random(1))
        follower = KindFollower(
            kind=KIND,
            platform=platform,
            peers=NoPeers(),
            check=check,
            era=StoreEra(metrics=Metrics()),
            on_change=record,
            random=random.Random(1),
        )
        self.run_for(run, 1000.0)
        self.assertGreater(self.metrics.counts["task-failed.store.servers"], 1)

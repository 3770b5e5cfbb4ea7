"""The writer of moves during deaths, freezes, lost answers and outages of the platform."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from tests.common.fake_clock import FakeClock
from tests.common.fake_platform import FakePlatform
from tests.common.small_config import idle_board, small_config, small_move
from wagtailpoint.limits.lease import Holder, Lease
from wagtailpoint.moves.evidence import Evidence
from wagtailpoint.moves.progress import PROGRESS_KIND
from wagtailpoint.moves.writer import MOVES_LEASE, MoveWriter, ProgressCleaner
from wagtailpoint.ports.peers import PeerAddress

LEASE_S = 4.0
SHED = Evidence(answered=10, shed=10)


class WriterInstance:
    """An instance with its board and writer, on a platform shared with other instances."""

    def __init__(self, *, number: int, platform: FakePlatform, clock: FakeClock) -> None:
        own = PeerAddress(f"127.9.0.{number}", 7000, number)
        self.board = idle_board(clock)
        self.plan()
        self.writer = MoveWriter(
            platform=platform,
            clock=clock,
            board=self.board,
            lease=Lease(
                platform=platform,
                clock=clock,
                name=MOVES_LEASE,
                own=Holder(*own),
                lease_s=LEASE_S,
            ),
            lease_s=LEASE_S,
            own=own,
            is_eligible=lambda: True,
            count_receiving_servers=lambda _: (6, 0),
        )

    def plan(self, **changes: Any) -> None:
        self.board.apply(small_config(moves=[small_move(**changes)]))


class MoveWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.platform = FakePlatform()
        self.first = WriterInstance(number=1, platform=self.platform, clock=self.clock)
        self.second = WriterInstance(number=2, platform=self.platform, clock=self.clock)

    def run_async(self, work: Callable[[], Awaitable[None]]) -> None:
        async def limited() -> None:
            with trio.fail_after(30):
                await work()

        trio.run(limited)

    async def pass_time(self, seconds: float, *instances: WriterInstance) -> None:
        for _ in range(int(seconds / 0.5)):
            self.clock.now += 0.5
            for instance in instances:
                await instance.writer.step()

    @property
    def stored(self) -> tuple[int, str, str]:
        """The step, state and writer of the stored progress."""
        found = self.platform.store.get(PROGRESS_KIND, "shift")
        assert found is not None
        return found.value["step"], found.value["state"], found.value["writer"]

    def test_one_of_two_instances_writes_and_follows_the_plan(self) -> None:
        async def check() -> None:
            await self.pass_time(5, self.first, self.second)
            self.assertEqual(self.stored, (0, "running", "127.9.0.1"))
            await self.pass_time(10, self.first, self.second)
            self.assertEqual(self.stored, (1, "running", "127.9.0.1"))
            await self.pass_time(25, self.first, self.second)
            self.assertEqual(self.stored, (2, "done", "127.9.0.1"))
            self.assertEqual(self.platform.counts["PUT", PROGRESS_KIND], 4)

        self.run_async(check)

    def test_another_instance_continues_after_the_writer_died(self) -> None:
        """Guards against a move that stops permanently when its writer dies at the second step.

        Another instance must acquire the lease, and hold the step for its whole time again.
        """

        async def check() -> None:
            await self.pass_time(12, self.first)
            self.assertEqual(self.stored[:2], (1, "running"))
            await self.pass_time(9, self.second)
            self.assertEqual(self.stored[:2], (1, "running"))
            await self.pass_time(14, self.second)
            self.assertEqual(self.stored, (2, "running", "127.9.0.2"))

        self.run_async(check)

    def test_write_of_a_frozen_writer_is_rejected(self) -> None:
        """Guards against a move that holds because of shed requests and yet advances.

        The writer freezes between deciding on the next step and sending the write. A second
        instance acquires the lease, sees shed requests and holds. The first resumes and its write
        arrives: the lease alone cannot reject it, only the version of the stored progress can.
        """

        async def check() -> None:
            await self.pass_time(9, self.first)

            async def freeze(kind: str, _name: str) -> None:
                if kind == PROGRESS_KIND:
                    self.platform.before_put = None
                    await self.pass_time(6, self.second)
                    self.shed_at(self.second)
                    await self.pass_time(1, self.second)
                    self.assertEqual(self.stored, (0, "holding", "127.9.0.2"))

            self.platform.before_put = freeze
            await self.pass_time(3, self.first)
            self.assertEqual(self.stored, (0, "holding", "127.9.0.2"))
            self.assertFalse(self.first.writer.is_writing)

        self.run_async(check)

    def shed_at(self, instance: WriterInstance) -> None:
        known = instance.board.progresses["shift"]
        instance.board.apply_report(
            sender="127.9.0.3", move="shift", version=known.version, evidence=SHED
        )

    def test_platform_outage_keeps_the_step(self) -> None:
        async def check() -> None:
            await self.pass_time(5, self.first, self.second)
            self.platform.set_down(True)
            await self.pass_time(60, self.first, self.second)
            self.assertEqual(self.first.board.share("shift"), 0.1)
            self.assertFalse(self.first.writer.is_writing)
            self.platform.set_down(False)
            await self.pass_time(5, self.first, self.second)
            self.assertEqual(self.stored[:2], (0, "running"))
            await self.pass_time(12, self.first, self.second)
            self.assertEqual(self.stored[:2], (1, "running"))

        self.run_async(check)

    def test_lost_answer_is_recovered_without_a_second_write(self) -> None:
        async def check() -> None:
            self.platform.writes_of = PROGRESS_KIND
            self.platform.lose_answers = 1
            await self.pass_time(5, self.first)
            self.assertEqual(self.first.board.share("shift"), 0.1)
            self.assertEqual(self.platform.counts["PUT", PROGRESS_KIND], 1)

        self.run_async(check)

    def test_abort_is_written_and_resume_begins_at_the_first_step(self) -> None:
        async def check() -> None:
            await self.pass_time(15, self.first)
            self.first.plan(state="abort")
            await self.pass_time(1, self.first)
            self.assertEqual(self.stored[:2], (-1, "aborted"))
            self.first.plan()
            await self.pass_time(1, self.first)
            self.assertEqual(self.stored[:2], (0, "running"))

        self.run_async(check)

    def test_progress_without_a_move_is_deleted(self) -> None:
        async def check() -> None:
            await self.pass_time(5, self.first)
            cleaner = ProgressCleaner(
                platform=self.platform, board=self.first.board, is_writing=lambda: True
            )
            await cleaner.step()
            await cleaner.step()
            self.assertEqual(self.stored[0], 0)
            self.first.board.apply(small_config())
            await cleaner.step()
            self.assertIsNotNone(self.platform.store.get(PROGRESS_KIND, "shift"))
            await cleaner.step()
            self.assertIsNone(self.platform.store.get(PROGRESS_KIND, "shift"))

        self.run_async(check)

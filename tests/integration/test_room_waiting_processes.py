"""Requests that wait for room at real instances, one of which is killed."""

import signal
import unittest
from collections.abc import Sequence
from http import HTTPStatus

import trio
from loguru import logger

from tests.common.staying_callers import CallerHabits, Exchange
from tests.common.stop_group import StopGroup, stop_group
from wagtailpoint.platform.settings import PRESSURE_CONTRACT

LIMIT_S = 90.0
WORK = CallerHabits(min_work_s=0.15, max_work_s=0.4)
SERVERS = 3
SLOTS = 1
CALLERS = 60
WARM_UP_S = 3.0
AFTER_KILL_S = 4.0
WAITED = " room_wait_ms="


class KilledInstanceTest(unittest.TestCase):
    """More callers than the backend servers have slots, so that most requests wait."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def test_killed_instance_with_waiting_requests(self) -> None:
        """Guards against requests that run twice, or replies that say what did not happen."""
        killed_at = 0.0
        logs: list[str] = []

        async def test() -> StopGroup:
            nonlocal killed_at
            async with stop_group(
                WORK,
                callers=CALLERS,
                servers=SERVERS,
                slots=SLOTS,
                warm_up_s=WARM_UP_S,
                contracts=(PRESSURE_CONTRACT,),
            ) as group:
                killed_at = trio.current_time()
                group.instances[0].process.send_signal(signal.SIGKILL)
                await trio.sleep(AFTER_KILL_S)
                logs.extend(instance.process.log for instance in group.instances)
            return group

        async def run() -> StopGroup:
            with trio.fail_after(LIMIT_S):
                return await test()

        group = trio.run(run)
        exchanges = group.callers.exchanges
        for log in logs:
            self.assertIn(WAITED, log, "no request waited there")
        self.check_runs(group)
        self.check_replies(group)
        unsent = [
            each
            for each in exchanges
            if each.sent_s <= killed_at <= each.ended_s
            and each.instance == group.instances[0].address
            and each.status == 0
            and not group.servers.runs[each.request_id]
        ]
        self.assertTrue(unsent, "no request waited at the instance that was killed")
        moved = [
            each
            for each in exchanges
            if each.sent_s > killed_at and each.instance != group.instances[0].address
        ]
        self.assertIn(HTTPStatus.OK, self.statuses(moved))
        self.assertLessEqual(self.statuses(moved), {HTTPStatus.OK, HTTPStatus.SERVICE_UNAVAILABLE})

    def statuses(self, exchanges: Sequence[Exchange]) -> set[int]:
        return {exchange.status for exchange in exchanges}

    def check_runs(self, group: StopGroup) -> None:
        """Check that no caller's request ran twice."""
        ids = [exchange.request_id for exchange in group.callers.exchanges]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertEqual([name for name in ids if group.servers.runs[name] > 1], [])

    def check_replies(self, group: StopGroup) -> None:
        """Check that each success is a whole run, and that no refused request ran."""
        cancelled = {entry.request_id for entry in group.servers.cancelled}
        for exchange in group.callers.exchanges:
            runs = group.servers.runs[exchange.request_id]
            if exchange.status == HTTPStatus.OK:
                self.assertEqual(runs, 1, exchange)
                self.assertNotIn(exchange.request_id, cancelled)
            elif exchange.status == HTTPStatus.SERVICE_UNAVAILABLE:
                self.assertEqual(runs, 0, exchange)


if __name__ == "__main__":
    unittest.main()

"""Requests that wait for room at real instances, one of which is killed or cut off."""

import signal
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
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
AFTER_FAULT_S = 4.0
WAITED = " room_wait_ms="


class WaitingRequestsTest(unittest.TestCase):
    """More callers than the backend servers have slots, so that most requests wait."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_with(self, fault: Callable[[StopGroup], Awaitable[None]]) -> StopGroup:
        """Run a group with a fault; return it after the end of all requests."""
        logs: list[str] = []

        async def run() -> StopGroup:
            with trio.fail_after(LIMIT_S):
                async with stop_group(
                    WORK,
                    callers=CALLERS,
                    servers=SERVERS,
                    slots=SLOTS,
                    warm_up_s=WARM_UP_S,
                    contracts=(PRESSURE_CONTRACT,),
                ) as group:
                    await fault(group)
                    logs.extend(instance.process.log for instance in group.instances)
                return group

        group = trio.run(run)
        for log in logs:
            self.assertIn(WAITED, log, "no request waited there")
        return group

    def test_killed_instance(self) -> None:
        """Guards against requests that run twice, or replies that say what did not happen."""
        killed_at = 0.0

        async def kill(group: StopGroup) -> None:
            nonlocal killed_at
            killed_at = trio.current_time()
            group.instances[0].process.send_signal(signal.SIGKILL)
            await trio.sleep(AFTER_FAULT_S)

        group = self.run_with(kill)
        exchanges = group.callers.exchanges
        self.check_runs(group, exchanges)
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

    def test_instance_cut_off_from_backend_servers(self) -> None:
        """Guards against waiting requests that run twice, or get no reply, as their room is gone.

        Idempotent requests may run again after their connection was reset.
        """
        cut_at = healed_at = 0.0

        async def cut(group: StopGroup) -> None:
            nonlocal cut_at, healed_at
            address = group.instances[0].address
            await group.partition.cut([address], "reset")
            cut_at = trio.current_time()
            await trio.sleep(AFTER_FAULT_S)
            healed_at = trio.current_time()
            group.partition.heal([address])
            await trio.sleep(AFTER_FAULT_S)

        group = self.run_with(cut)
        exchanges = group.callers.exchanges
        self.check_runs(group, [each for each in exchanges if not each.idempotent])
        self.check_replies(group)
        senders = {
            arrival.sender
            for arrival in group.servers.arrivals
            if cut_at < arrival.time_s < healed_at
        }
        self.assertNotIn(group.instances[0].address, senders)
        self.assertNotIn(0, self.statuses(exchanges))
        served = group.callers.exchanges_at(group.instances[0].address)
        healed = [each for each in served if each.sent_s > healed_at]
        self.assertIn(HTTPStatus.OK, self.statuses(healed))

    def statuses(self, exchanges: Sequence[Exchange]) -> set[int]:
        return {exchange.status for exchange in exchanges}

    def check_runs(self, group: StopGroup, exchanges: Sequence[Exchange]) -> None:
        """Check that none of these requests ran twice."""
        ids = [exchange.request_id for exchange in exchanges]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertEqual([name for name in ids if group.servers.runs[name] > 1], [])

    def check_replies(self, group: StopGroup) -> None:
        """Check that each success is of a run that was not cancelled, and no refused one ran."""
        cancelled = Counter(entry.request_id for entry in group.servers.cancelled)
        for exchange in group.callers.exchanges:
            runs = group.servers.runs[exchange.request_id]
            if exchange.status == HTTPStatus.OK:
                self.assertGreater(runs, cancelled[exchange.request_id], exchange)
            elif exchange.status == HTTPStatus.SERVICE_UNAVAILABLE:
                self.assertEqual(runs, 0, exchange)


if __name__ == "__main__":
    unittest.main()

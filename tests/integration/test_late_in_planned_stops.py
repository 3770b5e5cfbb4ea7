"""Requests that arrive late in a planned stop, and take longer than what came before."""

import trio

from tests.common.staying_callers import CallerHabits
from tests.common.stop_group import GRACE_S, Stop, StopGroup
from tests.integration.test_planned_stops import SHORT_WARM_UP_S, SHORT_WORK, PlannedStopCase

LONGER_WORK = CallerHabits(min_work_s=1.5, max_work_s=3.9)
LONGER_AFTER_S = (0.5, 2.0, 3.5)
LATE_S = 3.0
"""Requests sent later than this after SIGTERM must be answered, or refused as not run."""


class LateRequestsTest(PlannedStopCase):
    def test_late_requests_that_take_longer_than_any_before_are_not_cut(self) -> None:
        """Guards against late requests that are passed on, and cut without an answer at the end."""
        for longer_after_s in LONGER_AFTER_S:
            with self.subTest(longer_after_s=longer_after_s):

                async def test(
                    group: StopGroup, longer_after_s: float = longer_after_s
                ) -> list[Stop]:
                    async def ask_for_more() -> None:
                        await trio.sleep(longer_after_s)
                        group.callers.change_habits(LONGER_WORK)

                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(ask_for_more)
                        stop = await group.stop(group.instances[0])
                    late = [
                        exchange
                        for exchange in group.callers.exchanges_at(stop.instance.address)
                        if exchange.sent_s > stop.signalled_s + LATE_S
                        and exchange.ended_s < stop.signalled_s + GRACE_S
                    ]
                    unanswered = [
                        exchange
                        for exchange in late
                        if not exchange.status and group.servers.runs[exchange.request_id]
                    ]
                    self.assertEqual(unanswered, [])
                    return [stop]

                self.run_with(SHORT_WORK, test, warm_up_s=SHORT_WARM_UP_S, keeps_deadlines=True)

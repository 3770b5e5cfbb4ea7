"""Bounds that all instances share, each spending its part: repeated sends, cold backend servers."""

import unittest

import trio
from trio.testing import MockClock

from wagtailpoint.placement.cold_pacing import ColdBound, ColdPacing
from wagtailpoint.proxy.repeat_budget import RepeatBound, RepeatBudget


class RepeatBudgetTest(unittest.TestCase):
    def test_sum_over_instances_keeps_the_bound(self) -> None:
        budgets = [
            RepeatBudget(bound=lambda: RepeatBound(0.2, 58), instances=lambda: 9) for _ in range(9)
        ]
        spent = 0
        for budget in budgets:
            for _ in range(100):
                budget.note_request("desk")
                while budget.take("desk"):
                    spent += 1
        self.assertLessEqual(spent, 0.2 * 900 + 58)
        self.assertGreater(spent, 0.1 * 900)

    def test_services_have_budgets_of_their_own(self) -> None:
        budget = RepeatBudget(bound=lambda: RepeatBound(0.2, 10), instances=lambda: 1)
        while budget.take("desk"):
            pass
        self.assertTrue(budget.take("vault"))


class ColdPacingTest(unittest.TestCase):
    def test_sum_over_instances_keeps_the_bound_in_every_second(self) -> None:
        """Symptom: a cold backend server crashes.

        Each of nine instances keeps to a ninth of the rate, but all spend their bursts at the same
        moment as their rates. So the burst counts against the rate of the second.
        """
        sent: list[float] = []

        async def test() -> None:
            pacings = [
                ColdPacing(bound=lambda: ColdBound(1.5, 5.0), instances=lambda: 9) for _ in range(9)
            ]
            for _ in range(400):
                for pacing in pacings:
                    if pacing.may_send("i-1", 10.0):
                        pacing.note_sent("i-1", 10.0)
                        sent.append(trio.current_time())
                await trio.sleep(0.01)

        trio.run(test, clock=MockClock(autojump_threshold=0))
        for start in sent:
            self.assertLessEqual(sum(start <= at < start + 1.0 for at in sent), 20)
        self.assertGreater(len(sent), 20)

"""Retry budget, decision on a retry, and order of candidates for it."""

import unittest
from typing import NamedTuple

from tests.common.fake_clock import FakeClock
from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.retries.policy import decide_retry, order_for_retry
from wagtailpoint.verdict import Verdict


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_limited_to_a_ratio_of_first_attempts(self) -> None:
        """Guards against a service that stays down because each request is sent three times."""
        clock = FakeClock()
        budget = RetryBudget(clock=clock, ratio=0.1, minimum_per_s=0.0)
        taken = 0
        for _ in range(1000):
            clock.now += 0.01
            budget.record_request()
            taken += budget.take() + budget.take()
        self.assertEqual(taken, 100)

    def test_hedged_requests_leave_half_of_the_budget_to_retries(self) -> None:
        """Guards against hedged requests to slow servers that use up the budget for failures."""
        clock = FakeClock()
        budget = RetryBudget(clock=clock, ratio=0.1, minimum_per_s=0.0)
        for _ in range(1000):
            budget.record_request()
        self.assertEqual(sum(budget.take(reserve_fraction=0.5) for _ in range(100)), 50)
        self.assertEqual(sum(budget.take() for _ in range(100)), 50)

    def test_first_attempts_count_for_ten_seconds(self) -> None:
        clock = FakeClock()
        budget = RetryBudget(clock=clock, ratio=1.0, minimum_per_s=0.0)
        budget.record_request()
        clock.now += 10.0
        self.assertFalse(budget.take())

    def test_service_with_little_traffic_may_retry(self) -> None:
        budget = RetryBudget(clock=FakeClock(), ratio=0.1, minimum_per_s=0.1)
        self.assertEqual([budget.take(), budget.take()], [True, False])


class DecideRetryTest(unittest.TestCase):
    def reason(
        self,
        *,
        idempotent: bool = True,
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
        response_started: bool = False,
        attempts: int = 1,
        remaining_s: float = 1.0,
        per_s: float = 1.0,
    ) -> str:
        return decide_retry(
            idempotent=idempotent,
            verdict=verdict,
            response_started=response_started,
            attempts=attempts,
            remaining_s=remaining_s,
            budget=RetryBudget(clock=FakeClock(), ratio=0.0, minimum_per_s=per_s),
        ).reason

    def test_reason_of_each_decision(self) -> None:
        self.assertEqual(self.reason(), "retry")
        self.assertEqual(self.reason(idempotent=False), "may-have-run")
        self.assertEqual(self.reason(idempotent=False, verdict=Verdict.NOT_RUN), "retry")
        self.assertEqual(self.reason(verdict=Verdict.RAN), "ran")
        self.assertEqual(self.reason(response_started=True), "response-started")
        self.assertEqual(self.reason(attempts=3), "most-attempts")
        self.assertEqual(self.reason(remaining_s=0.0), "deadline")
        self.assertEqual(self.reason(per_s=0.0), "budget")


class Candidate(NamedTuple):
    name: str
    failure_domain: str


class OrderForRetryTest(unittest.TestCase):
    def test_other_failure_domains_first(self) -> None:
        one, two = Candidate("one", "a"), Candidate("two", "a")
        three, four = Candidate("three", "b"), Candidate("four", "b")
        ordered = order_for_retry([one, two, three, four], [one])
        self.assertEqual(ordered, [three, four, two])

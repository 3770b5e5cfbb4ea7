"""Shares of a rate: what is spent in all, while loans come, go and are lost."""

import unittest
from random import Random

from tests.common.fake_clock import FakeClock
from wagtailpoint.limits.shares import RateShare

TOTAL_PER_S = 100.0
BURST_S = 0.2
LOAN_S = 4.0


class RateShareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.part = {"a": 0.5, "b": 0.5}
        self.shares = {name: self.make(name) for name in self.part}

    def make(self, name: str) -> RateShare:
        return RateShare(
            name="kolkata",
            clock=self.clock,
            total_per_s=lambda: TOTAL_PER_S,
            spendable=lambda: self.part[name],
            lendable=lambda: self.part[name] * 7 / 8,
            burst_s=BURST_S,
            loan_s=LOAN_S,
        )

    def spend(self, seconds: float) -> dict[str, int]:
        spent = dict.fromkeys(self.shares, 0)
        for _ in range(int(seconds * 1000)):
            self.clock.now += 0.001
            for name, share in self.shares.items():
                spent[name] += share.try_spend()
        return spent

    def test_loan_moves_rate_and_ends(self) -> None:
        asked_at = self.clock.now
        loan = self.shares["b"].lend(30.0)
        self.shares["a"].receive(loan, asked_at=asked_at)
        self.assertAlmostEqual(self.shares["a"].per_s, 80.0)
        self.assertAlmostEqual(self.shares["b"].per_s, 20.0)
        self.clock.now += LOAN_S * 0.95
        self.assertAlmostEqual(self.shares["a"].per_s, 50.0)
        self.assertAlmostEqual(self.shares["b"].per_s, 20.0)
        self.clock.now += LOAN_S * 0.06
        self.assertAlmostEqual(self.shares["b"].per_s, 50.0)

    def test_doubt_part_is_not_lent(self) -> None:
        self.assertAlmostEqual(self.shares["b"].lend(90.0).per_s, 50.0 * 7 / 8)
        self.assertEqual(self.shares["b"].lend(90.0).per_s, 0.0)

    def test_lost_share_leaves_no_tokens(self) -> None:
        self.spend(0.5)
        self.clock.now += 1.0
        self.shares["a"].try_spend()
        self.part["a"] = 0.0
        self.assertFalse(self.shares["a"].try_spend())

    def test_sum_never_exceeds_the_limit(self) -> None:
        random = Random(3)
        for _ in range(40):
            lender, borrower = random.sample(sorted(self.shares), 2)
            asked_at = self.clock.now
            loan = self.shares[lender].lend(random.uniform(0, 60))
            self.clock.now += random.choice([0.0, 0.05, 1.0, 5.0])
            if random.random() < 0.8:
                self.shares[borrower].receive(loan, asked_at=asked_at)
            seconds = random.choice([0.2, 1.0])
            spent = sum(self.spend(seconds).values())
            self.assertLessEqual(spent, TOTAL_PER_S * (seconds + BURST_S) + 1)


if __name__ == "__main__":
    unittest.main()

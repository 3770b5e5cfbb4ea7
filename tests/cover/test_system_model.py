"""The simulated deployment used to compare settings of placement."""

import unittest

from bench.placement import SURAKKHA, VITAMINS, main
from bench.simulated_deployment import Fault
from bench.simulated_outcomes import Outcome, largest_shift, prices, worth, worth_by
from bench.system_model import SystemModel
from click.testing import CliRunner

REGION_OF = {"a-1": "a", "b-1": "b"}


def outcome(began: float, ran_in: str, earned: float = 1.0, domain: str = "a-1") -> Outcome:
    return Outcome(began, domain, "balance", 1.0, earned, not ran_in, ran_in, price=0.1)


class FiguresTest(unittest.TestCase):
    def test_worth_is_earned_fraction_of_possible_value(self) -> None:
        outcomes = [outcome(0.1, "a"), outcome(1.2, "a", 0.2), outcome(1.3, "", 0.0, "b-1")]
        self.assertAlmostEqual(worth(outcomes), 0.4)
        self.assertAlmostEqual(prices(outcomes), 0.1)
        self.assertEqual(worth_by(outcomes, "domain"), {"a-1": 0.6, "b-1": 0.0})
        self.assertEqual(worth_by(outcomes, "began"), {"00": 1.0, "01": 0.1})

    def test_shift_is_the_fraction_that_changed_regions(self) -> None:
        before = [outcome(0.1, "a") for _ in range(8)] + [outcome(0.2, "b") for _ in range(2)]
        after = [outcome(2.1, "a") for _ in range(5)] + [outcome(2.2, "b") for _ in range(5)]
        self.assertAlmostEqual(largest_shift(before + after, REGION_OF), 0.3)
        self.assertEqual(largest_shift(before, REGION_OF), 0.0)


class SystemModelTest(unittest.TestCase):
    def test_region_with_two_servers_sends_requests_to_other_regions(self) -> None:
        """Kolkata has two of 24 backend servers, and as many callers as the other regions."""
        outcomes = SystemModel(deployment=SURAKKHA, seed=1).simulate(3.0)
        kolkata = [each for each in outcomes if SURAKKHA.region_of[each.domain] == "kolkata"]
        away = sum(each.ran_in not in ("", "kolkata") for each in kolkata)
        self.assertGreater(away, len(kolkata) / 3)
        self.assertLess(sum(each.refused for each in outcomes), len(outcomes) / 20)

    def test_lost_failure_domain_is_avoided_and_used_again_after_recovery(self) -> None:
        faults = (Fault(1.0, 1.0, "matigara"),)
        outcomes = SystemModel(deployment=SURAKKHA, seed=1, faults=faults).simulate(4.0)
        away = [each for each in outcomes if 1.3 < each.began < 1.8]
        back = [each for each in outcomes if each.began > 3.0]
        self.assertGreater(worth(back), 0.8)
        self.assertLess(sum(each.refused for each in away), len(away) / 4)

    def test_rates_of_regions_oscillate_with_different_phases(self) -> None:
        request_class = VITAMINS.classes[0]
        rates = [
            VITAMINS.rate(request_class, domain, 9.0) for domain in ("dub-a", "cork-a", "gal-a")
        ]
        self.assertAlmostEqual(sum(rates), 3 * request_class.rate)
        self.assertGreater(max(rates), 1.4 * min(rates))

    def test_constant_that_does_not_exist_is_an_error(self) -> None:
        """A mistyped constant would otherwise be ignored, and the run would show no effect."""
        result = CliRunner().invoke(main, ["--set", "cached_fraction.NOWHERE=1"])
        self.assertNotEqual(result.exit_code, 0)
        self.assertIn("cached_fraction.NOWHERE", result.output)

"""Service times that grow with the occupancy of a backend server."""

import unittest
from random import Random

from wagtailpoint.placement.occupied_service import MAX_RATIO, MIN_SAMPLES, OccupiedService


class OccupiedServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.occupied = OccupiedService()
        self.random = Random(1)

    def record(self, fraction: float, ratio: float, count: int = 300) -> None:
        for _ in range(count):
            self.occupied.record(fraction, 0.1 * ratio * self.random.gauss(1.0, 0.2), 0.1)

    def test_times_that_double_when_nearly_full(self) -> None:
        """Guards against requests to the last slots that make all others there late."""
        for fraction, ratio in ((0.25, 1.0), (0.5, 1.0), (0.75, 1.0), (1.0, 2.0)):
            self.record(fraction, ratio)
        self.assertAlmostEqual(self.occupied.ratio(0.25), 1.0)
        self.assertAlmostEqual(self.occupied.ratio(0.75), 1.0, delta=0.1)
        self.assertAlmostEqual(self.occupied.ratio(1.0), 2.0, delta=0.25)
        self.assertEqual(self.occupied.effect(0, 4), (1.0, 0.0))
        ratio, others_delay = self.occupied.effect(3, 4)
        self.assertAlmostEqual(ratio, 2.0, delta=0.25)
        self.assertGreater(others_delay, 1.0)
        self.assertEqual(self.occupied.effect(4, 4)[1], 0.0)

    def test_ratio_is_1_without_enough_samples(self) -> None:
        self.record(0.25, 1.0)
        self.record(1.0, 3.0, MIN_SAMPLES - 1)
        self.assertTrue(self.occupied.is_uniform)
        self.assertEqual(self.occupied.ratio(1.0), 1.0)

    def test_random_variation_is_no_growth(self) -> None:
        """Guards against choices that change with the errors of the measurement."""
        for _ in range(3000):
            self.record(self.random.choice((0.25, 0.5, 0.75, 1.0)), 1.0, 1)
        self.assertTrue(self.occupied.is_uniform)

    def test_ratio_never_falls_and_is_bounded(self) -> None:
        for fraction, ratio in ((0.2, 1.0), (0.5, 2.0), (0.7, 1.2), (0.9, 100.0), (1.0, 0.001)):
            self.record(fraction, ratio)
        ratios = [self.occupied.ratio(number / 50) for number in range(100)]
        self.assertEqual(ratios, sorted(ratios))
        self.assertEqual(ratios[0], 1.0)
        self.assertLessEqual(ratios[-1], MAX_RATIO)

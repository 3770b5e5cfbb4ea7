"""The earliest time at which a signal may have been sent, by when the event loop last ran."""

import unittest

from tests.common.fake_clock import FakeClock
from wagtailpoint.daemon.loop_activity import DELIVERY_S, LoopActivity


class LoopActivityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.activity = LoopActivity(clock=self.clock)

    def wait(self, *, limit_s: float, lasts_s: float) -> None:
        """Let the loop wait for at most ``limit_s``, though it may oversleep."""
        self.activity.before_io_wait(limit_s)
        self.clock.now += lasts_s
        self.activity.after_io_wait(limit_s)

    def age_s(self) -> float:
        """Return how long ago the earliest cause may have been."""
        return self.clock.monotonic() - self.activity.earliest_cause()

    def test_signal_that_ends_a_wait(self) -> None:
        self.activity.before_io_wait(1.0)
        self.clock.now += 0.3
        self.assertAlmostEqual(self.age_s(), 0.3)

    def test_signal_that_is_handled_in_a_freeze_of_a_wait(self) -> None:
        self.activity.before_io_wait(0.1)
        self.clock.now += 2.0
        self.assertAlmostEqual(self.age_s(), 2.0)

    def test_signal_that_is_handled_soon_after_a_freeze(self) -> None:
        """Guards against a signal that another thread receives after the loop has gone on."""
        self.wait(limit_s=0.1, lasts_s=2.0)
        self.wait(limit_s=0.1, lasts_s=0.1)
        self.assertAlmostEqual(self.age_s(), 2.1)

    def test_freeze_between_two_waits(self) -> None:
        self.wait(limit_s=0.1, lasts_s=0.01)
        self.clock.now += 1.5
        self.activity.before_io_wait(0.1)
        self.assertAlmostEqual(self.age_s(), 1.5)

    def test_two_freezes_with_a_moment_between_them(self) -> None:
        """Guards against a signal of the first freeze that is taken for one of the second."""
        self.wait(limit_s=0.0, lasts_s=1.0)
        self.wait(limit_s=0.0, lasts_s=0.8)
        self.assertAlmostEqual(self.age_s(), 1.8)

    def test_freeze_long_before_the_signal(self) -> None:
        self.wait(limit_s=0.0, lasts_s=2.0)
        for _ in range(10):
            self.wait(limit_s=0.1, lasts_s=DELIVERY_S / 9)
        self.assertEqual(self.age_s(), 0.0)

    def test_long_waits_are_no_standstill(self) -> None:
        for _ in range(3):
            self.wait(limit_s=0.4, lasts_s=0.4)
        self.assertEqual(self.age_s(), 0.0)

    def test_process_that_never_gets_enough_processor_time(self) -> None:
        """Guards against a stop that seems to have begun seconds ago, and ends at once."""
        for _ in range(100):
            self.wait(limit_s=0.0, lasts_s=0.1)
        self.assertLess(self.age_s(), DELIVERY_S + 0.1 + 0.01)

"""Measurement of the processor load of a process."""

import unittest
from collections.abc import Callable

import trio
from trio.testing import MockClock

from wagtailpoint.daemon.processor_load import ProcessorLoad


class ProcessorLoadTest(unittest.TestCase):
    def run_with(self, test: Callable[[ProcessorLoad], None]) -> None:
        async def run() -> None:
            load = ProcessorLoad()
            load.read()
            test(load)

        self.clock = MockClock()
        trio.run(run, clock=self.clock)

    def simulate_work(self, load: ProcessorLoad, *, seconds: float, busy_fraction: float) -> float:
        """Be busy for a fraction of each 0.1 s; return the last load that was read."""
        value = 0.0
        for _ in range(round(seconds * 10)):
            self.clock.jump(0.1 * busy_fraction)
            load.before_io_wait(1.0)
            self.clock.jump(0.1 * (1 - busy_fraction))
            load.after_io_wait(1.0)
            value = load.read()
        return value

    def test_load_is_the_fraction_of_time_without_waiting(self) -> None:
        def test(load: ProcessorLoad) -> None:
            self.assertAlmostEqual(
                self.simulate_work(load, seconds=10, busy_fraction=0.6), 0.6, delta=0.02
            )

        self.run_with(test)

    def test_load_rises_within_a_second_and_falls_over_many(self) -> None:
        """Callers arrive in bursts, so a fall of the load may be short."""

        def test(load: ProcessorLoad) -> None:
            self.assertGreater(self.simulate_work(load, seconds=1, busy_fraction=0.8), 0.5)
            self.assertGreater(self.simulate_work(load, seconds=2, busy_fraction=0.0), 0.4)
            self.assertLess(self.simulate_work(load, seconds=40, busy_fraction=0.0), 0.05)

        self.run_with(test)

    def test_time_while_frozen_counts_as_busy(self) -> None:
        def test(load: ProcessorLoad) -> None:
            self.clock.jump(5.0)
            self.assertGreater(self.simulate_work(load, seconds=0.1, busy_fraction=0.0), 0.9)

        self.run_with(test)

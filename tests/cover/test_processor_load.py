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

    def work(self, load: ProcessorLoad, *, seconds: float, busy: float) -> float:
        """Be busy for a fraction of each 0.1 s; return the last load that was read."""
        value = 0.0
        for _ in range(round(seconds * 10)):
            self.clock.jump(0.1 * busy)
            load.before_io_wait(1.0)
            self.clock.jump(0.1 * (1 - busy))
            load.after_io_wait(1.0)
            value = load.read()
        return value

    def test_part_of_the_time_that_the_loop_does_not_wait(self) -> None:
        def test(load: ProcessorLoad) -> None:
            self.assertAlmostEqual(self.work(load, seconds=10, busy=0.6), 0.6, delta=0.02)

        self.run_with(test)

    def test_rises_within_a_second_and_falls_in_many(self) -> None:
        """Callers arrive in bursts, so a fall of the load may be short."""

        def test(load: ProcessorLoad) -> None:
            self.assertGreater(self.work(load, seconds=1, busy=0.8), 0.5)
            self.assertGreater(self.work(load, seconds=2, busy=0.0), 0.4)
            self.assertLess(self.work(load, seconds=40, busy=0.0), 0.05)

        self.run_with(test)

    def test_process_that_was_frozen_was_busy(self) -> None:
        def test(load: ProcessorLoad) -> None:
            self.clock.jump(5.0)
            self.assertGreater(self.work(load, seconds=0.1, busy=0.0), 0.9)

        self.run_with(test)

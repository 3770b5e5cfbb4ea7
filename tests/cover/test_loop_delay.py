"""Measurement of the delay of the event loop, and the load that follows from it."""

import math
import unittest
from collections.abc import Callable
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import make_route, make_table
from wagtailpoint.daemon.loop_delay import LoopDelay
from wagtailpoint.daemon.overload_protection import OverloadProtection

OBJECTIVE_S = 0.8


class LoopDelayTest(unittest.TestCase):
    def run_with(self, test: Callable[[], None]) -> None:
        async def run() -> None:
            self.delay = LoopDelay()
            test()

        self.clock = MockClock()
        trio.run(run, clock=self.clock)

    def turn(self, *, busy_s: float, late_s: float = 0.0, limit_s: float = 0.01) -> None:
        """Let the loop wait to its limit and longer, then run its tasks."""
        self.delay.before_io_wait(limit_s)
        self.clock.jump(limit_s + late_s)
        self.delay.after_io_wait(limit_s)
        self.clock.jump(busy_s)
        self.delay.before_io_wait(limit_s)

    def read(self) -> float:
        return self.delay.read(trio.current_time())

    def test_long_turns_and_late_wakes_are_delays(self) -> None:
        def test() -> None:
            self.turn(busy_s=0.15)
            self.assertAlmostEqual(self.read(), 0.15)
            self.turn(busy_s=0.1, late_s=0.1)
            self.assertAlmostEqual(self.read(), 0.2)

        self.run_with(test)

    def test_turn_that_still_runs_counts(self) -> None:
        """Guards against the last of many ready tasks being taken for one without a delay."""

        def test() -> None:
            self.delay.before_io_wait(0.0)
            self.delay.after_io_wait(0.0)
            self.clock.jump(0.3)
            self.assertAlmostEqual(self.read(), 0.3)

        self.run_with(test)

    def test_long_wait_for_input_is_no_delay(self) -> None:
        def test() -> None:
            self.turn(busy_s=0.0, limit_s=60.0)
            self.delay.before_io_wait(math.inf)
            self.clock.jump(100.0)
            self.delay.after_io_wait(math.inf)
            self.delay.before_io_wait(1.0)
            self.assertEqual(self.read(), 0.0)

        self.run_with(test)

    def test_largest_delay_holds_and_then_decays(self) -> None:
        def test() -> None:
            self.turn(busy_s=0.2)
            self.clock.jump(0.2)
            self.assertAlmostEqual(self.read(), 0.2)
            self.clock.jump(0.55)
            self.assertAlmostEqual(self.read(), 0.1)

        self.run_with(test)

    def test_freeze_is_no_overload(self) -> None:
        """Guards against refusals by an instance that was suspended and has processor time."""

        def test() -> None:
            for _ in range(10):
                self.turn(busy_s=0.02)
            self.turn(busy_s=0.02, late_s=5.0)
            self.assertLess(self.read(), 0.05)
            for _ in range(5):
                # The requests that waited through the freeze.
                self.turn(busy_s=0.09)
                self.assertLess(self.read(), 0.05)

        self.run_with(test)

    def test_freeze_while_tasks_run_is_no_overload(self) -> None:
        """Guards against refusals by the tasks that follow a freeze in the same turn."""

        def test() -> None:
            self.delay.before_io_wait(0.0)
            self.delay.after_io_wait(0.0)
            self.clock.jump(5.0)
            self.assertEqual(self.read(), 0.0)

        self.run_with(test)

    def test_long_turns_after_others_are_an_overload(self) -> None:
        """Guards against an overload with turns of 0.6 s that is taken for freezes."""

        def test() -> None:
            for _ in range(2):
                self.turn(busy_s=0.6)
            self.assertAlmostEqual(self.read(), 0.6)

        self.run_with(test)

    def test_event_loop_that_is_blocked(self) -> None:
        async def run() -> float:
            delay = LoopDelay()
            trio.lowlevel.add_instrument(delay)
            await trio.sleep(0.01)
            clock.jump(0.2)
            await trio.sleep(0.01)
            return delay.read(trio.current_time())

        clock = MockClock(autojump_threshold=0.0)
        self.assertAlmostEqual(trio.run(run, clock=clock), 0.2, delta=0.01)

    def test_instrument_that_raises_ends_nothing(self) -> None:
        """Guards against an error in the measurement that ends the process or stays in force."""

        class Faulty(LoopDelay):
            def after_io_wait(self, timeout: float) -> None:
                raise RuntimeError("no clock")

        async def run() -> float:
            delay = Faulty()
            trio.lowlevel.add_instrument(delay)
            for _ in range(3):
                await trio.sleep(0.001)
            return delay.read(trio.current_time())

        with self.assertLogs("trio.abc.Instrument", "ERROR"):
            self.assertEqual(trio.run(run), 0.0)


class ReportedLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def loads(self, delays_s: list[float], *, is_enabled: bool) -> list[float]:
        """Return the load after each of some long turns, each just after the one before."""

        async def run() -> list[float]:
            delay = LoopDelay()
            table = make_table(
                make_route("a", objective_s=2.5), make_route("b", objective_s=OBJECTIVE_S)
            )
            protection = OverloadProtection(
                table=lambda: table,
                is_enabled=lambda service: is_enabled,
                has_alternative=lambda: True,
                random=Random(1),
                delay=delay,
            )
            loads = []
            for delay_s in delays_s:
                delay.before_io_wait(0.0)
                delay.after_io_wait(0.0)
                clock.jump(delay_s)
                delay.before_io_wait(0.0)
                loads.append(protection.load())
            return loads

        clock = MockClock()
        return trio.run(run, clock=clock)

    def test_load_follows_the_shortest_objective(self) -> None:
        """Guards against lookups that name an instance at which requests wait too long."""
        loads = self.loads([0.05, 0.1, 0.3], is_enabled=True)
        for load, expected in zip(loads, (0.25, 0.5, 1.0), strict=True):
            self.assertAlmostEqual(load, expected)

    def test_measurement_begins_when_the_protection_is_on(self) -> None:
        """Guards against the cost of the measurement where no service has the protection."""

        async def run() -> list[float]:
            enabled = False
            protection = OverloadProtection(
                table=lambda: make_table(make_route(objective_s=OBJECTIVE_S)),
                is_enabled=lambda service: enabled,
                has_alternative=lambda: True,
                random=Random(1),
            )
            loads = []
            for is_on in (False, True, True):
                enabled = is_on
                loads.append(protection.load())
                await trio.sleep(0.001)
                clock.jump(0.1)
                await trio.sleep(0.001)
            return [*loads, protection.gauges["loop_delay_s"]]

        clock = MockClock(autojump_threshold=0.0)
        off, begun, on, delay_s = trio.run(run, clock=clock)
        self.assertEqual([off, begun], [0.0, 0.0])
        self.assertGreater(on, 0.45)
        self.assertGreater(delay_s, 0.09)

    def test_switched_off(self) -> None:
        """Guards against another load where no service has the protection."""
        self.assertEqual(self.loads([0.05, 0.1, 0.3], is_enabled=False), [0.0, 0.0, 0.0])

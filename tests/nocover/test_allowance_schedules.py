"""Tests of shared allowances under random partitions, crashes, restarts and clock rates."""

import unittest
from collections import Counter

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from loguru import logger
from trio.testing import MockClock

from tests.common.allowance_group import REGIONS, AllowanceGroup, max_in_window
from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.limits.allowance_slots import LEASE_S, SLOTS_PER_REGION, Slot

LARGE = "large"
SMALL = "small"
ALLOWANCES = {LARGE: Allowance(30.0, 30.0), SMALL: Allowance(4.0, 4.0)}
SLACK = 20.0
OVERAGE = 0.1
WINDOW_S = 5.0
LOAD_FACTOR = 2.0
"""Ratio of the request rate of each workspace to its allowance."""

SETTLED_S = 6.0
STEPS = 30
MAX_STEP_S = 4.0
MAX_PARTITION_S = 1.5 * LEASE_S
POLL_INTERVAL_S = 0.2


def max_requests(allowance: Allowance) -> float:
    """Return the maximum number of requests that may be admitted in a window."""
    return (allowance.rate_per_s * WINDOW_S + allowance.burst) * (1.0 + OVERAGE) + SLACK


class Schedule:
    """A schedule of load and faults, determined by a seed."""

    def __init__(self, *, count: int, seed: int) -> None:
        self.group = AllowanceGroup(
            count=count, seed=seed, allowances=ALLOWANCES, slack=SLACK, clock_rates=(0.95, 1.05)
        )
        self._random = self.group.random
        self._nursery: trio.Nursery | None = None
        self.held_twice: set[Slot] = set()
        self.max_held = 0

    async def run(self) -> None:
        """Run the schedule."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.group.start(nursery)
            await trio.sleep(SETTLED_S)
            for name in ALLOWANCES:
                nursery.start_soon(self._send_load, name)
            nursery.start_soon(self._watch_holders)
            for _ in range(STEPS):
                await trio.sleep(self._random.uniform(0.0, MAX_STEP_S))
                nursery.start_soon(self._inject_fault)
            nursery.cancel_scope.cancel()

    async def _watch_holders(self) -> None:
        while True:
            held = Counter(slot for instance in self.group.instances for slot in instance.held)
            self.held_twice |= {slot for slot, holders in held.items() if holders > 1}
            self.max_held = max(self.max_held, len(held))
            await trio.sleep(POLL_INTERVAL_S)

    async def _send_load(self, workspace: str) -> None:
        assert self._nursery is not None
        rate = LOAD_FACTOR * ALLOWANCES[workspace].rate_per_s
        while True:
            await trio.sleep(self._random.expovariate(rate))
            number = self._random.randrange(len(self.group.instances))
            if not self.group.instances[number].stopped.cancel_called:
                self._nursery.start_soon(self.group.request, number, workspace)

    async def _inject_fault(self) -> None:
        draw = self._random.random()
        if draw < 0.35:
            await self._restart(self._choose_instances(0.3))
        elif draw < 0.45:
            await self._restart(range(len(self.group.instances)))
        elif draw < 0.85:
            await self._partition(self._choose_instances(0.6))
        else:
            await self._disturb_store(self._choose_instances(0.6))

    def _choose_instances(self, max_fraction: float) -> list[int]:
        count = len(self.group.instances)
        max_count = max(1, int(self._random.uniform(0.0, max_fraction) * count))
        return self._random.sample(range(count), max_count)

    async def _restart(self, numbers: "list[int] | range") -> None:
        assert self._nursery is not None
        for number in numbers:
            self.group.kill(number)
        await trio.sleep(self._random.uniform(0.2, 3.0))
        for number in numbers:
            if self.group.instances[number].stopped.cancel_called:
                self.group.restart(number, self._nursery)
        await trio.sleep(self._random.uniform(0.2, 3.0))
        self.group.set_full_views()

    async def _partition(self, numbers: list[int]) -> None:
        """Disconnect some instances from the others and the store; in some cases all notice it."""
        group = self.group
        cut = [group.instances[number] for number in numbers]
        rest = [instance for instance in group.instances if instance not in cut]
        group.network.cut_apart(
            [instance.member.address for instance in cut],
            [instance.member.address for instance in rest],
        )
        for instance in cut:
            instance.platform.set_down(True)
        await trio.sleep(self._random.uniform(0.1, 3.0))
        if self._random.random() < 0.7:
            group.set_views([cut, rest])
        await trio.sleep(self._random.uniform(0.5, MAX_PARTITION_S))
        group.network.heal()
        for instance in cut:
            instance.platform.set_down(False)
        await trio.sleep(self._random.uniform(0.1, 2.0))
        group.set_full_views()

    async def _disturb_store(self, numbers: list[int]) -> None:
        """Let the store stop answering some instances, or lose its answers to their writes."""
        platforms = [self.group.instances[number].platform for number in numbers]
        silent = self._random.random() < 0.5
        for platform in platforms:
            if silent:
                platform.set_silent(True)
            else:
                platform.lose_answers = 2
        await trio.sleep(self._random.uniform(0.5, 12.0))
        for platform in platforms:
            platform.set_silent(False)


class AllowanceScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(seed=st.integers(min_value=0, max_value=2**32 - 1), count=st.sampled_from((3, 9, 20)))
    @example(seed=1, count=82)
    @example(seed=2, count=195)
    @example(seed=3, count=490)
    def test_no_window_exceeds_the_bound(self, seed: int, count: int) -> None:
        """Guards against two holders of a slot, and tokens spent again after a restart."""
        schedule = Schedule(count=count, seed=seed)
        trio.run(schedule.run, clock=MockClock(autojump_threshold=0))
        self.assertEqual(schedule.held_twice, set())
        self.assertEqual(schedule.max_held, len(REGIONS) * SLOTS_PER_REGION)
        for name, allowance in ALLOWANCES.items():
            self.assertGreater(len(schedule.group.granted[name]), 0)
            max_count = max_in_window(schedule.group.granted[name], WINDOW_S)
            self.assertLessEqual(max_count, max_requests(allowance), name)


if __name__ == "__main__":
    unittest.main()

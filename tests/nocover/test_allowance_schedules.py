"""Allowances that many instances share, under cuts, deaths, restarts and clocks that differ."""

import unittest
from collections import Counter

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from loguru import logger
from trio.testing import MockClock

from tests.common.allowance_group import REGIONS, AllowanceGroup, most_in_window
from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.limits.allowance_slots import LEASE_S, SLOTS_OF_A_REGION, Slot

LARGE = "large"
SMALL = "small"
ALLOWANCES = {LARGE: Allowance(30.0, 30.0), SMALL: Allowance(4.0, 4.0)}
SLACK = 20.0
OVERAGE = 0.1
WINDOW_S = 5.0
PRESS = 2.0
"""The workspaces send so many times what they may."""

SETTLED_S = 6.0
STEPS = 30
LONGEST_STEP_S = 4.0
LONGEST_CUT_S = 1.5 * LEASE_S
LOOK_S = 0.2


def bound(allowance: Allowance) -> float:
    """The most that may be sent in a window."""
    return (allowance.rate_per_s * WINDOW_S + allowance.burst) * (1.0 + OVERAGE) + SLACK


class Schedule:
    """Load and faults drawn from a seed."""

    def __init__(self, *, count: int, seed: int) -> None:
        self.group = AllowanceGroup(
            count=count, seed=seed, allowances=ALLOWANCES, slack=SLACK, clock_rates=(0.95, 1.05)
        )
        self._random = self.group.random
        self._nursery: trio.Nursery | None = None
        self.held_twice: set[Slot] = set()
        self.most_held = 0

    async def run(self) -> None:
        """Play it."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.group.start(nursery)
            await trio.sleep(SETTLED_S)
            for name in ALLOWANCES:
                nursery.start_soon(self._press, name)
            nursery.start_soon(self._watch_holders)
            for _ in range(STEPS):
                await trio.sleep(self._random.uniform(0.0, LONGEST_STEP_S))
                nursery.start_soon(self._disturb)
            nursery.cancel_scope.cancel()

    async def _watch_holders(self) -> None:
        while True:
            held = Counter(slot for each in self.group.instances for slot in each.held)
            self.held_twice |= {slot for slot, holders in held.items() if holders > 1}
            self.most_held = max(self.most_held, len(held))
            await trio.sleep(LOOK_S)

    async def _press(self, workspace: str) -> None:
        assert self._nursery is not None
        rate = PRESS * ALLOWANCES[workspace].rate_per_s
        while True:
            await trio.sleep(self._random.expovariate(rate))
            number = self._random.randrange(len(self.group.instances))
            if not self.group.instances[number].stopped.cancel_called:
                self._nursery.start_soon(self.group.request, number, workspace)

    async def _disturb(self) -> None:
        draw = self._random.random()
        if draw < 0.35:
            await self._restart(self._some(0.3))
        elif draw < 0.45:
            await self._restart(range(len(self.group.instances)))
        elif draw < 0.85:
            await self._cut(self._some(0.6))
        else:
            await self._cut_store(self._some(0.6))

    def _some(self, most_part: float) -> list[int]:
        count = len(self.group.instances)
        most = max(1, int(self._random.uniform(0.0, most_part) * count))
        return self._random.sample(range(count), most)

    async def _restart(self, numbers: "list[int] | range") -> None:
        assert self._nursery is not None
        for number in numbers:
            self.group.kill(number)
        await trio.sleep(self._random.uniform(0.2, 3.0))
        for number in numbers:
            if self.group.instances[number].stopped.cancel_called:
                self.group.restart(number, self._nursery)
        await trio.sleep(self._random.uniform(0.2, 3.0))
        self.group.see_all()

    async def _cut(self, numbers: list[int]) -> None:
        """Cut some off from the others and the store, and let all see that, or not."""
        group = self.group
        cut = [group.instances[number] for number in numbers]
        rest = [each for each in group.instances if each not in cut]
        group.network.cut_apart(
            [each.member.address for each in cut], [each.member.address for each in rest]
        )
        for each in cut:
            each.platform.set_down(True)
        await trio.sleep(self._random.uniform(0.1, 3.0))
        if self._random.random() < 0.7:
            group.see([cut, rest])
        await trio.sleep(self._random.uniform(0.5, LONGEST_CUT_S))
        group.network.heal()
        for each in cut:
            each.platform.set_down(False)
        await trio.sleep(self._random.uniform(0.1, 2.0))
        group.see_all()

    async def _cut_store(self, numbers: list[int]) -> None:
        """The store answers some instances no more, or loses what it answers to their writes."""
        platforms = [self.group.instances[number].platform for number in numbers]
        silent = self._random.random() < 0.5
        for each in platforms:
            if silent:
                each.set_silent(True)
            else:
                each.lose_answers = 2
        await trio.sleep(self._random.uniform(0.5, 12.0))
        for each in platforms:
            each.set_silent(False)


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
        """Guards against two holders of one part, and parts that are spent anew after a restart."""
        schedule = Schedule(count=count, seed=seed)
        trio.run(schedule.run, clock=MockClock(autojump_threshold=0))
        self.assertEqual(schedule.held_twice, set())
        self.assertEqual(schedule.most_held, len(REGIONS) * SLOTS_OF_A_REGION)
        for name, allowance in ALLOWANCES.items():
            self.assertGreater(len(schedule.group.granted[name]), 0)
            most = most_in_window(schedule.group.granted[name], WINDOW_S)
            self.assertLessEqual(most, bound(allowance), name)


if __name__ == "__main__":
    unittest.main()

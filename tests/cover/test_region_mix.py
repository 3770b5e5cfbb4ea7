"""Limit on how fast requests may shift between regions."""

import unittest
from collections import Counter
from collections.abc import Sequence
from itertools import pairwise
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import (
    MAX_SHIFT,
    REGION_OF,
    make_placement,
    make_route,
    make_server,
)
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.choice import Choice, Demand, Observation
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.placement import Placement

FEW_PER_S = 8
"""Request rate of one of many instances."""


class RegionMixTest(unittest.TestCase):
    """The regions in which requests run change gradually, except after faults."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)
        self.near = [make_server(f"i-a{n}", failure_domain="a-1") for n in range(4)]
        self.far = [make_server(f"i-b{n}", failure_domain="b-1") for n in range(8)]
        self.fleet.update([*self.near, *self.far])
        self.placement = make_placement(self.fleet)
        self.random = Random(5)

    def run_with(self, test) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    async def far_share(
        self, seconds: float = 2.0, near_load: int = 0, placements: Sequence[Placement] = ()
    ) -> float:
        """Return the fraction of the requests of some seconds that run in the distant region."""
        ran: Counter[str] = Counter()
        for number in range(int(seconds * 50)):
            await trio.sleep(0.02)
            for placement in placements or [self.placement]:
                if not placements or self.random.random() < FEW_PER_S / 50:
                    ran[self.request(placement, number, near_load)] += 1
        return ran["b"] / ran.total()

    def request(self, placement: Placement, number: int, near_load: int) -> str:
        """Send one request; return the region where it runs."""
        route = make_route(objective_s=0.5)
        demand = Demand(route, "desk", None, f"k{number % 40}", (), 1.0, 0.5)
        placement.record_request(demand)
        choice = placement.choose(demand)
        assert isinstance(choice, Choice), (choice, trio.current_time())
        near = choice.region == "a"
        load = LoadReport(min(3, near_load), max(0, near_load - 3), 3) if near else None
        seen = Observation(0.08 if near else 0.18, 400, False, False, load, 0.0)
        underway = placement.record_send(demand, choice)
        placement.record_answer(demand, choice, seen)
        placement.record_end(choice.entry, underway)
        return choice.region

    def test_load_shifts_requests_gradually(self) -> None:
        """Guards against a third of a region's requests running elsewhere within two seconds.

        The first load reports show that the backend servers of the region are full. Without a limit
        each request goes where an answer is expected soonest.
        """

        async def test() -> None:
            for _ in range(5):
                before = await self.far_share()
            shares = [before]
            for _ in range(6):
                shares.append(await self.far_share(near_load=12))
            steps = [later - sooner for sooner, later in pairwise(shares)]
            self.assertLess(max(steps), MAX_SHIFT)
            self.assertGreater(shares[-1], shares[0] + MAX_SHIFT)

        self.run_with(test)

    def test_many_instances_with_few_requests_each(self) -> None:
        """Guards against 27 in 100 requests of a region running elsewhere within two seconds.

        25 instances share the callers of the region and send some 16 requests each in two seconds;
        the backend servers of the region fill up, and all instances notice at once. An instance
        with fewer than 30 requests in two seconds cannot tell a shift from random variation; if it
        does not limit the shift, the shifts of all instances add up.
        """

        async def test() -> None:
            placements = [make_placement(self.fleet, instances=25) for _ in range(25)]
            for _ in range(5):
                before = await self.far_share(placements=placements)
            shares = [before]
            for _ in range(6):
                shares.append(await self.far_share(near_load=12, placements=placements))
            steps = [later - sooner for sooner, later in pairwise(shares)]
            self.assertLess(max(steps), MAX_SHIFT)
            self.assertGreater(shares[-1], shares[0] + MAX_SHIFT)

        self.run_with(test)

    def test_lost_region_shifts_all_requests_at_once(self) -> None:
        async def test() -> None:
            for _ in range(5):
                before = await self.far_share()
            self.assertLess(before, 0.5)
            self.fleet.update(self.far)
            self.assertEqual(await self.far_share(), 1.0)

        self.run_with(test)

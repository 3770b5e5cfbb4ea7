"""How fast the regions in which requests run may change."""

import unittest
from collections import Counter
from itertools import pairwise

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import (
    MOST_SHIFT,
    REGION_OF,
    make_placement,
    make_route,
    make_server,
)
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.choice import Choice, Demand, Observation
from wagtailpoint.placement.server_load import LoadReport


class RegionMixTest(unittest.TestCase):
    """Where requests run does not change suddenly, but for faults."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)
        self.near = [make_server(f"i-a{n}", failure_domain="a-1") for n in range(4)]
        self.far = [make_server(f"i-b{n}", failure_domain="b-1") for n in range(8)]
        self.fleet.update([*self.near, *self.far])
        self.placement = make_placement(self.fleet)

    def run_with(self, test) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    async def far_share(self, seconds: float = 2.0, near_load: int = 0) -> float:
        """The part of the requests of some seconds that run in the far region."""
        ran: Counter[str] = Counter()
        for number in range(int(seconds * 50)):
            await trio.sleep(0.02)
            route = make_route(objective_s=0.5)
            demand = Demand(route, "desk", None, f"k{number % 40}", (), 1.0, 0.5)
            self.placement.note_request(demand)
            choice = self.placement.choose(demand)
            assert isinstance(choice, Choice)
            ran[choice.region] += 1
            near = choice.region == "a"
            load = LoadReport(min(3, near_load), max(0, near_load - 3), 3) if near else None
            seen = Observation(0.08 if near else 0.18, 400, False, False, load, 0.0)
            self.placement.began(demand, choice.entry)
            self.placement.note_answer(demand, choice, seen)
            self.placement.ended(choice.entry)
        return ran["b"] / ran.total()

    def test_load_moves_few_requests_at_a_time(self) -> None:
        """Symptom: within two seconds a third of a region's requests run in another region.

        Sequence: the backend servers of the own region tell for the first time how full they are.
        Cause: each request goes where it is answered soonest by what is known now.
        """

        async def test() -> None:
            for _ in range(5):
                before = await self.far_share()
            shares = [before]
            for _ in range(6):
                shares.append(await self.far_share(near_load=4))
            steps = [later - sooner for sooner, later in pairwise(shares)]
            self.assertLess(max(steps), MOST_SHIFT)
            self.assertGreater(shares[-1], shares[0] + MOST_SHIFT)

        self.run_with(test)

    def test_faults_move_all_at_once(self) -> None:
        async def test() -> None:
            for _ in range(5):
                before = await self.far_share()
            self.assertLess(before, 0.5)
            self.fleet.update(self.far)
            self.assertEqual(await self.far_share(), 1.0)

        self.run_with(test)

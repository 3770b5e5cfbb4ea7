"""One place in a region for each object, agreed by all, and what misses must not teach."""

import unittest
from collections import defaultdict
from random import Random
from statistics import mean

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import (
    REGION_OF,
    make_placement,
    make_route,
    make_server,
    make_table,
)
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.choice import Choice, Demand, Observation
from wagtailpoint.placement.placement import Placement
from wagtailpoint.placement.route_costs import MAX_UNCACHED_RUN, RouteCost

KEYS = 60
CACHED_S = 0.08
UNCACHED_S = 0.32
FAR_S = 0.1


class FewRequestsForEachObjectTest(unittest.TestCase):
    """Many backend servers that remember few objects; each object is asked for now and then."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)
        self.random = Random(3)
        self.places: dict[str, set[str]] = defaultdict(set)

    def add_servers(self, near: int, far: int) -> None:
        self.fleet.update(
            [
                *(make_server(f"i-a{n}", failure_domain=f"a-{n % 2 + 1}") for n in range(near)),
                *(make_server(f"i-b{n}", failure_domain="b-1") for n in range(far)),
            ]
        )

    def play(self, *, seconds: float, rate: float) -> None:
        """Requests for all keys alike, by three instances of the region ``a``.

        They know the load by then: as many seconds with other keys come before.
        """

        async def run() -> None:
            placements = [make_placement(self.fleet, instances=3) for _ in range(3)]
            for number in range(2 * int(seconds * rate)):
                await trio.sleep(1 / rate)
                before = "before-" if number < int(seconds * rate) else ""
                key = f"{before}{self.random.randrange(KEYS)}"
                self.request(self.random.choice(placements), key)
            for key in list(self.places):
                if key.startswith("before-"):
                    del self.places[key]

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def request(self, placement: Placement, key: str) -> None:
        policy = make_table().services["desk"]
        demand = Demand(make_route(), "desk", policy, key, (), 1.0, 0.3)
        placement.record_request(demand)
        choice = placement.choose(demand)
        assert isinstance(choice, Choice), choice
        at = choice.entry.server_id
        service_s = CACHED_S if at in self.places[key] else UNCACHED_S
        self.places[key].add(at)
        latency_s = service_s + (FAR_S if choice.region == "b" else 0.0)
        underway = placement.record_send(demand, choice)
        placement.record_answer(
            demand, choice, Observation(latency_s, 5000, False, False, None, 0.0)
        )
        placement.record_end(choice.entry, underway)

    def test_each_object_is_fetched_once_in_the_region(self) -> None:
        """Symptom: a fifth of the answers come late although no backend server is busy.

        Sequence: an object is fetched at the first backend server of all, in whatever region; then
        at one of the own failure domain, and by other instances at one of the region. Cause: each
        of them was weighed by what one instance had learned, and none was agreed on but one far
        away. With few requests for each object every further place is a further late answer.
        """
        self.add_servers(near=20, far=40)
        self.play(seconds=20.0, rate=30.0)
        met = [len(found) for found in self.places.values()]
        self.assertLess(mean(met), 1.3)
        near = [at for found in self.places.values() for at in found if at.startswith("i-a")]
        self.assertGreater(len(near), 0.9 * sum(met))

    def test_region_with_few_servers_holds_a_part(self) -> None:
        """Symptom: callers of the smallest region wait in its queues, beside idle regions.

        The keys that its slots can't serve have one agreed place elsewhere, and keep it.
        """
        self.add_servers(near=2, far=40)
        self.play(seconds=20.0, rate=90.0)
        far = [key for key, found in self.places.items() if any("b" in at for at in found)]
        self.assertGreater(len(far), KEYS / 4)
        self.assertLess(len(far), KEYS)
        self.assertLess(mean(len(self.places[key]) for key in far), 2.5)


class MissesTest(unittest.TestCase):
    """Answers of objects that were not cached after all."""

    def test_misses_do_not_make_what_is_cached_look_slow(self) -> None:
        """Symptom: requests go to backend servers that don't have their objects.

        Sequence: in the first seconds two of three objects are fetched anew, also where they were
        believed to be. Cause: the time of those answers was learned as that of cached ones, so
        that a backend server with the object seemed no better than one without.
        """
        cost = RouteCost(objective_s=0.3)
        for number in range(60):
            cost.record(CACHED_S if number % 3 == 0 else UNCACHED_S, 400, number * 0.05)
        self.assertLess(cost.service_s(3.0), 1.5 * CACHED_S)

    def test_belief_that_is_too_low_is_corrected(self) -> None:
        cost = RouteCost(objective_s=0.3)
        for number in range(4 * MAX_UNCACHED_RUN):
            cost.record(1.0, 400, number * 0.05)
        self.assertGreater(cost.service_s(number * 0.05), 0.8)

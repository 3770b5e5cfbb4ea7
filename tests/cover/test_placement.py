"""Choice of a backend server: affinity, load, home regions, failures, scarce slots."""

import unittest
from collections import Counter

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import (
    REGION_OF,
    make_limit_pacing,
    make_placement,
    make_route,
    make_server,
    make_stated_limits,
    make_table,
)
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.limits.stated_limit import StatedLimit
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.choice import Choice, Demand, NotPlaced, Observation
from wagtailpoint.placement.entry_counts import FixedEntryCounts
from wagtailpoint.placement.expectation import Prospect, expect
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.placement import Placement

DOMAINS = ("a-1", "a-2", "b-1")


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)

    def run_with(self, test) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    def demand(self, key: str = "k", **changes) -> Demand:
        demand = Demand(
            route=make_route(),
            service="desk",
            policy=make_table().services["desk"],
            key=key,
            tried=(),
            remaining_s=1.0,
            objective_remaining_s=0.3,
        )
        return demand._replace(**changes)

    def make_placement_with_twelve_servers(self) -> Placement:
        self.fleet.update(
            make_server(f"i-{number}", failure_domain=DOMAINS[number % 3]) for number in range(12)
        )
        return make_placement(self.fleet)

    def choose(self, placement: Placement, demand: Demand) -> Choice:
        choice = placement.choose(demand)
        assert isinstance(choice, Choice), choice
        return choice

    def answer(
        self, placement: Placement, demand: Demand, choice: Choice, latency_s: float = 0.08, **seen
    ) -> None:
        observation = Observation(latency_s, 400, False, False, None, 0.0)
        underway = placement.record_send(demand, choice)
        placement.record_answer(demand, choice, observation._replace(**seen))
        placement.record_end(choice.entry, underway)

    def test_key_stays_where_it_is_cached(self) -> None:
        async def test() -> None:
            placement = self.make_placement_with_twelve_servers()
            used = set()
            for _ in range(20):
                demand = self.demand()
                placement.record_request(demand)
                choice = self.choose(placement, demand)
                used.add(choice.entry.server_id)
                self.answer(placement, demand, choice)
                await trio.sleep(0.1)
            self.assertLessEqual(len(used), 2)

        self.run_with(test)

    def test_few_servers_hold_a_key_also_under_load(self) -> None:
        """Guards against spillover that makes every request take as long as an uncached one.

        If requests spill over to any backend server with capacity under high load, every key
        reaches all servers, the caches overflow, and the load rises further.
        """

        async def test() -> None:
            placement = self.make_placement_with_twelve_servers()
            used: Counter[str] = Counter()
            for _ in range(60):
                choice = placement.choose(self.demand())
                if isinstance(choice, Choice):
                    placement.record_send(self.demand(), choice)
                    used[choice.entry.server_id] += 1
            self.assertLessEqual(len(used), 5)

        self.run_with(test)

    def test_only_home_regions_are_chosen(self) -> None:
        async def test() -> None:
            placement = self.make_placement_with_twelve_servers()
            route = make_route(home_regions=frozenset(["b"]))
            for number in range(30):
                choice = self.choose(placement, self.demand(str(number), route=route))
                self.assertEqual(choice.entry.failure_domain, "b-1")

        self.run_with(test)

    def test_without_a_home_region_no_server_is_chosen(self) -> None:
        """Guards against taking an empty set of home regions for an unrestricted route."""

        async def test() -> None:
            placement = self.make_placement_with_twelve_servers()
            route = make_route(home_regions=frozenset())
            chosen = placement.choose(self.demand(route=route))
            self.assertEqual(chosen, NotPlaced("no backend server"))

        self.run_with(test)

    def test_server_that_was_tried_is_not_chosen_again(self) -> None:
        async def test() -> None:
            placement = self.make_placement_with_twelve_servers()
            first = self.choose(placement, self.demand())
            second = self.choose(placement, self.demand(tried=[first.entry.server_id]))
            self.assertNotEqual(first.entry, second.entry)

        self.run_with(test)

    def test_unreachable_server_is_used_again_after_backoff_and_connection(self) -> None:
        async def test() -> None:
            self.fleet.update([make_server("i-1"), make_server("i-2")])
            placement = make_placement(self.fleet)
            placement.record_unreachable(self.fleet.entries["i-1"])
            chosen = {
                self.choose(placement, self.demand(str(n))).entry.server_id for n in range(20)
            }
            self.assertEqual(chosen, {"i-2"})
            self.assertEqual(placement.servers_to_probe(), [])
            await trio.sleep(0.6)
            chosen = {
                self.choose(placement, self.demand(str(n))).entry.server_id for n in range(20)
            }
            self.assertEqual(chosen, {"i-2"}, "before a connection opened")
            (rested,) = placement.servers_to_probe()
            placement.record_reachable(rested)
            chosen = {
                self.choose(placement, self.demand(str(n))).entry.server_id for n in range(20)
            }
            self.assertEqual(chosen, {"i-1", "i-2"})

        self.run_with(test)

    def test_suspicion_is_ignored_if_all_servers_are_suspect(self) -> None:
        """Guards against refusing all requests after a short failure of the instance's link."""

        async def test() -> None:
            self.fleet.update([make_server("i-1"), make_server("i-2")])
            placement = make_placement(self.fleet)
            for entry in self.fleet.entries.values():
                placement.record_unreachable(entry)
            self.choose(placement, self.demand())

        self.run_with(test)

    def test_urgent_requests_may_queue_behind_others(self) -> None:
        async def test() -> None:
            self.fleet.update([make_server("i-1")])
            placement = make_placement(self.fleet)
            other, urgent = make_route(priority=2), make_route(priority=1)
            while isinstance(choice := placement.choose(self.demand(route=other)), Choice):
                placement.record_send(self.demand(route=other), choice)
            self.assertIsInstance(placement.choose(self.demand(route=urgent)), Choice)

        self.run_with(test)

    def test_instance_that_was_frozen_serves_again(self) -> None:
        """Guards against an instance that refuses nearly all requests as too late for good.

        After a freeze of five seconds, the answers of the requests in flight seem to have taken
        five seconds. If that becomes the estimated service time of the route, no further request is
        sent that could correct the estimate.
        """

        async def test() -> None:
            placement = self.make_placement_with_twelve_servers()
            for number in range(120):
                demand = self.demand(str(number // 3))
                choice = placement.choose(demand)
                if isinstance(choice, Choice):
                    latency_s = 5.0 if number % 3 == 2 else 0.08
                    self.answer(placement, demand, choice, latency_s)
            sent = 0
            for number in range(40):
                await trio.sleep(0.1)
                choice = placement.choose(self.demand(str(number), remaining_s=0.8))
                if isinstance(choice, Choice):
                    sent += 1
                    self.answer(placement, self.demand(str(number)), choice)
            self.assertGreater(sent, 30)

        self.run_with(test)

    def test_route_added_under_load_may_wait_like_others(self) -> None:
        """Guards against refusing a new route's requests at queues in which other requests wait."""

        async def test() -> None:
            placement = self.make_placement_with_twelve_servers()
            known = make_route("known", objective_s=0.25)
            for number in range(120):
                await trio.sleep(0.01)
                demand = self.demand(str(number), route=known)
                self.answer(placement, demand, self.choose(placement, demand))
            for entry in self.fleet.entries.values():
                placement.load_of(entry).record_report(
                    LoadReport(3, 6, 3), trio.current_time(), 0.0
                )
            for name, objective_s in (("known", 0.25), ("added", 1.0)):
                route = make_route(name, objective_s=objective_s)
                demand = self.demand(
                    route=route, remaining_s=1.0, objective_remaining_s=objective_s
                )
                self.assertIsInstance(placement.choose(demand), Choice, name)

        self.run_with(test)

    def test_server_at_its_stated_limit_is_replaced(self) -> None:
        """Guards against refusals while other backend servers have free slots."""

        async def test() -> None:
            self.fleet.update(make_server(f"i-{number}") for number in range(6))
            limits = make_stated_limits(self.fleet)
            placement = make_placement(self.fleet, limits=make_limit_pacing(limits))
            first = self.choose(placement, self.demand()).entry
            limits.apply([StatedLimit(first.start.key, 1, 1.0)])
            other = self.choose(placement, self.demand()).entry
            self.assertNotEqual(other, first)
            await trio.sleep(1.1)
            self.assertEqual(self.choose(placement, self.demand()).entry, first)
            self.assertTrue(placement.take_by_limit(first))
            self.assertFalse(placement.take_by_limit(first))
            self.assertTrue(placement.take_by_limit(other))

        self.run_with(test)

    def test_server_beyond_the_preferred_ones_is_used_when_those_state_limits(self) -> None:
        """Guards against refusals while backend servers without a limit are idle."""

        async def test() -> None:
            self.fleet.update(make_server(f"i-{number}") for number in range(5))
            limits = make_stated_limits(self.fleet)
            placement = make_placement(self.fleet, limits=make_limit_pacing(limits))
            for _ in range(4):
                entry = self.choose(placement, self.demand()).entry
                limits.apply([StatedLimit(entry.start.key, 1, 1.0)])
            for _ in range(3):
                self.assertIsNone(
                    limits.per_s(self.choose(placement, self.demand()).entry.start.key)
                )

        self.run_with(test)

    def test_substitutes_are_the_same_on_all_instances(self) -> None:
        """Guards against an object that each instance moves to another backend server."""

        async def test() -> None:
            chosen = set()
            for _ in range(4):
                fleet = Fleet(region_of=REGION_OF)
                fleet.update(make_server(f"i-{number}") for number in range(12))
                limits = make_stated_limits(fleet)
                placement = make_placement(fleet, limits=make_limit_pacing(limits))
                first = self.choose(placement, self.demand()).entry
                limits.apply([StatedLimit(first.start.key, 1, 0.0)])
                choice = self.choose(placement, self.demand())
                chosen.add(choice.entry.server_id)
                self.assertGreater(choice.cached, 0.9)
            self.assertEqual(len(chosen), 1)

        self.run_with(test)

    def test_all_servers_at_their_stated_limits(self) -> None:
        async def test() -> None:
            self.fleet.update(make_server(f"i-{number}") for number in range(4))
            limits = make_stated_limits(self.fleet)
            placement = make_placement(self.fleet, limits=make_limit_pacing(limits))
            limits.apply(
                [StatedLimit(entry.start.key, 1, 1.0) for entry in self.fleet.entries.values()]
            )
            placed = placement.choose(self.demand())
            assert isinstance(placed, NotPlaced)
            self.assertEqual({declined.reason for declined in placed.declined}, {"limited"})

        self.run_with(test)

    def test_no_server_and_no_time(self) -> None:
        async def test() -> None:
            placement = make_placement(self.fleet)
            nothing = placement.choose(self.demand())
            self.assertEqual(nothing, NotPlaced("no backend server"))
            self.fleet.update([make_server("i-1")])
            late = placement.choose(self.demand(remaining_s=0.02))
            self.assertEqual(late, NotPlaced("too late"))

        self.run_with(test)

    def test_server_that_fails_a_part_of_its_requests_is_avoided_and_tried_again(self) -> None:
        async def test() -> None:
            self.fleet.update([make_server("i-1"), make_server("i-2")])
            placement = make_placement(self.fleet)
            demand = self.demand()
            bad = self.choose(placement, demand)
            for _ in range(5):
                self.answer(placement, demand, bad, failed=True)
            self.assertNotEqual(self.choose(placement, demand).entry, bad.entry)
            await trio.sleep(10.0)
            self.assertEqual(self.choose(placement, demand).entry, bad.entry)

        self.run_with(test)


class CachedFractionTest(unittest.TestCase):
    def test_small_failure_domain_caches_what_its_slots_can_serve(self) -> None:
        async def test() -> None:
            fleet = Fleet(region_of=REGION_OF)
            fleet.update(
                [
                    make_server("i-1", failure_domain="a-1"),
                    *(make_server(f"i-b{n}", failure_domain="b-1") for n in range(10)),
                ]
            )
            part = CachedFraction(fleet=fleet, entries=FixedEntryCounts(1, 1, 1))
            for _ in range(2000):
                part.record_request("desk", 0.1)
                await trio.sleep(0.02)  # 50 requests a second of 0.1 s each need 5 slots.
            for _ in range(60):
                part.record_request("desk", 0.1)
                part.domain_fraction("desk", "a-1")
                await trio.sleep(0.6)
                for _ in range(30):
                    part.record_request("desk", 0.1)
            self.assertLess(part.domain_fraction("desk", "a-1"), 0.6)
            self.assertEqual(part.domain_fraction("desk", "b-1"), 1.0)

        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        trio.run(test, clock=MockClock(autojump_threshold=0))


class ExpectationTest(unittest.TestCase):
    prospect = Prospect(
        service_s=0.08,
        ahead_service_s=0.08,
        cached=0.95,
        expected_uses=1.0,
        round_trip_s=0.001,
        occupancy=0.0,
        slots=3,
        utilisation=0.2,
        error_share=0.0,
        reply_bytes=400,
        crosses_domain=False,
        crosses_region=False,
    )

    def loss(self, **changes) -> float:
        return expect(self.prospect._replace(**changes), objective_s=0.3).loss

    def test_loss_rises_with_each_disadvantage(self) -> None:
        best = self.loss()
        for worse in (
            {"cached": 0.05},
            {"round_trip_s": 0.11},
            {"occupancy": 3.0},
            {"error_share": 0.5},
            {"reply_bytes": 90_000, "crosses_region": True},
            {"service_s": 0.4},
        ):
            self.assertGreater(self.loss(**worse), best, worse)

    def test_distant_server_with_the_object_beats_a_near_one_without(self) -> None:
        far = self.loss(round_trip_s=0.11, crosses_region=True)
        self.assertLess(far, self.loss(cached=0.05))

    def test_cost_of_an_uncached_object_is_spread_over_its_uses(self) -> None:
        self.assertLess(
            self.loss(cached=0.05, expected_uses=20.0), self.loss(cached=0.05, expected_uses=2.0)
        )

    def test_uncached_objects_cost_more_when_slots_are_scarce(self) -> None:
        idle = self.loss(cached=0.05) - self.loss()
        busy = self.loss(cached=0.05, utilisation=0.95) - self.loss(utilisation=0.95)
        self.assertGreater(busy, idle + 0.5)

"""The choice of a backend server: affinity, load, homes, evidence, scarcity."""

import unittest
from collections import Counter
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import (
    REGION_OF,
    make_distances,
    make_placement,
    make_route,
    make_server,
    make_table,
)
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.cached_part import CachedPart
from wagtailpoint.placement.choice import Choice, Demand, NoRoom, Observation
from wagtailpoint.placement.expectation import UNCACHED_FACTOR, Prospect, expect
from wagtailpoint.placement.key_reuse import HORIZON_S, KeyReuse, estimated_keys
from wagtailpoint.placement.placement import Placement
from wagtailpoint.placement.route_costs import FIRST_SERVICE_PART, RouteCost
from wagtailpoint.placement.server_load import LoadReport, ServerLoad, parse_load

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
            left_s=1.0,
            objective_left_s=0.3,
        )
        return demand._replace(**changes)

    def twelve(self) -> Placement:
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
        underway = placement.began(demand, choice)
        placement.note_answer(demand, choice, observation._replace(**seen))
        placement.ended(choice.entry, underway)

    def test_key_stays_where_it_is_cached(self) -> None:
        async def test() -> None:
            placement = self.twelve()
            used = set()
            for _ in range(20):
                demand = self.demand()
                placement.note_request(demand)
                choice = self.choose(placement, demand)
                used.add(choice.entry.server_id)
                self.answer(placement, demand, choice)
                await trio.sleep(0.1)
            self.assertLessEqual(len(used), 2)

        self.run_with(test)

    def test_few_servers_hold_a_key_also_under_load(self) -> None:
        """Symptom: under high load every request takes as long as an uncached one.

        Requests that spilled over to any backend server with room brought every key to all of
        them; the caches overflowed and the load rose further.
        """

        async def test() -> None:
            placement = self.twelve()
            used: Counter[str] = Counter()
            for _ in range(60):
                choice = placement.choose(self.demand())
                if isinstance(choice, Choice):
                    placement.began(self.demand(), choice)
                    used[choice.entry.server_id] += 1
            self.assertLessEqual(len(used), 5)

        self.run_with(test)

    def test_homes_bind(self) -> None:
        async def test() -> None:
            placement = self.twelve()
            route = make_route(homes=frozenset(["b"]))
            for number in range(30):
                choice = self.choose(placement, self.demand(str(number), route=route))
                self.assertEqual(choice.entry.failure_domain, "b-1")

        self.run_with(test)

    def test_server_that_was_tried_is_not_chosen_again(self) -> None:
        async def test() -> None:
            placement = self.twelve()
            first = self.choose(placement, self.demand())
            second = self.choose(placement, self.demand(tried=[first.entry.server_id]))
            self.assertNotEqual(first.entry, second.entry)

        self.run_with(test)

    def test_unreachable_server_rests_and_comes_back(self) -> None:
        async def test() -> None:
            self.fleet.update([make_server("i-1"), make_server("i-2")])
            placement = make_placement(self.fleet)
            placement.note_unreachable(self.fleet.entries["i-1"])
            chosen = {
                self.choose(placement, self.demand(str(n))).entry.server_id for n in range(20)
            }
            self.assertEqual(chosen, {"i-2"})
            self.assertEqual(placement.rested(), [])
            await trio.sleep(0.6)
            chosen = {
                self.choose(placement, self.demand(str(n))).entry.server_id for n in range(20)
            }
            self.assertEqual(chosen, {"i-2"}, "before it was found to be reachable")
            (rested,) = placement.rested()
            placement.note_reachable(rested)
            chosen = {
                self.choose(placement, self.demand(str(n))).entry.server_id for n in range(20)
            }
            self.assertEqual(chosen, {"i-1", "i-2"})

        self.run_with(test)

    def test_suspicion_of_all_is_no_reason_to_refuse(self) -> None:
        """Symptom: an instance refuses everything after its own link failed for a moment."""

        async def test() -> None:
            self.fleet.update([make_server("i-1"), make_server("i-2")])
            placement = make_placement(self.fleet)
            for entry in self.fleet.entries.values():
                placement.note_unreachable(entry)
            self.choose(placement, self.demand())

        self.run_with(test)

    def test_urgent_requests_find_room_behind_the_others(self) -> None:
        async def test() -> None:
            self.fleet.update([make_server("i-1")])
            placement = make_placement(self.fleet)
            other, urgent = make_route(priority=2), make_route(priority=1)
            while isinstance(choice := placement.choose(self.demand(route=other)), Choice):
                placement.began(self.demand(route=other), choice)
            self.assertIsInstance(placement.choose(self.demand(route=urgent)), Choice)

        self.run_with(test)

    def test_instance_that_was_frozen_serves_again(self) -> None:
        """Symptom: an instance refuses nearly all requests as too late, for the rest of the day.

        Sequence: it is frozen for five seconds with requests at its backend servers. When it wakes,
        their answers have taken five seconds. Cause: they were learned as the time that requests of
        the route take; no request was sent that could have shown better.
        """

        async def test() -> None:
            placement = self.twelve()
            for number in range(120):
                demand = self.demand(str(number // 3))
                choice = placement.choose(demand)
                if isinstance(choice, Choice):
                    latency_s = 5.0 if number % 3 == 2 else 0.08
                    self.answer(placement, demand, choice, latency_s)
            sent = 0
            for number in range(40):
                await trio.sleep(0.1)
                choice = placement.choose(self.demand(str(number), left_s=0.8))
                if isinstance(choice, Choice):
                    sent += 1
                    self.answer(placement, self.demand(str(number)), choice)
            self.assertGreater(sent, 30)

        self.run_with(test)

    def test_no_server_and_no_time(self) -> None:
        async def test() -> None:
            placement = make_placement(self.fleet)
            nothing = placement.choose(self.demand())
            self.assertEqual(nothing, NoRoom("no backend server"))
            self.fleet.update([make_server("i-1")])
            late = placement.choose(self.demand(left_s=0.02))
            self.assertEqual(late, NoRoom("too late"))

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


class CachedPartTest(unittest.TestCase):
    def test_small_failure_domain_holds_what_its_slots_can_serve(self) -> None:
        async def test() -> None:
            fleet = Fleet(region_of=REGION_OF)
            fleet.update(
                [
                    make_server("i-1", failure_domain="a-1"),
                    *(make_server(f"i-b{n}", failure_domain="b-1") for n in range(10)),
                ]
            )
            part = CachedPart(fleet=fleet, entries_here=lambda: 1, entries_of_region=lambda: 1)
            for _ in range(2000):
                part.note_request("desk", 0.1)
                await trio.sleep(0.02)  # 50 a second of 0.1 s each: 5 slots are wanted.
            for _ in range(60):
                part.note_request("desk", 0.1)
                part.of("desk", "a-1")
                await trio.sleep(0.6)
                for _ in range(30):
                    part.note_request("desk", 0.1)
            self.assertLess(part.of("desk", "a-1"), 0.6)
            self.assertEqual(part.of("desk", "b-1"), 1.0)

        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        trio.run(test, clock=MockClock(autojump_threshold=0))


class ExpectationTest(unittest.TestCase):
    prospect = Prospect(
        service_s=0.08,
        cached=0.95,
        uses=1.0,
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

    def test_what_makes_a_server_worse(self) -> None:
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

    def test_far_cached_server_beats_a_near_uncached_one(self) -> None:
        far = self.loss(round_trip_s=0.11, crosses_region=True)
        self.assertLess(far, self.loss(cached=0.05))

    def test_cost_of_an_uncached_object_is_spread_over_its_uses(self) -> None:
        self.assertLess(self.loss(cached=0.05, uses=20.0), self.loss(cached=0.05, uses=2.0))

    def test_uncached_objects_cost_more_when_slots_are_scarce(self) -> None:
        idle = self.loss(cached=0.05) - self.loss()
        busy = self.loss(cached=0.05, utilisation=0.95) - self.loss(utilisation=0.95)
        self.assertGreater(busy, idle + 0.5)


class ServerLoadTest(unittest.TestCase):
    def test_report_counts_what_others_have_there(self) -> None:
        load = ServerLoad()
        underway = load.began(10.0, 0.5)
        load.note_report(LoadReport(3, 2, 3), 10.0, 0.0)
        self.assertAlmostEqual(load.occupancy(10.0, 0.0), 5.0)
        load.ended(underway)
        self.assertAlmostEqual(load.occupancy(10.0, 0.0), 4.0)
        self.assertLess(load.occupancy(11.0, 0.0), 1.5)

    def test_requests_on_the_way_are_not_at_the_server(self) -> None:
        """Symptom: an instance refuses a third of its requests while other ones refuse few.

        Sequence: it sends more than the others, most of it to regions 70 ms away. Cause: it counted
        all its requests under way as being at the backend server, also those whose answers were on
        the way back, so that who sends most and from far sees all servers full.
        """
        load = ServerLoad()
        for sent_at in (10.00, 10.02, 10.04, 10.06, 10.08, 10.10):
            load.began(sent_at, 0.05)
        # Those sent until 10.04 have been worked on; their answers come until 10.16.
        self.assertAlmostEqual(load.occupancy(10.11, 0.07), 3.0)
        self.assertAlmostEqual(load.occupancy(10.11, 0.0), 6.0)

    def test_overdue_requests_are_still_there(self) -> None:
        load = ServerLoad()
        load.began(10.0, 0.05)
        self.assertAlmostEqual(load.occupancy(10.1, 0.07), 0.0)
        self.assertAlmostEqual(load.occupancy(10.2, 0.07), 1.0)

    def test_report_was_written_before_the_latest_requests_came(self) -> None:
        load = ServerLoad()
        for sent_at in (10.00, 10.04, 10.09):
            load.began(sent_at, 0.05)
        load.note_report(LoadReport(3, 1, 3), 10.125, 0.08)
        # Two of the four were ours, and two others'; of ours only the latest is still there.
        self.assertAlmostEqual(load.occupancy(10.125, 0.08), 2.0 + 1.0)

    def test_reports_in_other_forms_are_ignored(self) -> None:
        self.assertEqual(parse_load(b"1,0,3"), LoadReport(1, 0, 3))
        for text in (None, b"", b"1,2", b"a,b,c", b"1,2,3,4"):
            self.assertIsNone(parse_load(text))

    def test_suspicion_doubles_and_ends_with_an_answer(self) -> None:
        load = ServerLoad()
        rests = [load.note_unreachable(now) for now in (0.0, 1.0, 3.0, 8.0, 20.0)]
        self.assertEqual(rests, [0.5, 1.0, 2.0, 4.0, 4.0])
        load.note_answer(21.0, failed=False)
        self.assertFalse(load.is_suspect(21.0, 0.0))
        self.assertEqual(load.note_unreachable(22.0), 0.5)

    def test_server_that_answers_nothing_gets_no_more_requests(self) -> None:
        """Symptom: a tenth of all requests wait for their deadlines.

        Sequence: backend servers lose power; connections to them stay open, and requests go there
        on them. Cause: they were taken for dead only when the first of those requests had waited
        until its deadline, a second later.
        """
        load = ServerLoad()
        load.note_answer(9.0, failed=False)
        load.note_latency(0.08, 0.1, 9.0)
        load.began(10.0, 0.1)
        self.assertFalse(load.is_suspect(10.3, 0.07))
        self.assertTrue(load.is_suspect(10.5, 0.07))
        load.note_answer(10.6, failed=False)
        self.assertFalse(load.is_suspect(10.7, 0.07))

    def test_server_with_a_long_queue_is_not_silent(self) -> None:
        """Symptom: under high load requests go to backend servers where nothing is cached.

        Sequence: queues grow longer than was expected, and an instance hears of a backend server
        only now and then. Cause: it was taken for dead.
        """
        load = ServerLoad()
        for number in range(30):
            load.note_answer(number / 10, failed=False)
            load.note_latency(0.4, 0.1, number / 10)
        load.began(10.0, 0.1)
        self.assertFalse(load.is_suspect(10.9, 0.07))
        self.assertTrue(load.is_suspect(11.5, 0.07))

    def test_trial_connection_does_not_end_the_doubling(self) -> None:
        """A process that hangs accepts connections, and answers nothing on them."""
        load = ServerLoad()
        self.assertEqual(load.note_unreachable(10.0), 0.5)
        load.note_reachable()
        self.assertFalse(load.is_suspect(10.6, 0.0))
        self.assertEqual(load.note_unreachable(11.0), 1.0)


class KeyReuseTest(unittest.TestCase):
    def test_uses_follow_the_rate_and_the_number_of_keys(self) -> None:
        reuse = KeyReuse()
        self.assertEqual(reuse.uses(1, 0.0), 1.0)
        for number in range(400):
            reuse.note(str(number % 10), number * 0.1)
        uses = reuse.uses(1, 40.0)
        self.assertLess(abs(uses - HORIZON_S), 0.1 * HORIZON_S)  # 10 a second of 10 keys.
        self.assertAlmostEqual(reuse.uses(2, 40.0), 2 * uses)

    def test_few_requests_for_many_keys(self) -> None:
        """Symptom: in a large deployment, half of the first requests meet an uncached object.

        Sequence: an instance of many gets 8 requests a second, for any of 270 keys; none of the
        first ten keys comes twice. Cause: it took them for all keys that there are, and expected
        each of them again within the second.
        """
        reuse, random = KeyReuse(), Random(1)
        for number in range(24):
            reuse.note(str(random.randrange(270)), number / 8)
            self.assertLess(reuse.uses(1, number / 8), 1.5)

    def test_number_of_keys_by_the_repeats(self) -> None:
        random = Random(2)
        for keys, requests in ((10, 100), (270, 100), (270, 1000), (1000, 300)):
            seen = {random.randrange(keys) for _ in range(requests)}
            estimate = estimated_keys(requests, len(seen))
            self.assertLess(abs(estimate / keys - 1), 0.25, (keys, requests, estimate))
        self.assertEqual(estimated_keys(0, 0), 0.0)
        self.assertAlmostEqual(estimated_keys(100, 1), 1.0, delta=0.01)


class DistancesTest(unittest.TestCase):
    def test_assumed_until_measured(self) -> None:
        distances = make_distances()
        assumed = [distances.round_trip_s(domain) for domain in DOMAINS]
        self.assertEqual(assumed, [0.001, 0.003, 0.1])
        distances.note_opened("b-1", 0.04)
        self.assertAlmostEqual(distances.round_trip_s("b-1"), 0.04)
        self.assertEqual(distances.round_trip_s("a-2"), 0.003)

    def test_delays_are_not_taken_for_distance(self) -> None:
        """Symptom: a near region gets no requests any more.

        Sequence: some packets are lost and sent again after a second, so a few connections take
        that long to open. Cause: the mean of such times is several times the round trip.
        """
        distances = make_distances()
        for number in range(200):
            distances.note_opened("b-1", 1.04 if number % 10 == 0 else 0.04)
        self.assertLess(distances.round_trip_s("b-1"), 0.05)

    def test_a_longer_way_is_learned_in_the_end(self) -> None:
        distances = make_distances()
        distances.note_opened("b-1", 0.02)
        for _ in range(150):
            distances.note_opened("b-1", 0.06)
        self.assertGreater(distances.round_trip_s("b-1"), 0.055)


class RouteCostTest(unittest.TestCase):
    def test_learned_and_forgotten(self) -> None:
        cost = RouteCost(objective_s=0.3)
        for number in range(100):
            cost.note(0.3, 1000, number / 10)
        self.assertAlmostEqual(cost.service_s(10.0), 0.3, delta=0.02)
        self.assertAlmostEqual(cost.service_s(30.0), 0.3 * FIRST_SERVICE_PART, delta=0.01)

    def test_a_route_with_a_late_objective_is_taken_to_work_for_long(self) -> None:
        """Symptom: for eight seconds half of all requests meet an object that is not cached.

        Sequence: 77 instances start, each with three requests a second of a route; an object that
        is not cached takes 0.86 s there, and 0.5 s are allowed. Cause: before enough answers came,
        each instance assumed 0.1 s for a cached object, so 0.33 s for another, which is in time
        anywhere; the requests of one key were spread over all failure domains.
        """
        cost = RouteCost(objective_s=0.5)
        self.assertGreater(UNCACHED_FACTOR * cost.service_s(0.0), 0.5)

    def test_one_wild_sample_changes_little(self) -> None:
        cost = RouteCost(objective_s=0.3)
        for number in range(100):
            cost.note(0.1, 1000, number / 10)
        cost.note(60.0, 1000, 10.0)
        self.assertLess(cost.service_s(10.0), 0.11)

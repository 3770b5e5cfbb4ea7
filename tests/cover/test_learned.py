"""Estimates of an instance: load of backend servers, cost of routes, reuse of keys, distances."""

import unittest
from random import Random

from result import Err, Ok

from tests.common.steering_parts import (
    make_distances,
)
from wagtailpoint.placement.expectation import UNCACHED_FACTOR
from wagtailpoint.placement.key_reuse import REUSE_HORIZON_S, KeyReuse, estimate_key_count
from wagtailpoint.placement.load_report import LoadReport, parse_load
from wagtailpoint.placement.route_costs import INITIAL_SERVICE_FRACTION, RouteCost
from wagtailpoint.placement.server_load import ServerLoad

DOMAINS = ("a-1", "a-2", "b-1")


class ServerLoadTest(unittest.TestCase):
    def test_report_counts_requests_of_other_instances(self) -> None:
        load = ServerLoad()
        underway = load.record_send(10.0, 0.5)
        load.record_report(LoadReport(3, 2, 3), 10.0, 0.0)
        self.assertAlmostEqual(load.occupancy(10.0, 0.0), 5.0)
        load.record_end(underway, 10.0)
        self.assertAlmostEqual(load.occupancy(10.0, 0.0), 4.0)
        self.assertLess(load.occupancy(11.0, 0.0), 1.5)

    def test_requests_in_transit_are_not_at_the_server(self) -> None:
        """Guards against an instance that refuses a third of its requests while others refuse few.

        If all requests in flight are counted as being at the backend server, also those whose
        answers are in transit, an instance that sends many requests to regions 70 ms away sees all
        servers as full.
        """
        load = ServerLoad()
        for sent_at in (10.00, 10.02, 10.04, 10.06, 10.08, 10.10):
            load.record_send(sent_at, 0.05)
        # The requests sent until 10.04 have been served; their answers arrive until 10.16.
        self.assertAlmostEqual(load.occupancy(10.11, 0.07), 3.0)
        self.assertAlmostEqual(load.occupancy(10.11, 0.0), 6.0)

    def test_overdue_requests_are_still_there(self) -> None:
        load = ServerLoad()
        load.record_send(10.0, 0.05)
        self.assertAlmostEqual(load.occupancy(10.1, 0.07), 0.0)
        self.assertAlmostEqual(load.occupancy(10.2, 0.07), 1.0)

    def test_report_does_not_count_requests_sent_within_the_last_round_trip(self) -> None:
        load = ServerLoad()
        for sent_at in (10.00, 10.04, 10.09):
            load.record_send(sent_at, 0.05)
        load.record_report(LoadReport(3, 1, 3), 10.125, 0.08)
        # Of the four reported requests two are this instance's; of all it sent, only the latest is
        # still there.
        self.assertAlmostEqual(load.occupancy(10.125, 0.08), 2.0 + 1.0)

    def test_backoff_doubles_and_ends_with_an_answer(self) -> None:
        load = ServerLoad()
        rests = [load.record_unreachable(now) for now in (0.0, 1.0, 3.0, 8.0, 20.0)]
        self.assertEqual(rests, [0.5, 1.0, 2.0, 4.0, 4.0])
        load.record_answer(21.0, failed=False)
        self.assertFalse(load.is_suspect(21.0, 0.0))
        self.assertEqual(load.record_unreachable(22.0), 0.5)

    def test_silent_server_is_suspect(self) -> None:
        """Guards against a tenth of all requests waiting until their deadlines.

        Connections to backend servers that have lost power stay open, and requests are sent on
        them. If a server counts as dead only when the first of these has reached its deadline, all
        requests of a second wait in vain.
        """
        load = ServerLoad()
        load.record_answer(9.0, failed=False)
        load.record_latency(0.08, 0.1, 9.0)
        load.record_send(10.0, 0.1)
        self.assertFalse(load.is_suspect(10.3, 0.07))
        self.assertTrue(load.is_suspect(10.5, 0.07))
        load.record_answer(10.6, failed=False)
        self.assertFalse(load.is_suspect(10.7, 0.07))

    def test_server_with_a_long_queue_is_not_suspect(self) -> None:
        """Guards against requests under high load to servers that cache none of the objects.

        Queues grow longer than expected, and an instance gets few answers from each backend server.
        If it takes such a server for dead, it sends the requests elsewhere.
        """
        load = ServerLoad()
        for number in range(30):
            load.record_answer(number / 10, failed=False)
            load.record_latency(0.4, 0.1, number / 10)
        load.record_send(10.0, 0.1)
        self.assertFalse(load.is_suspect(10.9, 0.07))
        self.assertTrue(load.is_suspect(11.5, 0.07))

    def test_opened_connection_does_not_reset_the_backoff(self) -> None:
        """Guards against a short backoff for a process that hangs but accepts connections."""
        load = ServerLoad()
        self.assertEqual(load.record_unreachable(10.0), 0.5)
        load.record_reachable()
        self.assertFalse(load.is_suspect(10.6, 0.0))
        self.assertEqual(load.record_unreachable(11.0), 1.0)


class LoadReportTest(unittest.TestCase):
    def test_reports_of_three_and_four_numbers(self) -> None:
        self.assertEqual(parse_load(b"1,0,3"), Ok(LoadReport(1, 0, 3)))
        self.assertEqual(parse_load(b" 1, 0 ,3"), Ok(LoadReport(1, 0, 3)))
        self.assertEqual(parse_load(b"1,2,3,4"), Ok(LoadReport(1, 2, 3, 0.1, has_pace=True)))
        self.assertEqual(parse_load(b"1,2,3,100"), Ok(LoadReport(1, 2, 3, 1.0, has_pace=True)))
        self.assertEqual(parse_load(b"1,2,3,250"), Ok(LoadReport(1, 2, 3, 2.5, has_pace=True)))

    def test_absurd_pace_is_clamped(self) -> None:
        for text, pace in ((b"1,2,3,1", 0.1), (b"1,2,3,999999999", 20.0)):
            self.assertEqual(parse_load(text).unwrap().pace, pace)

    def test_malformed_reports_are_ignored(self) -> None:
        """Guards against a report that stops the request, or decides where others are sent."""
        for text in (
            b"",
            b",,",
            b"1,2",
            b"1,2,3,",
            b"a,b,c",
            b"1,2,3,a",
            b"1,2,3,4,5",
            b"-1,2,3",
            b"1,2,3,-100",
            b"+1,2,3",
            b"1.0,2,3",
            b"1,2,3,1e2",
            b"1,2,0",
            b"1,2,0,100",
            b"1,2,3,0",
            b"1234567890,2,3",
            b"1,2,3,1234567890",
            b"9" * 5000 + b",2,3",
            b"1_0,2,3",
            "\u0661,2,3".encode(),
            b"1,2,\xb2",
            b"1;2;3",
            b"," * 10_000,
        ):
            self.assertIsInstance(parse_load(text), Err, text[:20])

    def test_error_says_what_was_given_and_expected(self) -> None:
        error = parse_load(b"9" * 5000).unwrap_err()
        self.assertRegex(error, r"^given '9{40}', expected 3 or 4 integers of 1 to 9 digits")


class KeyReuseTest(unittest.TestCase):
    def test_expected_uses_follow_the_rate_and_the_number_of_keys(self) -> None:
        reuse = KeyReuse()
        self.assertEqual(reuse.expected_uses(1, 0.0), 1.0)
        for number in range(400):
            reuse.record(str(number % 10), number * 0.1)
        expected_uses = reuse.expected_uses(1, 40.0)
        self.assertLess(
            abs(expected_uses - REUSE_HORIZON_S), 0.1 * REUSE_HORIZON_S
        )  # 10 requests a second for 10 keys.
        self.assertAlmostEqual(reuse.expected_uses(2, 40.0), 2 * expected_uses)

    def test_few_requests_for_many_keys(self) -> None:
        """Guards against uncached objects for half of the first requests in a large deployment.

        One of many instances gets 8 requests a second for any of 270 keys; none of the first ten
        keys comes twice. If it takes the keys seen for all keys, it expects each of them again
        within the second.
        """
        reuse, random = KeyReuse(), Random(1)
        for number in range(24):
            reuse.record(str(random.randrange(270)), number / 8)
            self.assertLess(reuse.expected_uses(1, number / 8), 1.5)

    def test_key_count_is_estimated_from_the_repeats(self) -> None:
        random = Random(2)
        for keys, requests in ((10, 100), (270, 100), (270, 1000), (1000, 300)):
            seen = {random.randrange(keys) for _ in range(requests)}
            estimate = estimate_key_count(requests, len(seen))
            self.assertLess(abs(estimate / keys - 1), 0.25, (keys, requests, estimate))
        self.assertEqual(estimate_key_count(0, 0), 0.0)
        self.assertAlmostEqual(estimate_key_count(100, 1), 1.0, delta=0.01)


class DistancesTest(unittest.TestCase):
    def test_initial_round_trip_until_measured(self) -> None:
        distances = make_distances()
        assumed = [distances.round_trip_s(domain) for domain in DOMAINS]
        self.assertEqual(assumed, [0.001, 0.003, 0.1])
        distances.record_connect_time("b-1", 0.04)
        self.assertAlmostEqual(distances.round_trip_s("b-1"), 0.04)
        self.assertEqual(distances.round_trip_s("a-2"), 0.003)

    def test_retransmission_delays_do_not_count_as_distance(self) -> None:
        """Guards against a near region that gets no requests.

        Some packets are lost and retransmitted after a second, so a few connections take that long
        to open. The mean of such times is several times the round trip.
        """
        distances = make_distances()
        for number in range(200):
            distances.record_connect_time("b-1", 1.04 if number % 10 == 0 else 0.04)
        self.assertLess(distances.round_trip_s("b-1"), 0.05)

    def test_longer_round_trip_is_learned_slowly(self) -> None:
        distances = make_distances()
        distances.record_connect_time("b-1", 0.02)
        for _ in range(150):
            distances.record_connect_time("b-1", 0.06)
        self.assertGreater(distances.round_trip_s("b-1"), 0.055)


class RouteCostTest(unittest.TestCase):
    def test_estimate_is_learned_and_returns_to_the_initial_value(self) -> None:
        cost = RouteCost(objective_s=0.3)
        for number in range(100):
            cost.record(0.3, 1000, number / 10)
        self.assertAlmostEqual(cost.service_s(10.0), 0.3, delta=0.02)
        self.assertAlmostEqual(cost.service_s(30.0), 0.3 * INITIAL_SERVICE_FRACTION, delta=0.01)

    def test_initial_service_time_follows_the_objective(self) -> None:
        """Guards against uncached objects for half of the requests in the first eight seconds.

        77 instances start, each with three requests a second of a route whose uncached objects take
        0.86 s with an objective of 0.5 s. With an initial estimate of 0.1 s for a cached object, so
        0.33 s for an uncached one, every backend server seems to be in time, and the requests for
        one key are spread over all failure domains.
        """
        cost = RouteCost(objective_s=0.5)
        self.assertGreater(UNCACHED_FACTOR * cost.service_s(0.0), 0.5)

    def test_outlier_changes_the_estimate_little(self) -> None:
        cost = RouteCost(objective_s=0.3)
        for number in range(100):
            cost.record(0.1, 1000, number / 10)
        cost.record(60.0, 1000, 10.0)
        self.assertLess(cost.service_s(10.0), 0.11)

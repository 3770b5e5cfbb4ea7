"""Load reports that are worth telling to other instances, and what those that are told change."""

import unittest
from collections.abc import Sequence

from tests.common.steering_parts import make_server
from wagtailpoint.placement.estimates import Estimates
from wagtailpoint.placement.load_news import MAX_AGE_S, LoadNews, ServerReport
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.ports.peers import PeerAddress

SLOTS = 9
ROUND_TRIP_S = 0.002


def report(occupancy: int, pace: float = 1.0) -> LoadReport:
    running = min(occupancy, SLOTS)
    return LoadReport(running, occupancy - running, SLOTS, pace, has_pace=True)


class LoadNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.news = LoadNews()
        self.peer = PeerAddress("10.0.0.2", 1, 1)

    def select(self, now: float, max_servers: int = 40) -> Sequence[ServerReport]:
        return self.news.select(self.peer, now, max_servers)

    def test_small_changes_are_not_told(self) -> None:
        self.news.record("i-1/0", report(9), 0.0)
        self.assertEqual(len(self.select(0.1)), 1)
        self.news.record("i-1/0", report(10, pace=1.05), 0.2)
        self.assertEqual(self.select(0.3), [])
        self.news.record("i-1/0", report(11), 0.4)
        self.assertEqual(len(self.select(0.5)), 1)

    def test_largest_changes_first(self) -> None:
        for number, occupancy in enumerate((2, 18, 9)):
            self.news.record(f"i-{number}/0", report(occupancy), 0.0)
        told = self.select(0.1, max_servers=2)
        self.assertEqual([each.running + each.waiting for each in told], [18, 9])
        self.assertEqual([each.age for each in told], [10, 10])

    def test_old_reports_are_not_told(self) -> None:
        self.news.record("i-1/0", report(9), 0.0)
        self.assertEqual(self.select(MAX_AGE_S + 0.1), [])

    def test_unchanged_load_is_told_again_after_a_while(self) -> None:
        """Guards against a peer whose knowledge of a full server decays though it stays full."""
        told = 0
        for step in range(40):
            now = 0.1 * step
            self.news.record("i-1/0", report(18), now)
            told += len(self.select(now))
        self.assertGreaterEqual(told, 3)

    def test_peers_that_are_gone_are_forgotten(self) -> None:
        self.news.record("i-1/0", report(9), 0.0)
        self.select(0.1)
        self.news.forget_peers([])
        self.assertEqual(len(self.select(0.2)), 1)


class PeerReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.entry = make_server("i-1", slots=SLOTS)
        self.estimates = Estimates()
        self.load = self.estimates.load_of(self.entry)

    def test_own_requests_in_a_report_are_not_counted_twice(self) -> None:
        """Guards against an instance that takes its own requests for those of others."""
        ended, running = self.load.record_send(9.0, 5.0), self.load.record_send(9.0, 5.0)
        self.load.record_end(ended, 10.4)
        self.estimates.record_peer_report(self.entry, report(6), 10.0, ROUND_TRIP_S)
        self.assertEqual(self.load._others, 4)
        self.load.record_end(running, 10.5)
        self.estimates.record_peer_report(self.entry, report(6), 11.0, ROUND_TRIP_S)
        self.assertEqual(self.load._others, 6)

    def test_older_report_changes_nothing(self) -> None:
        """Guards against a late message that undoes what an own answer said."""
        self.estimates.record_report(self.entry, report(9), 10.0, ROUND_TRIP_S)
        self.assertFalse(
            self.estimates.record_peer_report(self.entry, report(0), 9.9, ROUND_TRIP_S)
        )
        self.assertGreater(self.estimates.occupancy(self.entry, 10.0, ROUND_TRIP_S), 7.0)


if __name__ == "__main__":
    unittest.main()

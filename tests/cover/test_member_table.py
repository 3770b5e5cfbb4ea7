"""How often, and how urgently, a member table gossips updates; validation of facts."""

import unittest
from typing import Any

from tests.common.fake_clock import FakeClock
from wagtailpoint.membership.change import News
from wagtailpoint.membership.member import Fact
from wagtailpoint.membership.table import MemberTable

OWN = Fact("127.0.0.1", 8080, 8081, "kolkata", "salt-lake", incarnation=1, sequence=1)
OTHER = OWN._replace(address="127.0.0.2", incarnation=2)
COPIES, REPORT_COPIES = 5, 2


class GossipCopiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemberTable(
            own=OWN, clock=FakeClock(), gossip_copies=COPIES, report_copies=REPORT_COPIES
        )
        self.table.apply(OTHER)
        self.assertEqual(self.count_copies(), COPIES)

    def count_copies(self) -> int:
        copies = 0
        while self.table.collect_news(10) != News((), ()):
            copies += 1
        return copies

    def test_reports_are_sent_less_often_than_states(self) -> None:
        self.table.apply(OTHER._replace(sequence=2, config_version=9))
        self.assertEqual(self.count_copies(), REPORT_COPIES)
        self.table.apply(OTHER._replace(sequence=3, config_version=9, state="leaving"))
        self.assertEqual(self.count_copies(), COPIES)

    def test_report_does_not_reduce_the_copies_of_a_leave(self) -> None:
        """Guards against lookups that still return a leaving instance.

        The instance reports its load after the leave; the report is sent in fewer copies, so some
        instances would not learn of the leave.
        """
        leaving = OTHER._replace(sequence=2, state="leaving")
        self.table.apply(leaving)
        self.table.apply(leaving._replace(sequence=3, load=0.5))
        self.assertEqual(self.count_copies(), COPIES)


class UrgencyTest(unittest.TestCase):
    def test_epochs_and_loads_are_not_urgent(self) -> None:
        """Guards against separate messages for each report.

        With 490 instances a new epoch arrived every quarter of a second and caused three messages
        each time.
        """
        table = MemberTable(own=OWN, clock=FakeClock(), gossip_copies=COPIES)
        table.apply(OTHER)
        self.assertTrue(table.has_urgent_news)
        while table.has_news:
            table.collect_news(10)
        table.apply(OTHER._replace(sequence=2, epoch=2, load=0.5))
        self.assertEqual((table.has_news, table.has_urgent_news), (True, False))
        table.apply(OTHER._replace(sequence=3, epoch=2, load=0.5, config_version=4))
        self.assertTrue(table.has_urgent_news)

    def test_large_change_of_load_is_urgent(self) -> None:
        """Guards against entries of a failure domain that are overloaded for most of a burst.

        Their load was gossiped like any report, with a delay of one second at each hop.
        """
        table = MemberTable(own=OWN, clock=FakeClock(), gossip_copies=1, urgent_load_step=0.25)
        table.apply(OTHER)
        table.collect_news(10)
        table.apply(OTHER._replace(sequence=2, load=0.2))
        self.assertFalse(table.has_urgent_news)
        table.collect_news(10)
        table.apply(OTHER._replace(sequence=3, load=0.5))
        self.assertTrue(table.has_urgent_news)


class InvalidFactsTest(unittest.TestCase):
    def test_facts_out_of_range_are_rejected(self) -> None:
        """Guards against sending all callers of a failure domain to one small instance.

        By a fault, or running another version, it reports a capacity that no instance has.
        """
        table = MemberTable(own=OWN, clock=FakeClock(), gossip_copies=1)
        self.assertTrue(table.apply(OTHER))
        invalid: tuple[dict[str, Any], ...] = (
            {"capacity": float("nan")},
            {"capacity": float("inf")},
            {"capacity": 0.0},
            {"capacity": -1.0},
            {"capacity": 1e9},
            {"load": float("nan")},
            {"load": -0.1},
            {"load": 7.0},
        )
        for values in invalid:
            self.assertFalse(table.apply(OTHER._replace(sequence=9, **values)), values)
        self.assertEqual(table.fact(OTHER.address), OTHER)

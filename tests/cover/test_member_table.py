"""How often the view of one instance tells a change on."""

import unittest
from typing import Any

from tests.common.fake_clock import FakeClock
from wagtailpoint.membership.change import News
from wagtailpoint.membership.member import Fact
from wagtailpoint.membership.table import MemberTable

OWN = Fact("127.0.0.1", 8080, 8081, "kolkata", "salt-lake", incarnation=1, sequence=1)
OTHER = OWN._replace(address="127.0.0.2", incarnation=2)
COPIES, REPORT_COPIES = 5, 2


class CopiesTest(unittest.TestCase):
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

    def test_reports_are_told_more_rarely_than_states(self) -> None:
        self.table.apply(OTHER._replace(sequence=2, config_version=9))
        self.assertEqual(self.count_copies(), REPORT_COPIES)
        self.table.apply(OTHER._replace(sequence=3, config_version=9, state="leaving"))
        self.assertEqual(self.count_copies(), COPIES)

    def test_a_report_does_not_cut_a_leave_short(self) -> None:
        """A leaving instance is still named by some lookups, for a load that it told after it."""
        leaving = OTHER._replace(sequence=2, state="leaving")
        self.table.apply(leaving)
        self.table.apply(leaving._replace(sequence=3, load=0.5))
        self.assertEqual(self.count_copies(), COPIES)


class UrgencyTest(unittest.TestCase):
    def test_epochs_and_loads_can_wait(self) -> None:
        """At 490 instances a new epoch every quarter of a second made three messages each time."""
        table = MemberTable(own=OWN, clock=FakeClock(), gossip_copies=COPIES)
        table.apply(OTHER)
        self.assertTrue(table.has_urgent_news)
        while table.has_news:
            table.collect_news(10)
        table.apply(OTHER._replace(sequence=2, epoch=2, load=0.5))
        self.assertEqual((table.has_news, table.has_urgent_news), (True, False))
        table.apply(OTHER._replace(sequence=3, epoch=2, load=0.5, config_version=4))
        self.assertTrue(table.has_urgent_news)

    def test_load_that_jumps_is_urgent_where_entries_follow_it(self) -> None:
        """Symptom: the entries of a failure domain are overloaded for most of a burst.

        Cause: their load was told on like any report, a second later at each step of the way.
        """
        table = MemberTable(own=OWN, clock=FakeClock(), gossip_copies=1, urgent_load_step=0.25)
        table.apply(OTHER)
        table.collect_news(10)
        table.apply(OTHER._replace(sequence=2, load=0.2))
        self.assertFalse(table.has_urgent_news)
        table.collect_news(10)
        table.apply(OTHER._replace(sequence=3, load=0.5))
        self.assertTrue(table.has_urgent_news)


class ImpossibleFiguresTest(unittest.TestCase):
    def test_they_are_refused_and_the_others_hold(self) -> None:
        """Symptom: all callers of a failure domain are sent to one small instance.

        Cause: it told, by a fault or from another version, a capacity that nothing has.
        """
        table = MemberTable(own=OWN, clock=FakeClock(), gossip_copies=1)
        self.assertTrue(table.apply(OTHER))
        impossible: tuple[dict[str, Any], ...] = (
            {"capacity": float("nan")},
            {"capacity": float("inf")},
            {"capacity": 0.0},
            {"capacity": -1.0},
            {"capacity": 1e9},
            {"load": float("nan")},
            {"load": -0.1},
            {"load": 7.0},
        )
        for figures in impossible:
            self.assertFalse(table.apply(OTHER._replace(sequence=9, **figures)), figures)
        self.assertEqual(table.fact(OTHER.address), OTHER)

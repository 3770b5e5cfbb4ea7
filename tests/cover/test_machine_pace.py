"""Expected pace of a machine that a backend server shares with others."""

import unittest
from random import Random

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.machine_pace import MachinePaces
from wagtailpoint.placement.pace_decay import PaceDecay

SLOW_PACE = 2.5
SLOW_S = 0.6
SLOW_FRACTION = 0.15


class SlowedMachine:
    """A machine that is slower for 0.6 s at random times, 15 % of the time."""

    def __init__(self, *, random: Random, until: float) -> None:
        self._slow_from: list[float] = []
        at = random.uniform(0.0, SLOW_S / SLOW_FRACTION)
        while at < until:
            self._slow_from.append(at)
            at += SLOW_S + random.expovariate(SLOW_FRACTION / SLOW_S / (1 - SLOW_FRACTION))

    def pace(self, at: float) -> float:
        """Return the pace at a time."""
        slow = any(begin <= at < begin + SLOW_S for begin in self._slow_from)
        return SLOW_PACE if slow else 1.0


def start(number: int) -> ServerStart:
    return ServerStart(f"i-{number}", 0)


def report_of(pace: float) -> LoadReport:
    return LoadReport(1, 0, 4, pace, has_pace=True)


class MachinePacesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paces = MachinePaces()

    def test_without_a_fourth_number_the_pace_is_normal(self) -> None:
        """Guards against other choices in deployments whose reports have three numbers."""
        for number in range(20):
            self.paces.record("desk", start(number), LoadReport(3, 2, 3), number / 10)
        self.assertFalse(self.paces.is_reported("desk"))
        self.assertEqual(self.paces.expected("desk", start(1), 2.0), 1.0)
        self.assertEqual(self.paces.during("desk", start(1), 1.0, 2.0), 1.0)

    def test_normal_paces_change_nothing(self) -> None:
        for number in range(200):
            self.paces.record("desk", start(number % 5), report_of(1.0), number / 30)
        self.assertEqual(self.paces.expected("desk", start(1), 7.0), 1.0)
        self.assertEqual(self.paces.during("desk", start(1), 5.0, 6.0), 1.0)

    def test_server_without_reports_is_at_the_mean_of_its_service(self) -> None:
        """Guards against a server just reported slow that seems as good as one nobody knows."""
        self.replay(seconds=40.0, gap_s=0.1)
        unknown = self.paces.expected("desk", ServerStart("new", 0), 40.0)
        mean = 1.0 + SLOW_FRACTION * (SLOW_PACE - 1.0)
        self.assertAlmostEqual(unknown, mean, delta=0.1)
        self.paces.record("desk", start(0), report_of(SLOW_PACE), 41.0)
        self.assertGreater(self.paces.expected("desk", start(0), 41.1), 2.0)
        self.paces.record("desk", start(1), report_of(1.0), 41.0)
        self.assertLess(self.paces.expected("desk", start(1), 41.1), unknown)

    def test_old_report_says_nothing(self) -> None:
        """Guards against a server that is avoided for long after one report of a slow machine."""
        self.replay(seconds=40.0, gap_s=0.1)
        self.paces.record("desk", start(0), report_of(SLOW_PACE), 41.0)
        paces = [self.paces.expected("desk", start(0), 41.0 + age) for age in (0.0, 0.2, 0.6, 2.0)]
        self.assertEqual(paces, sorted(paces, reverse=True))
        self.assertAlmostEqual(paces[0], SLOW_PACE)
        self.assertLess(paces[2], 1.7)
        self.assertLess(paces[3], 1.45)
        self.assertLess(self.paces.expected("desk", start(0), 141.0), 1.45)

    def test_machine_that_stays_slow(self) -> None:
        """Guards against a persistently slow machine that seems as fast as others between reports.

        Its reports are rare, as few requests are sent there.
        """
        for number in range(600):
            at = number / 10
            self.paces.record("desk", start(0), report_of(1.0), at)
            if number % 20 == 0:
                self.paces.record("desk", start(1), report_of(3.0), at)
        self.assertGreater(self.paces.expected("desk", start(1), 62.0), 2.0)
        self.assertLess(self.paces.expected("desk", start(0), 62.0), 1.1)

    def test_pace_of_a_past_interval(self) -> None:
        """Guards against costs learned by the pace at the end of a request only."""
        for number in range(7):
            pace = SLOW_PACE if number < 4 else 1.0
            self.paces.record("desk", start(0), report_of(pace), 10.0 + number / 10)
        self.assertAlmostEqual(self.paces.during("desk", start(0), 10.0, 10.2), SLOW_PACE)
        self.assertAlmostEqual(self.paces.during("desk", start(0), 10.41, 10.6), 1.0, delta=0.05)
        half = self.paces.during("desk", start(0), 10.15, 10.55)
        self.assertTrue(1.2 < half < 2.2, half)

    def test_removed_server_is_unknown_again(self) -> None:
        self.paces.record("desk", start(0), report_of(5.0), 1.0)
        self.paces.remove(start(0))
        self.assertLess(self.paces.expected("desk", start(0), 1.0), 4.0)

    def test_reports_out_of_order_are_ignored(self) -> None:
        """Guards against a late answer by a slow path that replaces a newer report."""
        self.paces.record("desk", start(0), report_of(1.0), 2.0)
        self.paces.record("desk", start(0), report_of(9.0), 1.9)
        self.assertAlmostEqual(self.paces.expected("desk", start(0), 2.0), 1.0)

    def replay(self, *, seconds: float, gap_s: float) -> list[SlowedMachine]:
        """Record the reports of 20 slowed machines, each ``gap_s`` apart on average."""
        random = Random(3)
        machines = [SlowedMachine(random=random, until=seconds) for _ in range(20)]
        at = 0.0
        while at < seconds:
            number = random.randrange(20)
            self.paces.record("desk", start(number), report_of(machines[number].pace(at)), at)
            at += random.expovariate(20 / gap_s)
        return machines


class PaceDecayTest(unittest.TestCase):
    def test_initial_decay_halves_in_the_assumed_time(self) -> None:
        decay = PaceDecay()
        self.assertEqual(decay.remaining(0.0), 1.0)
        self.assertAlmostEqual(decay.remaining(0.3), 0.5, delta=0.03)
        self.assertEqual(decay.remaining(100.0), 0.0)

    def test_decay_is_learned(self) -> None:
        """Guards against a fixed decay: other machines are slowed for longer or shorter times."""
        for half_life_s in (0.1, 0.3, 1.0, 4.0):
            decay, random = PaceDecay(), Random(1)
            for _ in range(3000):
                gap_s = random.choice((0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2))
                earlier = random.gauss(0.0, 0.5)
                later = earlier * 0.5 ** (gap_s / half_life_s) + random.gauss(0.0, 0.2)
                decay.record_pair(gap_s, earlier, later)
            for age_s in (0.05, 0.2, 0.8, 1.6):
                expected = 0.5 ** (age_s / half_life_s)
                self.assertAlmostEqual(decay.remaining(age_s), expected, delta=0.1)

    def test_remaining_fraction_never_rises_with_age(self) -> None:
        decay, random = PaceDecay(), Random(2)
        for _ in range(500):
            decay.record_pair(random.uniform(0, 9), random.uniform(-9, 19), random.uniform(-9, 19))
            fractions = [decay.remaining(age / 50) for age in range(1000)]
            self.assertEqual(fractions, sorted(fractions, reverse=True))
            self.assertTrue(0.0 <= fractions[-1] <= fractions[0] <= 1.0)

    def test_long_gaps_follow_from_short_ones(self) -> None:
        """Guards against the assumed decay for ages at which no reports came in pairs."""
        decay = PaceDecay()
        for _ in range(300):
            decay.record_pair(0.05, 1.0, 0.99)
        self.assertGreater(decay.remaining(0.4), 0.85)

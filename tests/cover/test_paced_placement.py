"""Choice of a backend server by the pace of its machine, and without a stated pace as before."""

import hashlib
import unittest
from collections import Counter
from collections.abc import Callable
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import REGION_OF, make_placement, make_route, make_server
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.choice import Choice, Demand, Observation
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.placement import Placement

CHOICES_BEFORE = "ca637ffc1a5baba1"
"""Digest of the choices of 3301fef, which read three numbers only, for the same history."""

DOMAINS = ("a-1", "a-2", "b-1")


ReportMaker = Callable[[int, int, int], LoadReport]


class History:
    """A seeded history of requests and answers of twelve backend servers."""

    def __init__(self, placement: Placement, *, report: ReportMaker) -> None:
        """Initialise the history; ``report`` makes a load report of three numbers."""
        self._placement = placement
        self._report = report
        self._random = Random(11)
        self._running: Counter[str] = Counter()
        self._digest = hashlib.sha256()

    async def play(self, requests: int) -> str:
        """Play a number of requests; return the digest of the choices."""
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                await trio.sleep(self._random.expovariate(90 if number % 600 < 300 else 240))
                key = str(int(self._random.paretovariate(1.0)))
                nursery.start_soon(self._request, key, self._random.choice((0.25, 0.4)))
        return self._digest.hexdigest()[:16]

    async def _request(self, key: str, objective_s: float) -> None:
        route = make_route(f"r-{objective_s}", objective_s=objective_s)
        demand = Demand(route, "desk", None, key, (), 1.0, objective_s)
        self._placement.record_request(demand)
        choice = self._placement.choose(demand)
        if not isinstance(choice, Choice):
            self._digest.update(choice.reason.encode())
            return
        server = choice.entry.server_id
        self._digest.update(f"{server} {choice.expected.latency_s:.5f} ".encode())
        underway = self._placement.record_send(demand, choice)
        self._running[server] += 1
        queued = max(0, self._running[server] - 3)
        latency_s = 0.06 * (1 + queued / 3) * self._random.choice((0.8, 1.0, 1.2, 3.3))
        await trio.sleep(latency_s)
        running = self._running[server]
        report = self._report(min(3, running), max(0, running - 3), 3)
        self._running[server] -= 1
        shed = self._random.random() < 0.02
        seen = Observation(latency_s, 900, False, shed, report, 0.0)
        self._placement.record_answer(demand, choice, seen)
        self._placement.record_end(choice.entry, underway)


class SameChoicesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def choices(self, report: ReportMaker) -> str:
        async def play() -> str:
            fleet = Fleet(region_of=REGION_OF)
            fleet.update(
                make_server(f"i-{number}", failure_domain=DOMAINS[number % 3])
                for number in range(12)
            )
            return await History(make_placement(fleet), report=report).play(3000)

        return trio.run(play, clock=MockClock(autojump_threshold=0))

    def test_reports_of_three_numbers(self) -> None:
        """Guards against other choices in deployments whose servers state no pace."""
        self.assertEqual(self.choices(LoadReport), CHOICES_BEFORE)

    def test_paces_that_are_always_normal(self) -> None:
        """Guards against other choices only because reports have a fourth number."""

        def report_pace(running: int, waiting: int, slots: int) -> LoadReport:
            return LoadReport(running, waiting, slots, 1.0, has_pace=True)

        self.assertEqual(self.choices(report_pace), self.choices(LoadReport))


class SlowMachineTest(unittest.TestCase):
    """Two backend servers of one failure domain, the first of which was reported slow."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def expected_s(self, pace: float, age_s: float) -> float:
        """Return the expected service time some time after a report of a pace."""

        async def test() -> float:
            fleet = Fleet(region_of=REGION_OF)
            fleet.update([make_server("i-1", slots=4)])
            placement = make_placement(fleet)
            demand = Demand(make_route(), "desk", None, "k", (), 1.0, 0.3)
            for number in range(100):
                choice = placement.choose(demand)
                assert isinstance(choice, Choice)
                underway = placement.record_send(demand, choice)
                stated = pace if number > 90 else 1.0
                await trio.sleep(0.08 * stated)
                report = LoadReport(1, 0, 4, stated, has_pace=True)
                seen = Observation(0.08 * stated, 400, False, False, report, 0.0)
                placement.record_answer(demand, choice, seen)
                placement.record_end(choice.entry, underway)
            await trio.sleep(age_s)
            choice = placement.choose(demand)
            assert isinstance(choice, Choice)
            return choice.expected.service_s

        return trio.run(test, clock=MockClock(autojump_threshold=0))

    def test_fresh_report_counts(self) -> None:
        """Guards against the times of a slow machine that count as those of its route or server."""
        normal_s = self.expected_s(1.0, 0.01)
        self.assertAlmostEqual(self.expected_s(2.5, 0.01) / normal_s, 2.4, delta=0.25)

    def test_old_report_does_not_count_for_long(self) -> None:
        """Guards against a server that is avoided for seconds after its machine has recovered."""
        self.assertLess(self.expected_s(2.5, 8.0) / self.expected_s(1.0, 8.0), 1.2)

    def test_work_goes_to_the_faster_machines(self) -> None:
        """Guards against requests that run on machines which were just reported slow.

        Twelve machines are 2.5 times slower for 0.6 s each, 15 % of the time. The requests have no
        affinity, so the choice is free among the preferred servers, and are late on a slow machine.
        """
        with_pace, without = self.slow_fraction(has_pace=True), self.slow_fraction(has_pace=False)
        self.assertLess(with_pace, 0.8 * without, (with_pace, without))

    def slow_fraction(self, *, has_pace: bool) -> float:
        """Return the fraction of requests that began on a slow machine."""

        async def test() -> float:
            fleet, random = Fleet(region_of=REGION_OF), Random(5)
            fleet.update(
                make_server(f"i-{n}", failure_domain=DOMAINS[n % 2], slots=4) for n in range(12)
            )
            placement = make_placement(fleet)
            phases = {f"i-{n}": random.uniform(0.0, 4.0) for n in range(12)}
            slow = []

            async def request(key: str) -> None:
                route = make_route(sticky=False, objective_s=0.16)
                demand = Demand(route, "desk", None, key, (), 1.0, 0.16)
                choice = placement.choose(demand)
                if not isinstance(choice, Choice):
                    return
                server = choice.entry.server_id

                def pace() -> float:
                    return 2.5 if (trio.current_time() + phases[server]) % 4.0 < 0.6 else 1.0

                underway = placement.record_send(demand, choice)
                slow.append(pace() > 1.0)
                latency_s = 0.08 * pace()
                await trio.sleep(latency_s)
                report = LoadReport(1, 0, 4, pace(), True) if has_pace else LoadReport(1, 0, 4)
                seen = Observation(latency_s, 400, False, False, report, 0.0)
                placement.record_answer(demand, choice, seen)
                placement.record_end(choice.entry, underway)

            async with trio.open_nursery() as nursery:
                for number in range(8000):
                    nursery.start_soon(request, str(random.randrange(100)))
                    await trio.sleep(random.expovariate(200))
                    if number == 2000:
                        slow.clear()
            return sum(slow) / len(slow)

        return trio.run(test, clock=MockClock(autojump_threshold=0))

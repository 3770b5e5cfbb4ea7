"""The checks of planned stops in the soak: each reports what a stop did wrong, and only that."""

import unittest
from typing import Any

from bench.soak.planned_stops import (
    SETTLE_WINDOW_S,
    Ended,
    Period,
    PlannedStop,
    Reload,
    StopChecks,
    Work,
    WorkEnd,
)


class StopCheckTest(unittest.TestCase):
    """Judges a request to a process that got SIGTERM at 100 s and ended at 105.5 s."""

    def setUp(self) -> None:
        self.checks = StopChecks(slack=1.0)
        self.checks.stops.append(PlannedStop(0, 1, 100.0, 105.5, 0, False))

    def end(self, sent_s: float, ended_s: float, **changes: Any) -> None:
        """Record the end of a request without an answer."""
        values: dict[str, Any] = {"limit_s": 4.0, "status": 0, **changes}
        self.checks.ended.append(Ended("a", 0, 1, sent_s, ended_s, **values))

    def work(self, ended_s: float, end: WorkEnd) -> None:
        self.checks.works["a"].append(Work("a", ended_s, end))

    def findings(self) -> int:
        return len(self.checks.violations())

    def test_request_that_is_cut_at_work(self) -> None:
        self.end(103.4, 105.5)
        self.work(105.5, WorkEnd.LEFT)
        (violation,) = self.checks.violations()
        self.assertIn("LOST by a stop: ", violation)

    def test_answer_that_does_not_reach_its_caller(self) -> None:
        self.end(102.0, 105.5)
        self.work(104.0, WorkEnd.ANSWERED)
        self.assertEqual(self.findings(), 1)

    def test_own_failure_in_place_of_an_answer(self) -> None:
        self.end(103.4, 105.4, status=502)
        self.work(105.4, WorkEnd.LEFT)
        self.assertEqual(self.findings(), 1)

    def test_failure_of_a_backend_server(self) -> None:
        self.end(103.4, 105.4, status=502)
        self.work(105.4, WorkEnd.ANSWERED)
        self.assertEqual(self.findings(), 0)

    def test_backend_server_that_broke_off(self) -> None:
        self.end(103.4, 105.5)
        self.work(105.4, WorkEnd.BROKE_OFF)
        self.assertEqual(self.findings(), 0)

    def test_request_that_reached_its_limit(self) -> None:
        for limit_s, findings in ((2.0, 0), (2.3, 1)):
            self.checks.ended.clear()
            self.end(103.4, 105.4, limit_s=limit_s)
            self.work(105.4, WorkEnd.LEFT)
            self.assertEqual(self.findings(), findings, limit_s)

    def test_request_at_work_in_the_last_sixth(self) -> None:
        for sent_s, worked_until_s, findings in (
            (102.9, 105.1, 0),
            (103.1, 105.1, 1),
            (102.9, 104.9, 1),
        ):
            self.checks.ended.clear()
            self.checks.works.clear()
            self.end(sent_s, 105.5)
            self.work(worked_until_s, WorkEnd.LEFT)
            self.assertEqual(self.findings(), findings, (sent_s, worked_until_s))

    def test_request_that_ends_apart_from_the_stop(self) -> None:
        for sent_s, ended_s in ((97.0, 99.9), (104.0, 107.1)):
            self.checks.ended.clear()
            self.end(sent_s, ended_s)
            self.work(ended_s, WorkEnd.LEFT)
            self.assertEqual(self.findings(), 0, sent_s)

    def test_request_that_was_not_sent_on(self) -> None:
        for ended_s, queued, findings in (
            (104.1, False, 0),
            (104.3, False, 1),
            (104.3, True, 0),
        ):
            self.checks.ended.clear()
            self.end(104.0, ended_s, queued=queued)
            self.assertEqual(self.findings(), findings, (ended_s, queued))

    def test_request_of_another_process(self) -> None:
        self.checks.stops[0] = self.checks.stops[0]._replace(process=2)
        self.end(103.4, 105.5)
        self.work(105.5, WorkEnd.LEFT)
        self.assertEqual(self.findings(), 0)

    def test_kill_or_cut_before_the_request_excuses(self) -> None:
        for before_s, findings in ((SETTLE_WINDOW_S - 0.1, 0), (SETTLE_WINDOW_S + 0.1, 1)):
            for impaired in ("kill", "cut"):
                self.setUp()
                self.end(103.4, 105.5)
                self.work(105.5, WorkEnd.LEFT)
                at_s = 103.4 - before_s
                if impaired == "kill":
                    self.checks.kills[0].append(at_s)
                else:
                    self.checks.cuts[0].append(Period(at_s - 1.0, at_s))
                self.assertEqual(self.findings(), findings, (before_s, impaired))

    def test_pause_beside_the_stop_is_a_finding_of_its_own(self) -> None:
        self.end(103.4, 105.5)
        self.work(105.5, WorkEnd.LEFT)
        self.checks.pauses[0].append(Period(102.0, 103.0))
        (violation,) = self.checks.violations()
        self.assertIn("beside a pause", violation)

    def test_process_that_a_pause_left_no_time(self) -> None:
        self.checks.stops[0] = PlannedStop(0, 1, 100.0, 106.0, -9, True)
        for thawed_s, findings in ((105.1, 0), (104.9, 2)):
            self.checks.ended.clear()
            self.checks.works.clear()
            self.end(103.4, 106.0)
            self.work(106.0, WorkEnd.LEFT)
            self.checks.pauses[0] = [Period(102.0, thawed_s)]
            self.assertEqual(self.findings(), findings, thawed_s)

    def test_process_that_has_to_be_killed(self) -> None:
        self.checks.stops[0] = PlannedStop(0, 1, 100.0, 106.0, -9, True)
        (violation,) = self.checks.violations()
        self.assertIn("had to be killed", violation)

    def test_process_that_ends_with_an_error(self) -> None:
        self.checks.stops[0] = PlannedStop(0, 1, 100.0, 102.0, 1, False)
        (violation,) = self.checks.violations()
        self.assertIn("exit code 1", violation)

    def test_refusal_of_a_request_that_ran(self) -> None:
        for end, findings in ((WorkEnd.LEFT, 1), (WorkEnd.ANSWERED, 1), (WorkEnd.BROKE_OFF, 0)):
            self.setUp()
            self.checks.stops.clear()
            self.end(102.0, 102.1, status=503, refused_by_stop=True)
            self.work(102.1, end)
            self.assertEqual(self.findings(), findings, end)

    def test_late_refusal(self) -> None:
        for ended_s, queued, paused, findings in (
            (102.6, False, False, 1),
            (102.4, False, False, 0),
            (102.6, True, False, 0),
            (102.6, False, True, 0),
        ):
            self.setUp()
            self.end(102.0, ended_s, status=503, refused_by_stop=True, queued=queued)
            if paused:
                self.checks.pauses[0].append(Period(101.0, 102.1))
            self.assertEqual(self.findings(), findings, (ended_s, queued, paused))

    def test_request_cut_by_a_reload(self) -> None:
        self.checks.stops.clear()
        self.checks.reloads.append(Reload(0, 1, 100.0))
        for sent_s, ended_s, findings in ((99.0, 101.0, 1), (98.0, 99.9, 0), (102.6, 103.0, 0)):
            self.checks.ended.clear()
            self.checks.works.clear()
            self.end(sent_s, ended_s)
            self.work(ended_s, WorkEnd.LEFT)
            self.assertEqual(self.findings(), findings, sent_s)

    def test_summary(self) -> None:
        self.end(102.0, 102.1, status=503, refused_by_stop=True)
        self.assertTrue(
            self.checks.summary.startswith("1 stops, 0 killed, 0 reloads, 1 requests refused"),
            self.checks.summary,
        )

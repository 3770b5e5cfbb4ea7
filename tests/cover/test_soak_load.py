"""The load of the soak: slow machines and floods, load reports, workspaces, and their checks."""

import unittest
from random import Random

import trio
import trio.testing
from bench.soak.findings import MAX_PAST_TIMEOUT_S, Findings, Run, SentRequest
from bench.soak.machine import (
    MALFORMED_REPORTS,
    MAX_SERVICE_S,
    MAX_SLOW_PACE,
    MAX_WAITING,
    SLOTS,
    WORK_FACTOR,
    Machine,
)
from bench.soak.planned_stops import Ended
from bench.soak.schedule import LOADS, MACHINES, SLOW_MACHINE, Load, Step, draw_loads
from bench.soak.workspaces import FLOODING, WORKSPACES, authorization, tenants
from trio.testing import MockClock

TIMEOUT_S = 0.8


class LoadScheduleTest(unittest.TestCase):
    def draw(self, *loads: Load) -> list[Step]:
        return draw_loads(seed=3, seconds=60.0, instances=5, loads=loads)

    def test_steps_are_drawn_for_the_wanted_loads_only(self) -> None:
        """Guards against load in soaks that did not ask for it, which would change their seeds."""
        self.assertEqual(self.draw(), [])
        both = self.draw(*LOADS)
        self.assertEqual(self.draw(MACHINES), [step for step in both if step.kind == SLOW_MACHINE])
        self.assertEqual({step.kind for step in both}, {"slow-machine", "flood"})
        self.assertTrue(all(step.at_s + step.duration_s <= 60.0 for step in both))


class MachineTest(unittest.TestCase):
    def run_with(self, test) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    def well_formed(self, machine: Machine) -> list[int]:
        """Return the numbers of the next load report that is not malformed."""
        while True:
            (header,) = machine.load_headers
            name, _, report = header.partition(": ")
            self.assertEqual(name, "X-Server-Load")
            if report not in MALFORMED_REPORTS:
                return [int(number) for number in report.split(",")]

    def test_report_states_the_pace_at_which_requests_run(self) -> None:
        """Guards against a report that does not hold for the work, which nothing could learn."""

        async def test() -> None:
            machine = Machine(shared=True, random=Random(1))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(machine.slow_down, 0.3)
                await trio.sleep(0.1)
                running, waiting, slots, pace = self.well_formed(machine)
                self.assertEqual((running, waiting, slots), (0, 0, SLOTS))
                self.assertGreater(pace, 100)
                longest_s = max(machine.draw_service_s("/read/1") for _ in range(2000))
                self.assertAlmostEqual(longest_s, WORK_FACTOR * MAX_SERVICE_S * pace / 100, 1)
            self.assertEqual(self.well_formed(machine), [0, 0, SLOTS, 100])
            self.assertLessEqual(pace, 100 * MAX_SLOW_PACE)

        self.run_with(test)

    def test_full_server_refuses_and_a_nearly_full_one_is_slower(self) -> None:
        """Guards against servers that take any number of requests at the same speed."""

        async def test() -> None:
            machine = Machine(shared=True, random=Random(1))

            async def occupy() -> None:
                async with machine.slots:
                    await trio.sleep_forever()

            async with trio.open_nursery() as nursery:
                for _ in range(SLOTS + MAX_WAITING):
                    self.assertFalse(machine.is_full)
                    nursery.start_soon(occupy)
                    await trio.testing.wait_all_tasks_blocked()
                self.assertTrue(machine.is_full)
                self.assertEqual(self.well_formed(machine), [SLOTS, MAX_WAITING, SLOTS, 100])
                longest_s = max(machine.draw_service_s("/read/1") for _ in range(2000))
                self.assertGreater(longest_s, 1.2 * WORK_FACTOR * MAX_SERVICE_S)
                nursery.cancel_scope.cancel()

        self.run_with(test)

    def test_machine_of_its_own_reports_nothing_and_is_never_full(self) -> None:
        """Guards against soaks without this load that differ from before."""
        machine = Machine(shared=False, random=Random(1))
        self.assertEqual(machine.load_headers, [])
        self.assertFalse(machine.is_full)
        self.assertEqual(machine.draw_service_s("/read/1"), Random(1).uniform(0.0, MAX_SERVICE_S))
        self.assertEqual(machine.draw_service_s("/long-read/slow-1500/1"), 1.5)


class WorkspacesTest(unittest.TestCase):
    def test_all_requests_of_a_caller_have_the_same_known_key(self) -> None:
        """Guards against requests without a valid key, which no instance would serve."""
        keys = {f"Bearer {key}": each["Name"] for each in tenants() for key in each["ApiKeys"]}
        self.assertEqual(set(keys.values()), {FLOODING, *WORKSPACES})
        self.assertEqual(authorization("c1-0-1"), authorization("c1-0-99"))
        self.assertEqual(keys[authorization(f"{FLOODING}-3-12.345-0-1")], FLOODING)
        used = {keys[authorization(f"c{number}-0-1")] for number in range(50)}
        self.assertEqual(used, set(WORKSPACES))


class LoadFindingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.findings = Findings(instances=1, slack=1.0)

    def end(self, took_s: float, *, queued: bool = False) -> list[str]:
        """Return the findings of a request that was sent at 100 s and answered with 504."""
        ended = Ended("a", 0, 1, 100.0, 100.0 + took_s, TIMEOUT_S, 504, queued=queued)
        self.findings.stop_checks.ended = [ended]
        self.findings.violations = []
        self.findings.finish_checks()
        return self.findings.violations

    def test_answer_after_the_timeout(self) -> None:
        """Guards against requests that are held half a second past their route's timeout."""
        self.assertEqual(self.end(TIMEOUT_S + MAX_PAST_TIMEOUT_S - 0.1), [])
        self.assertEqual(len(self.end(TIMEOUT_S + MAX_PAST_TIMEOUT_S + 0.1)), 1)

    def test_answer_behind_others_or_of_a_paused_process_may_be_late(self) -> None:
        self.assertEqual(self.end(3.0, queued=True), [])
        self.findings.record_disturbance(0, 100.0, 101.0)
        self.assertEqual(self.end(3.0), [])

    def test_no_request_that_was_refused_ran(self) -> None:
        """Guards against refusals as not run that are false, also for idempotent requests."""
        for status, findings in ((429, 1), (503, 1), (502, 0), (504, 0)):
            with self.subTest(status=status):
                self.findings = Findings(instances=1, slack=1.0)
                self.findings.sent["a"] = SentRequest(0, 1, 100.0, True)
                self.findings.record_answer("a", "/read/a", status, b"")
                self.findings.runs.append(Run("a", "i-1", 100.0))
                self.findings.finish_checks()
                self.assertEqual(len(self.findings.violations), findings)

"""The checks of the soak: each finds the broken promise that it is there for."""

import unittest
from random import Random
from typing import cast

import trio
from bench.soak.caller import Caller, Drawn
from bench.soak.deployment import Deployment, Instance
from bench.soak.findings import CONFIG_APPLY_S, DRAIN_S, SETTLE_S, Asked, Crash, Findings, Run
from bench.soak.schedule import FAULTS, draw_schedule
from trio.testing import MockClock


class ScheduleTest(unittest.TestCase):
    def test_a_seed_says_it_all(self) -> None:
        steps = draw_schedule(seed=3, seconds=200.0, instances=5)
        self.assertEqual(steps, draw_schedule(seed=3, seconds=200.0, instances=5))
        self.assertEqual({each.kind for each in steps}, {"config", *FAULTS})
        self.assertTrue(all(each.at_s + each.for_s <= 200.0 for each in steps))


class FindingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.findings = Findings(instances=1, slack=1.0)

    def ask(self, request_id: str, sent_s: float = 100.0, *, repeatable: bool = False) -> Asked:
        asked = self.findings.asked[request_id] = Asked(0, 1, sent_s, repeatable)
        return asked

    def concluded(self) -> list[str]:
        self.findings.conclude()
        return self.findings.found

    def crash_at(self, *times_s: float) -> None:
        for at_s in times_s:
            self.ask("c1", at_s, repeatable=True)
            self.findings.crashes.append(Crash("/read/crashing-0", "c1", "i-1", at_s))

    def run_at(self, request_id: str, at_s: float = 100.0) -> None:
        self.findings.runs.append(Run(request_id, "i-1", at_s))

    def test_request_that_nobody_asked(self) -> None:
        self.run_at("a")
        self.assertEqual(len(self.concluded()), 1)

    def test_request_that_ran_twice(self) -> None:
        self.ask("a")
        self.ask("b", repeatable=True)
        for request_id in ("a", "a", "b", "b"):
            self.run_at(request_id)
        (found,) = self.concluded()
        self.assertIn("ran 2 times", found)

    def test_refusal_of_a_request_that_ran(self) -> None:
        self.ask("a")
        self.run_at("a")
        self.findings.refused.add("a")
        self.assertEqual(len(self.concluded()), 1)

    def test_drained_backend_server_gets_requests(self) -> None:
        self.findings.drained_s["i-1"] = 100.0
        for request_id, late_s in (("a", DRAIN_S - 0.1), ("b", DRAIN_S + 0.1)):
            self.ask(request_id)
            self.run_at(request_id, 100.0 + late_s)
        (found,) = self.concluded()
        self.assertIn("'b'", found)

    def test_change_not_in_force_in_time(self) -> None:
        self.findings.confirmed_s[2] = 100.0
        for late_s, findings in ((CONFIG_APPLY_S - 0.1, 0), (CONFIG_APPLY_S + 0.1, 1)):
            asked = self.ask("a", 100.0 + late_s)
            self.findings.note_version(asked, 2, served=False, answered_s=asked.sent_s)
            self.assertEqual(len(self.findings.found), findings)

    def test_instance_out_of_touch_may_be_late(self) -> None:
        self.findings.confirmed_s[2] = 100.0
        self.findings.note_disturbed(0, 90.0, 100.0 + CONFIG_APPLY_S - SETTLE_S + 0.1)
        asked = self.ask("a", 110.0)
        self.findings.note_version(asked, 2, served=False, answered_s=110.0)
        self.assertEqual(self.findings.found, [])

    def test_older_configuration_after_a_newer_one(self) -> None:
        self.findings.confirmed_s |= {2: 100.0, 3: 101.0}
        self.findings.note_version(self.ask("a", 101.0), 3, served=True, answered_s=101.1)
        self.findings.note_version(self.ask("b", 101.5), 2, served=False, answered_s=101.6)
        (found,) = self.findings.found
        self.assertIn("after 3 was in force", found)

    def test_request_cut_by_a_planned_stop(self) -> None:
        async def stop() -> None:
            with self.findings.disturbed(0, planned=True):
                await trio.sleep(1.0)

        trio.run(stop, clock=MockClock(autojump_threshold=0))
        for sent_s, findings in ((0.5, 1), (50.0, 0)):
            self.findings.found.clear()
            self.ask("a", sent_s)
            self.run_at("a", sent_s)
            self.findings.cut.add("a")
            self.assertEqual(len(self.concluded()), findings, sent_s)
            self.findings.runs.clear()

    def test_request_that_goes_on_crashing_backend_servers(self) -> None:
        late_s = 103.0 + SETTLE_S
        self.crash_at(101.0, 102.0, 103.0, 104.0, late_s + 1.0, late_s + 2.0, late_s + 3.0)
        self.assertEqual(self.concluded(), [])
        self.crash_at(late_s + 4.0)
        (found,) = self.concluded()
        self.assertIn("crashed 8, 4 of them late", found)

    def test_crashes_by_instances_out_of_touch_are_allowed(self) -> None:
        self.findings.note_disturbed(0, 100.0, 120.0)
        self.crash_at(101.0, 102.0, 103.0, 110.0, 111.0, 112.0, 113.0, 114.0)
        self.assertEqual(self.concluded(), [])

    def test_instance_that_does_not_answer(self) -> None:
        async def run() -> None:
            await trio.sleep(10.0)
            self.findings.note_unserved(0, trio.current_time() - 1.0, "refused")

        trio.run(run, clock=MockClock(autojump_threshold=0))
        self.assertEqual(len(self.findings.found), 1)

    def test_instance_that_does_not_serve_again(self) -> None:
        self.findings.confirmed_s[7] = 0.0
        self.findings.note_version(Asked(0, 1, 1.0, True), 7, served=True, answered_s=1.1)
        self.findings.check_whole(7)
        self.assertEqual(self.findings.found, [])
        self.findings.check_whole(8)
        (found,) = self.findings.found
        self.assertIn("serves version 7 at the end, not 8", found)


class CallerCheckTest(unittest.TestCase):
    def found(self, status: int, body: bytes) -> list[str]:
        """What is found in an answer to a request."""
        findings = Findings(instances=1, slack=1.0)
        caller = Caller(
            name="c",
            instance=cast(Instance, None),
            world=cast(Deployment, None),
            findings=findings,
            random=Random(1),
        )
        caller.check(Drawn("c-1", "GET", "/read/c-1", None), status, body)
        return findings.found

    def test_answer_of_another_request(self) -> None:
        self.assertEqual(self.found(200, b"c-1 /read/c-1"), [])
        self.assertEqual(len(self.found(200, b"c-2 /read/c-2")), 1)

    def test_good_request_that_is_shut_out(self) -> None:
        self.assertEqual(self.found(503, b"not run: no room\n"), [])
        self.assertEqual(len(self.found(503, b"not run: quarantined\n")), 1)

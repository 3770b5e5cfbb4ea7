"""The checks of the soak: each reports a violation of its guarantee, and only that."""

import unittest
from random import Random
from typing import cast

import trio
from bench.soak.caller import Caller, DrawnRequest
from bench.soak.deployment import Deployment
from bench.soak.findings import (
    CONFIG_APPLY_S,
    DRAIN_S,
    SETTLE_S,
    Crash,
    CutPeriod,
    Findings,
    LimitPeriod,
    RestPeriod,
    Run,
    SentRequest,
    TurnedAway,
)
from bench.soak.instance import Instance
from bench.soak.schedule import FAULTS, draw_cuts, draw_reloads, draw_schedule, draw_stops
from trio.testing import MockClock

from tests.common.partition import FORMS


class ScheduleTest(unittest.TestCase):
    def test_seed_determines_the_schedule(self) -> None:
        steps = draw_schedule(seed=3, seconds=200.0, instances=5)
        self.assertEqual(steps, draw_schedule(seed=3, seconds=200.0, instances=5))
        self.assertEqual({each.kind for each in steps}, {"config", *FAULTS})
        self.assertTrue(all(each.at_s + each.duration_s <= 200.0 for each in steps))

    def test_cuts_have_all_forms_and_extents(self) -> None:
        steps = [
            step
            for seed in range(20)
            for step in draw_cuts(seed=seed, seconds=60.0, instances=6, domains=3)
        ]
        self.assertEqual({step.form for step in steps}, set(FORMS))
        self.assertEqual({len(step.instances) for step in steps}, {1, 2, 6})
        self.assertTrue(any(step.unreached for step in steps))
        self.assertTrue(all(step.at_s + step.duration_s <= 60.0 for step in steps))

    def test_stops_are_in_turn_and_at_once_with_pauses_before_and_after(self) -> None:
        steps = [
            step for seed in range(20) for step in draw_stops(seed=seed, seconds=60.0, instances=9)
        ]
        delays = [[stop.delay_s for stop in step.stops] for step in steps]
        self.assertTrue(any(len(each) > 1 and set(each) == {0.0} for each in delays))
        self.assertTrue(any(len(each) > 1 and max(each) > 1.0 for each in delays))
        stops = [stop for step in steps for stop in step.stops]
        pauses = [stop.pause_s for stop in stops]
        self.assertIn(None, pauses)
        self.assertEqual(
            {(each > 0.0) - (each < 0.0) for each in pauses if each is not None}, {-1, 0, 1}
        )
        self.assertTrue(any(stop.repeats_s for stop in stops))
        self.assertTrue(any(stop.reloads_s and min(stop.reloads_s) < 0.0 for stop in stops))
        for step in steps:
            numbers = [stop.instance for stop in step.stops]
            self.assertEqual(len(numbers), len(set(numbers)))
            self.assertTrue(all(step.at_s + stop.delay_s <= 60.0 for stop in step.stops))

    def test_reloads_are_within_the_soak(self) -> None:
        steps = draw_reloads(seed=3, seconds=60.0, instances=5)
        self.assertGreater(len(steps), 5)
        self.assertTrue(all(step.at_s < 60.0 for step in steps))


class FindingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.findings = Findings(instances=1, slack=1.0)

    def ask(
        self, request_id: str, sent_s: float = 100.0, *, idempotent: bool = False
    ) -> SentRequest:
        sent = self.findings.sent[request_id] = SentRequest(0, 1, sent_s, idempotent)
        return sent

    def finish(self) -> list[str]:
        self.findings.finish_checks()
        return self.findings.violations

    def crash_at(self, *times_s: float) -> None:
        for at_s in times_s:
            self.ask("c1", at_s, idempotent=True)
            self.findings.crashes.append(Crash("/read/crashing-0", "c1", "i-1", at_s))

    def run_at(self, request_id: str, at_s: float = 100.0) -> None:
        self.findings.runs.append(Run(request_id, "i-1", at_s))

    def test_request_that_no_caller_sent(self) -> None:
        self.run_at("a")
        self.assertEqual(len(self.finish()), 1)

    def test_request_that_ran_twice(self) -> None:
        self.ask("a")
        self.ask("b", idempotent=True)
        for request_id in ("a", "a", "b", "b"):
            self.run_at(request_id)
        (violation,) = self.finish()
        self.assertIn("ran 2 times", violation)

    def test_refusal_of_a_request_that_ran(self) -> None:
        self.ask("a")
        self.run_at("a")
        self.findings.refused.add("a")
        self.assertEqual(len(self.finish()), 1)

    def rest(self, *sent_s: float) -> list[str]:
        """Return what is found of requests in a rest of the instance from 100 s to 103 s."""
        self.findings = Findings(instances=1, slack=1.0)
        self.findings.rest_periods = [RestPeriod("i-1", 0, 100.0, 103.0)]
        self.findings.turned_away = [TurnedAway("i-1", 0, at_s) for at_s in sent_s]
        return self.finish()

    def test_requests_in_a_rest(self) -> None:
        self.assertEqual(len(self.rest(100.6, 101.0, 102.9)), 1)
        self.assertEqual(self.rest(100.1, 100.2, 100.4, 101.0, 102.9, 103.1), [])

    def test_rest_of_an_instance_that_was_cut_off(self) -> None:
        self.findings.cut_periods = [CutPeriod((0,), 90.0, 95.0)]
        self.findings.rest_periods = [RestPeriod("i-1", 0, 100.0, 103.0)]
        self.findings.turned_away = [TurnedAway("i-1", 0, 101.0)] * 5
        self.assertEqual(self.finish(), [])

    def test_limited_backend_server_gets_too_many_requests(self) -> None:
        for stated_until_s, violations in ((130.0, 1), (107.0, 0)):
            self.findings = Findings(instances=1, slack=1.0)
            self.findings.limit_periods = [LimitPeriod("i-1", 1.0, 100.0, stated_until_s)]
            for number in range(12):
                self.ask(f"{number}", 106.0, idempotent=True)
                self.run_at(f"{number}", 106.0 + number / 4)
            self.assertEqual(len(self.finish()), violations)

    def test_requests_before_a_limit_has_settled_are_allowed(self) -> None:
        self.findings.limit_periods = [LimitPeriod("i-1", 1.0, 100.0, 130.0)]
        for number in range(50):
            self.ask(f"{number}", 103.0, idempotent=True)
            self.run_at(f"{number}", 103.0)
        self.assertEqual(self.finish(), [])

    def test_drained_backend_server_gets_requests(self) -> None:
        self.findings.drained_s["i-1"] = 100.0
        for request_id, late_s in (("a", DRAIN_S - 0.1), ("b", DRAIN_S + 0.1)):
            self.ask(request_id)
            self.run_at(request_id, 100.0 + late_s)
        (violation,) = self.finish()
        self.assertIn("'b'", violation)

    def test_change_not_in_force_in_time(self) -> None:
        self.findings.confirmed_s[2] = 100.0
        for late_s, findings in ((CONFIG_APPLY_S - 0.1, 0), (CONFIG_APPLY_S + 0.1, 1)):
            sent = self.ask("a", 100.0 + late_s)
            self.findings.record_version(sent, 2, served=False, answered_s=sent.sent_s)
            self.assertEqual(len(self.findings.violations), findings)

    def test_disturbed_instance_may_be_late(self) -> None:
        self.findings.confirmed_s[2] = 100.0
        self.findings.record_disturbance(0, 90.0, 100.0 + CONFIG_APPLY_S - SETTLE_S + 0.1)
        sent = self.ask("a", 110.0)
        self.findings.record_version(sent, 2, served=False, answered_s=110.0)
        self.assertEqual(self.findings.violations, [])

    def test_older_configuration_after_a_newer_one(self) -> None:
        self.findings.confirmed_s |= {2: 100.0, 3: 101.0}
        self.findings.record_version(self.ask("a", 101.0), 3, served=True, answered_s=101.1)
        self.findings.record_version(self.ask("b", 101.5), 2, served=False, answered_s=101.6)
        (violation,) = self.findings.violations
        self.assertIn("after 3 was in force", violation)

    def test_request_cut_by_a_planned_stop(self) -> None:
        async def stop() -> None:
            with self.findings.disturbance(0, planned=True):
                await trio.sleep(1.0)

        trio.run(stop, clock=MockClock(autojump_threshold=0))
        for sent_s, findings in ((0.5, 1), (50.0, 0)):
            self.findings.violations.clear()
            self.ask("a", sent_s)
            self.run_at("a", sent_s)
            self.findings.cut_requests.add("a")
            self.assertEqual(len(self.finish()), findings, sent_s)
            self.findings.runs.clear()

    def test_request_that_goes_on_crashing_backend_servers(self) -> None:
        late_s = 103.0 + SETTLE_S
        self.crash_at(101.0, 102.0, 103.0, 104.0, late_s + 1.0, late_s + 2.0, late_s + 3.0)
        self.assertEqual(self.finish(), [])
        self.crash_at(late_s + 4.0)
        (violation,) = self.finish()
        self.assertIn("crashed 8, 4 of them late", violation)

    def test_crashes_by_disturbed_instances_are_allowed(self) -> None:
        self.findings.record_disturbance(0, 100.0, 120.0)
        self.crash_at(101.0, 102.0, 103.0, 110.0, 111.0, 112.0, 113.0, 114.0)
        self.assertEqual(self.finish(), [])

    def test_instance_that_does_not_answer(self) -> None:
        async def run() -> None:
            await trio.sleep(10.0)
            self.findings.record_unanswered(0, trio.current_time() - 1.0, "refused")

        trio.run(run, clock=MockClock(autojump_threshold=0))
        self.assertEqual(len(self.findings.violations), 1)

    def test_instance_that_does_not_serve_again(self) -> None:
        self.findings.confirmed_s[7] = 0.0
        self.findings.record_version(SentRequest(0, 1, 1.0, True), 7, served=True, answered_s=1.1)
        self.findings.check_final_versions(7)
        self.assertEqual(self.findings.violations, [])
        self.findings.check_final_versions(8)
        (violation,) = self.findings.violations
        self.assertIn("serves version 7 at the end, not 8", violation)


class CallerCheckTest(unittest.TestCase):
    def violations(self, status: int, body: bytes) -> list[str]:
        """Return the violations found in an answer."""
        findings = Findings(instances=1, slack=1.0)
        caller = Caller(
            name="c",
            instance=cast(Instance, None),
            deployment=cast(Deployment, None),
            findings=findings,
            random=Random(1),
        )
        caller.check(DrawnRequest("c-1", "GET", "/read/c-1", None), status, body)
        return findings.violations

    def test_answer_of_another_request(self) -> None:
        self.assertEqual(self.violations(200, b"c-1 /read/c-1"), [])
        self.assertEqual(len(self.violations(200, b"c-2 /read/c-2")), 1)

    def test_harmless_request_that_is_quarantined(self) -> None:
        self.assertEqual(self.violations(503, b"not run: no room\n"), [])
        self.assertEqual(len(self.violations(503, b"not run: quarantined\n")), 1)


class CutCheckTest(unittest.TestCase):
    def cut_off(self, served_there: int, served_elsewhere: int) -> list[str]:
        """Return the findings of a cut of instance 0 with 100 requests there and elsewhere."""
        findings = Findings(instances=2, slack=1.0)
        findings.cut_periods.append(CutPeriod((0,), 100.0, 200.0))
        for instance, served in enumerate((served_there, served_elsewhere)):
            for number in range(100):
                request_id = f"{instance}-{number}"
                sent_s = 100.0 + SETTLE_S + number / 10
                findings.sent[request_id] = SentRequest(instance, 1, sent_s, True)
                findings.answered[request_id] = 200 if number < served else 503
        findings.finish_checks()
        return findings.violations

    def test_instance_that_serves_less_while_it_is_cut_off(self) -> None:
        self.assertEqual(len(self.cut_off(served_there=50, served_elsewhere=90)), 1)
        self.assertEqual(self.cut_off(served_there=70, served_elsewhere=90), [])

    def test_cut_that_all_instances_share_the_effect_of(self) -> None:
        """Guards against a finding where no instance serves its callers."""
        self.assertEqual(self.cut_off(served_there=0, served_elsewhere=0), [])

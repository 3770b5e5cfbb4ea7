"""Hedging: a second copy of a slow request, one answer, no slot left behind."""

import unittest
from collections.abc import Callable, Sequence

import trio
from trio.testing import MockClock

from wagtailpoint.admission.slots import Slot
from wagtailpoint.config.model import BackendServer, ClassPolicy
from wagtailpoint.entry.hedging import SLOW_FRACTION, HedgeDelays, HedgedExchange
from wagtailpoint.ports.backend import (
    BackendAddress,
    BackendFailure,
    BackendResponse,
    BodyBroken,
    FailureReason,
)
from wagtailpoint.verdict import Verdict

DELAY_S = 0.1
RESET = BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.RESET)


def make_slot(number: int) -> Slot:
    server = BackendServer(BackendAddress("127.0.0.1", number), "near-a", 3)
    return Slot("desk", server, ClassPolicy("check", 0, 1.0))


class ScriptedCopies:
    """What becomes of the first and of the second copy: after how long, and which status."""

    def __init__(self, *outcomes: tuple[float, int | None], breaks: bool = False) -> None:
        self._outcomes = outcomes
        self._breaks = breaks
        self.sent: list[int] = []
        self.cut_off: list[int] = []
        self.heard: list[int] = []
        self.held = 1

    async def send(self, slot: Slot, sink: Callable) -> BackendFailure | None:
        place = slot.server.address.port
        self.sent.append(place)
        after_s, status = self._outcomes[place]
        try:
            await trio.sleep(after_s)
            if status is None:
                return RESET
            await sink(BackendResponse(status, (), None))  # type: ignore[arg-type]
        except trio.Cancelled:
            self.cut_off.append(place)
            raise
        finally:
            self.held -= 1
        return None

    async def hear(self, response: BackendResponse) -> None:
        self.heard.append(response.status)
        await trio.sleep(1.0)  # a body that takes its time
        if self._breaks:
            raise BodyBroken("short")

    def take_second_slot(self) -> Slot:
        self.held += 1
        return make_slot(1)

    def hedged(self) -> HedgedExchange:
        hedged = HedgedExchange(
            send_copy=self.send,
            sink=self.hear,
            take_second_slot=self.take_second_slot,
            delay_s=DELAY_S,
        )

        async def run() -> None:
            await hedged.run(make_slot(0))

        trio.run(run, clock=MockClock(autojump_threshold=0.0))
        return hedged


class HedgedExchangeTest(unittest.TestCase):
    def check(
        self, copies: ScriptedCopies, *, sent: Sequence[int], heard: Sequence[int]
    ) -> HedgedExchange:
        hedged = copies.hedged()
        self.assertEqual((copies.sent, copies.heard, copies.held), (sent, heard, 0))
        return hedged

    def test_quick_answer_sends_no_second_copy(self) -> None:
        self.check(ScriptedCopies((0.05, 200)), sent=[0], heard=[200])

    def test_second_copy_answers_for_a_backend_server_that_stalls(self) -> None:
        """One backend server in a hundred pauses for seconds, and a balance check is on it.

        Symptom: the 99th percentile is that of the pause. Cause: the request stays where it is,
        though any other backend server would have answered long ago.
        """
        copies = ScriptedCopies((30.0, 200), (0.05, 201))
        hedged = self.check(copies, sent=[0, 1], heard=[201])
        self.assertEqual((copies.cut_off, hedged.slow), ([0], True))

    def test_late_answer_of_the_other_copy_is_not_passed_on(self) -> None:
        """Both copies are answered, the second while the first one's body is still passed on.

        Symptom: the caller gets parts of two answers in one. Cause: the copies share the sink.
        """
        copies = ScriptedCopies((0.2, 200), (0.15, 201))
        self.check(copies, sent=[0, 1], heard=[200])
        self.assertEqual(copies.cut_off, [1])

    def test_failure_before_the_delay_is_left_to_retries(self) -> None:
        hedged = self.check(ScriptedCopies((0.05, None)), sent=[0], heard=[])
        self.assertEqual([failure for _, failure in hedged.failures], [RESET])

    def test_one_failing_copy_leaves_the_other_running(self) -> None:
        for outcomes in (((0.15, None), (0.2, 201)), ((0.4, 200), (0.05, None))):
            with self.subTest(outcomes=outcomes):
                self.assertTrue(
                    self.check(
                        ScriptedCopies(*outcomes), sent=[0, 1], heard=[outcomes[0][1] or 201]
                    ).answered
                )

    def test_broken_body_comes_out_as_itself(self) -> None:
        """The answer's body ends before its promised end.

        Symptom: the caller's connection is not cut, and the short body looks whole. Cause: the
        entry waits for ``BodyBroken`` and gets a group that holds it.
        """
        copies = ScriptedCopies((0.05, 200), breaks=True)
        with self.assertRaises(BodyBroken):
            copies.hedged()
        self.assertEqual(copies.held, 0)


class HedgeDelaysTest(unittest.TestCase):
    def test_delay_settles_where_one_in_twenty_is_slower(self) -> None:
        delays = HedgeDelays()
        slower = 0
        for number in range(20_000):
            time_s = ((number * 7919) % 1000) / 1000
            slow = time_s > delays.delay_s("desk")
            slower += slow and number >= 10_000
            delays.record("desk", slow=slow)
        self.assertAlmostEqual(slower / 10_000, SLOW_FRACTION, delta=0.02)

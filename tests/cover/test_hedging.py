"""Hedging: a slow request is sent twice, one response is forwarded, and all slots are released."""

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
    """Sends with scripted outcomes: the delay and the status (None for a failure) of each copy."""

    def __init__(self, *outcomes: tuple[float, int | None], breaks: bool = False) -> None:
        self._outcomes = outcomes
        self._breaks = breaks
        self.sent: list[int] = []
        self.cancelled: list[int] = []
        self.forwarded: list[int] = []
        self.held_slots = 1

    async def send(self, slot: Slot, sink: Callable) -> BackendFailure | None:
        index = slot.server.address.port
        self.sent.append(index)
        after_s, status = self._outcomes[index]
        try:
            await trio.sleep(after_s)
            if status is None:
                return RESET
            await sink(BackendResponse(status, (), None))  # type: ignore[arg-type]
        except trio.Cancelled:
            self.cancelled.append(index)
            raise
        finally:
            self.held_slots -= 1
        return None

    async def forward(self, response: BackendResponse) -> None:
        self.forwarded.append(response.status)
        await trio.sleep(1.0)  # a slow body
        if self._breaks:
            raise BodyBroken("short")

    def take_second_slot(self) -> Slot:
        self.held_slots += 1
        return make_slot(1)

    def hedged(self) -> HedgedExchange:
        hedged = HedgedExchange(
            send_copy=self.send,
            sink=self.forward,
            take_second_slot=self.take_second_slot,
            delay_s=DELAY_S,
        )

        async def run() -> None:
            await hedged.run(make_slot(0))

        trio.run(run, clock=MockClock(autojump_threshold=0.0))
        return hedged


class HedgedExchangeTest(unittest.TestCase):
    def check(
        self, copies: ScriptedCopies, *, sent: Sequence[int], forwarded: Sequence[int]
    ) -> HedgedExchange:
        hedged = copies.hedged()
        self.assertEqual((copies.sent, copies.forwarded, copies.held_slots), (sent, forwarded, 0))
        return hedged

    def test_fast_response_is_not_hedged(self) -> None:
        self.check(ScriptedCopies((0.05, 200)), sent=[0], forwarded=[200])

    def test_hedged_request_is_answered_when_the_first_stalls(self) -> None:
        """Guards against a 99th percentile of the latency determined by stalled backend servers.

        One in a hundred backend servers pauses for seconds while it has a request. Any other one
        would respond much earlier.
        """
        copies = ScriptedCopies((30.0, 200), (0.05, 201))
        hedged = self.check(copies, sent=[0, 1], forwarded=[201])
        self.assertEqual((copies.cancelled, hedged.slow), ([0], True))

    def test_late_response_of_the_other_copy_is_not_forwarded(self) -> None:
        """Guards against a reply that mixes parts of two responses.

        The second response arrives while the body of the first is still being forwarded, and both
        exchanges share the sink.
        """
        copies = ScriptedCopies((0.2, 200), (0.15, 201))
        self.check(copies, sent=[0, 1], forwarded=[200])
        self.assertEqual(copies.cancelled, [1])

    def test_failure_before_the_delay_is_not_hedged(self) -> None:
        hedged = self.check(ScriptedCopies((0.05, None)), sent=[0], forwarded=[])
        self.assertEqual([failure for _, failure in hedged.failures], [RESET])

    def test_failure_of_one_copy_does_not_cancel_the_other(self) -> None:
        for outcomes in (((0.15, None), (0.2, 201)), ((0.4, 200), (0.05, None))):
            with self.subTest(outcomes=outcomes):
                self.assertTrue(
                    self.check(
                        ScriptedCopies(*outcomes), sent=[0, 1], forwarded=[outcomes[0][1] or 201]
                    ).answered
                )

    def test_truncated_body_raises_body_broken_itself(self) -> None:
        """Guards against a truncated body that looks complete to the caller.

        The entry cuts the caller's connection on ``BodyBroken``. It would not do so if the
        exception arrived wrapped in an exception group.
        """
        copies = ScriptedCopies((0.05, 200), breaks=True)
        with self.assertRaises(BodyBroken):
            copies.hedged()
        self.assertEqual(copies.held_slots, 0)


class HedgeDelaysTest(unittest.TestCase):
    def test_delay_converges_to_the_95th_percentile(self) -> None:
        delays = HedgeDelays()
        slower = 0
        for number in range(20_000):
            time_s = ((number * 7919) % 1000) / 1000
            slow = time_s > delays.delay_s("desk")
            slower += slow and number >= 10_000
            delays.record("desk", slow=slow)
        self.assertAlmostEqual(slower / 10_000, SLOW_FRACTION, delta=0.02)

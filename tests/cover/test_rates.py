"""Rate limiting of workspaces, also just after the process was paused."""

import unittest

import trio
from result import Err, Ok
from trio.testing import MockClock

from tests.common.fake_clock import FakeClock
from wagtailpoint.admission.rates import CREDIT_TTL_S, MAX_CREDIT_S, WorkspaceRateLimiter
from wagtailpoint.observe.pauses import WAKE_INTERVAL_S, Pauses

MAX_RPS = 200.0
FRACTION = 0.5
RATE = FRACTION * MAX_RPS
DEPTH = 10


class WorkspaceRateLimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.paused_s = 0.0
        self.limiter = WorkspaceRateLimiter(
            clock=self.clock, fraction=lambda: FRACTION, paused_s=lambda: self.paused_s
        )
        self.assertEqual(self.admitted(DEPTH), DEPTH)

    def admitted(self, requests: int) -> int:
        """Return how many of some concurrent requests are admitted."""
        waits = [self.limiter.take("own", MAX_RPS) for _ in range(requests)]
        return waits.count(Ok(0.0))

    def pause(self, duration_s: float) -> None:
        self.clock.now += duration_s
        self.paused_s += duration_s

    def test_workspace_without_a_limit(self) -> None:
        self.assertEqual([self.limiter.take("free", None) for _ in range(1000)], [Ok(0.0)] * 1000)

    def test_burst_after_a_quiet_time(self) -> None:
        self.clock.now += 60.0
        self.assertEqual(self.admitted(1000), DEPTH)

    def test_refusal_has_the_time_until_the_next_token(self) -> None:
        refused = self.limiter.take("own", MAX_RPS)
        assert isinstance(refused, Err)
        self.assertAlmostEqual(refused.err_value, 1 / RATE)
        self.clock.now += 1.01 * refused.err_value
        self.assertEqual(self.admitted(2), 1)

    def test_requests_that_may_wait_get_the_next_tokens_in_turn(self) -> None:
        waits = [self.limiter.take("own", MAX_RPS, max_wait_s=0.05) for _ in range(100)]
        granted = [wait.ok_value for wait in waits if isinstance(wait, Ok)]
        self.assertEqual(len(granted), 5)
        for place, wait_s in enumerate(granted, start=1):
            self.assertAlmostEqual(wait_s, place / RATE)
        # The reserved tokens are spent: nobody else gets them later.
        self.clock.now += 0.05
        self.assertEqual(self.admitted(100), 0)

    def test_burst_of_callers_whose_instance_has_failed(self) -> None:
        """Guards against 429 for callers within their limit who all retry at one instance.

        Three callers with 80 requests a second whose instance was killed sent 61 requests within
        0.18 s; the bucket of a tenth of a second held 21, and 4 of them were refused.
        """
        clock = FakeClock()
        limiter = WorkspaceRateLimiter(clock=clock, fraction=lambda: 1 / 12)
        for _ in range(61):
            taken = limiter.take("own", 2500.0, max_wait_s=0.25)
            self.assertIsInstance(taken, Ok)
            clock.now += 0.18 / 61

    def test_requests_that_arrived_during_a_pause_are_admitted(self) -> None:
        """Guards against requests within the limit that are refused after a freeze."""
        self.pause(3.0)
        self.assertEqual(self.admitted(250), 250)

    def test_requests_beyond_the_limit_during_a_pause_are_refused(self) -> None:
        self.pause(3.0)
        self.assertEqual(self.admitted(1000), 3 * RATE)

    def test_pause_that_is_noticed_in_parts(self) -> None:
        """Guards against lost credit if the pause seems to go on while its requests are handled."""
        self.pause(3.0)
        admitted = self.admitted(100)
        self.pause(0.01)
        self.assertAlmostEqual(admitted + self.admitted(1000), 3.01 * RATE, delta=1)

    def test_credit_of_a_pause_lapses(self) -> None:
        self.pause(3.0)
        self.assertEqual(self.admitted(1), 1)
        self.clock.now += CREDIT_TTL_S
        self.assertEqual(self.admitted(1000), DEPTH)

    def test_credit_is_bounded(self) -> None:
        self.pause(10 * MAX_CREDIT_S)
        self.assertEqual(self.admitted(10_000), MAX_CREDIT_S * RATE)


class PausesTest(unittest.TestCase):
    def test_only_late_wake_ups_count(self) -> None:
        async def test() -> None:
            pauses = Pauses()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pauses.run)
                await trio.sleep(5.0)
                self.assertEqual(pauses.total_s, 0.0)
                clock.jump(3.0)
                # Seen by the first task that runs after the pause.
                self.assertAlmostEqual(pauses.total_s, 3.0, delta=WAKE_INTERVAL_S)
                await trio.sleep(5.0)
                self.assertAlmostEqual(pauses.total_s, 3.0, delta=WAKE_INTERVAL_S)
                nursery.cancel_scope.cancel()

        clock = MockClock(autojump_threshold=0)
        trio.run(test, clock=clock)


if __name__ == "__main__":
    unittest.main()

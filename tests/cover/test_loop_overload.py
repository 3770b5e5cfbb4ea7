"""An instance that is short of processor time: which requests it still accepts."""

import math
import unittest
from collections import deque
from random import Random
from typing import NamedTuple

import trio
from trio.testing import MockClock

from tests.common.dispatcher_case import Backend, DispatcherCase, get, ok
from tests.common.steering_parts import make_route
from wagtailpoint.admission.loop_overload import LoopOverload
from wagtailpoint.daemon.loop_delay import LoopDelay

ROUTE = make_route(objective_s=0.709)
SERVICE_S = 0.25
PROCESSOR_S = 0.020
REFUSAL_S = 0.004
DEADLINE_S = 2.0
PLAYED_S = 20.0


class Played(NamedTuple):
    """What the callers of an instance got.

    Attributes:
        in_time: The requests answered before their deadline.
        late: Those answered later.
        refused: Those refused.
        max_retry_fraction: The longest ``Retry-After``, relative to the time left.
    """

    in_time: int
    late: int
    refused: int
    max_retry_fraction: float


class Replay:
    """Plays requests at an instance, in virtual time, with its measurement and its decisions.

    The event loop takes turns: each does the work of all requests and responses that have arrived
    before it. A request takes half of its processor time when it is sent and half when its response
    arrives.
    """

    def __init__(self, *, per_s: float, is_protected: bool, seed: int = 4) -> None:
        self._random = Random(seed)
        self._per_s = per_s
        self._is_protected = is_protected
        self._clock = MockClock()
        self._delay = LoopDelay()
        self._overload = LoopOverload(delay_s=self._delay.read, random=self._random)
        self._responses: list[tuple[float, float, float]] = []
        self._played = Played(0, 0, 0, 0.0)

    def run(self) -> Played:
        async def run() -> Played:
            self._run()
            return self._played

        return trio.run(run, clock=self._clock)

    def _run(self) -> None:
        began_at = at = trio.current_time()
        arrivals: deque[float] = deque()
        while at < began_at + PLAYED_S:
            at += self._random.expovariate(self._per_s)
            arrivals.append(at)
        while arrivals or self._responses:
            self._responses.sort()
            next_at = min(
                self._responses[0][0] if self._responses else math.inf, *arrivals, math.inf
            )
            self._delay.before_io_wait(1.0)
            self._clock.jump(max(0.0, next_at - trio.current_time()))
            self._delay.after_io_wait(1.0)
            self._take_turn(arrivals)

    def _take_turn(self, arrivals: deque[float]) -> None:
        now = trio.current_time()
        responses = [each for each in self._responses if each[0] <= now]
        del self._responses[: len(responses)]
        ready = [at for at in arrivals if at <= now]
        for _ in ready:
            arrivals.popleft()
        for arrived_at in ready:
            self._send(arrived_at)
        for _, arrived_at, read_at in responses:
            self._answer(arrived_at, read_at)

    def _send(self, arrived_at: float) -> None:
        now = trio.current_time()
        rejected = self._overload.refusal(ROUTE, DEADLINE_S, now) if self._is_protected else None
        if rejected is not None:
            longest = max(self._played.max_retry_fraction, rejected.retry_after_s / DEADLINE_S)
            self._played = self._played._replace(
                refused=self._played.refused + 1, max_retry_fraction=longest
            )
            self._clock.jump(REFUSAL_S)
            return
        self._clock.jump(PROCESSOR_S / 2)
        self._responses.append((trio.current_time() + SERVICE_S, arrived_at, now))

    def _answer(self, arrived_at: float, read_at: float) -> None:
        self._clock.jump(PROCESSOR_S / 2)
        now = trio.current_time()
        self._overload.record_answer(ROUTE, now - read_at, now)
        if now <= arrived_at + DEADLINE_S:
            self._played = self._played._replace(in_time=self._played.in_time + 1)
        else:
            self._played = self._played._replace(late=self._played.late + 1)


def play(*, per_s: float, is_protected: bool, seed: int = 4) -> Played:
    """Return what callers get who send some requests a second for 20 s."""
    return Replay(per_s=per_s, is_protected=is_protected, seed=seed).run()


class LoopOverloadReplayTest(unittest.TestCase):
    """Replays an instance of 0.43 core that gets twice the requests that it has time for."""

    def test_requests_in_overload_are_answered_before_their_deadlines(self) -> None:
        """Guards against an instance at which each request waits until its caller has left."""
        without = play(per_s=100.0, is_protected=False)
        self.assertGreater(without.late, without.in_time)
        played = play(per_s=100.0, is_protected=True)
        self.assertGreater(played.in_time, 2 * without.in_time, played)
        self.assertLess(played.late, without.late / 2, played)
        self.assertLessEqual(played.max_retry_fraction, 1 / 3)

    def test_instance_with_enough_time_refuses_none(self) -> None:
        self.assertEqual(play(per_s=35.0, is_protected=True).refused, 0)


class LoopOverloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.delay_s = 0.0
        self.overload = LoopOverload(delay_s=lambda now: self.delay_s, random=Random(2))

    def is_refused(self, remaining_s: float, now: float = 0.0) -> bool:
        return self.overload.refusal(ROUTE, remaining_s, now) is not None

    def test_request_that_can_be_answered_is_accepted(self) -> None:
        self.overload.record_answer(ROUTE, 0.4, 0.0)
        self.delay_s = 0.3
        self.assertTrue(self.is_refused(0.9))
        self.assertFalse(self.is_refused(1.1))

    def test_delay_below_an_eighth_of_the_objective_refuses_none(self) -> None:
        self.overload.record_answer(ROUTE, 0.4, 0.0)
        self.delay_s = 0.08
        self.assertFalse(self.is_refused(0.01))

    def test_retry_after_lasts_as_long_as_the_delay_and_leaves_time(self) -> None:
        self.overload.record_answer(ROUTE, 1.4, 0.0)
        self.delay_s = 0.2
        found = [self.overload.refusal(ROUTE, 1.3, 0.0) for _ in range(200)]
        delays_s = [each.retry_after_s for each in found if each is not None]
        self.assertEqual(len(delays_s), 200)
        self.assertGreaterEqual(min(delays_s), 0.2)
        self.assertLessEqual(max(delays_s), 0.4)
        self.assertGreater(max(delays_s) - min(delays_s), 0.1)
        refused = self.overload.refusal(ROUTE, 0.3, 0.0)
        assert refused is not None
        self.assertAlmostEqual(refused.retry_after_s, 0.1)

    def test_times_of_an_overload_only_lower_known_ones(self) -> None:
        """Guards against a delay that counts four times, as part of the times of answers too."""
        self.overload.record_answer(ROUTE, 0.4, 0.0)
        self.delay_s = 0.3
        self.overload.record_answer(ROUTE, 1.0, 0.0)
        self.assertFalse(self.is_refused(1.1))
        self.overload.record_answer(ROUTE, 0.2, 0.0)
        self.assertFalse(self.is_refused(0.9))

    def test_known_time_lasts_as_long_as_requests_are_answered(self) -> None:
        """Guards against an overload of minutes in which the time of the route is forgotten."""
        self.overload.record_answer(ROUTE, 0.4, 0.0)
        self.delay_s = 0.3
        for now in range(10, 300, 10):
            self.overload.record_answer(ROUTE, 1.0, float(now))
            self.assertTrue(self.is_refused(0.9, float(now)))

    def test_old_times_are_forgotten(self) -> None:
        """Guards against refusals by the times of a backend server that has long been faster."""
        self.overload.record_answer(ROUTE, 5.0, 0.0)
        self.delay_s = 0.2
        self.assertTrue(self.is_refused(2.0, now=1.0))
        self.assertFalse(self.is_refused(2.0, now=100.0))


class OverloadGateTest(DispatcherCase):
    """Requests at a dispatcher whose event loop is late by 0.4 s, over real sockets."""

    def setUp(self) -> None:
        super().setUp()
        self.parts.queues_requests = True
        self.parts.loop_delay_s = 0.4

    def test_late_request_is_refused_before_its_body_is_read(self) -> None:
        """Guards against processor time for bodies of requests that can't be answered in time."""
        backend = Backend(ok)
        head = get("/r/x", "X-Deadline-Ms: 700", "Content-Length: 100000").replace(b"GET", b"POST")
        late, in_time = self.replies({"i-1": backend.script}, head, get("/r/x"))
        self.assertTrue(late.startswith(b"HTTP/1.1 503"), late)
        self.assertTrue(late.endswith(b"not run: instance overloaded\n"), late)
        self.assertEqual(late.count(b"connection: close"), 1)
        self.assertIn(b"retry-after: 0.2", late)
        self.assertTrue(in_time.startswith(b"HTTP/1.1 200"), in_time)
        self.assertEqual(len(backend.requests), 1)
        counts = self.parts.request_metrics.counts
        self.assertEqual(counts["request.instance-overloaded"], 1)

    def test_connection_ends_only_if_there_is_another_instance(self) -> None:
        request = get("/r/x", "X-Deadline-Ms: 700")
        (reply,) = self.replies({}, request)
        self.assertIn(b"connection: close", reply)
        self.parts.has_alternative = False
        (reply,) = self.replies({}, request)
        self.assertTrue(reply.startswith(b"HTTP/1.1 503"), reply)
        self.assertNotIn(b"connection: close", reply)

    def test_switched_off(self) -> None:
        """Guards against refusals for services whose backend servers report no pace."""
        self.parts.queues_requests = False
        (reply,) = self.replies({"i-1": Backend(ok).script}, get("/r/x", "X-Deadline-Ms: 700"))
        self.assertTrue(reply.startswith(b"HTTP/1.1 200"), reply)

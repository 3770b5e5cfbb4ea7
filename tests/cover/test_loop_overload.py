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
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.routing.table import HostRoute

ROUTE = make_route(objective_s=0.709)
URGENT = make_route("u", objective_s=0.709, priority=0)
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
        urgent_in_time: Those of the urgent route that were answered in time.
        urgent_refused: Those of it that were refused.
    """

    in_time: int
    late: int
    refused: int
    max_retry_fraction: float
    urgent_in_time: int
    urgent_refused: int


class Replay:
    """Plays requests at an instance, in virtual time, with its measurement and its decisions.

    The event loop takes turns: each does the work of all requests and responses that have arrived
    before it. A request takes half of its processor time when it is sent and half when its response
    arrives.
    """

    def __init__(
        self, *, per_s: float, is_protected: bool, urgent_fraction: float, seed: int
    ) -> None:
        self._random = Random(seed)
        self._per_s = per_s
        self._is_protected = is_protected
        self._urgent_fraction = urgent_fraction
        self._clock = MockClock()
        self._delay = LoopDelay()
        self._overload = LoopOverload(
            delay_s=self._delay.read,
            shortest_objective_s=lambda: ROUTE.objective_s,
            random=self._random,
        )
        self._responses: list[tuple[float, float, float, HostRoute]] = []
        self._played = Played(0, 0, 0, 0.0, 0, 0)

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
            self._responses.sort(key=lambda each: each[0])
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
        for _, arrived_at, read_at, route in responses:
            self._answer(arrived_at, read_at, route)

    def _send(self, arrived_at: float) -> None:
        now = trio.current_time()
        is_urgent = self._random.random() < self._urgent_fraction
        route = URGENT if is_urgent else ROUTE
        rejected = self._overload.refusal(route, DEADLINE_S, now) if self._is_protected else None
        if rejected is not None:
            longest = max(self._played.max_retry_fraction, rejected.retry_after_s / DEADLINE_S)
            self._played = self._played._replace(
                refused=self._played.refused + 1,
                max_retry_fraction=longest,
                urgent_refused=self._played.urgent_refused + is_urgent,
            )
            self._clock.jump(REFUSAL_S)
            return
        self._clock.jump(PROCESSOR_S / 2)
        self._responses.append((trio.current_time() + SERVICE_S, arrived_at, now, route))

    def _answer(self, arrived_at: float, read_at: float, route: HostRoute) -> None:
        self._clock.jump(PROCESSOR_S / 2)
        now = trio.current_time()
        self._overload.record_answer(route, now - read_at, now)
        if now <= arrived_at + DEADLINE_S:
            self._played = self._played._replace(
                in_time=self._played.in_time + 1,
                urgent_in_time=self._played.urgent_in_time + (route is URGENT),
            )
        else:
            self._played = self._played._replace(late=self._played.late + 1)


def play(
    *, per_s: float, is_protected: bool, urgent_fraction: float = 0.0, seed: int = 4
) -> Played:
    """Return what callers get who send some requests a second for 20 s."""
    return Replay(
        per_s=per_s, is_protected=is_protected, urgent_fraction=urgent_fraction, seed=seed
    ).run()


class LoopOverloadReplayTest(unittest.TestCase):
    """Replays an instance of 0.43 core that gets twice the requests that it has time for."""

    def test_requests_in_overload_are_answered_before_their_deadlines(self) -> None:
        """Guards against an instance at which each request waits until its caller has left."""
        without = play(per_s=100.0, is_protected=False)
        self.assertGreater(without.late, without.in_time)
        played = play(per_s=100.0, is_protected=True)
        self.assertGreater(played.in_time, 2 * without.in_time, played)
        self.assertLess(played.late, (played.in_time + played.late) / 10, played)
        self.assertLessEqual(played.max_retry_fraction, 1 / 3)

    def test_urgent_requests_are_served_before_others(self) -> None:
        """Guards against urgent requests that are late in an overload by less urgent ones."""
        without = play(per_s=100.0, is_protected=False, urgent_fraction=0.2)
        played = play(per_s=100.0, is_protected=True, urgent_fraction=0.2)
        self.assertGreater(played.urgent_in_time, 2 * without.urgent_in_time, played)
        urgent = played.urgent_in_time + played.urgent_refused
        others = played.in_time + played.refused - urgent
        others_refused = played.refused - played.urgent_refused
        self.assertLess(played.urgent_refused / urgent, others_refused / others / 2, played)

    def test_instance_with_enough_time_refuses_none(self) -> None:
        self.assertEqual(play(per_s=35.0, is_protected=True).refused, 0)


class LoopOverloadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.delay_s = 0.0
        self.overload = LoopOverload(
            delay_s=lambda now: self.delay_s,
            shortest_objective_s=lambda: ROUTE.objective_s,
            random=Random(2),
        )

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

    def refused_of(self, count: int, now: float, *, priority: int) -> int:
        """Return how many of some requests are refused that are answered after their objective."""
        route = ROUTE._replace(priority=priority)
        refused = [self.overload.refusal(route, 5.0, now) for _ in range(count)]
        return sum(each is not None for each in refused)

    def test_severe_overload_limits_less_urgent_requests_first(self) -> None:
        """Guards against urgent requests that are refused while less urgent ones are accepted."""
        self.delay_s = 0.4
        refused = []
        for now in (0.0, 0.9, 1.1, 2.0, 2.2):
            refused.append([self.refused_of(8, now, priority=priority) for priority in (0, 2)])
        self.assertEqual(refused, [[0, 0], [0, 0], [0, 6], [0, 6], [6, 6]])

    def test_one_request_in_four_of_each_priority_is_accepted(self) -> None:
        """Guards against a delay measured wrongly that lets an instance refuse all requests."""
        self.delay_s = 0.4
        for now in range(20):
            for priority in (0, 1, 2):
                self.assertLessEqual(self.refused_of(40, float(now), priority=priority), 30)

    def test_request_with_enough_of_its_objective_left_is_accepted(self) -> None:
        self.delay_s = 0.4
        for now in range(5):
            self.refused_of(4, float(now), priority=2)
        slow = ROUTE._replace(name="slow", objective_s=2.5, priority=2)
        self.assertIsNone(self.overload.refusal(slow, 5.0, 5.0))

    def test_limits_end_after_the_overload(self) -> None:
        """Guards against limits that stay in force after a burst."""
        for now, delay_s in (
            (0.0, 0.4),
            (1.1, 0.4),
            (2.2, 0.4),
            (3.0, 0.0),
            (4.1, 0.0),
            (5.2, 0.0),
        ):
            self.delay_s = delay_s
            self.refused_of(4, now, priority=2)
        self.delay_s = 0.4
        self.assertEqual(self.refused_of(4, 6.0, priority=2), 0)

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

    def test_requests_that_follow_on_the_connection_are_replied_to(self) -> None:
        """Guards against a refusal that ends the connection before replies to started requests."""
        backend = Backend(ok)
        got: list[bytes] = []

        async def test(endpoint: Endpoint) -> None:
            async with await trio.open_tcp_stream(*endpoint) as stream:
                await stream.send_all(get("/r/1") + get("/r/2", "X-Deadline-Ms: 700") + get("/r/3"))
                data = b""
                while data.count(b"HTTP/1.1 ") < 3 and (part := await stream.receive_some()):
                    data += bytes(part)
                got.extend(data.split(b"HTTP/1.1 ")[1:])

        self.run_with({"i-1": backend.script}, test)
        self.assertEqual([reply[:3] for reply in got], [b"200", b"503", b"200"])
        self.assertNotIn(b"connection: close", got[1])

    def test_switched_off(self) -> None:
        """Guards against refusals for services whose backend servers report no pace."""
        self.parts.queues_requests = False
        (reply,) = self.replies({"i-1": Backend(ok).script}, get("/r/x", "X-Deadline-Ms: 700"))
        self.assertTrue(reply.startswith(b"HTTP/1.1 200"), reply)

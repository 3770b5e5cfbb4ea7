"""Which requests a stopping instance accepts, and what it tells callers and backend servers."""

import re
import unittest

import trio
from trio.testing import MockClock

from tests.common.dispatcher_case import Backend, DispatcherCase, get, ok, silent
from tests.common.fake_clock import TrioClock
from tests.common.steering_parts import make_route, make_table
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.proxy.answer_times import RETENTION_S, AnswerTimes
from wagtailpoint.proxy.caller_exchange import IncomingRequest
from wagtailpoint.proxy.request_context import RequestContext
from wagtailpoint.proxy.stop_admission import (
    MIN_SAMPLES,
    MIN_SAMPLES_AT_MOST_ONCE,
    REPLY_RESERVE_S,
    StopAdmission,
)
from wagtailpoint.proxy.stop_clock import StopClock
from wagtailpoint.routing.table import HostRoute, RouteKind

TIMEOUT_S = 4.0
LASTS_S = 5.5
ORDER = make_route("order", kind=RouteKind.NON_IDEMPOTENT, timeout_s=TIMEOUT_S)
READ = make_route("read", timeout_s=TIMEOUT_S)


def make_context(route: HostRoute, timeout_s: float = TIMEOUT_S) -> RequestContext:
    """Return a request that has just arrived."""
    request = IncomingRequest("GET", f"{route.prefix}1", [], trio.current_time())
    table = make_table(route)
    context = RequestContext(
        request=request, table=table, route=route, service="desk", key=None, workspace=None
    )
    context.deadline = request.arrived_at + timeout_s
    return context


class AnswerTimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = MockClock()
        self.times = AnswerTimes()

    def test_longest_of_a_route_at_a_service(self) -> None:
        async def test() -> None:
            for seconds in (0.2, 0.7, 0.1):
                self.times.record("r", "desk", seconds, answered=True)
            self.times.record("r", "vault", 3.0, answered=True)
            self.assertEqual(self.times.longest("r", "desk"), (3, 0.7))
            self.assertEqual(self.times.longest("other", "desk"), (0, 0.0))

        trio.run(test, clock=self.clock)

    def test_times_are_kept_for_a_while(self) -> None:
        """Guards against a slow spell that is forgotten at once, or never."""

        async def test() -> None:
            self.times.record("r", "desk", 2.0, answered=True)
            self.clock.jump(RETENTION_S / 2)
            self.times.record("r", "desk", 0.1, answered=True)
            self.assertEqual(self.times.longest("r", "desk"), (2, 2.0))
            self.clock.jump(RETENTION_S / 2)
            self.times.record("r", "desk", 0.1, answered=True)
            self.assertEqual(self.times.longest("r", "desk"), (2, 0.1))
            self.clock.jump(RETENTION_S)
            self.assertEqual(self.times.longest("r", "desk"), (0, 0.0))

        trio.run(test, clock=self.clock)

    def test_time_without_an_answer(self) -> None:
        """Guards against callers that gave up early and count as proof of short answers."""

        async def test() -> None:
            self.times.record("r", "desk", 0.3, answered=True)
            self.times.record("r", "desk", 0.1, answered=False)
            self.times.record("r", "desk", 0.9, answered=False)
            self.assertEqual(self.times.longest("r", "desk"), (1, 0.9))

        trio.run(test, clock=self.clock)


class StopAdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = MockClock()
        self.times = AnswerTimes()
        self.stop = StopClock(clock=TrioClock())
        self.admission = StopAdmission(clock=self.stop, times=self.times)

    def admits(
        self, route: HostRoute, *, after_s: float, took_s: float = 0.0, samples: int = 0
    ) -> bool:
        """Return whether a request is admitted ``after_s`` seconds after the begin of a stop."""

        async def run() -> bool:
            for _ in range(samples):
                self.times.record(route.name, "desk", took_s, answered=True)
            self.stop.begin(began_at=trio.current_time(), lasts_s=LASTS_S)
            self.clock.jump(after_s)
            return self.admission.admits(make_context(route))

        return trio.run(run, clock=self.clock)

    def test_every_request_is_admitted_without_a_stop(self) -> None:
        async def test() -> None:
            self.assertTrue(self.admission.admits(make_context(ORDER, 1000.0)))

        trio.run(test, clock=self.clock)

    def test_request_whose_timeout_comes_before_the_end(self) -> None:
        certain_until_s = LASTS_S - TIMEOUT_S - REPLY_RESERVE_S
        self.assertTrue(self.admits(ORDER, after_s=certain_until_s - 0.01))
        self.assertFalse(self.admits(ORDER, after_s=certain_until_s + 0.01))

    def test_short_requests_are_admitted_for_longer(self) -> None:
        self.assertTrue(self.admits(READ, after_s=4.0, took_s=0.4, samples=MIN_SAMPLES))

    def test_request_like_ones_that_took_as_long_as_is_left(self) -> None:
        """Guards against admission by the longest time alone, which the next one may exceed."""
        self.assertFalse(self.admits(READ, after_s=4.0, took_s=1.2, samples=MIN_SAMPLES))

    def test_few_short_requests_prove_nothing(self) -> None:
        self.assertFalse(self.admits(READ, after_s=4.0, took_s=0.1, samples=MIN_SAMPLES - 1))

    def test_more_is_asked_for_requests_that_must_run_once(self) -> None:
        self.assertFalse(self.admits(ORDER, after_s=4.0, took_s=0.1, samples=MIN_SAMPLES))
        many = MIN_SAMPLES_AT_MOST_ONCE
        self.assertTrue(self.admits(ORDER, after_s=4.0, took_s=0.1, samples=many))

    def test_retries_and_waits_are_judged_by_the_time_that_is_left_then(self) -> None:
        async def test() -> None:
            self.stop.begin(began_at=trio.current_time(), lasts_s=LASTS_S)
            context = make_context(ORDER, 5.0)
            self.assertTrue(self.admission.admits(context))
            # After a suspension the deadline is as far away as before, but not the end.
            self.stop.begin(began_at=trio.current_time() - 1.0, lasts_s=LASTS_S)
            self.assertFalse(self.admission.admits(context))

        trio.run(test, clock=self.clock)


class StoppingDispatcherTest(DispatcherCase):
    def test_request_that_outlasts_the_process_is_refused_and_not_run(self) -> None:
        """Guards against requests that are accepted though the process ends before their answer."""
        backend = Backend(ok)

        async def test(endpoint: Endpoint) -> None:
            self.parts.stop_clock.begin(began_at=trio.current_time(), lasts_s=1.0)
            reply = await self.reply(endpoint, get("/r/x"))
            self.assertTrue(reply.startswith(b"HTTP/1.1 503 "), reply)
            self.assertIn(b"retry-after: 0.000", reply)
            self.assertIn(b"not run: stopping", reply)

        self.run_with({"i-1": backend.script}, test)
        self.assertEqual(backend.requests, [])

    def test_backend_server_gets_no_more_time_than_the_process_has(self) -> None:
        """Guards against work that goes on after the process has ended, without an answer."""
        backend = Backend(ok)

        async def test(endpoint: Endpoint) -> None:
            for _ in range(MIN_SAMPLES):
                self.parts.answer_times.record("r", "desk", 0.1, answered=True)
            self.parts.stop_clock.begin(began_at=trio.current_time(), lasts_s=1.0)
            reply = await self.reply(endpoint, get("/r/x", "X-Deadline-Ms: 2000"))
            self.assertTrue(reply.startswith(b"HTTP/1.1 200 "), reply)

        self.run_with({"i-1": backend.script}, test)
        found = re.search(rb"(?i)x-deadline-ms: (\d+)", backend.requests[0])
        assert found is not None
        self.assertLessEqual(int(found[1]), 1000 * (1.0 - REPLY_RESERVE_S))

    def test_callers_that_gave_up_prove_nothing(self) -> None:
        """Guards against short requests that are believed in since their callers gave up early."""

        async def test(endpoint: Endpoint) -> None:
            for number in range(MIN_SAMPLES):
                async with await trio.open_tcp_stream(*endpoint) as stream:
                    await stream.send_all(get("/r/x"))
                    while len(backend.requests) <= number:  # noqa: ASYNC110 - over sockets
                        await trio.sleep(0.001)
                while self.parts.dispatcher.open_requests:  # noqa: ASYNC110 - the same
                    await trio.sleep(0.001)
            self.parts.stop_clock.begin(began_at=trio.current_time(), lasts_s=0.5)
            reply = await self.reply(endpoint, get("/r/y"))
            self.assertTrue(reply.startswith(b"HTTP/1.1 503 "), reply)

        backend = Backend(silent)
        self.run_with({"i-1": backend.script}, test)
        self.assertFalse(any(b"/r/y" in request for request in backend.requests))

    def test_times_of_answers_are_recorded(self) -> None:
        async def test(endpoint: Endpoint) -> None:
            for target in ("/r/x", "/r/y"):
                await self.reply(endpoint, get(target))
            # The last time is recorded after its reply was sent.
            while self.parts.answer_times.longest("r", "desk").answered < 2:
                await trio.lowlevel.checkpoint()

        self.run_with({"i-1": Backend(ok).script}, test)

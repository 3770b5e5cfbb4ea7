"""Forwarding of one request, with slots and backend servers of the test."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count
from typing import Any

import trio
from result import Err, Ok

from tests.common.fake_clock import FakeClock
from tests.common.small_config import small_config, small_plan
from tests.common.steering_parts import CrashReportRecorder
from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.admission.slots import Slot
from wagtailpoint.entry.forwarding import Forwarder
from wagtailpoint.entry.plan import PlannedRequest
from wagtailpoint.entry.request import CallerRequest
from wagtailpoint.ports.backend import BackendFailure, FailureReason, LoadReport
from wagtailpoint.quarantine.quarantine import Quarantine
from wagtailpoint.retries.budget import RetryBudget
from wagtailpoint.verdict import Verdict


class LateSlots:
    """Gives a slot when the deadline is over."""

    def __init__(self, *, clock: FakeClock) -> None:
        self._clock = clock
        self.released = 0

    async def acquire(self, demand: Any) -> Ok[Slot]:
        self._clock.now = demand.deadline
        server = small_config().services["desk"].groups["old"][0]
        return Ok(Slot("desk/old", server, demand.policy))

    def release(self, slot: Slot) -> None:
        self.released += 1


class NoExchanges:
    """Backend servers that must not be asked."""

    def exchange(self, server: Any, request: Any) -> Any:
        raise AssertionError("sent after the deadline")


class NoChoice:
    def pool(self, plan: Any) -> str:
        return "desk/old"

    def choice(self, plan: Any) -> Any:
        return None


class NoFailures:
    """An observer to which nothing may be reported: nothing is sent."""


class LateSlotTest(unittest.TestCase):
    def test_slot_that_becomes_free_at_the_deadline(self) -> None:
        """Under load many keyed requests end as ``may-have-run``, and run for nobody.

        All slots are held by requests that time out; in the same moment those time out that wait
        for them. Cause: a slot that is given then was used, with a millisecond left.
        """
        clock = FakeClock()
        slots = LateSlots(clock=clock)
        budget = RetryBudget(clock=clock, ratio=0.1, minimum_per_s=1.0)
        forwarder = Forwarder(
            clock=clock,
            backends=NoExchanges(),  # type: ignore[arg-type]
            slots=slots,  # type: ignore[arg-type]
            servers=NoChoice(),  # type: ignore[arg-type]
            budget=lambda _plan: budget,
            quarantine=Quarantine(others=CrashReportRecorder()),
            observer=NoFailures(),  # type: ignore[arg-type]
        )
        plan = small_plan(small_config(), deadline=clock.now + 1.0)
        request = CallerRequest("POST", "/x", "/x", [], None, None, clock.now)

        async def sink(_response: Any) -> None:
            raise AssertionError("there is no response")

        outcome = trio.run(_forward, forwarder, plan, request, sink)
        assert isinstance(outcome, Err)
        refusal = outcome.err_value
        self.assertEqual(
            (refusal.code, refusal.verdict), (RefusalCode.DEADLINE_PASSED, Verdict.NOT_RUN)
        )
        self.assertEqual(slots.released, 1)


class FreeSlots:
    """Gives a slot at one backend server after the other."""

    def __init__(self) -> None:
        self._servers = count(1)

    async def acquire(self, demand: Any) -> Ok[Slot]:
        server = small_config().services["desk"].groups["old"][0]
        address = server.address._replace(port=next(self._servers))
        return Ok(Slot("desk/old", server._replace(address=address), demand.policy))

    def release(self, slot: Slot) -> None:
        return

    def has_idle(self, pool: str) -> bool:
        return False


class CutExchanges:
    """Backend servers that end each connection before an answer."""

    def __init__(self, *, listens: bool) -> None:
        self.sent = 0
        self._listens = listens

    @asynccontextmanager
    async def exchange(self, server: Any, request: Any) -> AsyncIterator[Err[BackendFailure]]:
        self.sent += 1
        yield Err(BackendFailure(Verdict.MAY_HAVE_RUN, FailureReason.RESET))

    async def probe(self, server: Any, *, timeout_s: float, path: str) -> Any:
        if self._listens:
            return Ok(LoadReport(busy=0, queued=0, slots=1, draining=False, warm=True))
        return Err(BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED))


class NoNews:
    def pool(self, plan: Any) -> str:
        return "desk/old"

    def choice(self, plan: Any) -> None:
        return None

    def record_outcome(self, server: Any, answered: Any, latency_s: float) -> None:
        return


class AnyFailures:
    def on_exchange_failed(self, *_what: Any, **_more: Any) -> None:
        return


class CrashTest(unittest.TestCase):
    def refusals(self, backends: CutExchanges, times: int) -> list[Refusal]:
        """What a request is told that is sent so many times."""
        clock = FakeClock()
        budget = RetryBudget(clock=clock, ratio=1.0, minimum_per_s=100.0)
        forwarder = Forwarder(
            clock=clock,
            backends=backends,  # type: ignore[arg-type]
            slots=FreeSlots(),  # type: ignore[arg-type]
            servers=NoNews(),  # type: ignore[arg-type]
            budget=lambda _plan: budget,
            quarantine=Quarantine(others=CrashReportRecorder()),
            observer=AnyFailures(),  # type: ignore[arg-type]
        )
        plan = small_plan(small_config(), deadline=clock.now + 1.0)
        request = CallerRequest("GET", "/x", "/x", [], None, None, clock.now)

        async def sink(_response: Any) -> None:
            raise AssertionError("there is no response")

        async def run() -> list[Refusal]:
            outcomes = [await _forward(forwarder, plan, request, sink) for _ in range(times)]
            return [each.err_value for each in outcomes]

        return trio.run(run)

    def test_request_that_crashed_three_is_refused_at_once(self) -> None:
        """Guards against a request that ends one backend server after the other."""
        backends = CutExchanges(listens=False)
        *_, last = self.refusals(backends, times=5)
        self.assertEqual((last.code, last.verdict), (RefusalCode.QUARANTINED, Verdict.NOT_RUN))
        self.assertEqual(backends.sent, 3)

    def test_connection_to_a_sound_backend_server_is_no_crash(self) -> None:
        """Guards against shutting out requests for a faulty network's sake."""
        backends = CutExchanges(listens=True)
        codes = {each.code for each in self.refusals(backends, times=5)}
        self.assertEqual(codes, {RefusalCode.BACKEND_FAILED})
        self.assertGreaterEqual(backends.sent, 5)


async def _forward(forwarder: Forwarder, plan: Any, request: CallerRequest, sink: Any) -> Any:
    planned = PlannedRequest(plan, request, b"", None, "a")
    return await forwarder.forward(planned, sink=sink)

"""Forwarding of single requests, with fake slots and backend servers."""

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


class DeadlineSlots:
    """Grants a slot only when the deadline has passed."""

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
    """Backend servers to which nothing may be sent."""

    def exchange(self, server: Any, request: Any) -> Any:
        raise AssertionError("sent after the deadline")


class NoServers:
    def pool(self, plan: Any) -> str:
        return "desk/old"

    def choice(self, plan: Any) -> Any:
        return None


class NoReports:
    """An observer without methods, so that any report fails."""


class LateSlotTest(unittest.TestCase):
    def test_slot_granted_at_the_deadline_is_not_used(self) -> None:
        """Guards against keyed requests ending as ``may-have-run`` under load.

        All slots are held by requests that time out, and the requests waiting for these slots time
        out at the same moment. A slot granted then must not be used with a millisecond left.
        """
        clock = FakeClock()
        slots = DeadlineSlots(clock=clock)
        budget = RetryBudget(clock=clock, ratio=0.1, minimum_per_s=1.0)
        forwarder = Forwarder(
            clock=clock,
            backends=NoExchanges(),  # type: ignore[arg-type]
            slots=slots,  # type: ignore[arg-type]
            servers=NoServers(),  # type: ignore[arg-type]
            budget=lambda _plan: budget,
            quarantine=Quarantine(others=CrashReportRecorder()),
            observer=NoReports(),  # type: ignore[arg-type]
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
    """Grants slots on a new backend server each time."""

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
    """Backend servers that reset each connection before a response."""

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


class FixedServers:
    def pool(self, plan: Any) -> str:
        return "desk/old"

    def choice(self, plan: Any) -> None:
        return None

    def record_outcome(self, server: Any, answered: Any, latency_s: float) -> None:
        return


class IgnoringObserver:
    def on_exchange_failed(self, *_what: Any, **_more: Any) -> None:
        return


class CrashTest(unittest.TestCase):
    def refusals(self, backends: CutExchanges, times: int) -> list[Refusal]:
        """Forward a request ``times`` times and return the refusals."""
        clock = FakeClock()
        budget = RetryBudget(clock=clock, ratio=1.0, minimum_per_s=100.0)
        forwarder = Forwarder(
            clock=clock,
            backends=backends,  # type: ignore[arg-type]
            slots=FreeSlots(),  # type: ignore[arg-type]
            servers=FixedServers(),  # type: ignore[arg-type]
            budget=lambda _plan: budget,
            quarantine=Quarantine(others=CrashReportRecorder()),
            observer=IgnoringObserver(),  # type: ignore[arg-type]
        )
        plan = small_plan(small_config(), deadline=clock.now + 1.0)
        request = CallerRequest("GET", "/x", "/x", [], None, None, clock.now)

        async def sink(_response: Any) -> None:
            raise AssertionError("there is no response")

        async def run() -> list[Refusal]:
            outcomes = [await _forward(forwarder, plan, request, sink) for _ in range(times)]
            return [outcome.err_value for outcome in outcomes]

        return trio.run(run)

    def test_request_that_crashed_three_backend_servers_is_refused(self) -> None:
        """Guards against a request that crashes one backend server after the other."""
        backends = CutExchanges(listens=False)
        *_, last = self.refusals(backends, times=5)
        self.assertEqual((last.code, last.verdict), (RefusalCode.QUARANTINED, Verdict.NOT_RUN))
        self.assertEqual(backends.sent, 3)

    def test_reset_by_a_running_backend_server_is_no_crash(self) -> None:
        """Guards against quarantining requests because of a faulty network."""
        backends = CutExchanges(listens=True)
        codes = {outcome.code for outcome in self.refusals(backends, times=5)}
        self.assertEqual(codes, {RefusalCode.BACKEND_FAILED})
        self.assertGreaterEqual(backends.sent, 5)


async def _forward(forwarder: Forwarder, plan: Any, request: CallerRequest, sink: Any) -> Any:
    planned = PlannedRequest(plan, request, b"", None, "a")
    return await forwarder.forward(planned, sink=sink)

"""Compares the latency of balance checks with and without hedged requests, in virtual time.

The real forwarding, admission and retry budget run against 24 backend servers with 3 slots each in
two failure domains; service times are exponential with a mean of 20 ms. The same seed gives the
same figures.
"""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from random import Random
from typing import Any, Final, NamedTuple

import trio
from hdrh.histogram import HdrHistogram
from result import Ok, Result
from tests.common.fake_clock import TrioClock
from tests.common.small_config import small_config, small_plan
from tests.common.steering_parts import CrashReportRecorder
from trio.testing import MockClock

from wagtailpoint.admission.slots import ServerChoice, SlotPool
from wagtailpoint.config.model import BackendServer
from wagtailpoint.entry.forwarding import Forwarder
from wagtailpoint.entry.plan import Plan, PlannedRequest
from wagtailpoint.entry.request import CallerRequest
from wagtailpoint.ports.backend import (
    BackendAddress,
    BackendFailure,
    BackendRequest,
    BackendResponse,
)
from wagtailpoint.quarantine.quarantine import Quarantine
from wagtailpoint.retries.budget import RetryBudget

SERVERS: Final = 24
SLOTS: Final = 3
MEAN_SERVICE_S: Final = 0.020
SLOW_FACTOR: Final = 5
STALL_S: Final = 0.3
RETRY_RATIO: Final = 0.1

MAX_P99_RATIO: Final = 0.9
MAX_HEDGED_FRACTION: Final = 0.06
MIN_ANSWERED_RATIO: Final = 0.99


class Case(NamedTuple):
    """A kind of slowness of the backend servers.

    Attributes:
        name: The name in the table.
        slow_servers: The number of backend servers that are slower by ``SLOW_FACTOR``.
        stall_fraction: The fraction of exchanges that take ``STALL_S`` longer.
        same_service_time: Whether a request takes the same time on every backend server, the worst
            case for a hedged request.
    """

    name: str
    slow_servers: int = 0
    stall_fraction: float = 0.0
    same_service_time: bool = False


CASES: Final = (
    Case("all alike"),
    Case("2 slow", slow_servers=2),
    Case("1 % stall", stall_fraction=0.01),
    Case("same time", same_service_time=True),
)


class _UnrankedChoice:
    """Offers all backend servers without ranking them."""

    def __init__(self) -> None:
        self._servers = [
            BackendServer(BackendAddress("127.0.0.1", port), f"near-{'ab'[port % 2]}", SLOTS)
            for port in range(SERVERS)
        ]

    def candidates(self) -> Sequence[BackendServer]:
        return self._servers

    def tier_of(self, server: BackendServer) -> int:
        return 0

    def record_taken(self, server: BackendServer) -> None:
        pass


class _FixedServers:
    """Implements ``ServerSource`` with a fixed set of backend servers."""

    def __init__(self) -> None:
        self._choice = _UnrankedChoice()

    def pool(self, plan: Plan) -> str:
        return "desk/main"

    def choice(self, plan: Plan) -> ServerChoice:
        return self._choice

    def record_outcome(
        self, server: BackendServer, answered: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        pass


class _Backends:
    """Answers each request after a random service time, and counts exchanges."""

    def __init__(self, *, case: Case) -> None:
        self.exchanges = 0
        self._case = case
        self._random = Random(9)

    @asynccontextmanager
    async def exchange(
        self, server: BackendAddress, request: BackendRequest
    ) -> AsyncIterator[Result[BackendResponse, BackendFailure]]:
        self.exchanges += 1
        if self._case.same_service_time:
            service_s = Random(request.target).expovariate(1 / MEAN_SERVICE_S)
        else:
            service_s = self._random.expovariate(1 / MEAN_SERVICE_S)
        service_s *= SLOW_FACTOR if server.port < self._case.slow_servers else 1
        service_s += STALL_S if self._random.random() < self._case.stall_fraction else 0.0
        await trio.sleep(service_s)
        yield Ok(BackendResponse(200, (), _empty_body()))


async def _empty_body() -> AsyncIterator[bytes]:
    yield b""


class _Observer:
    """Implements the one method of ``EntryObserver`` that forwarding uses."""

    def on_exchange_failed(self, *_what: Any, **_more: Any) -> None:
        pass


class Run:
    """A run of one case at one load, with or without hedged requests."""

    def __init__(self, *, case: Case, load: float, hedging: bool, duration_s: float) -> None:
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.arrived = 0
        self._load = load
        self._hedging = hedging
        self._duration_s = duration_s
        self._backends = _Backends(case=case)
        trio.run(self._run, clock=MockClock(autojump_threshold=0.0))

    @property
    def answered(self) -> int:
        """The number of answered requests."""
        return int(self.histogram.get_total_count())

    @property
    def hedged_fraction(self) -> float:
        """Hedged requests as a fraction of answers; exact if no request fails or is refused."""
        return self._backends.exchanges / self.answered - 1

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000

    async def _run(self) -> None:
        clock, random = TrioClock(), Random(4)
        ratio = RETRY_RATIO if self._hedging else 0.0
        budget = RetryBudget(clock=clock, ratio=ratio, minimum_per_s=float(self._hedging))
        forwarder = Forwarder(
            clock=clock,
            backends=self._backends,  # type: ignore[arg-type]
            slots=SlotPool(clock=clock, max_queued=500, random=Random(2)),
            servers=_FixedServers(),
            budget=lambda _plan: budget,
            quarantine=Quarantine(others=CrashReportRecorder()),
            observer=_Observer(),  # type: ignore[arg-type]
        )
        end_at = trio.current_time() + self._duration_s
        rps = self._load * SERVERS * SLOTS / MEAN_SERVICE_S
        config = small_config()
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_at:
                self.arrived += 1
                plan = small_plan(config, deadline=trio.current_time() + 1.0)
                nursery.start_soon(self._request, forwarder, plan, f"/{self.arrived}")
                await trio.sleep(random.expovariate(rps))

    async def _request(self, forwarder: Forwarder, plan: Plan, target: str) -> None:
        started_at = trio.current_time()
        request = CallerRequest("GET", target, target, (), None, None, started_at)
        planned = PlannedRequest(plan, request, b"", None, target)
        if isinstance(await forwarder.forward(planned, sink=_discard_response), Ok):
            self.histogram.record_value(max(1, int(1e6 * (trio.current_time() - started_at))))


async def _discard_response(response: BackendResponse) -> None:
    pass


_figures: dict[str, dict[str, float]] = {}


def figures() -> Mapping[str, Mapping[str, float]]:
    """Return the results of the last run, for the plot."""
    return _figures


def run(short: bool) -> list[str]:
    """Run all cases; the short run only those with slow or stalling backend servers.

    Raises:
        AssertionError: A bound is exceeded.
    """
    _figures.clear()
    lines = ["case       load  p50/p99/p99.9 ms unhedged     hedged                hedged fraction"]
    broken = []
    duration_s = 0.8 if short else 4.0
    for case in CASES if not short else CASES[1:3]:
        for load in (0.5,) if short else (0.5, 0.85):
            unhedged = Run(case=case, load=load, hedging=False, duration_s=duration_s)
            hedged = Run(case=case, load=load, hedging=True, duration_s=duration_s)
            ratio = hedged.percentile_ms(99) / unhedged.percentile_ms(99)
            _figures.setdefault("p99 with / without copies", {})[f"{case.name} {load}"] = ratio
            lines.append(
                f"{case.name:10} {load:4}  {_format_percentiles(unhedged)}  "
                f"{_format_percentiles(hedged)}  {hedged.hedged_fraction:.3f}"
            )
            if not case.same_service_time and ratio > MAX_P99_RATIO:
                broken.append(f"{case.name} at {load}: p99 {ratio:.2f} x that without hedging")
            if hedged.hedged_fraction > MAX_HEDGED_FRACTION:
                broken.append(
                    f"{case.name} at {load}: "
                    f"{hedged.hedged_fraction:.3f} hedged requests per answer"
                )
    answered = [
        Run(case=CASES[1], load=2.0, hedging=hedging, duration_s=duration_s).answered
        for hedging in (False, True)
    ]
    lines.append(f"2 slow at load 2.0: answered unhedged {answered[0]}, hedged {answered[1]}")
    if answered[1] < MIN_ANSWERED_RATIO * answered[0]:
        broken.append("hedged requests lower the goodput under overload")
    assert not broken, "; ".join(broken) + "\n" + "\n".join(lines)
    return lines


def _format_percentiles(measured: Run) -> str:
    return " ".join(f"{measured.percentile_ms(percentile):6.1f}" for percentile in (50, 99, 99.9))

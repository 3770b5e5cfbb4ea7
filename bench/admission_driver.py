"""Drives the real admission in virtual time, and simple admission rules for comparison.

Callers arrive at random times, hold a slot for a random time and release it. Only one instance and
its backend servers are modelled.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Final, NamedTuple, Protocol

import trio
from hdrh.histogram import HdrHistogram
from result import Err, Ok, Result
from tests.common.fake_clock import TrioClock
from trio.testing import MockClock

from wagtailpoint.admission.refusal import Refusal
from wagtailpoint.admission.refusals import refuse_slot
from wagtailpoint.admission.slots import Slot, SlotDemand, SlotPool
from wagtailpoint.config.model import BackendServer, ClassPolicy
from wagtailpoint.ports.backend import BackendAddress

SERVERS: Final = 8
SLOTS_PER_SERVER: Final = 3
TOTAL_SLOTS: Final = SERVERS * SLOTS_PER_SERVER
MEAN_HOLD_S: Final = 0.020
CAPACITY_RPS: Final = TOTAL_SLOTS / MEAN_HOLD_S
MAX_QUEUED: Final = 500
RETRY_DELAY_S: Final = 0.005

TONIGHT = ClassPolicy("tonight", 0, 1.0)
BROWSE = ClassPolicy("browse", 1, 0.75)
BROCHURE = ClassPolicy("brochure", 2, 0.4)
CLASSES = (TONIGHT, BROWSE, BROCHURE)


class Stream(NamedTuple):
    """A stream of requests of one kind.

    Attributes:
        policy: The class of the requests.
        rps: Returns the requests per second for a time in seconds since the start.
        hold_s: The mean time for which a request holds a slot, in seconds.
        timeout_s: The time for which a caller waits, in seconds.
        workspaces: Each arrival sends one request of each workspace, with the same service time and
            in alternating order, so that random variation does not affect their comparison.
        long: Whether the requests are downloads.
        retries: How often a refused caller retries, after ``RETRY_DELAY_S``.
    """

    policy: ClassPolicy
    rps: Callable[[float], float]
    hold_s: float = MEAN_HOLD_S
    timeout_s: float = 0.5
    workspaces: Sequence[str] = ("own",)
    long: bool = False
    retries: int = 0


class Admission(Protocol):
    """Admits requests: the real admission, or a rule to compare it with."""

    async def acquire(self, demand: SlotDemand) -> Result[Slot, Refusal]:
        """Acquire a slot, or return the refusal."""
        ...

    def release(self, slot: Slot) -> None:
        """Release an acquired slot."""
        ...


class AllServers:
    """A choice among all backend servers, which are equal in every respect."""

    def __init__(self) -> None:
        self._servers = [
            BackendServer(BackendAddress("127.0.0.1", port), "", SLOTS_PER_SERVER)
            for port in range(SERVERS)
        ]

    def candidates(self) -> Sequence[BackendServer]:
        """Return all backend servers."""
        return self._servers

    def tier_of(self, server: BackendServer) -> int:
        """Return the same tier for every backend server."""
        return 0

    def record_taken(self, server: BackendServer) -> None:
        """Ignore the taken slot: the choice keeps no state."""


class PlainQueue:
    """A queue of limited length that holds requests until their deadline.

    The queue is ordered by the priority of classes, or first come, first served.
    """

    def __init__(self, *, by_class: bool) -> None:
        self._by_class = by_class
        self._free = TOTAL_SLOTS
        self._numbers = itertools.count()
        self._queue: list[tuple[int, int, trio.Event]] = []
        self._gone: set[int] = set()

    async def acquire(self, demand: SlotDemand) -> Result[Slot, Refusal]:
        """Acquire a slot, waiting until the deadline."""
        slot = Slot(demand.pool, demand.servers.candidates()[0], demand.policy)
        if self._free:
            self._free -= 1
            return Ok(slot)
        if len(self._queue) - len(self._gone) >= MAX_QUEUED:
            return Err(refuse_slot(demand.pool, demand.policy.name, "full", 1.0))
        ready, number = trio.Event(), next(self._numbers)
        rank = demand.policy.priority if self._by_class else 0
        heapq.heappush(self._queue, (rank, number, ready))
        with trio.move_on_at(demand.deadline):
            await ready.wait()
        if ready.is_set():
            return Ok(slot)
        self._gone.add(number)
        return Err(refuse_slot(demand.pool, demand.policy.name, "deadline", 1.0))

    def release(self, slot: Slot) -> None:
        """Release a slot, and give it to the next request in the queue."""
        self._free += 1
        while self._queue:
            _, number, ready = heapq.heappop(self._queue)
            if number not in self._gone:
                self._free -= 1
                ready.set()
                return
            self._gone.remove(number)


ONE_CLASS_RULES: Final = ("fcfs", "ours")
"""The rules to compare where there is one class: ``first`` equals ``fcfs`` then."""

RULES: Final[dict[str, Callable[[], Admission]]] = {
    "fcfs": lambda: PlainQueue(by_class=False),
    "first": lambda: PlainQueue(by_class=True),
    "ours": lambda: SlotPool(clock=TrioClock(), max_queued=MAX_QUEUED, random=Random(3)),
}


class Measurements:
    """The measurements of one class or workspace.

    Attributes:
        latency: The latency of answers in time, in microseconds.
        refused: Requests that were refused at the first attempt and at every retry.
        late_refusals: Refusals later than half of the caller's timeout.
        timed_out: Requests that got a slot and were not finished at their deadline.
        held_s: Slot seconds of requests that were answered in time.
    """

    def __init__(self) -> None:
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self.refused = self.late_refusals = self.timed_out = 0
        self.held_s = 0.0

    @property
    def answered(self) -> int:
        """The number of answers in time."""
        return int(self.latency.get_total_count())

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of answers in time, in milliseconds."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000


class Run:
    """A run of one admission rule under the load of some streams."""

    def __init__(self, *, rule: str, streams: Sequence[Stream], duration_s: float, seed: int = 5):
        """Run the streams against the rule, in virtual time.

        Args:
            rule: The name of the rule, a key of ``RULES``.
            streams: The streams of requests.
            duration_s: How long requests arrive, in seconds; requests in progress then finish.
            seed: The seed of arrivals and service times.
        """
        self.by_class: dict[str, Measurements] = {policy.name: Measurements() for policy in CLASSES}
        self.by_workspace = {
            name: Measurements() for stream in streams for name in stream.workspaces
        }
        self.max_held: Counter[str] = Counter()
        self.duration_s = duration_s
        self._random = Random(seed)
        self._servers = AllServers()
        self._held: Counter[str] = Counter()
        self._rule = rule
        self._end_at = 0.0
        trio.run(self._run, streams, clock=MockClock(autojump_threshold=0.0))

    @property
    def goodput_fraction(self) -> float:
        """The fraction of all slot time, up to the last arrival, that led to answers in time."""
        useful = sum(measured.held_s for measured in self.by_class.values())
        return useful / (TOTAL_SLOTS * self.duration_s)

    async def _run(self, streams: Sequence[Stream]) -> None:
        self._admission = RULES[self._rule]()
        self._end_at = trio.current_time() + self.duration_s
        async with trio.open_nursery() as nursery:
            for stream in streams:
                nursery.start_soon(self._arrivals, stream, Random(self._random.random()))

    async def _arrivals(self, stream: Stream, random: Random) -> None:
        started_at = trio.current_time()
        order = list(stream.workspaces)
        async with trio.open_nursery() as nursery:
            while (now_s := trio.current_time() - started_at) < self.duration_s:
                hold_s = random.expovariate(1 / stream.hold_s)
                for workspace in order:
                    nursery.start_soon(self._request, stream, workspace, hold_s)
                    await trio.lowlevel.checkpoint()
                order.reverse()
                await trio.sleep(random.expovariate(stream.rps(now_s)) * len(order))

    async def _request(self, stream: Stream, workspace: str, hold_s: float) -> None:
        results = (
            self.by_class[stream.policy.name],
            self.by_workspace[workspace],
        )
        for attempt in range(1 + stream.retries):
            if attempt:
                await trio.sleep(RETRY_DELAY_S)
            if await self._attempt(stream, workspace, hold_s, results):
                return
        for measured in results:
            measured.refused += 1

    async def _attempt(
        self, stream: Stream, workspace: str, hold_s: float, results: Sequence[Measurements]
    ) -> bool:
        """Send a request once; return whether it got a slot."""
        started_at = trio.current_time()
        deadline = started_at + stream.timeout_s
        demand = SlotDemand("desk", self._servers, stream.policy, deadline)
        admitted = await self._admission.acquire(
            demand._replace(workspace=workspace, classes=CLASSES, long=stream.long)
        )
        if isinstance(admitted, Err):
            late = trio.current_time() - started_at > stream.timeout_s / 2
            for measured in results:
                measured.late_refusals += late
            return False
        remaining_s = deadline - trio.current_time()
        in_time = stream.long or hold_s <= remaining_s
        await self._hold(stream, hold_s if in_time else remaining_s)
        self._admission.release(admitted.ok_value)
        latency_us = max(1, int(1e6 * (trio.current_time() - started_at)))
        taken_at = trio.current_time() - hold_s
        useful_s = max(0.0, min(self._end_at, trio.current_time()) - taken_at)
        for measured in results:
            if in_time:
                measured.latency.record_value(latency_us)
                measured.held_s += useful_s
            measured.timed_out += not in_time
        return True

    async def _hold(self, stream: Stream, hold_s: float) -> None:
        name = stream.policy.name
        self._held[name] += 1
        self.max_held[name] = max(self.max_held[name], self._held[name])
        await trio.sleep(hold_s)
        self._held[name] -= 1

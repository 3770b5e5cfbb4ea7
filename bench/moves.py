"""Compares a move to cold backend servers in steps, with and without a cap, with a move at once.

    python -m bench.moves

Three instances with the real choice of backend servers, slot pool, board and writer of moves run in
virtual time, on a platform in memory. A backend server is slow for each key that is not in its
cache. Arrivals and service times are seeded; trio decides the order of tasks that are due at the
same time, so figures vary slightly between runs.
"""

from collections.abc import AsyncIterator, Mapping
from functools import partial
from random import Random
from statistics import median, quantiles
from typing import NamedTuple

import trio
from result import Err
from tests.common.fake_clock import TrioClock
from tests.common.fake_platform import FakePlatform
from tests.common.small_config import idle_board, small_config, small_move, small_plan
from tests.common.unlimited import unlimited
from trio.testing import MockClock

from wagtailpoint.admission.slots import SlotDemand, SlotPool
from wagtailpoint.config.model import BackendServer, Move
from wagtailpoint.daemon.servers import ConfiguredServers
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.limits.lease import Holder, Lease
from wagtailpoint.moves.board import MoveBoard
from wagtailpoint.moves.writer import MOVES_LEASE, MoveWriter
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.backend import BackendResponse
from wagtailpoint.ports.peers import PeerAddress

INSTANCES = 3
MEAN_SERVICE_S = 0.050
COLD_FACTOR = 5.0
SLOTS = 3
OBJECTS = 100
ARRIVAL_RPS = 200.0
TIMEOUT_S = 2.0
MESSAGE_INTERVAL_S = 0.5
LEASE_S = 4.0
STEPS = (0.05, 0.15, 0.3, 0.5, 0.75, 1.0)

MOVES = {
    "at once": small_move(cap_rps=1e6, steps=(1.0,), hold_s=1.0),
    "in steps": small_move(cap_rps=1e6, steps=STEPS, hold_s=3.0),
    "in steps, cap 90": small_move(cap_rps=90.0, steps=STEPS, hold_s=3.0),
}


class RunResult(NamedTuple):
    """The results of a run.

    Attributes:
        median_ms: Median latency of all requests during the move, in milliseconds.
        p99_ms: 99th percentile of their latency, in milliseconds.
        refused: The number of refused requests.
        max_per_second: The most arrivals at the receiving backend servers in one second.
        step: The last step that was reached.
    """

    median_ms: float
    p99_ms: float
    refused: int
    max_per_second: int
    step: int


class _Backends:
    """Models backend servers with caches, and records arrivals at the receiving ones."""

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._slots: dict[BackendServer, trio.Semaphore] = {}
        self._cached: set[tuple[BackendServer, int]] = set()
        self.arrivals: list[float] = []

    def fill_caches(self, servers: tuple[BackendServer, ...]) -> None:
        """Add every key to the caches of some backend servers."""
        self._cached |= {(server, key) for server in servers for key in range(OBJECTS)}

    async def serve(self, server: BackendServer, key: int, *, receiving: bool) -> None:
        """Run one request on a backend server."""
        if receiving:
            self.arrivals.append(trio.current_time())
        cold = (server, key) not in self._cached
        self._cached.add((server, key))
        async with self._slots.setdefault(server, trio.Semaphore(SLOTS)):
            factor = COLD_FACTOR if cold else 1.0
            await trio.sleep(factor * self._random.expovariate(1 / MEAN_SERVICE_S))


class _Instance:
    """An entry instance with its move board and move writer."""

    def __init__(self, *, number: int, move: Move, platform: FakePlatform) -> None:
        clock = TrioClock()
        self.config = small_config(moves=[move])
        self.address = PeerAddress(f"127.9.0.{number}", 7000, number)
        self.board: MoveBoard = idle_board(clock, cap_fraction=1 / INSTANCES)
        self.board.apply(self.config)
        self.servers = ConfiguredServers(
            config=lambda: self.config,
            health=HealthBoard(clock=clock),
            metrics=Metrics(),
            moves=self.board,
            **unlimited(),
            failure_domain=f"region-{number}-a",
        )
        self.pool = SlotPool(clock=clock, max_queued=500)
        self.writer = MoveWriter(
            platform=platform,
            clock=clock,
            board=self.board,
            lease=Lease(
                platform=platform,
                clock=clock,
                name=MOVES_LEASE,
                own=Holder(*self.address),
                lease_s=LEASE_S,
            ),
            lease_s=LEASE_S,
            own=self.address,
            is_eligible=lambda: True,
            count_receiving_servers=lambda _: (len(self.config.services["desk"].groups["new"]), 0),
        )


class _Run:
    """A run of one move under load."""

    def __init__(self, *, move: Move, seed: int) -> None:
        platform = FakePlatform()
        self._random = Random(seed)
        self._backends = _Backends(random=Random(seed + 1))
        self._instances = [
            _Instance(number=number, move=move, platform=platform) for number in range(INSTANCES)
        ]
        groups = self._instances[0].config.services["desk"].groups
        self._receiving = frozenset(groups["new"])
        self._backends.fill_caches(groups["old"])
        self._latencies: list[float] = []
        self._refused = 0

    async def measure(self, seconds: float) -> RunResult:
        """Run the load for a number of seconds and return the results."""
        async with trio.open_nursery() as nursery:
            for instance in self._instances:
                nursery.start_soon(partial(instance.writer.run, interval_s=0.5))
            nursery.start_soon(self._exchange_messages)
            async with trio.open_nursery() as requests:
                for _ in range(int(seconds * ARRIVAL_RPS)):
                    requests.start_soon(self._request, self._random.choice(self._instances))
                    await trio.sleep(self._random.expovariate(ARRIVAL_RPS))
            nursery.cancel_scope.cancel()
        progress = self._instances[0].board.progresses["shift"]
        return RunResult(
            1000 * median(self._latencies),
            1000 * quantiles(self._latencies, n=100)[98],
            self._refused,
            max_per_second(self._backends.arrivals),
            progress.step,
        )

    async def _exchange_messages(self) -> None:
        """Deliver the messages between instances, with a delay of up to ``MESSAGE_INTERVAL_S``."""
        while True:
            await trio.sleep(MESSAGE_INTERVAL_S)
            for sender in self._instances:
                for receiver in self._instances:
                    self._deliver(sender, receiver)

    def _deliver(self, sender: _Instance, receiver: _Instance) -> None:
        for name, progress in sender.board.progresses.items():
            receiver.board.apply_progress(progress)
            if receiver.address == progress.writer and sender is not receiver:
                receiver.board.apply_report(
                    sender=sender.address.address,
                    move=name,
                    version=progress.version,
                    evidence=sender.board.own_evidence(name),
                )

    async def _request(self, entry: _Instance) -> None:
        started_at, key = trio.current_time(), self._random.randrange(OBJECTS)
        plan = small_plan(entry.config, deadline=started_at + TIMEOUT_S, affinity=str(key))
        choice = entry.servers.choice(plan)
        demand = SlotDemand("desk", choice, plan.policy, plan.deadline)
        admitted = await entry.pool.acquire(demand)
        if isinstance(admitted, Err):
            self._refused += 1
            return
        slot, sent = admitted.ok_value, trio.current_time()
        await self._backends.serve(slot.server, key, receiving=slot.server in self._receiving)
        entry.pool.release(slot)
        now = trio.current_time()
        entry.servers.record_outcome(slot.server, BackendResponse(200, (), _no_body()), now - sent)
        self._latencies.append(now - started_at)


async def _no_body() -> AsyncIterator[bytes]:
    yield b""


def max_per_second(times: list[float]) -> int:
    """Return the largest number of events in any window of one second."""
    max_count = window_start = 0
    for last, time in enumerate(times):
        while time - times[window_start] >= 1.0:
            window_start += 1
        max_count = max(max_count, last - window_start + 1)
    return max_count


def measure(*, move: Move, seconds: float, seed: int = 1) -> RunResult:
    """Measure one move under load for a number of seconds."""

    async def run_move() -> RunResult:
        return await _Run(move=move, seed=seed).measure(seconds)

    return trio.run(run_move, clock=MockClock(autojump_threshold=0.0))


_last_results: dict[str, RunResult] = {}


def run(short: bool) -> list[str]:
    """Measure all moves.

    Raises:
        AssertionError: A cap is exceeded, a request is refused, or steps improve p99 too little.
    """
    seconds = 15.0 if short else 40.0
    lines = ["move              p50 ms  p99 ms  refused   max in 1 s  last step"]
    for name, move in MOVES.items():
        result = _last_results[name] = measure(move=move, seconds=seconds)
        assert result.max_per_second <= move.cap_rps, f"cap {move.cap_rps:g} exceeded: {result}"
        assert result.refused == 0, f"refused because of a move: {result}"
        lines.append(
            f"{name:16} {result.median_ms:7.1f} {result.p99_ms:7.1f} {result.refused:8} "
            f"{result.max_per_second:12} {result.step:10}"
        )
    max_p99_ms = 0.8 * _last_results["at once"].p99_ms
    assert (
        _last_results["in steps"].p99_ms < max_p99_ms
    ), f"p99 in steps is not below {max_p99_ms:.0f} ms: {_last_results}"
    return lines


def figures() -> Mapping[str, Mapping[str, float]]:
    """Return the results of the last run, for the plot."""
    return {
        "p99 during a move, ms": {name: result.p99_ms for name, result in _last_results.items()}
    }


if __name__ == "__main__":
    print("\n".join(run(short=False)))

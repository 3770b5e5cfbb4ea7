"""Latency when an entry prefers near backend servers, against one that takes them all alike.

    python -m bench.locality

Runs the real choice of backend servers and the real slot rule under a clock that jumps: one entry
in each of three regions with its own callers, backend servers with three slots each, and the given
latency between regions. Arrivals and service times are seeded; the order of tasks that are due
together is trio's, and moves the figures a little.
"""

from collections.abc import Mapping, Sequence
from random import Random
from statistics import median, quantiles
from typing import NamedTuple

import trio
from result import Err
from tests.common.fake_clock import TrioClock
from tests.common.small_config import idle_board, small_config, small_plan
from trio.testing import MockClock

from wagtailpoint.admission.slots import ServerChoice, SlotDemand, SlotPool
from wagtailpoint.config.model import BackendServer, EffectiveConfig
from wagtailpoint.daemon.servers import ConfiguredServers
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.observe.metrics import Metrics

SERVICE_S = 0.020
ONE_WAY_BETWEEN_REGIONS_S = 0.055
SERVERS_PER_REGION = 6
SLOTS = 3
TIMEOUT_S = 2.0


class Load(NamedTuple):
    """What the callers of each region send, as a part of what one region's servers can do."""

    name: str
    region_fractions: Sequence[float]


LOADS = (
    Load("half", (0.5, 0.5, 0.5)),
    Load("full", (0.85, 0.85, 0.85)),
    Load("skew", (1.3, 0.5, 0.5)),
)


class RunResult(NamedTuple):
    """Latency of a run in milliseconds, and how many requests left their region."""

    median_ms: float
    p99_ms: float
    refused: int
    left_region_part: float


class RegionBlindChoice:
    """A choice that ignores regions, as it was before."""

    def __init__(self, *, choice: ServerChoice) -> None:
        self._choice = choice

    def candidates(self) -> Sequence[BackendServer]:
        """The same backend servers, by name."""
        return sorted(self._choice.candidates())

    def tier_of(self, server: BackendServer) -> int:
        """One tier for all."""
        return 0

    def record_taken(self, server: BackendServer) -> None:
        """Pass it on."""
        self._choice.record_taken(server)


class _Run:
    """One run: the backend servers' real slots, the entries, and what was measured."""

    def __init__(self, *, config: EffectiveConfig, near: bool, seed: int) -> None:
        self._config = config
        self._near = near
        self._random = Random(seed)
        self._slots_by_server: dict[BackendServer, trio.Semaphore] = {}
        self._latencies: list[float] = []
        self._refused = 0
        self._left_region = 0

    async def measure(self, load: Load, requests: int) -> RunResult:
        """Send the load from all regions."""
        async with trio.open_nursery() as nursery:
            for number, fraction in enumerate(load.region_fractions):
                nursery.start_soon(self._run_entry, f"region-{number}-a", fraction, requests)
        return RunResult(
            1000 * median(self._latencies),
            1000 * quantiles(self._latencies, n=100)[98],
            self._refused,
            self._left_region / len(self._latencies),
        )

    async def _run_entry(self, failure_domain: str, fraction: float, requests: int) -> None:
        clock = TrioClock()
        servers = ConfiguredServers(
            config=lambda: self._config,
            health=HealthBoard(clock=clock),
            metrics=Metrics(),
            moves=idle_board(clock),
            failure_domain=failure_domain,
        )
        pool = SlotPool(clock=clock, max_queued=500)
        arrival_rate = fraction * SERVERS_PER_REGION * SLOTS / SERVICE_S
        async with trio.open_nursery() as nursery:
            for _ in range(int(requests * fraction)):
                nursery.start_soon(self._request, servers, pool, failure_domain)
                await trio.sleep(self._random.expovariate(arrival_rate))

    async def _request(
        self, servers: ConfiguredServers, pool: SlotPool, failure_domain: str
    ) -> None:
        started_at = trio.current_time()
        plan = small_plan(self._config, deadline=started_at + TIMEOUT_S)
        choice: ServerChoice = servers.choice(plan)
        if not self._near:
            choice = RegionBlindChoice(choice=choice)
        demand = SlotDemand("desk", choice, plan.policy, plan.deadline)
        admitted = await pool.acquire(demand)
        if isinstance(admitted, Err):
            self._refused += 1
            return
        slot = admitted.ok_value
        is_remote = slot.server.failure_domain[:-2] != failure_domain[:-2]
        self._left_region += is_remote
        await trio.sleep(ONE_WAY_BETWEEN_REGIONS_S if is_remote else 0.0)
        async with self._slots_by_server.setdefault(slot.server, trio.Semaphore(SLOTS)):
            await trio.sleep(self._random.expovariate(1 / SERVICE_S))
        await trio.sleep(ONE_WAY_BETWEEN_REGIONS_S if is_remote else 0.0)
        pool.release(slot)
        self._latencies.append(trio.current_time() - started_at)


def measure(*, load: Load, near: bool, requests: int = 600, seed: int = 1) -> RunResult:
    """Run one load.

    Args:
        load: What the callers send.
        near: Whether near backend servers are preferred.
        requests: How many requests a region with a load of 1 sends.
        seed: Of arrivals and service times.
    """
    config = small_config(servers=SERVERS_PER_REGION, latency_ms=1000 * ONE_WAY_BETWEEN_REGIONS_S)
    run = _Run(config=config, near=near, seed=seed)
    return trio.run(run.measure, load, requests, clock=MockClock(autojump_threshold=0.0))


_last_results: dict[str, dict[str, RunResult]] = {}


def run(short: bool) -> list[str]:
    """Measure all loads and check the bounds."""
    lines = ["load  choice  p50 ms  p99 ms  refused  left region"]
    for load in LOADS[:1] if short else LOADS:
        results = {
            name: measure(load=load, near=near, requests=300 if short else 600)
            for name, near in (("alike", False), ("near", True))
        }
        _last_results[load.name] = results
        assert (
            results["near"].left_region_part < 0.6 * results["alike"].left_region_part
        ), f"{results}"
        assert results["near"].median_ms < results["alike"].median_ms, f"{results}"
        lines += [
            f"{load.name:5} {name:6} {result.median_ms:7.1f} {result.p99_ms:7.1f} {result.refused:8} "
            f"{result.left_region_part:12.2f}"
            for name, result in results.items()
        ]
    return lines


def figures() -> Mapping[str, Mapping[str, float]]:
    """For the plot."""
    return {
        f"p99 at load {load}, ms": {name: result.p99_ms for name, result in results.items()}
        for load, results in _last_results.items()
    }


if __name__ == "__main__":
    print("\n".join(run(short=False)))

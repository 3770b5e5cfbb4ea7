"""Compares the latency of an entry that prefers near backend servers with one that does not.

    python -m bench.locality

Runs the real choice of backend servers and the real slot pool in virtual time: one entry in each of
three regions with its own callers, backend servers with three slots each, and a fixed latency
between regions. Arrivals and service times are seeded; trio decides the order of tasks that are due
at the same time, so figures vary slightly between runs.
"""

from collections.abc import Mapping, Sequence
from random import Random
from statistics import median, quantiles
from typing import NamedTuple

import trio
from result import Err
from tests.common.fake_clock import TrioClock
from tests.common.small_config import idle_board, small_config, small_plan
from tests.common.unlimited import unlimited
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
    """The load from each region's callers, as a fraction of the capacity of one region."""

    name: str
    region_fractions: Sequence[float]


LOADS = (
    Load("half", (0.5, 0.5, 0.5)),
    Load("full", (0.85, 0.85, 0.85)),
    Load("skew", (1.3, 0.5, 0.5)),
)


class RunResult(NamedTuple):
    """Latency of a run in milliseconds, refusals, and fraction of requests that left the region."""

    median_ms: float
    p99_ms: float
    refused: int
    left_region_fraction: float


class RegionBlindChoice:
    """A choice that ignores regions: the baseline of the comparison."""

    def __init__(self, *, choice: ServerChoice) -> None:
        self._choice = choice

    def candidates(self) -> Sequence[BackendServer]:
        """Return the same backend servers, sorted by address instead of distance."""
        return sorted(self._choice.candidates())

    def tier_of(self, server: BackendServer) -> int:
        """Return the same tier for every backend server."""
        return 0

    def record_taken(self, server: BackendServer) -> None:
        """Forward the taken slot to the wrapped choice."""
        self._choice.record_taken(server)


class _Run:
    """A run of the entries of all regions with shared backend servers."""

    def __init__(self, *, config: EffectiveConfig, near: bool, seed: int) -> None:
        self._config = config
        self._near = near
        self._random = Random(seed)
        self._slots_by_server: dict[BackendServer, trio.Semaphore] = {}
        self._latencies: list[float] = []
        self._refused = 0
        self._left_region = 0

    async def measure(self, load: Load, requests: int) -> RunResult:
        """Send the load from all regions and return the results."""
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
            **unlimited(),
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
    """Measure one load.

    Args:
        load: The load from the callers of each region.
        near: Whether near backend servers are preferred.
        requests: The number of requests from a region with a load of 1.
        seed: The seed of arrivals and service times.
    """
    config = small_config(servers=SERVERS_PER_REGION, latency_ms=1000 * ONE_WAY_BETWEEN_REGIONS_S)
    run = _Run(config=config, near=near, seed=seed)
    return trio.run(run.measure, load, requests, clock=MockClock(autojump_threshold=0.0))


_last_results: dict[str, dict[str, RunResult]] = {}


def run(short: bool) -> list[str]:
    """Measure all loads, the short run only the first.

    Raises:
        AssertionError: Preferring near backend servers improves latency or locality too little.
    """
    lines = ["load  choice  p50 ms  p99 ms  refused  left region (fraction)"]
    for load in LOADS[:1] if short else LOADS:
        results = {
            name: measure(load=load, near=near, requests=300 if short else 600)
            for name, near in (("alike", False), ("near", True))
        }
        _last_results[load.name] = results
        assert (
            results["near"].left_region_fraction < 0.6 * results["alike"].left_region_fraction
        ), f"{results}"
        assert results["near"].median_ms < results["alike"].median_ms, f"{results}"
        lines += [
            f"{load.name:5} {name:6} {result.median_ms:7.1f} {result.p99_ms:7.1f} "
            f"{result.refused:8} "
            f"{result.left_region_fraction:12.2f}"
            for name, result in results.items()
        ]
    return lines


def figures() -> Mapping[str, Mapping[str, float]]:
    """Return the results of the last run, for the plot."""
    return {
        f"p99 at load {load}, ms": {name: result.p99_ms for name, result in results.items()}
        for load, results in _last_results.items()
    }


if __name__ == "__main__":
    print("\n".join(run(short=False)))

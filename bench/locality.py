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
BETWEEN_REGIONS_S = 0.055
SERVERS_A_REGION = 6
SLOTS = 3
TIMEOUT_S = 2.0


class Load(NamedTuple):
    """What the callers of each region send, as a part of what one region's servers can do."""

    name: str
    of_region: Sequence[float]


LOADS = (
    Load("half", (0.5, 0.5, 0.5)),
    Load("full", (0.85, 0.85, 0.85)),
    Load("skew", (1.3, 0.5, 0.5)),
)


class Measured(NamedTuple):
    """Latency of a run in milliseconds, and how many requests left their region."""

    median_ms: float
    p99_ms: float
    refused: int
    left_region_part: float


class AllAlike:
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
        self._slots_of: dict[BackendServer, trio.Semaphore] = {}
        self._latencies: list[float] = []
        self._refused = 0
        self._left = 0

    async def measure(self, load: Load, requests: int) -> Measured:
        """Send the load from all regions."""
        async with trio.open_nursery() as nursery:
            for number, part in enumerate(load.of_region):
                nursery.start_soon(self._entry, f"region-{number}-a", part, requests)
        return Measured(
            1000 * median(self._latencies),
            1000 * quantiles(self._latencies, n=100)[98],
            self._refused,
            self._left / len(self._latencies),
        )

    async def _entry(self, failure_domain: str, part: float, requests: int) -> None:
        clock = TrioClock()
        servers = ConfiguredServers(
            config=lambda: self._config,
            health=HealthBoard(clock=clock),
            metrics=Metrics(),
            moves=idle_board(clock),
            failure_domain=failure_domain,
        )
        pool = SlotPool(clock=clock, max_queued=500)
        rate = part * SERVERS_A_REGION * SLOTS / SERVICE_S
        async with trio.open_nursery() as nursery:
            for _ in range(int(requests * part)):
                nursery.start_soon(self._request, servers, pool, failure_domain)
                await trio.sleep(self._random.expovariate(rate))

    async def _request(
        self, servers: ConfiguredServers, pool: SlotPool, failure_domain: str
    ) -> None:
        began = trio.current_time()
        plan = small_plan(self._config, deadline=began + TIMEOUT_S)
        choice: ServerChoice = servers.choice(plan)
        if not self._near:
            choice = AllAlike(choice=choice)
        demand = SlotDemand("desk", choice, plan.policy, plan.deadline)
        admitted = await pool.acquire(demand)
        if isinstance(admitted, Err):
            self._refused += 1
            return
        slot = admitted.ok_value
        away = slot.server.failure_domain[:-2] != failure_domain[:-2]
        self._left += away
        await trio.sleep(BETWEEN_REGIONS_S if away else 0.0)
        async with self._slots_of.setdefault(slot.server, trio.Semaphore(SLOTS)):
            await trio.sleep(self._random.expovariate(1 / SERVICE_S))
        await trio.sleep(BETWEEN_REGIONS_S if away else 0.0)
        pool.release(slot)
        self._latencies.append(trio.current_time() - began)


def measure(*, load: Load, near: bool, requests: int = 600, seed: int = 1) -> Measured:
    """Run one load.

    Args:
        load: What the callers send.
        near: Whether near backend servers are preferred.
        requests: How many requests a region with a load of 1 sends.
        seed: Of arrivals and service times.
    """
    config = small_config(servers=SERVERS_A_REGION, latency_ms=1000 * BETWEEN_REGIONS_S)
    run = _Run(config=config, near=near, seed=seed)
    return trio.run(run.measure, load, requests, clock=MockClock(autojump_threshold=0.0))


_last: dict[str, dict[str, Measured]] = {}


def run(short: bool) -> list[str]:
    """Measure all loads and check the bounds."""
    lines = ["load  choice  p50 ms  p99 ms  refused  left region"]
    for load in LOADS[:1] if short else LOADS:
        found = {
            name: measure(load=load, near=near, requests=300 if short else 600)
            for name, near in (("alike", False), ("near", True))
        }
        _last[load.name] = found
        assert found["near"].left_region_part < 0.6 * found["alike"].left_region_part, f"{found}"
        assert found["near"].median_ms < found["alike"].median_ms, f"{found}"
        lines += [
            f"{load.name:5} {name:6} {one.median_ms:7.1f} {one.p99_ms:7.1f} {one.refused:8} "
            f"{one.left_region_part:12.2f}"
            for name, one in found.items()
        ]
    return lines


def figures() -> Mapping[str, Mapping[str, float]]:
    """For the plot."""
    return {
        f"p99 at load {load}, ms": {name: one.p99_ms for name, one in found.items()}
        for load, found in _last.items()
    }


if __name__ == "__main__":
    print("\n".join(run(short=False)))

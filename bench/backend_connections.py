"""Measures the cost of an exchange with a backend server, and the effect of the learned idle limit.

The backend servers are stand-ins in a separate process; processor time is that of this process.
"""

import random
import time
from collections.abc import Awaitable, Callable
from functools import partial
from statistics import median

import httpcore
import trio
from result import Err
from tests.common.backend_standin import serve_worker
from tests.common.backend_worker import Mode, Worker
from tests.common.fault_proxy import Address, FaultProxy
from tests.common.processes import ModuleProcess
from tests.common.sockets import loopback_address

from wagtailpoint.adapters.backend_http import HttpBackends
from wagtailpoint.adapters.backend_pool import MAX_REUSE_IDLE_S
from wagtailpoint.ports.backend import BackendAddress, BackendRequest

PORT = 9100
PROXY_PORT = 9001
MAX_COST_RATIO = 1.5
"""Upper bound of the processor time of an exchange relative to that of httpcore's own pool."""

MIN_REDUCTION_FACTOR = 2.0
"""Lower bound of the factor by which the learned limit reduces releases that may have run."""

_FIGURES: dict[str, dict[str, float]] = {}


def figures() -> dict[str, dict[str, float]]:
    """Return the results of the last run, for the plot."""
    return _FIGURES


def run(short: bool) -> list[str]:
    """Measure the cost of exchanges, and releases on connections that the server closes.

    Raises:
        AssertionError: A bound is exceeded.
    """
    _FIGURES.clear()
    return _run_costs(300 if short else 3000) + _run_race(80 if short else 800)


def build_request(number: int, *, idempotent: bool) -> BackendRequest:
    return BackendRequest(
        request_id=f"r{number}",
        method="GET" if idempotent else "POST",
        target="/balance",
        headers=[(b"Accept", b"application/json")],
        body=None,
        deadline_s=10.0,
        idempotent=idempotent,
        echoes_request_id=True,
    )


def _run_costs(count: int) -> list[str]:
    host = loopback_address()
    arguments = ["--address", host, "--port", str(PORT), "--service-ms", "0", "--slots", "30"]
    with ModuleProcess(
        module="tests.common.backend_standin", arguments=arguments, address=host, port=PORT
    ):
        costs = trio.run(_measure_costs, BackendAddress(host, PORT), count)
    lines = [f"{'sequential exchanges':36}  processor ms  median ms"]
    for name, (processor_ms, median_ms) in costs.items():
        lines.append(f"{name:36}  {processor_ms:12.3f}  {median_ms:9.3f}")
        _FIGURES.setdefault("exchange, processor ms", {})[name] = processor_ms
    ours, plain = costs["ours, connection used again"], costs["httpcore's pool"]
    assert (
        ours[0] <= MAX_COST_RATIO * plain[0]
    ), f"an exchange costs {ours[0] / plain[0]:.2f} x httpcore"
    return lines


async def _measure_costs(server: BackendAddress, count: int) -> dict[str, tuple[float, float]]:
    backends, fresh = HttpBackends(), HttpBackends(max_idle_connections=0)

    async def exchange(backends: HttpBackends, number: int) -> None:
        request = build_request(number, idempotent=True)
        async with backends.exchange(server, request) as answered:
            async for _ in answered.unwrap().body:
                pass

    async with httpcore.AsyncConnectionPool() as pool:

        async def plain(number: int) -> None:
            headers = [("Wagtailpoint-Request-Id", f"r{number}"), ("Accept", "application/json")]
            await pool.request("GET", f"http://{server}/balance", headers=headers)

        return {
            "httpcore's pool": await _measure(plain, count),
            "ours, connection used again": await _measure(partial(exchange, backends), count),
            "ours, connection always fresh": await _measure(partial(exchange, fresh), count),
        }


async def _measure(exchange: Callable[[int], Awaitable[None]], count: int) -> tuple[float, float]:
    """Return the mean processor time and the median latency of an exchange, in milliseconds."""
    latencies = []
    for number in range(count // 10):
        await exchange(number)
    processor_s = time.process_time()
    for number in range(count):
        start = time.perf_counter()
        await exchange(number)
        latencies.append(time.perf_counter() - start)
    processor_s = time.process_time() - processor_s
    return processor_s / count * 1000, median(latencies) * 1000


def _run_race(count: int) -> list[str]:
    lines = [f"{'releases, server closes after 0.1 s':36}  may-have-run  connections opened"]
    may_have_run = {}
    baseline = f"used again within {MAX_REUSE_IDLE_S:g} s"
    for name, max_reuse_idle_s in ((baseline, MAX_REUSE_IDLE_S), ("learned limit", None)):
        may_have_run[name], opened = trio.run(_measure_race, count, max_reuse_idle_s)
        lines.append(f"{name:36}  {may_have_run[name]:6}/{count:<5}  {opened:18}")
        _FIGURES.setdefault("releases spoilt", {})[name] = may_have_run[name]
    learned, fixed = may_have_run["learned limit"], may_have_run[baseline]
    assert (
        learned * MIN_REDUCTION_FACTOR <= fixed
    ), f"{learned} releases may have run, {fixed} without the learned limit"
    return lines


async def _measure_race(count: int, max_reuse_idle_s: float | None) -> tuple[int, int]:
    """Return how many releases ended in `may-have-run`, and how many connections were opened.

    Args:
        count: The number of releases to send.
        max_reuse_idle_s: The idle limit for reusing a connection, in seconds; None to learn it.
    """
    host, sender_count = loopback_address(), 4
    worker, backends = Worker(service_ms=1.0, slots=50), HttpBackends()
    worker.mode = Mode(idle_close_s=0.1)
    proxy = FaultProxy(listen=Address(host, PROXY_PORT), target=Address(host, PORT))
    server, rng, may_have_run = BackendAddress(host, PROXY_PORT), random.Random(3), 0

    async def send_releases(sender: int) -> None:
        nonlocal may_have_run
        for number in range(count // sender_count):
            await trio.sleep(rng.expovariate(1 / 0.1))
            if max_reuse_idle_s is not None:
                backends._pool(server)._max_reuse_idle_s = max_reuse_idle_s
            request = build_request(sender * count + number, idempotent=False)
            async with backends.exchange(server, request) as answered:
                if isinstance(answered, Err):
                    may_have_run += 1
                else:
                    _ = [chunk async for chunk in answered.ok_value.body]

    async with trio.open_nursery() as nursery:
        await nursery.start(partial(serve_worker, worker, host, PORT))
        await nursery.start(proxy.serve)
        await proxy.delay(0.02)
        async with trio.open_nursery() as senders_nursery:
            for sender in range(sender_count):
                senders_nursery.start_soon(send_releases, sender)
        nursery.cancel_scope.cancel()
    return may_have_run, backends.counts(server).opened

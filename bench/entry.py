"""Measures the processor time, added latency and memory of one entry process.

The baselines are measured in the same run: hypercorn alone with default settings, and direct
requests to the backend server.
"""

import json
import os
import re
import socket
import tempfile
import time
from collections.abc import Mapping
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from hdrh.histogram import HdrHistogram
from tests.common.deployment_process import EntryProcess, RunningDeployment
from tests.common.processes import ModuleProcess

OPEN_REQUESTS = 500
PLAIN_PORT = 7999
UNLIMITED_RPS = 1_000_000
REQUESTS_PER_CONNECTION = 250
"""Below the number after which hypercorn closes a connection by default."""

MAX_LOOKUP_RATIO = 0.9
MAX_PROXIED_RATIO = 3.5
MAX_LATENCY_RATIO = 8.0
MAX_MEMORY_RATIO = 1.4
MAX_STALLED_RATIO = 2.0

WITHOUT_STALLED = "lookup without stalled"
BESIDE_STALLED = "lookup beside stalled"

BALANCE = b"GET /deposits/balance/7 HTTP/1.1\r\nHost: e\r\nWagtailpoint-Workspace: surakkha\r\n\r\n"
LOOKUP = b"GET /v1/lookup?workspace=surakkha&address=10.16.0.9 HTTP/1.1\r\nHost: e\r\n\r\n"
RELEASE = (
    b"POST /releases HTTP/1.1\r\nHost: e\r\nWagtailpoint-Workspace: surakkha\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)
STALLED_HEAD = LOOKUP[:-2]
STALLED_BODY = RELEASE.replace(b"Content-Length: 2", b"Content-Length: 200000")
LONG_DOWNLOAD = BALANCE.replace(b"/deposits/balance/7", b"/statements/bulk/100000000")


class Exchanges(NamedTuple):
    """The result of a series of sequential requests.

    Attributes:
        cpu_us: Mean processor time of the server per request, in microseconds.
        p50_ms: Median latency in milliseconds.
        p99_ms: 99th percentile of the latency in milliseconds.
    """

    cpu_us: float
    p50_ms: float
    p99_ms: float


class Memory(NamedTuple):
    """Resident memory in megabytes, when idle and with a number of open requests."""

    idle_mb: float
    busy_mb: float
    open_requests: int


_FIGURES: dict[str, dict[str, float]] = {}


def figures() -> Mapping[str, Mapping[str, float]]:
    """Return the results of the last run, for the plot."""
    return _FIGURES


def run(short: bool) -> list[str]:
    """Measure one entry process.

    Raises:
        AssertionError: A bound is exceeded.
    """
    count = 2_000 if short else 20_000
    with ExitStack() as stack:
        running = stack.enter_context(_deployment())
        _apply_unlimited(running)
        entry = running.entries[0]
        plain_endpoint = (entry.settings.address, PLAIN_PORT)
        plain = stack.enter_context(_plain_server(*plain_endpoint))
        backends = running.backends["deposit-desk"]
        server = backends.servers[0]
        idle_us = _measure_idle_cpu_us(entry.pid, seconds=1.0 if short else 5.0)
        measured = {
            "hypercorn alone": _RequestSeries(plain.pid, plain_endpoint, BALANCE, 0.0),
            "backend server directly": _RequestSeries(
                backends.pid, (server.address, server.port), BALANCE, 0.0
            ),
            "lookup": _RequestSeries(entry.pid, entry.place, LOOKUP, idle_us),
            "proxied": _RequestSeries(entry.pid, entry.place, BALANCE, idle_us),
        }
        # The series alternate, so that other load on the machine affects all of them equally.
        for _ in range(count // REQUESTS_PER_CONNECTION):
            for series in measured.values():
                series.exchange()
        rows = {name: series.result() for name, series in measured.items()}
        rows |= _measure_stalled(entry, idle_us, count)
        memory = _measure_memory(running)
    table = _table(rows, memory, idle_us)
    _check(rows, memory, table)
    return table


def _deployment() -> RunningDeployment:
    return RunningDeployment(
        name="surakkha",
        entries=1,
        backend_options=("--service-ms", "0.001"),
        limits={"queued_requests": OPEN_REQUESTS, "open_requests": 2 * OPEN_REQUESTS},
        timings={"caller_idle_s": 60.0},
    )


def _apply_unlimited(running: RunningDeployment) -> None:
    """Apply the deployment's objects with a workspace limit that is never reached."""
    objects = json.loads(running.objects_file.read_text())
    objects["template/deposit-book"]["parameters"]["max_rps"]["maximum"] = UNLIMITED_RPS
    objects["workspace/surakkha"]["parameters"]["max_rps"] = UNLIMITED_RPS
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(objects, file)
        file.flush()
        done = running.cli("apply", file.name, "--wait")
    assert done.returncode == 0, done.stdout + done.stderr


def _plain_server(address: str, port: int) -> ModuleProcess:
    return ModuleProcess(
        module="bench.plain_server",
        arguments=["--address", address, "--port", str(port)],
        address=address,
        port=port,
    )


def _measure_stalled(entry: EntryProcess, idle_us: float, count: int) -> dict[str, Exchanges]:
    """Measure lookups beside callers that stall in their headers, body or reply, and without.

    Both alternate, as load that begins on the machine between them would change their ratio.
    """
    stalled = [STALLED_HEAD] * 100 + [STALLED_BODY] * 50 + [LONG_DOWNLOAD] * 10
    without = _RequestSeries(entry.pid, entry.place, LOOKUP, idle_us)
    beside = _RequestSeries(entry.pid, entry.place, LOOKUP, idle_us)
    for _ in range(count // REQUESTS_PER_CONNECTION):
        without.exchange()
        with ExitStack() as stack:
            for request in stalled:
                connection = stack.enter_context(socket.create_connection(entry.place))
                connection.sendall(request)
            beside.exchange()
    return {WITHOUT_STALLED: without.result(), BESIDE_STALLED: beside.result()}


class _RequestSeries:
    """Sends one request repeatedly, one at a time, and records latency and processor time."""

    def __init__(self, pid: int, endpoint: tuple[str, int], request: bytes, idle_us: float) -> None:
        """Initialise the series.

        Args:
            pid: The process id of the server whose processor time is measured.
            endpoint: The address and port of the server.
            request: The encoded request.
            idle_us: Processor time of the server per second without requests, in microseconds.
        """
        self._pid = pid
        self._endpoint = endpoint
        self._request = request
        self._idle_us = idle_us
        self._histogram = HdrHistogram(1, 60_000_000, 3)
        self._cpu_us = 0.0

    def exchange(self) -> None:
        """Send ``REQUESTS_PER_CONNECTION`` requests on a new connection."""
        started_at, cpu = time.perf_counter(), _cpu_us(self._pid)
        with socket.create_connection(self._endpoint) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for _ in range(REQUESTS_PER_CONNECTION):
                sent_at = time.perf_counter()
                _exchange_once(connection, self._request)
                latency_us = int((time.perf_counter() - sent_at) * 1e6)
                self._histogram.record_value(max(1, latency_us))
        idle_us = self._idle_us * (time.perf_counter() - started_at)
        self._cpu_us += _cpu_us(self._pid) - cpu - idle_us

    def result(self) -> Exchanges:
        """Return the results of all exchanges so far."""
        p50, p99 = (
            self._histogram.get_value_at_percentile(percentile) / 1000 for percentile in (50, 99)
        )
        return Exchanges(self._cpu_us / self._histogram.get_total_count(), p50, p99)


def _exchange_once(connection: socket.socket, request: bytes) -> None:
    connection.sendall(request)
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        assert received, f"connection closed before the end of the headers: got {data!r}"
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), data
    length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
    assert length is not None, head
    remaining = int(length[1]) - len(body)
    while remaining > 0:
        remaining -= len(connection.recv(remaining))


def _cpu_us(pid: int) -> float:
    """Return the processor time of a process in microseconds, from the scheduler's statistics."""
    schedstat = (Path(f"/proc/{pid}/task") / str(task) / "schedstat" for task in _list_tasks(pid))
    return sum(int(path.read_text().split()[0]) for path in schedstat) / 1000


def _list_tasks(pid: int) -> list[str]:
    return os.listdir(f"/proc/{pid}/task")


def _measure_idle_cpu_us(pid: int, *, seconds: float) -> float:
    before = _cpu_us(pid)
    time.sleep(seconds)
    return (_cpu_us(pid) - before) / seconds


def _read_resident_mb(pid: int) -> float:
    found = re.search(r"VmRSS:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) / 1024


def _measure_memory(running: RunningDeployment) -> Memory:
    """Measure resident memory when idle and with many requests open, which lack their last byte."""
    entry = running.entries[0]
    idle_mb = _read_resident_mb(entry.pid)
    with ExitStack() as stack:
        for _ in range(OPEN_REQUESTS):
            connection = stack.enter_context(socket.create_connection(entry.place))
            connection.sendall(RELEASE[:-1])
        open_requests = 0
        deadline = time.monotonic() + 10
        while open_requests < OPEN_REQUESTS and time.monotonic() < deadline:
            open_requests = entry.page("status")["requests"]["open"]
        return Memory(idle_mb, _read_resident_mb(entry.pid), open_requests)


def _table(rows: Mapping[str, Exchanges], memory: Memory, idle_us: float) -> list[str]:
    _FIGURES["processor time, us"] = {name: row.cpu_us for name, row in rows.items()}
    _FIGURES["p50, ms"] = {name: row.p50_ms for name, row in rows.items()}
    _FIGURES["p99, ms"] = {name: row.p99_ms for name, row in rows.items()}
    _FIGURES["memory, MB"] = {"idle": memory.idle_mb, "busy": memory.busy_mb}
    lines = [f"{'sequential requests':<26}{'cpu us':>8}{'p50 ms':>8}{'p99 ms':>8}"]
    lines += [
        f"{name:<26}{row.cpu_us:>8.0f}{row.p50_ms:>8.2f}{row.p99_ms:>8.2f}"
        for name, row in rows.items()
    ]
    per_request_kb = (memory.busy_mb - memory.idle_mb) * 1024 / max(1, memory.open_requests)
    lines.append(
        f"memory {memory.idle_mb:.1f} MB idle, {memory.busy_mb:.1f} MB with "
        f"{memory.open_requests} open requests ({per_request_kb:.0f} KB per request)"
    )
    lines.append(f"processor time without requests: {idle_us / 10_000:.2f} % of a core")
    return lines


def _check(rows: Mapping[str, Exchanges], memory: Memory, table: list[str]) -> None:
    plain, direct = rows["hypercorn alone"], rows["backend server directly"]
    lookup, proxied = rows["lookup"], rows["proxied"]
    ratios = {
        "a lookup's processor time to hypercorn's": (
            lookup.cpu_us / plain.cpu_us,
            MAX_LOOKUP_RATIO,
        ),
        "a proxied request's processor time to hypercorn's": (
            proxied.cpu_us / plain.cpu_us,
            MAX_PROXIED_RATIO,
        ),
        "median latency through the entry to that of the backend server": (
            proxied.p50_ms / direct.p50_ms,
            MAX_LATENCY_RATIO,
        ),
        "median latency of a lookup beside stalled callers to that without": (
            rows[BESIDE_STALLED].p50_ms / rows[WITHOUT_STALLED].p50_ms,
            MAX_STALLED_RATIO,
        ),
        "memory with open requests to that without": (
            memory.busy_mb / memory.idle_mb,
            MAX_MEMORY_RATIO,
        ),
    }
    shown = "\n".join(table)
    for name, (ratio, max_ratio) in ratios.items():
        table.append(f"{name}: {ratio:.2f} (at most {max_ratio})")
        assert ratio <= max_ratio, f"{name} is {ratio:.2f}, at most {max_ratio}\n{shown}"
    assert memory.open_requests >= OPEN_REQUESTS, f"open: {memory.open_requests}\n{shown}"

"""Measures an instance: memory by client blocks, and processor time when idle and for a lookup.

Real processes are measured for resident memory, start-up time, and the longest wait for an answer
while the client blocks change; this process measures the encoding of a full configuration.
"""

import os
import time
from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from http import HTTPStatus
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import httpcore
import msgspec
import trio
from tests.common.deployment_process import EntryProcess, RunningDeployment
from tests.common.platform_process import PlatformProcess, fresh_address
from tests.common.processes import ModuleProcess

from bench.lookup import BLOCKS_PER_OBJECT, generate_client_blocks
from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.platform_http import HttpPlatform
from wagtailpoint.config.manifest import ChangeInfo, Snapshot
from wagtailpoint.config.packed import pack
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.membership.config_delta import (
    add_content_hashes,
    apply_delta,
    compute_digest,
    encode_delta,
)

CHANGE_TIMEOUT_S = 60.0
_KB_PER_MB = 1024.0


class Memory(NamedTuple):
    """The memory (kB) and times (s) of one instance at one number of client blocks."""

    blocks: int
    rss_kb: int
    peak_kb: int
    change_s: float
    max_wait_s: float
    start_s: float
    start_rss_kb: int


def _build_objects(count: int, *, regions: int) -> Mapping[str, Any]:
    names = [f"site-{number}" for number in range(regions)]
    objects: dict[str, Any] = {
        f"region/{name}": {
            "failure_domains": [f"{name}-a"],
            "latency_ms": {neighbour: 20.0 for neighbour in names if neighbour != name},
        }
        for name in names
    }
    blocks = generate_client_blocks(count)
    for begin in range(0, count, BLOCKS_PER_OBJECT):
        number = begin // BLOCKS_PER_OBJECT
        networks = [block.network for block in blocks[begin : begin + BLOCKS_PER_OBJECT]]
        objects[f"blocks/part-{number}"] = {
            "region": names[number % regions],
            "networks": networks,
        }
    return objects


def _read_status_kb(pid: int, field: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field + ":"))


class _Instance:
    """An entry instance that reads its configuration from a platform."""

    def __init__(self, platform: PlatformProcess, directory: Path) -> None:
        self.address = fresh_address()
        settings = directory / "settings.json"
        settings.write_bytes(
            msgspec.json.encode(
                {
                    "address": self.address,
                    "port": 8080,
                    "peer_port": 8081,
                    "region": "site-0",
                    "failure_domain": "site-0-a",
                    "platform": [
                        {"address": platform.listens_on[0], "port": platform.listens_on[1]}
                    ],
                    "log_level": "WARNING",
                }
            )
        )
        self.process = ModuleProcess(
            module="wagtailpoint.daemon.main",
            arguments=["--settings", str(settings)],
            address=self.address,
            port=8080,
        )

    def version(self, pool: httpcore.ConnectionPool) -> int:
        answer = pool.request("GET", f"http://{self.address}:8080/v1/status")
        return int(msgspec.json.decode(answer.content)["config_version"])

    def wait_for_version(self, version: int, *, since: float) -> tuple[float, float]:
        """Wait until a version is in force.

        Returns:
            The seconds from ``since`` until then, and the longest wait for a status answer.
        """
        max_wait_s = 0.0
        with httpcore.ConnectionPool() as pool:
            while True:
                started_at = time.monotonic()
                reached = self.version(pool)
                max_wait_s = max(max_wait_s, time.monotonic() - started_at)
                if reached >= version:
                    return time.monotonic() - since, max_wait_s
                if time.monotonic() - since > CHANGE_TIMEOUT_S:
                    raise RuntimeError(
                        f"version {version} not in force after {CHANGE_TIMEOUT_S} s\n"
                        f"{self.process.log}"
                    )
                time.sleep(0.002)


def _apply(platform: PlatformProcess, objects: Mapping[str, Any], version: int) -> None:
    async def apply() -> None:
        async with HttpPlatform(addresses=[platform.listens_on], timeout_s=10.0) as api:
            store = ConfigStore(platform=api, clock_wall=SystemClock().wall)
            deletes: list[str] = []
            (
                await store.apply(
                    puts=objects,
                    deletes=deletes,
                    base_version=version - 1,
                    author="bench",
                    message="blocks",
                )
            ).unwrap()

    trio.run(apply)


@contextmanager
def _run_deployment() -> Iterator[tuple[PlatformProcess, _Instance]]:
    with TemporaryDirectory() as directory, PlatformProcess() as platform:
        instance = _Instance(platform, Path(directory))
        with instance.process:
            yield platform, instance


def measure_memory(sizes: tuple[int, ...], *, regions: int) -> list[Memory]:
    """Measure a running instance whose client blocks grow, and a new instance at each size."""
    rows = []
    with _run_deployment() as (platform, instance):
        for version, count in enumerate(sizes, start=1):
            objects = _build_objects(count, regions=regions)
            since = time.monotonic()
            _apply(platform, objects, version)
            change_s, max_wait_s = instance.wait_for_version(version, since=since)
            time.sleep(0.5)
            rss_kb, peak_kb = (
                _read_status_kb(instance.process.pid, field) for field in ("VmRSS", "VmHWM")
            )
            with TemporaryDirectory() as directory:
                fresh = _Instance(platform, Path(directory))
                started_at = time.monotonic()
                with fresh.process:
                    start_s, _ = fresh.wait_for_version(version, since=started_at)
                    time.sleep(0.5)
                    start_rss_kb = _read_status_kb(fresh.process.pid, "VmRSS")
            rows.append(Memory(count, rss_kb, peak_kb, change_s, max_wait_s, start_s, start_rss_kb))
    return rows


def _read_processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_instance(window_s: float, lookups: int) -> list[str]:
    """Measure processor time and platform calls of an idle instance, then its lookups."""
    with RunningDeployment(name="surakkha", entries=1) as running:
        running.apply_objects()
        entry = running.entries[0]
        time.sleep(1.0)
        calls, used_s = _count_platform_calls(running), _read_processor_s(entry.pid)
        time.sleep(window_s)
        core_fraction = (_read_processor_s(entry.pid) - used_s) / window_s
        calls = _count_platform_calls(running) - calls
        lookup_ms = _measure_lookup_ms(entry, lookups)
    text = ", ".join(f"{name} {count}" for name, count in calls.items())
    return [
        f"one idle instance alone, {window_s:.0f} s: {core_fraction:.2%} of a core; "
        f"platform calls: {text}",
        f"processor time of a lookup over HTTP: {lookup_ms:.2f} ms ({lookups} on one connection)",
    ]


def _count_platform_calls(running: RunningDeployment) -> Counter[str]:
    calls = running.platform_counts()["calls"]
    return Counter(
        {f"{method} {kind}": count for kind in calls for method, count in calls[kind].items()}
    )


def _measure_lookup_ms(entry: EntryProcess, count: int) -> float:
    """Return the processor milliseconds per lookup over one persistent connection."""
    address, port = entry.place
    url = f"http://{address}:{port}/v1/lookup?workspace=surakkha&address=10.16.0.9"
    with httpcore.ConnectionPool() as pool:
        assert pool.request("GET", url).status == HTTPStatus.OK
        before = _read_processor_s(entry.pid)
        for _ in range(count):
            pool.request("GET", url)
        return (_read_processor_s(entry.pid) - before) / count * 1000


def measure_replacement(count: int, *, regions: int) -> str:
    """Measure a full configuration for a replacement: its size, encoding and decoding time."""
    objects = {key: pack(value) for key, value in _build_objects(count, regions=regions).items()}
    snapshot = add_content_hashes(Snapshot(ChangeInfo(1, "c1", "bench", 0.0, ""), objects))
    started_at = time.perf_counter()
    data = encode_delta(snapshot, frozenset(objects))
    encoded = time.perf_counter()
    digest = compute_digest(snapshot.content_hashes)
    apply_delta(None, data, change=snapshot.change, digest=digest)
    applied = time.perf_counter()
    return (
        f"full configuration of {count} blocks: {len(data)} bytes, encoded in"
        f" {(encoded - started_at) * 1000:.0f} ms, decoded in {(applied - encoded) * 1000:.0f} ms"
    )


def format_memory_table(rows: list[Memory]) -> list[str]:
    lines = [
        "   blocks  RSS MB  peak MB  change s  longest wait s    new: in force s  RSS MB",
    ]
    for row in rows:
        lines.append(
            f"{row.blocks:9d} {row.rss_kb / _KB_PER_MB:7.1f} {row.peak_kb / _KB_PER_MB:8.1f} "
            f"{row.change_s:9.2f}"
            f" {row.max_wait_s:15.3f} {row.start_s:18.2f} {row.start_rss_kb / _KB_PER_MB:7.1f}"
        )
    return lines

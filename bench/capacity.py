"""What one instance needs at the later size: memory by client blocks, messages by members.

Two slopes. Real processes: resident memory, start-up, and the longest wait of a lookup while the
client blocks change, by the number of client blocks. On links in memory and a mock clock: messages,
bytes and processor time of membership and of one configuration change, by the number of instances.
"""

import os
import sys
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
from tests.common.member_group import MemberGroup, run_group
from tests.common.platform_process import PlatformProcess, fresh_address
from tests.common.processes import ModuleProcess

from bench.lookup import BLOCKS_AN_OBJECT, client_blocks
from wagtailpoint.adapters.clock import SystemClock
from wagtailpoint.adapters.platform_http import HttpPlatform
from wagtailpoint.config.manifest import ChangeInfo, Snapshot
from wagtailpoint.config.packed import pack
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.limits.keeper import STEPS_PER_LEASE
from wagtailpoint.limits.lease import Holder
from wagtailpoint.limits.seat import SEAT_KIND, SeatState
from wagtailpoint.membership.config_delta import (
    apply_delta,
    digest_of,
    encode_delta,
    with_hashes,
)

LIMIT_S = 60.0
BLOCKS_SHORT = (0, 20_000)
BLOCKS_FULL = (0, 44_000, 110_000, 440_000)
REGIONS_SHORT, REGIONS_FULL = 4, 51
MEMBERS_SHORT = (9, 30)
MEMBERS_FULL = (9, 60, 120, 245, 490)
LATER_INSTANCES = 490
IDLE_S = 8.0
CUT_S = 30.0
REPORTS_S = 4.0
"""As many epochs begin at 490 instances, one each in 120 s."""
CUT_MEMBERS_SHORT, CUT_MEMBERS_FULL = 24, 120
MOST_GROWTH_OF_IDLE = 1.5
MOST_WAIT_AGAINST_CHANGE = 0.5
MOST_PEAK_AGAINST_RESIDENT = 1.5
HEADER_BYTES = 8 + 52 + 52
"""Length and IP and TCP headers of a small message, and of the acknowledgement it may get."""
_MB = 1024.0


class Memory(NamedTuple):
    """One instance at one number of client blocks, in kilobytes and seconds."""

    blocks: int
    rss_kb: int
    peak_kb: int
    change_s: float
    longest_wait_s: float
    start_s: float
    start_rss_kb: int


class Sent(NamedTuple):
    """What a whole group sent so far, and the processor time of this process."""

    messages: int
    bytes: int
    processor_s: float


class Group(NamedTuple):
    """One instance of a group, on average."""

    instances: int
    messages_s: float
    bytes_s: float
    processor_ms_s: float
    change_messages: float
    change_bytes: float
    change_processor_ms: float
    change_has_s: float
    change_told_s: float


def _objects(count: int, *, regions: int) -> Mapping[str, Any]:
    names = [f"site-{number}" for number in range(regions)]
    objects: dict[str, Any] = {
        f"region/{name}": {
            "failure_domains": [f"{name}-a"],
            "latency_ms": {other: 20.0 for other in names if other != name},
        }
        for name in names
    }
    blocks = client_blocks(count)
    for begin in range(0, count, BLOCKS_AN_OBJECT):
        number = begin // BLOCKS_AN_OBJECT
        networks = [block.network for block in blocks[begin : begin + BLOCKS_AN_OBJECT]]
        objects[f"blocks/part-{number}"] = {
            "region": names[number % regions],
            "networks": networks,
        }
    return objects


def _status_kb(pid: int, field: str) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(field + ":"))


class _Instance:
    """One entry instance and its platform."""

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

    def until(self, version: int, *, since: float) -> tuple[float, float]:
        """Wait until a version is in force; how long that took, and the longest answer's wait."""
        longest = 0.0
        with httpcore.ConnectionPool() as pool:
            while True:
                began = time.monotonic()
                reached = self.version(pool)
                longest = max(longest, time.monotonic() - began)
                if reached >= version:
                    return time.monotonic() - since, longest
                if time.monotonic() - since > LIMIT_S:
                    raise RuntimeError(f"version {version} not in force\n{self.process.log}")
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
def _deployment() -> Iterator[tuple[PlatformProcess, _Instance]]:
    with TemporaryDirectory() as directory, PlatformProcess() as platform:
        instance = _Instance(platform, Path(directory))
        with instance.process:
            yield platform, instance


def measure_memory(sizes: tuple[int, ...], *, regions: int) -> list[Memory]:
    """Grow the client blocks of one instance; start a fresh one at each size as well."""
    rows = []
    with _deployment() as (platform, instance):
        for version, count in enumerate(sizes, start=1):
            objects = _objects(count, regions=regions)
            since = time.monotonic()
            _apply(platform, objects, version)
            change_s, longest_s = instance.until(version, since=since)
            time.sleep(0.5)
            rss_kb, peak_kb = (_status_kb(instance.process.pid, it) for it in ("VmRSS", "VmHWM"))
            with TemporaryDirectory() as directory:
                fresh = _Instance(platform, Path(directory))
                began = time.monotonic()
                with fresh.process:
                    start_s, _ = fresh.until(version, since=began)
                    time.sleep(0.5)
                    start_rss_kb = _status_kb(fresh.process.pid, "VmRSS")
            rows.append(Memory(count, rss_kb, peak_kb, change_s, longest_s, start_s, start_rss_kb))
    return rows


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_instance(window_s: float, lookups: int) -> list[str]:
    """One idle instance: processor time and platform calls; then its lookups."""
    with RunningDeployment(name="surakkha", entries=1) as running:
        running.apply_objects()
        entry = running.entries[0]
        time.sleep(1.0)
        calls, used_s = _calls(running), _processor_s(entry.pid)
        time.sleep(window_s)
        share = (_processor_s(entry.pid) - used_s) / window_s
        calls = _calls(running) - calls
        lookup_ms = _lookup_ms(entry, lookups)
    text = ", ".join(f"{name} {count}" for name, count in calls.items())
    return [
        f"one idle instance alone, {window_s:.0f} s: {share:.2%} of a core; platform calls: {text}",
        f"processor time of a lookup over HTTP: {lookup_ms:.2f} ms ({lookups} on one connection)",
    ]


def _calls(running: RunningDeployment) -> Counter[str]:
    calls = running.platform_counts()["calls"]
    return Counter(
        {f"{method} {kind}": count for kind in calls for method, count in calls[kind].items()}
    )


def _lookup_ms(entry: EntryProcess, count: int) -> float:
    """Processor milliseconds of the instance for each lookup over one kept connection."""
    address, port = entry.place
    url = f"http://{address}:{port}/v1/lookup?workspace=surakkha&address=10.16.0.9"
    with httpcore.ConnectionPool() as pool:
        assert pool.request("GET", url).status == HTTPStatus.OK
        before = _processor_s(entry.pid)
        for _ in range(count):
            pool.request("GET", url)
        return (_processor_s(entry.pid) - before) / count * 1000


def measure_replacement(count: int) -> str:
    """What a replacement's full configuration costs: the peer that gives it, and itself."""
    objects = {key: pack(value) for key, value in _objects(count, regions=REGIONS_FULL).items()}
    snapshot = with_hashes(Snapshot(ChangeInfo(1, "c1", "bench", 0.0, ""), objects))
    began = time.perf_counter()
    data = encode_delta(snapshot, frozenset(objects))
    encoded = time.perf_counter()
    digest = digest_of(snapshot.content_hashes)
    apply_delta(None, data, change=snapshot.change, digest=digest)
    applied = time.perf_counter()
    return (
        f"full configuration of {count} blocks: {len(data)} bytes, encoded in"
        f" {(encoded - began) * 1000:.0f} ms, decoded in {(applied - encoded) * 1000:.0f} ms"
    )


def measure_seats(count: int) -> str:
    """Bytes of the listing of all seats, which every keeper reads at each step."""
    holder = Holder("127.20.101.101", 8081, 1 << 59)
    state = SeatState("salt-lake-11", 1 << 20, holder, None, False, "1152921504606846976-100000")
    wire = {"kind": SEAT_KIND, "name": state.name, "version": state.version}
    size = len(msgspec.json.encode([{**wire, "value": state.to_value()}] * count))
    return f"listing of {count} seats: {size} bytes, {STEPS_PER_LEASE} times a lease"


def _snapshot(version: int) -> Snapshot:
    objects = {
        f"workspace/{index}": {"template": "stays", "version": version if index < 3 else 0}
        for index in range(200)
    }
    return Snapshot(ChangeInfo(version, f"c{version}", "bench", 0.0, ""), objects)


def _all_know(group: MemberGroup, version: int) -> bool:
    return all(
        member.config_version == version
        for instance in group.instances.values()
        for member in instance.membership.members()
    )


def _sent(group: MemberGroup) -> Sent:
    sent = [kind for each in group.instances.values() for kind in each.peers.counts.sent.values()]
    return Sent(
        sum(traffic.messages for traffic in sent),
        sum(traffic.bytes for traffic in sent),
        time.process_time(),
    )


def measure_group(count: int) -> Group:
    """Run a group in memory: join, idle, one change."""
    found: list[Group] = []

    async def story(group: MemberGroup) -> None:
        for number in range(1, count + 1):
            group.start(f"127.0.{number // 250}.{number % 250 + 1}")
        await group.until(lambda: group.all_see_all("live"), within_s=120)
        first = next(iter(group.instances.values()))
        first.offer(_snapshot(1))
        await group.until(lambda: _all_know(group, 1), within_s=120)
        await trio.sleep(5)

        before = _sent(group)
        await trio.sleep(IDLE_S)
        idle = _sent(group)
        first.offer(_snapshot(2))
        changed_at = trio.current_time()
        has_s = await group.until(
            lambda: all(each.versions[-1] == 2 for each in group.instances.values())
        )
        await group.until(lambda: _all_know(group, 2), within_s=120)
        told_s = trio.current_time() - changed_at
        await trio.sleep(max(0.0, IDLE_S - told_s))
        after = _sent(group)
        seconds = trio.current_time() - changed_at
        rates = [(idle[i] - before[i]) / IDLE_S / count for i in range(3)]
        extra = [(after[i] - idle[i]) / count - rates[i] * seconds for i in range(3)]
        found.append(
            Group(
                count,
                rates[0],
                rates[1],
                rates[2] * 1000,
                extra[0],
                extra[1],
                extra[2] * 1000,
                has_s,
                told_s,
            )
        )

    run_group(story)
    return found[0]


def measure_cut(count: int) -> str:
    """What a third of a group that is cut off costs each instance, and what healing costs."""
    lines: list[str] = []

    async def story(group: MemberGroup) -> None:
        await group.start_all(count)
        addresses = list(group.instances)
        group.network.cut_apart(addresses[: count // 3], addresses[count // 3 :])
        await trio.sleep(CUT_S)
        began_at, before = trio.current_time(), _sent(group)
        await trio.sleep(IDLE_S * 4)
        cut_bytes_s = (_sent(group).bytes - before.bytes) / (trio.current_time() - began_at) / count
        healed_at, before = trio.current_time(), _sent(group)
        group.network.heal()
        await group.until(lambda: group.all_see_all("live"), within_s=120)
        healed_s = trio.current_time() - healed_at
        healing = (_sent(group).bytes - before.bytes) / count
        lines.append(
            f"a third of {count} cut off: {cut_bytes_s:.0f} bytes/s sent each;"
            f" after healing all see all in {healed_s:.1f} s, {healing:.0f} bytes each"
        )

    run_group(story)
    return lines[0]


def measure_reports(count: int) -> str:
    """What one report of one instance (its epoch, its load) costs each member."""
    lines: list[str] = []

    async def story(group: MemberGroup) -> None:
        await group.start_all(count)
        await trio.sleep(CUT_S)
        before = _sent(group)
        await trio.sleep(IDLE_S)
        idle = _sent(group)
        instances = list(group.instances.values())
        for number in range(int(IDLE_S * REPORTS_S)):
            instances[number % count].membership.publish(epoch=2 + number // count)
            await trio.sleep(1 / REPORTS_S)
        after = _sent(group)
        cost = (after.bytes - 2 * idle.bytes + before.bytes) / count
        messages = (after.messages - 2 * idle.messages + before.messages) / count
        reports = int(IDLE_S * REPORTS_S)
        lines.append(
            f"a report (epoch, load) of one of {count}, {REPORTS_S:.0f} a second:"
            f" {cost / reports:.0f} bytes in {messages / reports:.2f} messages sent by each"
        )

    run_group(story)
    return lines[0]


def _memory_lines(rows: list[Memory]) -> list[str]:
    lines = [
        "   blocks  RSS MB  peak MB  change s  longest wait s  fresh: in force s  RSS MB",
    ]
    for row in rows:
        lines.append(
            f"{row.blocks:9d} {row.rss_kb / _MB:7.1f} {row.peak_kb / _MB:8.1f} {row.change_s:9.2f}"
            f" {row.longest_wait_s:15.3f} {row.start_s:18.2f} {row.start_rss_kb / _MB:7.1f}"
        )
    return lines


def _group_lines(rows: list[Group]) -> list[str]:
    lines = [
        "          |   idle, each, sent a second     |       one change, each, sent       | s till",
        "instances messages   bytes on wire* cpu ms   messages    bytes on wire* cpu ms   has told",
    ]
    for row in rows:
        wire = row.bytes_s + row.messages_s * HEADER_BYTES
        change_wire = row.change_bytes + row.change_messages * HEADER_BYTES
        lines.append(
            f"{row.instances:9d} {row.messages_s:8.2f} {row.bytes_s:7.0f} {wire:8.0f}"
            f" {row.processor_ms_s:6.2f} {row.change_messages:10.1f} {row.change_bytes:8.0f}"
            f" {change_wire:8.0f} {row.change_processor_ms:6.1f}"
            f" {row.change_has_s:6.2f} {row.change_told_s:5.2f}"
        )
    lines.append(f"* estimated: {HEADER_BYTES} bytes of headers and acknowledgement a message")
    return lines


def run(short: bool) -> list[str]:
    """Measure both slopes.

    Raises:
        AssertionError: A bound given as a ratio within this run is broken.
    """
    sizes, regions = (BLOCKS_SHORT, REGIONS_SHORT) if short else (BLOCKS_FULL, REGIONS_FULL)
    memory = measure_memory(sizes, regions=regions)
    lines = measure_instance(2.0 if short else 60.0, 300 if short else 5_000)
    lines += [measure_replacement(sizes[-1]), measure_seats(LATER_INSTANCES)]
    lines.append(measure_reports(CUT_MEMBERS_SHORT if short else CUT_MEMBERS_FULL))
    lines.append(measure_cut(CUT_MEMBERS_SHORT if short else CUT_MEMBERS_FULL))
    groups = [measure_group(count) for count in (MEMBERS_SHORT if short else MEMBERS_FULL)]
    lines += _memory_lines(memory) + _group_lines(groups)
    slope = (memory[-1].start_rss_kb - memory[0].start_rss_kb) * _MB / memory[-1].blocks
    lines.append(f"resident bytes a client block: {slope:.0f}")
    growth = groups[-1].bytes_s / groups[0].bytes_s
    lines.append(f"growth of idle bytes/s: {growth:.2f}, at most {MOST_GROWTH_OF_IDLE}")
    assert growth <= MOST_GROWTH_OF_IDLE, lines[-1]
    wait = memory[-1].longest_wait_s / memory[-1].change_s
    lines.append(f"longest wait to the change: {wait:.2f}, at most {MOST_WAIT_AGAINST_CHANGE}")
    assert wait <= MOST_WAIT_AGAINST_CHANGE, lines[-1]
    peak = memory[-1].peak_kb / memory[-1].rss_kb
    lines.append(f"peak to resident: {peak:.2f}, at most {MOST_PEAK_AGAINST_RESIDENT}")
    assert peak <= MOST_PEAK_AGAINST_RESIDENT, lines[-1]
    return lines


if __name__ == "__main__":
    print("\n".join(run(short="short" in sys.argv)))

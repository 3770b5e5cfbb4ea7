"""Measures what the instances of a group send each other, by the size of the group.

The group runs over links in memory with a mock clock. Measured are messages, bytes and processor
time of membership, one configuration change, a network partition and one load report.
"""

import time
from typing import NamedTuple

import trio
from tests.common.member_group import MemberGroup, run_group

from wagtailpoint.config.manifest import ChangeInfo, Snapshot

IDLE_S = 8.0
PARTITION_S = 30.0
REPORTS_S = 4.0
"""Reports per second: 490 instances that each begin an epoch every 120 s send as many."""
HEADER_BYTES = 8 + 52 + 52
"""Length prefix, IP and TCP headers of a small message, and headers of its acknowledgement."""


class SentTotals(NamedTuple):
    """Messages and bytes a group has sent so far, and the processor time of this process."""

    messages: int
    bytes: int
    processor_s: float


class GroupCost(NamedTuple):
    """The mean cost of one instance in a group, and the seconds a change takes to reach all."""

    instances: int
    messages_s: float
    bytes_s: float
    processor_ms_s: float
    change_messages: float
    change_bytes: float
    change_processor_ms: float
    change_received_s: float
    change_known_s: float


def _snapshot(version: int) -> Snapshot:
    objects = {
        f"workspace/{index}": {"template": "stays", "version": version if index < 3 else 0}
        for index in range(200)
    }
    return Snapshot(ChangeInfo(version, f"c{version}", "bench", 0.0, ""), objects)


def _is_known_by_all(group: MemberGroup, version: int) -> bool:
    return all(
        member.config_version == version
        for instance in group.instances.values()
        for member in instance.membership.members()
    )


def _read_totals(group: MemberGroup) -> SentTotals:
    sent = [
        kind
        for instance in group.instances.values()
        for kind in instance.peers.counts.sent.values()
    ]
    return SentTotals(
        sum(traffic.messages for traffic in sent),
        sum(traffic.bytes for traffic in sent),
        time.process_time(),
    )


def measure_group(count: int) -> GroupCost:
    """Measure a group in memory that joins, idles and receives one configuration change."""
    costs: list[GroupCost] = []

    async def scenario(group: MemberGroup) -> None:
        for number in range(1, count + 1):
            group.start(f"127.0.{number // 250}.{number % 250 + 1}")
        await group.wait_until(lambda: group.all_see_all("live"), within_s=120)
        first = next(iter(group.instances.values()))
        first.offer(_snapshot(1))
        await group.wait_until(lambda: _is_known_by_all(group, 1), within_s=120)
        await trio.sleep(5)

        before = _read_totals(group)
        await trio.sleep(IDLE_S)
        idle = _read_totals(group)
        first.offer(_snapshot(2))
        changed_at = trio.current_time()
        received_s = await group.wait_until(
            lambda: all(instance.versions[-1] == 2 for instance in group.instances.values())
        )
        await group.wait_until(lambda: _is_known_by_all(group, 2), within_s=120)
        known_s = trio.current_time() - changed_at
        await trio.sleep(max(0.0, IDLE_S - known_s))
        after = _read_totals(group)
        seconds = trio.current_time() - changed_at
        rates = [(idle[i] - before[i]) / IDLE_S / count for i in range(3)]
        extra = [(after[i] - idle[i]) / count - rates[i] * seconds for i in range(3)]
        costs.append(
            GroupCost(
                count,
                rates[0],
                rates[1],
                rates[2] * 1000,
                extra[0],
                extra[1],
                extra[2] * 1000,
                received_s,
                known_s,
            )
        )

    run_group(scenario)
    return costs[0]


def measure_partition(count: int) -> str:
    """Measure the bytes each instance sends while a third is partitioned off, and on healing."""
    lines: list[str] = []

    async def scenario(group: MemberGroup) -> None:
        await group.start_all(count)
        addresses = list(group.instances)
        group.network.cut_apart(addresses[: count // 3], addresses[count // 3 :])
        await trio.sleep(PARTITION_S)
        began_at, before = trio.current_time(), _read_totals(group)
        await trio.sleep(IDLE_S * 4)
        partition_bytes_s = (
            (_read_totals(group).bytes - before.bytes) / (trio.current_time() - began_at) / count
        )
        healed_at, before = trio.current_time(), _read_totals(group)
        group.network.heal()
        await group.wait_until(lambda: group.all_see_all("live"), within_s=120)
        healed_s = trio.current_time() - healed_at
        healing = (_read_totals(group).bytes - before.bytes) / count
        lines.append(
            f"a third of {count} instances partitioned: {partition_bytes_s:.0f} bytes/s sent each;"
            f" after healing all live in {healed_s:.1f} s, {healing:.0f} bytes sent each"
        )

    run_group(scenario)
    return lines[0]


def measure_reports(count: int) -> str:
    """Measure what each member sends for one load report (epoch and load) of one instance."""
    lines: list[str] = []

    async def scenario(group: MemberGroup) -> None:
        await group.start_all(count)
        await trio.sleep(PARTITION_S)
        before = _read_totals(group)
        await trio.sleep(IDLE_S)
        idle = _read_totals(group)
        instances = list(group.instances.values())
        for number in range(int(IDLE_S * REPORTS_S)):
            instances[number % count].membership.publish(epoch=2 + number // count)
            await trio.sleep(1 / REPORTS_S)
        after = _read_totals(group)
        cost = (after.bytes - 2 * idle.bytes + before.bytes) / count
        messages = (after.messages - 2 * idle.messages + before.messages) / count
        reports = int(IDLE_S * REPORTS_S)
        lines.append(
            f"load report (epoch, load) of one of {count} instances, {REPORTS_S:.0f} per second:"
            f" {cost / reports:.0f} bytes in {messages / reports:.2f} messages "
            f"sent by each instance"
        )

    run_group(scenario)
    return lines[0]


def format_group_table(rows: list[GroupCost]) -> list[str]:
    lines = [
        "          | idle, sent per instance and s   |  one change, sent per instance     | s"
        " until",
        "instances messages   bytes on wire* cpu ms   messages    bytes on wire* cpu ms   recv"
        " known",
    ]
    for row in rows:
        wire = row.bytes_s + row.messages_s * HEADER_BYTES
        change_wire = row.change_bytes + row.change_messages * HEADER_BYTES
        lines.append(
            f"{row.instances:9d} {row.messages_s:8.2f} {row.bytes_s:7.0f} {wire:8.0f}"
            f" {row.processor_ms_s:6.2f} {row.change_messages:10.1f} {row.change_bytes:8.0f}"
            f" {change_wire:8.0f} {row.change_processor_ms:6.1f}"
            f" {row.change_received_s:6.2f} {row.change_known_s:5.2f}"
        )
    lines.append(f"* estimated: {HEADER_BYTES} bytes of headers and acknowledgement per message")
    return lines

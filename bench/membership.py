"""Measures the cost of membership per instance, and propagation times, by number of instances.

Real processes run on loopback with links, membership and configuration, but without requests. The
bound is a ratio within the run: the bytes an instance sends must not grow with the number of
instances.
"""

import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from bench.member_group import ProcessGroup

MAX_GROWTH_9_TO_30 = 1.5
CHANGES = 4
CHANGE_INTERVAL_S = 1.5
SETTLE_DELAY_S = 3.0
SHORT_RUN_SETTINGS = {"reply_timeout_s": 2.0}
"""The short run shares its machine, so instances may answer slowly; suspicions of live instances
would add traffic that does not depend on the number of instances."""
HEADER_BYTES = 8 + 52 + 52
"""Length prefix, IP and TCP headers of a small message, and headers of its acknowledgement."""


class Cost(NamedTuple):
    """The mean cost of one instance: rates per second, memory, threads and links."""

    instances: int
    seconds: float
    messages_s: float
    bytes_s: float
    core_fraction: float
    rss_mb: float
    threads: int
    links: float
    by_kind: dict[str, float]


class Change(NamedTuple):
    """The cost of one configuration change per instance."""

    messages: float
    bytes: float
    processor_ms: float


class Spread(NamedTuple):
    """Seconds until all instances know of a change, a departure or a death."""

    config_received_s: float
    config_reported_s: float
    leave_s: float
    death_s: float


class Figures(NamedTuple):
    """All results for one group."""

    idle: Cost
    change: Change
    spread: Spread


def _sum_sent(report: dict[str, Any], index: int) -> int:
    return sum(int(traffic[index]) for traffic in report["sent"].values())


def _bytes_of(kind: str) -> Callable[[dict[str, Any]], float]:
    return lambda report: float(report["sent"].get(kind, [0, 0])[1])


def _measure_cost(group: ProcessGroup, work: Callable[[], None]) -> Cost:
    """Measure the cost of the instances while ``work`` runs."""
    before = group.reports()
    work()
    after = group.reports()
    count = len(before)
    seconds = sum(after[address]["at"] - before[address]["at"] for address in before)

    def rate(reading: Callable[[dict[str, Any]], float]) -> float:
        return float(
            sum(reading(after[address]) - reading(before[address]) for address in before) / seconds
        )

    kinds = {kind for report in after.values() for kind in report["sent"]}
    return Cost(
        instances=count,
        seconds=seconds / count,
        messages_s=rate(lambda report: _sum_sent(report, 0)),
        bytes_s=rate(lambda report: _sum_sent(report, 1)),
        core_fraction=rate(lambda report: float(report["processor_s"])),
        rss_mb=max(report["rss_kb"] for report in after.values()) / 1024,
        threads=max(report["threads"] for report in after.values()),
        links=sum(report["links"] for report in after.values()) / count,
        by_kind={kind: rate(_bytes_of(kind)) for kind in sorted(kinds)},
    )


def _change_config(group: ProcessGroup) -> None:
    for version in range(2, 2 + CHANGES):
        group.command(group.addresses[version % len(group.addresses)], f"offer {version}")
        time.sleep(CHANGE_INTERVAL_S)


def _cost_of_change(idle: Cost, busy: Cost) -> Change:
    """Return the cost of one configuration change per instance beyond the idle cost."""

    def extra(busy_rate: float, idle_rate: float) -> float:
        return (busy_rate - idle_rate) * busy.seconds / CHANGES

    return Change(
        messages=extra(busy.messages_s, idle.messages_s),
        bytes=extra(busy.bytes_s, idle.bytes_s),
        processor_ms=extra(busy.core_fraction, idle.core_fraction) * 1000,
    )


def _measure_spread(group: ProcessGroup) -> Spread:
    publisher, leaver, victim = group.addresses[0], group.addresses[1], group.addresses[2]
    time.sleep(1)
    newest = 2 + CHANGES
    started_at = time.monotonic()
    group.command(publisher, f"offer {newest}")
    reported_at = group.wait_until_seen(f"all enforce {newest}")
    has_at = group.wait_until_seen(f"has {newest}")
    left_at = time.monotonic()
    group.command(leaver, "leave")
    leave_s = group.wait_until_seen(f"{leaver} leaving") - left_at
    died_at = time.monotonic()
    group.kill(victim)
    death_s = group.wait_until_seen(f"{victim} dead") - died_at
    return Spread(has_at - started_at, reported_at - started_at, leave_s, death_s)


def _measure(count: int, *, window_s: float, settings: dict[str, Any]) -> Figures:
    with ProcessGroup(count=count, settings=settings) as group:
        group.wait_until_all_live()
        group.command(group.addresses[0], "offer 1")
        group.wait_until_seen("all enforce 1")
        time.sleep(SETTLE_DELAY_S)
        idle = _measure_cost(group, lambda: time.sleep(window_s))
        busy = _measure_cost(group, lambda: _change_config(group))
        return Figures(idle, _cost_of_change(idle, busy), _measure_spread(group))


def _format_row(figures: Figures) -> str:
    idle, change, spread = figures
    wire_bytes_s = idle.bytes_s + idle.messages_s * HEADER_BYTES
    return (
        f"{idle.instances:9d} {idle.messages_s:7.1f} {idle.bytes_s:8.0f} {wire_bytes_s:8.0f}"
        f" {idle.core_fraction:7.2%} {idle.rss_mb:5.1f} {idle.threads:4d} {idle.links:5.1f}"
        f" {change.messages:8.1f} {change.bytes:8.0f} {change.processor_ms:7.1f}"
        f" {spread.config_received_s:6.2f} {spread.config_reported_s:6.2f}"
        f" {spread.leave_s:6.2f} {spread.death_s:6.2f}"
    )


def measure_all(
    counts: tuple[int, ...], *, window_s: float, settings: dict[str, Any] | None = None
) -> tuple[dict[int, Figures], list[str]]:
    """Measure groups of several sizes; return the results by size and the table lines."""
    lines = [
        "          |          idle, per instance                 |   change, per inst.   |"
        " s until all know",
        "instances  sent/s  bytes/s on wire*   core    MB thr links"
        " messages    bytes    ms     has    told  leave  death",
    ]
    all_figures = {}
    for count in counts:
        all_figures[count] = _measure(count, window_s=window_s, settings=settings or {})
        lines.append(_format_row(all_figures[count]))
    lines.append(f"* estimated: {HEADER_BYTES} bytes of headers and acknowledgement per message")
    for count, figures in all_figures.items():
        kinds = figures.idle.by_kind.items()
        text = ", ".join(f"{kind} {size:.0f}" for kind, size in kinds if size >= 1)
        lines.append(f"idle bytes/s by kind at {count}: {text}")
    return all_figures, lines


def run(short: bool) -> list[str]:
    """Measure groups of several sizes; return the table lines.

    Raises:
        AssertionError: The bytes sent by an idle instance grow with the number of instances.
    """
    if short:
        figures, lines = measure_all((9, 30), window_s=5.0, settings=SHORT_RUN_SETTINGS)
    else:
        figures, lines = measure_all((3, 9, 30, 60), window_s=20.0)
    growth = figures[30].idle.bytes_s / figures[9].idle.bytes_s
    lines.append(f"growth of bytes/s from 9 to 30: {growth:.2f}, at most {MAX_GROWTH_9_TO_30}")
    assert growth <= MAX_GROWTH_9_TO_30, lines[-1]
    return lines


if __name__ == "__main__":
    print("\n".join(run(short="short" in sys.argv)))

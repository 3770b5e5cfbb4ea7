"""What one instance needs at the later size: memory by client blocks, messages by members.

Two slopes, each measured by a module of its own: ``capacity_instance`` and ``capacity_group``.
"""

import sys

from bench.capacity_group import group_lines, measure_cut, measure_group, measure_reports
from bench.capacity_instance import (
    measure_instance,
    measure_memory,
    measure_replacement,
    memory_lines,
)

BLOCKS_SHORT = (0, 20_000)
BLOCKS_FULL = (0, 44_000, 110_000, 440_000)
REGIONS_SHORT, REGIONS_FULL = 4, 51
MEMBERS_SHORT = (9, 30)
MEMBERS_FULL = (9, 60, 120, 245, 490)
CUT_MEMBERS_SHORT, CUT_MEMBERS_FULL = 24, 120
MOST_GROWTH_OF_IDLE = 1.5
MOST_WAIT_AGAINST_CHANGE = 0.5
MOST_PEAK_AGAINST_RESIDENT = 1.5
_KB = 1024


def run(short: bool) -> list[str]:
    """Measure both slopes.

    Raises:
        AssertionError: A bound given as a ratio within this run is broken.
    """
    sizes, regions = (BLOCKS_SHORT, REGIONS_SHORT) if short else (BLOCKS_FULL, REGIONS_FULL)
    memory = measure_memory(sizes, regions=regions)
    lines = measure_instance(2.0 if short else 60.0, 300 if short else 5_000)
    lines.append(measure_replacement(sizes[-1], regions=REGIONS_FULL))
    lines.append(measure_reports(CUT_MEMBERS_SHORT if short else CUT_MEMBERS_FULL))
    lines.append(measure_cut(CUT_MEMBERS_SHORT if short else CUT_MEMBERS_FULL))
    groups = [measure_group(count) for count in (MEMBERS_SHORT if short else MEMBERS_FULL)]
    lines += memory_lines(memory) + group_lines(groups)
    slope = (memory[-1].start_rss_kb - memory[0].start_rss_kb) * _KB / memory[-1].blocks
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

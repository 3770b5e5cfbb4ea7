"""Measures how an instance's memory grows with client blocks, and its messages with members.

``capacity_instance`` measures one instance, ``capacity_group`` a group of instances.
"""

import sys

from bench.capacity_group import (
    format_group_table,
    measure_group,
    measure_partition,
    measure_reports,
)
from bench.capacity_instance import (
    format_memory_table,
    measure_instance,
    measure_memory,
    measure_replacement,
)

BLOCKS_SHORT = (0, 20_000)
BLOCKS_FULL = (0, 44_000, 110_000, 440_000)
REGIONS_SHORT, REGIONS_FULL = 4, 51
MEMBERS_SHORT = (9, 30)
MEMBERS_FULL = (9, 60, 120, 245, 490)
PARTITION_MEMBERS_SHORT, PARTITION_MEMBERS_FULL = 24, 120
MAX_IDLE_TRAFFIC_GROWTH = 1.5
MAX_WAIT_TO_CHANGE_RATIO = 0.5
MAX_PEAK_TO_RESIDENT_RATIO = 1.5
_BYTES_PER_KB = 1024


def run(short: bool) -> list[str]:
    """Measure memory by client blocks, and messages by members.

    Raises:
        AssertionError: A bound, which is a ratio within this run, is exceeded.
    """
    sizes, regions = (BLOCKS_SHORT, REGIONS_SHORT) if short else (BLOCKS_FULL, REGIONS_FULL)
    memory = measure_memory(sizes, regions=regions)
    lines = measure_instance(2.0 if short else 60.0, 300 if short else 5_000)
    lines.append(measure_replacement(sizes[-1], regions=REGIONS_FULL))
    lines.append(measure_reports(PARTITION_MEMBERS_SHORT if short else PARTITION_MEMBERS_FULL))
    lines.append(measure_partition(PARTITION_MEMBERS_SHORT if short else PARTITION_MEMBERS_FULL))
    groups = [measure_group(count) for count in (MEMBERS_SHORT if short else MEMBERS_FULL)]
    lines += format_memory_table(memory) + format_group_table(groups)
    slope = (memory[-1].start_rss_kb - memory[0].start_rss_kb) * _BYTES_PER_KB / memory[-1].blocks
    lines.append(f"resident bytes per client block: {slope:.0f}")
    growth = groups[-1].bytes_s / groups[0].bytes_s
    lines.append(
        f"growth of idle bytes/s from the smallest to the largest group: "
        f"{growth:.2f}, at most {MAX_IDLE_TRAFFIC_GROWTH}"
    )
    assert growth <= MAX_IDLE_TRAFFIC_GROWTH, lines[-1]
    wait = memory[-1].max_wait_s / memory[-1].change_s
    lines.append(
        f"ratio of the longest wait of a status request to the time of the change: "
        f"{wait:.2f}, at most {MAX_WAIT_TO_CHANGE_RATIO}"
    )
    assert wait <= MAX_WAIT_TO_CHANGE_RATIO, lines[-1]
    peak = memory[-1].peak_kb / memory[-1].rss_kb
    lines.append(
        f"ratio of peak to resident memory: {peak:.2f}, at most {MAX_PEAK_TO_RESIDENT_RATIO}"
    )
    assert peak <= MAX_PEAK_TO_RESIDENT_RATIO, lines[-1]
    return lines


if __name__ == "__main__":
    print("\n".join(run(short="short" in sys.argv)))

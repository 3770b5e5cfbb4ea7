"""An entry of another writer with a whole number of 128 bits, in the store."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.case import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    run_case,
    start_instances,
    start_workers,
)
from common.client import Client, Result  # noqa: E402
from common.deployment import Deployment, config, route  # noqa: E402
from common.record import Record  # noqa: E402

NUMBER = 0x6B8B4567327B23C6643C986966334873
"""A random id of 128 bits, as other software gives its records."""

INSTANCE_ZONES = ["dub-a", "dub-b"] * 4
"""One region with eight instances, as in the larger deployments, of which two watch the store."""

BEATS = 8
BEAT_INTERVAL_S = 1.5
"""The other writer writes its entry as often as the workers write theirs."""

CLIENTS = 80
MAX_CUT = 3
OBSERVED_S = 15.0


async def main() -> int:
    """Play the case; return its exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(record=record, zones=INSTANCE_ZONES)
    routes = [
        route("r-order", "/order/", "non_idempotent", "desk", TargetLatencyS=1.0),
        route("r-look", "/look/", "idempotent", "desk", TargetLatencyS=1.0),
    ]
    deployment.store.write_json("config", "main", config(7, routes))
    workers = await start_workers(
        deployment, record, ["dub-a", "dub-b"] * 16, service="desk", work_s=0.3
    )
    try:
        await start_instances(deployment)
        until = time.monotonic() + 5.0 + OBSERVED_S
        clients = [
            Client(deployment=deployment, record=record, zone=INSTANCE_ZONES[number % 2])
            for number in range(CLIENTS)
        ]
        tasks = [
            asyncio.create_task(
                client.run(
                    *(("POST", "/order/") if number % 2 else ("GET", "/look/")),
                    until=until,
                    gap_s=0.1,
                )
            )
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(5.0)
        for beat in range(BEATS if TROUBLE else 0):
            entry = {"Service": "other", "Id": NUMBER, "Beat": beat}
            revision = deployment.store.write_json("servers", "i-another-writer", entry)
            record.add("entry-of-another-writer", revision=revision, value=entry)
            await asyncio.sleep(BEAT_INTERVAL_S)
        await asyncio.gather(*tasks)
        ran = {run.attempt for worker in workers for run in worker.runs}
        return judge(deployment, clients, ran, record)
    finally:
        await deployment.stop()


def judge(deployment: Deployment, clients: list[Client], ran: set[str], record: Record) -> int:
    """Check the rule by what clients and workers have seen."""
    results = [result for client in clients for result in client.results]
    lost: dict[str, list[Result]] = {each.address: [] for each in deployment.instances}
    for result in results:
        if result.cut and result.kept and result.attempt in ran:
            lost[result.instance].append(result)
    counts = {each.name: len(lost[each.address]) for each in deployment.instances}
    ends = {each.name: len(each.ends) for each in deployment.instances}
    record.add("lost", **counts)
    record.add("ends", **ends)
    print(
        f"sent {len(results)}; passed on from a kept connection, which was then closed without an"
        f" answer: {counts}; processes ended by themselves: {ends}"
    )
    return BROKEN if sum(counts.values()) > MAX_CUT else HELD


run_case(main)

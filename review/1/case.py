"""An entry of another writer whose field `Service` is a deeply nested array, in the store."""

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
from common.client import Client  # noqa: E402
from common.deployment import ZONES, Deployment, config, route  # noqa: E402
from common.record import Record  # noqa: E402

NESTED = 5_000
OBSERVED_S = 20.0
MAX_ENDS = 3
MIN_INSTANCES = 2


async def main() -> int:
    """Play the case; return its exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(record=record, zones=list(ZONES))
    routes = [
        route("r-order", "/order/", "non_idempotent", "desk"),
        route("r-look", "/look/", "idempotent", "desk"),
    ]
    deployment.store.write_json("config", "main", config(7, routes))
    await start_workers(deployment, record, [*ZONES, *ZONES], service="desk", work_s=0.1)
    try:
        await start_instances(deployment)
        until = time.monotonic() + 3.0 + OBSERVED_S
        clients = [
            Client(deployment=deployment, record=record, zone=zone) for zone in [*ZONES, *ZONES]
        ]
        tasks = [
            asyncio.create_task(client.run(*request, until=until, gap_s=0.1))
            for client, request in zip(
                clients, [("GET", "/look/"), ("POST", "/order/")] * 6, strict=True
            )
        ]
        await asyncio.sleep(3.0)
        if TROUBLE:
            value = b'{"Service":' + b"[" * NESTED + b"]" * NESTED + b"}"
            revision = deployment.store.write("servers", "i-another-writer", value)
            record.add("entry-of-another-writer", revision=revision, bytes=len(value))
        await asyncio.gather(*tasks)
        return judge(deployment, clients, record)
    finally:
        await deployment.stop()


def judge(deployment: Deployment, clients: list[Client], record: Record) -> int:
    """Check the rule by what clients and workers have seen."""
    ends = {each.name: len(each.ends) for each in deployment.instances}
    results = [result for client in clients for result in client.results]
    served = sum(result.status == 200 for result in results)
    cut = sum(result.cut for result in results)
    record.add("summary", sent=len(results), served=served, cut=cut, **ends)
    print(f"processes ended by themselves: {ends}; sent {len(results)}, served {served}, cut {cut}")
    often = [name for name, count in ends.items() if count >= MAX_ENDS]
    return BROKEN if len(often) >= MIN_INSTANCES else HELD


run_case(main)

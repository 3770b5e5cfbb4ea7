"""A config takes away the only tenant, and with it all keys."""

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

KEY = "3fgfwrz56aw63is47qdq"
NEVER_HELD = "iqrh4jcda9rgy35ieisp"
REVOKE_S = 5.0
OBSERVED_S = 12.0


async def main() -> int:
    """Play the case; return its exit code."""
    record = Record(HERE / "record.txt")
    bounds: dict[str, object] = {"RevokeStrict": True, "RevokeS": REVOKE_S}
    deployment = Deployment(
        record=record, zones=list(ZONES), bounds=bounds, contracts=("tenants", "quota")
    )
    routes = [
        route("r-order", "/order/", "non_idempotent", "desk", Public=False),
        route("r-look", "/look/", "idempotent", "desk", Public=False),
    ]
    tenant = {"Name": "huka270", "ApiKeys": [KEY], "Priority": 1, "HomeRegions": []}
    deployment.store.write_json("config", "main", config(7, routes, Tenants=[tenant]))
    workers = await start_workers(deployment, record, [*ZONES, *ZONES], service="desk", work_s=0.02)
    try:
        await start_instances(deployment)
        until = time.monotonic() + 3.0 + REVOKE_S + OBSERVED_S
        holders, strangers = (
            [
                Client(
                    deployment=deployment,
                    record=record,
                    zone=zone,
                    headers={"Authorization": f"Bearer {key}"},
                )
                for zone in ZONES
            ]
            for key in (KEY, NEVER_HELD)
        )
        tasks = [
            asyncio.create_task(client.run("POST", "/order/", until=until, gap_s=0.2))
            for client in [*holders, *strangers]
        ]
        await asyncio.sleep(3.0)
        revoked_at = float("inf")
        if TROUBLE:
            deployment.store.write_json("config", "main", config(8, routes, Tenants=[]))
            revoked_at = time.monotonic()
            record.add("config", version=8, tenants=0)
        await asyncio.gather(*tasks)
        ran = {run.attempt for worker in workers for run in worker.runs}
        late = [
            result
            for client in holders
            for result in client.results
            if result.attempt in ran and result.sent_at > revoked_at + REVOKE_S
        ]
        foreign = [r for client in strangers for r in client.results if r.attempt in ran]
        passed_on = sum(run.key_passed_on for worker in workers for run in worker.runs)
        record.add("summary", ran_with_revoked_key=len(late), ran_with_unknown_key=len(foreign))
        print(
            f"requests that ran though their key was taken away over {REVOKE_S} s before:"
            f" {len(late)}; with a key that no config ever held: {len(foreign)};"
            f" runs to which a key was passed on: {passed_on}"
        )
        return BROKEN if late or foreign else HELD
    finally:
        await deployment.stop()


run_case(main)

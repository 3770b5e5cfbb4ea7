"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence

from common.deployment import Deployment
from common.record import Record
from common.worker import Worker

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be brought to the state that it needs."""


def run_case(main: Callable[[], Awaitable[int]]) -> None:
    """Run ``main`` with a time limit and exit with its code."""

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await main()

    try:
        code = asyncio.run(limited())
    except BaseException:
        traceback.print_exc()
        code = NOT_RUN
    sys.stdout.flush()
    sys.exit(code)


async def start_workers(
    deployment: Deployment, record: Record, zones: Sequence[str], **options: object
) -> list[Worker]:
    """Start one worker for each item of ``zones``, and write their entries."""
    workers = []
    for number, zone in enumerate(zones):
        address = deployment.addresses.next()
        worker = Worker(
            store=deployment.store,
            record=record,
            worker_id=f"i-{number:08x}",
            address=address,
            port=deployment.addresses.port(address),
            zone=zone,
            **options,  # type: ignore[arg-type]
        )
        await worker.start()
        workers.append(worker)
    return workers


async def start_instances(deployment: Deployment, settle_s: float = 6.0) -> None:
    """Start all instances, and wait until they are ready and then until they are in touch."""
    await deployment.start()
    if not await deployment.wait_ready():
        raise CannotRun("the instances were not ready in time")
    await asyncio.sleep(settle_s)

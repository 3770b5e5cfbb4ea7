"""Instances that are stopped while callers who stay with them ask for long work."""

import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import trio

from tests.common.node_settings_file import unsplit_config_document
from tests.common.partition import Partition
from tests.common.partitioned_servers import SLOTS, PartitionedServers
from tests.common.staying_callers import CallerHabits, Exchange, StayingCallers
from tests.common.steering_group import (
    Instance,
    all_return_status,
    steering_group,
    wait_until,
)
from tests.common.users_store import UsersStore

FAILURE_DOMAINS = ("a-1", "a-2", "b-1")
SERVERS = 16
CALLERS = 45
GRACE_S = 6.0
ROUTE_TIMEOUT_S = 4.0
START_LIMIT_S = 20.0
WARM_UP_S = 6.0
EXCUSED_SENT_S = 3.0
EXCUSED_WORK_FRACTION = 5 / 6
"""The users' excuse: a request sent no later than ``EXCUSED_SENT_S`` after SIGTERM whose backend
server was still at work in the last sixth of the grace period."""

TIMEOUT_SLACK_S = 0.1


class Stop(NamedTuple):
    """A planned stop of an instance.

    Attributes:
        instance: The instance.
        signalled_s: When the signal was sent, by trio's clock.
        killed: Whether the process was killed at the end of the grace period.
        exit_code: Its exit code.
        lasted_s: The time from the signal until the process had ended, in seconds.
        log: What the process logged until its end.
    """

    instance: Instance
    signalled_s: float
    killed: bool
    exit_code: int
    lasted_s: float
    log: str

    def log_lines(self, request_id: str) -> list[str]:
        """Return what the process logged of a request."""
        return [line for line in self.log.splitlines() if f" id={request_id} " in line]


class StopGroup:
    """A running group.

    Attributes:
        store: The store that all instances use.
        instances: The instances.
        servers: The backend servers.
        partition: Cuts instances off from the backend servers.
        callers: The callers.
    """

    def __init__(
        self,
        *,
        store: UsersStore,
        instances: Sequence[Instance],
        servers: PartitionedServers,
        partition: Partition,
        callers: StayingCallers,
    ) -> None:
        self.store = store
        self.instances = instances
        self.servers = servers
        self.partition = partition
        self.callers = callers

    async def stop(self, instance: Instance, signalled_s: float | None = None) -> Stop:
        """Stop an instance as the platform does: SIGTERM, and SIGKILL after the grace period.

        Args:
            instance: The instance.
            signalled_s: When SIGTERM was sent, by trio's clock; None to send it now.
        """
        if signalled_s is None:
            signalled_s = trio.current_time()
            instance.process.terminate()
        killed = False
        while (code := instance.process.exit_code) is None:
            if not killed and trio.current_time() >= signalled_s + GRACE_S:
                killed = True
                instance.process._running.send_signal(signal.SIGKILL)
            await trio.sleep(0.01)
        lasted_s = trio.current_time() - signalled_s
        return Stop(instance, signalled_s, killed, code, lasted_s, instance.process.log)

    def lost(self, stop: Stop) -> list[Exchange]:
        """Return the requests that a stop has cut, as the users count them."""
        return [
            exchange
            for exchange in self.callers.exchanges
            if exchange.instance == stop.instance.address
            and exchange.sent_s >= stop.signalled_s - ROUTE_TIMEOUT_S
            and exchange.ended_s <= stop.signalled_s + GRACE_S + 1.0
            and exchange.ended_s >= stop.signalled_s
            and self._is_lost(exchange, stop)
        ]

    def _is_lost(self, exchange: Exchange, stop: Stop) -> bool:
        runs = self.servers.runs[exchange.request_id]
        if not runs or exchange.status in (200, 503):
            return False
        cancelled = [
            entry for entry in self.servers.cancelled if entry.request_id == exchange.request_id
        ]
        if exchange.status and not cancelled:
            # A complete answer in place of that of a backend server that has ended its work.
            return False
        if exchange.ended_s >= exchange.sent_s + ROUTE_TIMEOUT_S - TIMEOUT_SLACK_S:
            return False
        worked_until_s = max((entry.ended_s for entry in cancelled), default=stop.signalled_s)
        return not (
            exchange.sent_s <= stop.signalled_s + EXCUSED_SENT_S
            and worked_until_s >= stop.signalled_s + EXCUSED_WORK_FRACTION * GRACE_S
        )


@asynccontextmanager
async def stop_group(
    habits: CallerHabits,
    *,
    instances: int = 3,
    callers: int = CALLERS,
    servers: int = SERVERS,
    slots: int = SLOTS,
    object_bytes: int | None = None,
    keeps_deadlines: bool = False,
    warm_up_s: float = WARM_UP_S,
    contracts: Sequence[str] = (),
    seed: int = 1,
) -> AsyncIterator[StopGroup]:
    """Run a group of instances with their callers.

    Args:
        habits: What the callers ask for.
        instances: The number of instances.
        callers: The number of callers, in turn at each instance.
        servers: The number of backend servers.
        slots: How many requests each backend server runs at once.
        object_bytes: The size of an answer; None for the usual one.
        keeps_deadlines: Whether the backend servers stop their work at a request's deadline.
        warm_up_s: The time for which callers use the group before a test, in seconds.
        contracts: The contracts that the instances' settings list.
        seed: The seed of the callers and backend servers.
    """
    with TemporaryDirectory() as folder:
        partition = Partition(folder=Path(folder))
        store = UsersStore()
        store.put("config", "main", _config())
        backends = PartitionedServers(store=store, partition=partition, random=Random(seed))
        backends.slots = slots
        backends.keeps_deadlines = keeps_deadlines
        if object_bytes is not None:
            backends.object_bytes = object_bytes
        try:
            async with trio.open_nursery() as nursery, store.serve() as endpoint:
                for number in range(servers):
                    await nursery.start(
                        backends.run, FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
                    )
                async with steering_group(
                    endpoint,
                    instances,
                    failure_domains=FAILURE_DOMAINS,
                    contracts=contracts,
                    module="tests.common.positioned_instance",
                    environment=partition.environment,
                ) as running:
                    await _wait_ready(running)
                    staying = StayingCallers(
                        addresses=[instance.address for instance in running],
                        habits=habits,
                        random=Random(seed),
                    )
                    group = StopGroup(
                        store=store,
                        instances=running,
                        servers=backends,
                        partition=partition,
                        callers=staying,
                    )
                    async with trio.open_nursery() as calling:
                        calling.start_soon(_run_callers, staying, callers)
                        await trio.sleep(warm_up_s)
                        yield group
                        staying.stop()
                nursery.cancel_scope.cancel()
        finally:
            partition.close()


async def _run_callers(staying: StayingCallers, callers: int) -> None:
    await staying.run(callers=callers)


async def _wait_ready(instances: Sequence[Instance]) -> None:
    async def all_serve() -> bool:
        return await all_return_status(instances, 200)

    await wait_until(all_serve, START_LIMIT_S, "all instances serve")


def _config() -> dict[str, Any]:
    document = unsplit_config_document()
    (host,) = document["VirtualHosts"]
    for route in host["PathRoutes"]:
        route["TimeoutS"] = ROUTE_TIMEOUT_S
        route["TargetLatencyS"] = 1.2
        route["HomeRegions"] = []
    return document

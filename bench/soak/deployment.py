"""The store, backend servers and instances of a soak."""

import json
import math
from collections.abc import AsyncIterator, Collection, Sequence
from contextlib import asynccontextmanager
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, Final

import trio
from tests.common.fault_proxy import Address, FaultProxy
from tests.common.node_settings_file import (
    node_settings_document,
    server_document,
    unsplit_config_document,
)
from tests.common.partition import Form, Partition
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.sockets import loopback_address, reset_connection
from tests.common.users_store import UsersStore

from bench.soak.findings import Crash, CutPeriod, Findings, LimitPeriod, RestPeriod, Run, TurnedAway
from bench.soak.instance import Instance
from bench.soak.machine import SLOTS, Machine
from bench.soak.planned_stops import Period, Work, WorkEnd
from bench.soak.routes import LONG_SERVICE, SERVICE, make_routes
from bench.soak.schedule import MACHINES, WORKSPACES, Load
from bench.soak.workspaces import tenants
from wagtailpoint.node_settings import Endpoint

HOST: Final = "ficu95.example"
CALLER_PORT: Final = 8144
STORE_PORT: Final = 9100
FIRST_VERSION: Final = 1
REGION_OF: Final = {"a-1": "a", "a-2": "a", "b-1": "b"}
FAILURE_DOMAINS: Final = tuple(REGION_OF)
"""Instances and backend servers belong to these in turn."""

BACKEND_SERVERS: Final = 6
"""The least number of backend servers of a service; with more instances, one for each."""

LONG_CONCURRENCY: Final = 8

CRASH_DOWNTIME_S: Final = 1.3
"""The time after a crash until the backend server runs again."""

MIN_LIMIT_PER_S: Final = 1.0
MAX_LIMIT_PER_S: Final = 4.0
"""Bounds of the limits that backend servers state, some tenths of what callers send to each."""

MIN_REST_S: Final = 1.0
MAX_REST_S: Final = 4.0
"""Bounds of the rests that backend servers ask for."""

MAX_REWRITE_S: Final = 1.5
"""The greatest time after a return of the store until its writers write again."""

RESET_FRACTION: Final = 0.3
"""The fraction of requests whose connections are reset during a backend reset fault."""

HEALTH_PATH: Final = "/health"
CRASHING: Final = "/crashing-"
"""A request whose target contains this text crashes the backend server that runs it."""


class Deployment:
    """Runs the parts of a soak; writes to the store for the operator and backend servers."""

    def __init__(
        self,
        *,
        instances: int,
        findings: Findings,
        random: Random,
        folder: Path,
        loads: Collection[Load],
    ) -> None:
        """Initialise the deployment; ``serve`` starts it."""
        self.store = UsersStore()
        self.instances: list[Instance] = []
        self.version = FIRST_VERSION
        self._count = instances
        self._findings = findings
        self._random = random
        self._folder = folder
        self._server_numbers = count(1)
        self._addresses: dict[str, str] = {}
        self._domains: dict[str, str] = {}
        self._services: dict[str, str] = {}
        self._partition = Partition(folder=folder)
        self._active_resets = 0
        self._limits: dict[str, float] = {}
        self._resting: set[str] = set()
        self._loads = loads
        self._shared_machines: list[Machine] = []

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Run the store, the proxies, the backend servers and the instances."""
        async with trio.open_nursery() as nursery, self.store.serve() as store:
            self._write_config()
            for service in (SERVICE, LONG_SERVICE):
                for number in range(max(BACKEND_SERVERS, self._count)):
                    domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
                    await nursery.start(self._serve_backend, domain, service)
            addresses = [loopback_address() for _ in range(self._count)]
            for number, address in enumerate(addresses):
                proxy = FaultProxy(
                    listen=Address(address, STORE_PORT), target=Address(store.address, store.port)
                )
                await nursery.start(proxy.serve)
                file = self._write_settings(number, addresses)
                self.instances.append(
                    Instance(
                        number=number,
                        address=address,
                        file=file,
                        proxy=proxy,
                        environment=self._partition.environment(address),
                    )
                )
            try:
                for instance in self.instances:
                    instance.start()
                yield
            finally:
                for instance in self.instances:
                    instance.process.kill()
                self._partition.close()
                nursery.cancel_scope.cancel()

    @property
    def _names(self) -> list[str]:
        """The ids of the backend servers that may drain, state a limit or ask for rest."""
        return [
            name for name, address in self._addresses.items() if self._services[address] == SERVICE
        ]

    def save_logs(self, folder: Path) -> None:
        """Write the logs of all instances into a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for instance in self.instances:
            (folder / f"{instance.number}.log").write_text(instance.process.log)

    def change_config(self) -> None:
        """Write a configuration version that adds a route."""
        self.version += 1
        self._write_config()

    async def drain(self, duration_s: float) -> None:
        """Make a backend server drain, leave, and register again under another id."""
        active = [name for name in self._names if name not in self._findings.drained_s]
        if not active:
            return
        name = self._random.choice(active)
        address = self._addresses[name]
        self.store.put(
            "servers",
            name,
            self._server_document(address, State="draining"),
        )
        self._findings.drained_s[name] = trio.current_time()
        await trio.sleep(duration_s)
        # A request may have crashed the backend server meanwhile, which also removes its entry.
        if self._addresses.pop(name, None) is not None:
            self._delete_entry(name)
            self._register(address)

    async def state_limit(self, duration_s: float) -> None:
        """Make a backend server state in its answers how many requests a second it takes."""
        unlimited = [name for name in self._names if name not in self._limits]
        if not unlimited:
            return
        name = self._random.choice(unlimited)
        per_s = round(self._random.uniform(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S), 1)
        self._limits[name] = per_s
        started_s = trio.current_time()
        try:
            await trio.sleep(duration_s)
        finally:
            del self._limits[name]
            period = LimitPeriod(name, per_s, started_s, trio.current_time())
            self._findings.limit_periods.append(period)

    async def ask_for_rest(self, duration_s: float) -> None:
        """Make a backend server turn requests away and ask the instances for rest."""
        awake = [name for name in self._names if name not in self._resting]
        if not awake:
            return
        name = self._random.choice(awake)
        self._resting.add(name)
        await trio.sleep(duration_s)
        self._resting.discard(name)

    async def slow_machine(self, duration_s: float) -> None:
        """Make the machine of a backend server run slower."""
        await self._random.choice(self._shared_machines).slow_down(duration_s)

    async def return_store(self, away_s: float) -> None:
        """Make the store return to its copy; its writers then write again what it has lost."""
        await self.store.go_away_and_return(away_s)
        await trio.sleep(self._random.uniform(0.0, MAX_REWRITE_S))
        self._write_document()
        for name, address in list(self._addresses.items()):
            drains = name in self._findings.drained_s
            state = "draining" if drains else "ready"
            if (self.store.spec("servers", name) or {}).get("State") != state:
                self.store.put("servers", name, self._server_document(address, State=state))
        # The entries of servers that have ended expire.
        for name in self.store.names("servers"):
            if name not in self._addresses:
                self._delete_entry(name)

    def _delete_entry(self, name: str) -> None:
        if self.store.spec("servers", name) is not None:
            self.store.delete("servers", name)

    async def cut(
        self, instances: Sequence[int], form: Form, unreached: Sequence[int], duration_s: float
    ) -> None:
        """Cut instances off from all backend servers, and from connecting to some others."""
        cut = [self.instances[number].address for number in instances]
        peers = [self.instances[number].address for number in unreached]
        period = CutPeriod(tuple(instances), trio.current_time(), math.inf)
        self._findings.cut_periods.append(period)
        for address in cut:
            self._partition.cut_from_peers(address, peers)
        await self._partition.cut(cut, form)
        await trio.sleep(duration_s)
        self._partition.heal(cut)
        self._findings.cut_periods.remove(period)
        ended_s = trio.current_time()
        self._findings.cut_periods.append(period._replace(ended_s=ended_s))
        for number in instances:
            cuts = self._findings.stop_checks.cuts[number]
            cuts.append(Period(period.started_s, ended_s))

    async def reset_connections(self, duration_s: float) -> None:
        """Make the backend servers reset some connections instead of answering."""
        self._active_resets += 1
        await trio.sleep(duration_s)
        self._active_resets -= 1

    def _register(self, address: str) -> None:
        name = f"i-{next(self._server_numbers)}"
        self._addresses[name] = address
        self.store.put("servers", name, self._server_document(address))

    def _server_document(self, address: str, **changes: Any) -> dict[str, Any]:
        service = self._services[address]
        changes |= {"Service": service, "Zone": self._domains[address]}
        if service == LONG_SERVICE:
            changes["MaxConcurrency"] = LONG_CONCURRENCY
        elif MACHINES in self._loads:
            changes["MaxConcurrency"] = SLOTS
        return server_document(address, **changes)

    async def _serve_backend(
        self, failure_domain: str, service: str, *, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve a backend server, which restarts ``CRASH_DOWNTIME_S`` after each crash."""
        shared = service == SERVICE and MACHINES in self._loads
        machine = Machine(shared=shared, random=self._random)
        if shared:
            self._shared_machines.append(machine)
        while True:
            crashed = trio.Event()

            async def answer_all(stream: ScriptedStream, crashed: trio.Event = crashed) -> None:
                with self._partition.track(stream.stream):
                    await self._answer_all(stream, crashed, machine)

            async with scripted_server(answer_all) as address:
                self._domains[str(address)] = failure_domain
                self._services[str(address)] = service
                self._partition.add_server(address.address)
                self._register(str(address))
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                await crashed.wait()
            await trio.sleep(CRASH_DOWNTIME_S)
            self._unregister(str(address))

    def _unregister(self, address: str) -> None:
        for name in [name for name, used in self._addresses.items() if used == address]:
            del self._addresses[name]
            self._delete_entry(name)

    def _write_config(self) -> None:
        self._write_document()
        self._findings.confirmed_s[self.version] = trio.current_time()

    def _write_document(self) -> None:
        document = unsplit_config_document(f"{self.version:08x}")
        if WORKSPACES in self._loads:
            document["Tenants"] = tenants()
        (host,) = document["VirtualHosts"]
        versions = range(FIRST_VERSION, self.version + 1)
        host["PathRoutes"] = make_routes(*host["PathRoutes"], versions=versions)
        self.store.put("config", "main", document)

    def _write_settings(self, number: int, addresses: list[str]) -> Path:
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        document = node_settings_document(
            address=addresses[number],
            name=f"e-{number}",
            store=Endpoint(addresses[number], STORE_PORT),
            seeds=tuple(f"{seed}:8146" for seed in addresses[:3]),
        )
        document["Self"]["Zone"], document["Self"]["Region"] = domain, REGION_OF[domain]
        file = self._folder / f"{number}.json"
        file.write_text(json.dumps(document))
        return file

    async def _answer_all(
        self, stream: ScriptedStream, crashed: trio.Event, machine: Machine
    ) -> None:
        while request := await stream.request():
            head = request.partition(b"\r\n\r\n")[0].decode()
            line, *headers = head.split("\r\n")
            if line.split(" ")[1] == HEALTH_PATH:
                await stream.send(response(b"", *machine.load_headers))
                continue
            fields = dict(header.lower().split(": ", 1) for header in headers)
            request_id, server_id = fields["x-attempt-id"], fields["x-expect-instance"]
            if server_id not in self._addresses:
                await stream.send(response(b"", status="421 Misdirected Request"))
                continue
            if server_id in self._resting:
                sender = stream.stream.socket.getpeername()[0]
                await stream.send(self._turn_away(server_id, sender, request_id))
                continue
            if machine.is_full:
                headers = [f"X-Attempt-Id: {request_id}", "X-Not-Executed: full"]
                headers += machine.load_headers
                await stream.send(response(b"", *headers, status="503 Service Unavailable"))
                continue
            self._findings.runs.append(Run(request_id, server_id, trio.current_time()))
            target = line.split(" ")[1]
            async with machine.slots:
                if not await self._work(stream, request_id, server_id, target, crashed, machine):
                    return
            body = f"{request_id} {target}".encode()
            limit = self._limits.get(server_id)
            stated = machine.load_headers
            if limit is not None:
                stated.append(f"Server-Limit: {limit}")
            if server_id in self._findings.drained_s:
                stated.append("Server-Leaving: 1")
            await stream.send(response(body, f"X-Attempt-Id: {request_id}", *stated))

    async def _work(
        self,
        stream: ScriptedStream,
        request_id: str,
        server_id: str,
        target: str,
        crashed: trio.Event,
        machine: Machine,
    ) -> bool:
        """Work on a request; return whether it is to be answered."""
        end = WorkEnd.BROKE_OFF
        if stream.stream.socket.fileno() < 0:
            # A cut has closed the connection before the request was read from its buffer.
            return False
        try:
            with trio.move_on_after(machine.draw_service_s(target)):
                await trio.lowlevel.wait_readable(stream.stream.socket)
                end = WorkEnd.LEFT
                return False
            if CRASHING in target:
                crash = Crash(target, request_id, server_id, trio.current_time())
                self._findings.crashes.append(crash)
                crashed.set()
                return False
            if self._active_resets and self._random.random() < RESET_FRACTION:
                await reset_connection(stream.stream)
                return False
            end = WorkEnd.ANSWERED
            return True
        finally:
            work = Work(request_id, trio.current_time(), end)
            self._findings.stop_checks.works[request_id].append(work)

    def _turn_away(self, server_id: str, sender: str, request_id: str) -> bytes:
        """Turn a request away, and ask for rest unless the sender was asked before."""
        now = trio.current_time()
        instance = next(each.number for each in self.instances if each.address == sender)
        self._findings.turned_away.append(TurnedAway(server_id, instance, now))
        headers = [f"X-Attempt-Id: {request_id}", "X-Not-Executed: shed"]
        if not self._findings.rests(server_id, instance, now):
            rest_s = round(self._random.uniform(MIN_REST_S, MAX_REST_S), 1)
            self._findings.rest_periods.append(RestPeriod(server_id, instance, now, now + rest_s))
            headers.append(f"Retry-After: {rest_s}")
        return response(b"", *headers, status="503 Service Unavailable")

"""Several instances on the users' platform as real processes."""

import json
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import ExitStack, asynccontextmanager
from pathlib import Path

import trio

from tests.common.node_settings_file import node_settings_document
from tests.common.processes import ModuleProcess
from tests.common.sockets import loopback_address
from wagtailpoint.node_settings import Endpoint

HOST = "ficu95.example"
CALLER_PORT = 8144
LOOKUP_PORT = 8143


class Instance:
    """The process of an instance and its address."""

    def __init__(self, *, address: str, process: ModuleProcess, failure_domain: str) -> None:
        self.address = address
        self.process = process
        self.failure_domain = failure_domain

    @property
    def watches_store(self) -> bool:
        """Whether it watches the store itself, according to its last log line on that."""
        lines = [line for line in self.process.log.splitlines() if "event=watching " in line]
        return bool(lines) and "itself=True" in lines[-1]

    async def status_of(self, target: str) -> int:
        """Return the status of a request; 0 if the connection failed."""
        return (await send_get(self.address, CALLER_PORT, target, "X-Attempt-Id: a1"))[0]

    async def status_of_valid_request(self) -> int:
        """Return the status of a valid request."""
        return await self.status_of("/look/1")

    async def lookup_addresses(self) -> set[str]:
        """Return the addresses of the entries that its lookup answer contains."""
        target = f"/api/resolve?Name={HOST}&Region=a&Zone=a-1"
        _, body = await send_get(self.address, LOOKUP_PORT, target)
        return set(json.loads(body)["Addresses"]) if body.startswith(b"{") else set()


async def send_get(address: str, port: int, target: str, *headers: str) -> tuple[int, bytes]:
    """Send a GET; return status and body, with status 0 if the connection failed."""
    try:
        stream = await trio.open_tcp_stream(address, port)
    except OSError:
        return 0, b""
    async with stream:
        lines = [f"GET {target} HTTP/1.1", f"Host: {HOST}", "Connection: close", *headers]
        data = b""
        try:
            await stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n")
            async for part in stream:
                data += bytes(part)
        except trio.BrokenResourceError:
            return 0, b""
    if not data:
        return 0, b""
    return int(data.split(b" ")[1]), data.partition(b"\r\n\r\n")[2]


async def wait_until(condition: Callable[[], Awaitable[bool]], limit_s: float, what: str) -> None:
    """Wait until a condition holds.

    Raises:
        AssertionError: The condition does not hold within ``limit_s`` seconds.
    """
    with trio.move_on_after(limit_s):
        while not await condition():  # noqa: ASYNC110 - other processes decide it
            await trio.sleep(0.05)
        return
    raise AssertionError(f"not within {limit_s} s: {what}")


async def all_return_status(instances: Sequence[Instance], status: int) -> bool:
    """Return whether all instances answer a valid request with this status."""
    return all([await instance.status_of_valid_request() == status for instance in instances])


@asynccontextmanager
async def steering_group(
    store: Endpoint,
    count: int,
    *,
    failure_domains: Sequence[str] = ("a-1",),
    contracts: Sequence[str] = (),
    module: str = "wagtailpoint.daemon",
    environment: Callable[[str], Mapping[str, str]] = lambda address: {},
) -> AsyncIterator[list[Instance]]:
    """Run ``count`` instances without waiting until they serve.

    Args:
        store: The store.
        count: The number of instances.
        failure_domains: Their failure domains, in turn.
        contracts: The contracts that their settings list.
        module: The module that runs an instance.
        environment: Returns variables for the process of the instance with an address.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        addresses = [loopback_address() for _ in range(count)]
        seeds = tuple(f"{address}:8146" for address in addresses[:3])
        instances = []
        for number, address in enumerate(addresses):
            failure_domain = failure_domains[number % len(failure_domains)]
            file = folder / f"{number}.json"
            document = node_settings_document(
                address=address, name=f"e-{number}", store=store, seeds=seeds
            )
            document["Self"]["Zone"] = failure_domain
            document["Self"]["Region"] = document["Network"]["Zones"][failure_domain]
            if contracts:
                document["Terms"]["Contracts"] = list(contracts)
            file.write_text(json.dumps(document))
            variables = {"WAGTAILPOINT_NODE_FILE": str(file), **environment(address)}
            process = ModuleProcess(module=module, environment=variables)
            stack.enter_context(process)
            instances.append(
                Instance(address=address, process=process, failure_domain=failure_domain)
            )
        yield instances

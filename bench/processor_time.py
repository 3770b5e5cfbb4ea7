"""Measures the processor time of an instance on the platform's store, by what it does.

    PYTHONPATH=src:. python -m bench.processor_time

One real process with 130 backend servers and 87 workspaces is measured at its start, for served
requests, requests over the allowance, lookups and changes of a backend server's registration.
"""

import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Final

import trio
from tests.common.node_settings_file import server_document, unsplit_config_document
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.steering_group import CALLER_PORT, HOST, LOOKUP_PORT, Instance, steering_group
from tests.common.users_store import UsersStore

SERVERS: Final = 130
WORKSPACES: Final = 87
REQUESTS: Final = 400
CHANGES: Final = 100
_READY_TIMEOUT_S: Final = 60.0


def _used_ms(instance: Instance) -> float:
    fields = Path(f"/proc/{instance.process.pid}/schedstat").read_text().split()
    return int(fields[0]) / 1e6


async def _backend(stream: ScriptedStream) -> None:
    while request := await stream.request():
        lines = request.decode().split("\r\n")
        own_id = next(line for line in lines if line.lower().startswith("x-attempt-id:"))
        await stream.send(response(b"ok", own_id))


def _config() -> dict[str, object]:
    tenants = [
        {
            "Name": f"workspace-{number}",
            "ApiKeys": [f"key-{number}"],
            "HomeRegions": [],
            "RatePerS": 0.01 if number == 0 else 100000.0,
            "Burst": 1 if number == 0 else 100000.0,
        }
        for number in range(WORKSPACES)
    ]
    return unsplit_config_document(Tenants=tenants)


async def _send(instance: Instance, port: int, target: str, *headers: str) -> int:
    """Send a request on a connection of its own, as a new caller does; return the status."""
    lines = [f"GET {target} HTTP/1.1", f"Host: {HOST}", "X-Attempt-Id: a1", *headers]
    async with await trio.open_tcp_stream(instance.address, port) as stream:
        await stream.send_all("\r\n".join([*lines, "Connection: close"]).encode() + b"\r\n\r\n")
        data = b"".join([bytes(part) async for part in stream])
    return int(data.split(b" ")[1])


async def _measure(instance: Instance, count: int, action: Callable[[int], Awaitable[None]]) -> str:
    """Return the processor time of an action, less what the idle process uses meanwhile."""
    before, began_at = _used_ms(instance), time.monotonic()
    await trio.sleep(3.0)
    idle_ms_per_s = (_used_ms(instance) - before) / (time.monotonic() - began_at)
    before, began_at = _used_ms(instance), time.monotonic()
    for number in range(count):
        await action(number)
    await trio.sleep(0.3)
    elapsed_s = time.monotonic() - began_at
    used_ms = _used_ms(instance) - before - idle_ms_per_s * elapsed_s
    return f"{used_ms / count:.2f} ms (idle {idle_ms_per_s:.1f} ms per s)"


async def _run() -> None:
    store = UsersStore()
    async with AsyncExitStack() as stack:
        endpoint = await stack.enter_async_context(store.serve())
        server = await stack.enter_async_context(scripted_server(_backend))
        store.put("config", "main", _config())
        for number in range(SERVERS):
            service = "vault" if number % 2 else "desk"
            store.put("servers", f"i-{number}", server_document(str(server), Service=service))
        (instance,) = await stack.enter_async_context(steering_group(endpoint, 1))
        with trio.fail_after(_READY_TIMEOUT_S):
            while "event=ready" not in instance.process.log:  # noqa: ASYNC110 - other process
                await trio.sleep(0.01)
        print(f"start until ready: {_used_ms(instance):.0f} ms")
        await trio.sleep(5.0)
        print(f"first 5 s after it, in all: {_used_ms(instance):.0f} ms")
        statuses: list[int] = []

        async def request(key: str) -> None:
            statuses.append(
                await _send(instance, CALLER_PORT, "/look/1", f"Authorization: Bearer {key}")
            )

        async def change(number: int) -> None:
            document = server_document(str(server), Service="vault", Sequence=number + 5)
            store.put("servers", "i-9", document)
            await trio.sleep(0.02)

        async def lookup(number: int) -> None:
            target = f"/api/resolve?Name={HOST}&Region=a&Zone=a-1"
            statuses.append(await _send(instance, LOOKUP_PORT, target))

        actions: dict[str, tuple[int, Callable[[int], Awaitable[None]]]] = {
            "served request": (REQUESTS, lambda number: request("key-1")),
            "request over its allowance": (REQUESTS, lambda number: request("key-0")),
            "request with an unknown key": (REQUESTS, lambda number: request("other")),
            "lookup": (REQUESTS, lookup),
            "change of a registration": (CHANGES, change),
        }
        for name, (count, action) in actions.items():
            statuses.clear()
            text = await _measure(instance, count, action)
            found = {status: statuses.count(status) for status in set(statuses)}
            print(f"{name}: {text}; statuses {found}", flush=True)


if __name__ == "__main__":
    trio.run(_run)

"""Several instances of one region with the real program: few watch the store, all follow it."""

import json
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack
from pathlib import Path

import trio

from tests.common.node_settings_file import (
    node_settings_document,
    server_document,
    unsplit_config_document,
)
from tests.common.processes import ModuleProcess
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.sockets import loopback_address
from tests.common.users_store import UsersStore
from tests.integration.test_steering_process import HOST, ask
from wagtailpoint.discovery.watch_sharing import ALL_WATCH, watchers_among
from wagtailpoint.lookup.entry_choice import LEAST_ENTRIES

LIMIT_S = 90
INSTANCES = 8
IN_FORCE_S = 5.0
"""Twice the bound of the users' deployments, since the machine of a test may be busy."""

GONE_S = 7.0
"""An instance that was killed is in no lookup after that."""


class Instance:
    """One process and where it listens."""

    def __init__(self, *, address: str, process: ModuleProcess) -> None:
        self.address = address
        self.process = process

    @property
    def watches(self) -> bool:
        """Whether it watches the store itself, by its last word on that."""
        said = [line for line in self.process.log.splitlines() if "event=watching " in line]
        return bool(said) and "itself=True" in said[-1]

    async def serves(self) -> int:
        """The status of a request."""
        return (await ask(self.address, 8144, "/look/1", "X-Attempt-Id: a1"))[0]

    async def named(self) -> set[str]:
        """The entries that it names in a lookup."""
        _, body = await ask(self.address, 8143, f"/api/resolve?Name={HOST}&Region=a&Zone=a-1")
        return set(json.loads(body)["Addresses"]) if body.startswith(b"{") else set()


async def backend(stream: ScriptedStream) -> None:
    """Answer every request with ``ok``."""
    while request := await stream.request():
        for line in request.split(b"\r\n"):
            if line.startswith(b"x-attempt-id: "):
                number = line.partition(b": ")[2].decode()
                await stream.send(response(b"ok", f"X-Attempt-Id: {number}"))


async def until(holds: Callable[[], Awaitable[bool]], limit_s: float, what: str) -> None:
    """Wait until something holds.

    Raises:
        AssertionError: It does not within ``limit_s`` seconds.
    """
    with trio.move_on_after(limit_s):
        while not await holds():  # noqa: ASYNC110 - it is in other processes
            await trio.sleep(0.05)
        return
    raise AssertionError(f"not within {limit_s} s: {what}")


async def all_serve(instances: Sequence[Instance], status: int) -> bool:
    """Whether each of the instances answers with this status."""
    return all([await each.serves() == status for each in instances])


class SteeringGroupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.assertGreater(INSTANCES, ALL_WATCH)

    def run_with(self, test: Callable[[list[Instance]], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with AsyncExitStack() as stack:
                    store = await stack.enter_async_context(self.store.serve())
                    server = await stack.enter_async_context(scripted_server(backend))
                    self.store.put("config", "main", unsplit_config_document())
                    self.store.put("servers", "i-1", server_document(str(server)))
                    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
                    addresses = [loopback_address() for _ in range(INSTANCES)]
                    instances = []
                    for number, address in enumerate(addresses):
                        file = folder / f"{number}.json"
                        seeds = tuple(f"{each}:8146" for each in addresses[:3])
                        file.write_text(
                            json.dumps(
                                node_settings_document(
                                    address=address, name=f"e-{number}", store=store, seeds=seeds
                                )
                            )
                        )
                        process = ModuleProcess(
                            module="wagtailpoint.daemon",
                            environment={"WAGTAILPOINT_NODE_FILE": str(file)},
                        )
                        stack.enter_context(process)
                        instances.append(Instance(address=address, process=process))
                    await self.settle(instances)
                    await test(instances)

        trio.run(run)

    async def settle(self, instances: list[Instance]) -> None:
        """Wait until all serve and the number of watchers is as it shall be."""

        async def settled() -> bool:
            watching = sum(each.watches for each in instances)
            return watching == watchers_among(INSTANCES) and await all_serve(instances, 200)

        await until(settled, LIMIT_S / 2, "all serve, and two of them watch the store")

    def test_all_follow_what_two_are_told(self) -> None:
        async def test(instances: list[Instance]) -> None:
            calls = len(self.store.calls)
            self.store.put("config", "main", unsplit_config_document("00000009", VirtualHosts=[]))
            await until(lambda: all_serve(instances, 404), IN_FORCE_S, "the route is gone")
            watches = [each for each in self.store.calls[calls:] if "/config?Watch" in each]
            self.assertLessEqual(len(watches), 2 * watchers_among(INSTANCES))

        self.run_with(test)

    def test_killed_watchers_are_replaced(self) -> None:
        """Symptom: a backend server that leaves gets requests for seconds, from most instances.

        Sequence: both instances that watch the store for the others are killed at the same moment,
        and just then a backend server begins to drain. Cause: the others wait for news that nobody
        sends any more.
        """

        async def test(instances: list[Instance]) -> None:
            killed = [each for each in instances if each.watches]
            left = [each for each in instances if each not in killed]
            for each in killed:
                each.process.kill()
            spec = self.store.spec("servers", "i-1")
            self.store.put("servers", "i-1", {**spec, "State": "draining"})
            await until(lambda: all_serve(left, 503), IN_FORCE_S, "nothing is sent there")
            alive = {f"{each.address}:8144" for each in left}

            async def the_same_living_are_named() -> bool:
                named = {frozenset(await each.named()) for each in left}
                return len(named) == 1 and all(
                    len(each) == LEAST_ENTRIES and each <= alive for each in named
                )

            await until(the_same_living_are_named, GONE_S, "lookups name the same few who live")

        self.run_with(test)

    def test_outage_of_the_store_ends_for_all(self) -> None:
        """The store refuses everybody for some seconds; then a change is in force everywhere."""

        async def test(instances: list[Instance]) -> None:
            self.store.refuse = 503
            self.store.end_watches()
            await trio.sleep(3.0)
            self.assertTrue(await all_serve(instances, 200))
            self.store.refuse = None
            self.store.put("config", "main", unsplit_config_document("00000009", VirtualHosts=[]))
            await until(lambda: all_serve(instances, 404), IN_FORCE_S, "the route is gone")

        self.run_with(test)

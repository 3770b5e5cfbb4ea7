"""Several instances of one region with the real program: few watch the store, all follow it."""

import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import trio

from tests.common.node_settings_file import server_document, unsplit_config_document
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.steering_group import Instance, all_serve, steering_group, until
from tests.common.users_store import UsersStore
from wagtailpoint.discovery.watch_sharing import MAX_ALL_WATCHING, watcher_count
from wagtailpoint.lookup.entry_choice import MIN_ENTRIES

LIMIT_S = 90
INSTANCES = 8
IN_FORCE_S = 5.0
"""Twice the bound of the users' deployments, since the machine of a test may be busy."""

GONE_S = 7.0
"""An instance that was killed is in no lookup after that."""


async def backend(stream: ScriptedStream) -> None:
    """Answer every request with ``ok``."""
    while request := await stream.request():
        for line in request.split(b"\r\n"):
            if line.startswith(b"x-attempt-id: "):
                number = line.partition(b": ")[2].decode()
                await stream.send(response(b"ok", f"X-Attempt-Id: {number}"))


class SteeringGroupTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.assertGreater(INSTANCES, MAX_ALL_WATCHING)

    def run_with(self, test: Callable[[list[Instance]], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with AsyncExitStack() as stack:
                    store = await stack.enter_async_context(self.store.serve())
                    server = await stack.enter_async_context(scripted_server(backend))
                    self.store.put("config", "main", unsplit_config_document())
                    self.store.put("servers", "i-1", server_document(str(server)))
                    instances = await stack.enter_async_context(steering_group(store, INSTANCES))
                    await self.settle(instances)
                    await test(instances)

        trio.run(run)

    async def settle(self, instances: list[Instance]) -> None:
        """Wait until all serve and the number of watchers is as it shall be."""

        async def settled() -> bool:
            watching = sum(each.watches for each in instances)
            return watching == watcher_count(INSTANCES) and await all_serve(instances, 200)

        await until(settled, LIMIT_S / 2, "all serve, and two of them watch the store")

    def test_all_follow_what_two_are_told(self) -> None:
        async def test(instances: list[Instance]) -> None:
            calls = len(self.store.calls)
            self.store.put("config", "main", unsplit_config_document("00000009", VirtualHosts=[]))
            await until(lambda: all_serve(instances, 404), IN_FORCE_S, "the route is gone")
            watches = [each for each in self.store.calls[calls:] if "/config?Watch" in each]
            self.assertLessEqual(len(watches), 2 * watcher_count(INSTANCES))

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
                    len(each) == MIN_ENTRIES and each <= alive for each in named
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

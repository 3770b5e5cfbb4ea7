"""Several processes of one region, of which few watch the store and all follow it."""

import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

import msgspec
import trio

from tests.common.node_settings_file import server_document, unsplit_config_document
from tests.common.odd_values import UNREADABLE
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.steering_group import Instance, all_return_status, steering_group, wait_until
from tests.common.users_store import UsersStore
from wagtailpoint.discovery.watch_order import MAX_ALL_WATCHING, watcher_count
from wagtailpoint.lookup.entry_choice import MIN_ENTRIES

LIMIT_S = 90
INSTANCES = 8
IN_FORCE_S = 5.0
"""Twice the required bound, since the machine that runs the test may be busy."""

GONE_S = 7.0
"""A killed instance is in no lookup answer after this time."""


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
        """Wait until all instances serve and the expected number of them watches the store."""

        async def settled() -> bool:
            watching = sum(instance.watches_store for instance in instances)
            return watching == watcher_count(INSTANCES) and await all_return_status(instances, 200)

        await wait_until(settled, LIMIT_S / 2, "all serve, and two of them watch the store")

    def test_all_instances_follow_two_watchers(self) -> None:
        async def test(instances: list[Instance]) -> None:
            calls = len(self.store.calls)
            self.store.put("config", "main", unsplit_config_document("00000009", VirtualHosts=[]))
            await wait_until(
                lambda: all_return_status(instances, 404), IN_FORCE_S, "the route is gone"
            )
            watches = [call for call in self.store.calls[calls:] if "/config?Watch" in call]
            self.assertLessEqual(len(watches), 2 * watcher_count(INSTANCES))

        self.run_with(test)

    def test_killed_watchers_are_replaced(self) -> None:
        """Guards against requests to a backend server for seconds after it began to drain.

        Both instances that watch the store for the others are killed at the same time, just before
        a backend server begins to drain. The other instances must not wait for changes from them.
        """

        async def test(instances: list[Instance]) -> None:
            killed = [instance for instance in instances if instance.watches_store]
            alive = [instance for instance in instances if instance not in killed]
            for instance in killed:
                instance.process.kill()
            spec = self.store.spec("servers", "i-1")
            self.store.put("servers", "i-1", {**spec, "State": "draining"})
            await wait_until(
                lambda: all_return_status(alive, 503), IN_FORCE_S, "nothing is sent there"
            )
            addresses = {f"{instance.address}:8144" for instance in alive}

            async def same_live_entries_are_named() -> bool:
                named = {frozenset(await instance.lookup_addresses()) for instance in alive}
                return len(named) == 1 and all(
                    len(entries) == MIN_ENTRIES and entries <= addresses for entries in named
                )

            await wait_until(
                same_live_entries_are_named, GONE_S, "lookups name the same live entries"
            )

        self.run_with(test)

    def test_unreadable_entries_end_no_instance_and_hide_no_change(self) -> None:
        """Guards against instances that end, or follow no change, for entries of another writer."""

        async def test(instances: list[Instance]) -> None:
            for number, text in enumerate(UNREADABLE):
                # Before the entry of the backend server, so that the first pages have only these.
                self.store.put("servers", f"h-{number}", msgspec.Raw(text.encode()))
                await trio.sleep(0.3)
            self.assertTrue(await all_return_status(instances, 200))
            spec = self.store.spec("servers", "i-1")
            self.store.put("servers", "i-1", {**spec, "State": "draining"})
            await wait_until(
                lambda: all_return_status(instances, 503), IN_FORCE_S, "nothing is sent there"
            )
            self.store.put("servers", "i-1", spec | {"born": 7})
            await wait_until(
                lambda: all_return_status(instances, 200), IN_FORCE_S, "it is used again"
            )
            self.assertEqual(
                [instance.process.exit_code for instance in instances], [None] * INSTANCES
            )
            for instance in instances:
                instance.process.kill()
                instance.process.start()
            await self.settle(instances)
            logs = "".join(instance.process.log for instance in instances)
            self.assertIn("event=object-unreadable", logs)
            self.assertNotIn("event=task-failed", logs)

        self.run_with(test)

    def test_outage_of_the_store_ends_for_all(self) -> None:
        """Guards against a change that is missed after the store refused all calls for seconds."""

        async def test(instances: list[Instance]) -> None:
            self.store.refusal_status = 503
            self.store.end_watches()
            await trio.sleep(3.0)
            self.assertTrue(await all_return_status(instances, 200))
            self.store.refusal_status = None
            self.store.put("config", "main", unsplit_config_document("00000009", VirtualHosts=[]))
            await wait_until(
                lambda: all_return_status(instances, 404), IN_FORCE_S, "the route is gone"
            )

        self.run_with(test)

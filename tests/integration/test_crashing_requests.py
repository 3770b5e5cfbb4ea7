"""Requests that end the backend servers that run them, on several instances."""

import unittest
from collections.abc import Awaitable, Callable, Sequence
from itertools import cycle
from typing import NamedTuple

import trio

from tests.common.crashing_servers import Crash, CrashingServers
from tests.common.node_settings_file import unsplit_config_document
from tests.common.steering_group import Instance, all_serve, steering_group, until
from tests.common.users_store import UsersStore
from wagtailpoint.quarantine.stored import KIND

LIMIT_S = 90
INSTANCES = 3
SERVERS = 12
SETTLE_S = 3.0
"""So long after the third crash every instance has heard of it."""

MOST_AFTER_THIRD = 3
IN_FORCE_S = 5.0
PAUSE_S = 0.15
ASKS_S = 6.0
POISON = "/look/7/dead"


class Asked(NamedTuple):
    """What became of a good request.

    Attributes:
        target: Its path.
        status: The status that its caller got.
    """

    target: str
    status: int


class CrashingRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.servers = CrashingServers(store=self.store, poison="dead", down_s=1.3, runs_s=0.05)

    def run_with(self, test: Callable[[list[Instance]], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery, self.store.serve() as store:
                    self.store.put("config", "main", unsplit_config_document())
                    nursery.start_soon(self.servers.run, SERVERS)
                    async with steering_group(store, INSTANCES) as instances:
                        await until(lambda: all_serve(instances, 200), LIMIT_S / 2, "all serve")
                        await test(instances)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def ask_in_turn(self, instances: Sequence[Instance], for_s: float) -> None:
        """Send the request again and again, to one instance after the other."""
        ends_at = trio.current_time() + for_s
        for instance in cycle(instances):
            if trio.current_time() > ends_at:
                return
            await instance.status_of(POISON)
            await trio.sleep(PAUSE_S)

    def late(self) -> Sequence[Crash]:
        """The crashes that came after all instances could know of the third."""
        crashes = self.servers.crashed(POISON)
        self.assertGreaterEqual(len(crashes), 3)
        return [each for each in crashes if each.time_s > crashes[2].time_s + SETTLE_S]

    def test_request_that_crashes_backend_servers_is_kept_from_them(self) -> None:
        """Guards against a request that ends one backend server after the other."""

        async def test(instances: list[Instance]) -> None:
            await self.ask_in_turn(instances, SETTLE_S + ASKS_S)
            self.assertLessEqual(len(self.late()), MOST_AFTER_THIRD)

        self.run_with(test)

    def test_instances_that_start_later_keep_it_from_backend_servers(self) -> None:
        """Guards against a restart of all instances that forgets which requests crash."""

        async def test(instances: list[Instance]) -> None:
            await self.ask_in_turn(instances, SETTLE_S)
            for each in instances:
                each.process.kill()
            for each in instances:
                each.process.start()
            await until(lambda: all_serve(instances, 200), LIMIT_S / 2, "all serve again")
            await self.ask_in_turn(instances, ASKS_S)
            self.assertLessEqual(len(self.late()), MOST_AFTER_THIRD)

        self.run_with(test)

    def test_lifted_request_is_served_by_all(self) -> None:
        """Guards against instances that go on refusing what an operator has lifted."""

        async def test(instances: list[Instance]) -> None:
            await self.ask_in_turn(instances, SETTLE_S)
            self.servers.poison = "none"
            (digest,) = self.store.names(KIND)
            self.assertEqual([await each.status_of(POISON) for each in instances], [503] * 3)
            self.store.delete(KIND, digest)

            async def served() -> bool:
                return all([await each.status_of(POISON) == 200 for each in instances])

            await until(served, IN_FORCE_S, "all serve it")

        self.run_with(test)

    def test_good_requests_are_answered_beside_it(self) -> None:
        """Guards against shutting out the requests that met a crash without causing it."""
        asked: list[Asked] = []

        async def ask_good(instance: Instance, caller: int) -> None:
            for number in range(30):
                target = f"/look/{number % 5}/{caller}"
                asked.append(Asked(target, await instance.status_of(target)))
                await trio.sleep(PAUSE_S)

        async def test(instances: list[Instance]) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.ask_in_turn, instances, ASKS_S)
                for caller in range(6):
                    nursery.start_soon(ask_good, instances[caller % INSTANCES], caller)
            shut_out = "event=request-quarantined "
            named = [line for each in instances for line in each.process.log.splitlines()]
            found = {line.split("target=")[1] for line in named if shut_out in line}
            self.assertEqual(found, {POISON})
            answered = sum(each.status == 200 for each in asked)
            self.assertGreaterEqual(answered, 0.9 * len(asked))

        self.run_with(test)


if __name__ == "__main__":
    unittest.main()

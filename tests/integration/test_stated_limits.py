"""Tests of backend servers that state a limit, with several instance processes."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from itertools import count

import trio

from tests.common.deployment_case import DeploymentCase
from tests.common.limited_servers import LimitedServers
from tests.common.node_settings_file import unsplit_config_document
from tests.common.steering_group import (
    CALLER_PORT,
    Instance,
    all_return_status,
    send_get,
    steering_group,
    wait_until,
)
from tests.common.users_store import UsersStore

LIMIT_S = 90
INSTANCES = 4
SERVERS = 5
CALLERS_PER_INSTANCE = 6
REQUEST_INTERVAL_S = 0.02
KEYS = 20

STATED_PER_S = 2.5
SETTLE_S = 3.0
"""Time after the first statement from which the limit holds; the shortest of all deployments."""

WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
"""The users' bound on the requests in a window: the overage times what the limit allows, and the
slack."""

MEASURED_S = 6.0


class StatedLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.servers = LimitedServers(store=self.store, header="Server-Limit", runs_s=0.02)
        self.statuses: list[int] = []
        self.numbers = count(1)

    def run_with(self, test: Callable[[list[Instance]], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with trio.open_nursery() as nursery, self.store.serve() as store:
                    self.store.put("config", "main", unsplit_config_document())
                    nursery.start_soon(self.servers.run, SERVERS)
                    async with steering_group(store, INSTANCES) as instances:
                        await wait_until(
                            lambda: all_return_status(instances, 200), LIMIT_S / 2, "all serve"
                        )
                        for instance in instances:
                            for _ in range(CALLERS_PER_INSTANCE):
                                nursery.start_soon(self.call, instance)
                        await test(instances)
                        nursery.cancel_scope.cancel()

        trio.run(run)

    async def call(self, instance: Instance) -> None:
        """Send requests one after the other until cancelled."""
        while True:
            number = next(self.numbers)
            target = f"/look/{number % KEYS}/"
            status, _ = await send_get(
                instance.address, CALLER_PORT, target, f"X-Attempt-Id: a{number}"
            )
            self.statuses.append(status)
            await trio.sleep(REQUEST_INTERVAL_S)

    def assert_kept(self, stated_per_s: float, *, after: float) -> None:
        """Assert that no backend server got more than its limit allows in any window."""
        allowed = OVERAGE * stated_per_s * WINDOW_S + SLACK
        most = self.servers.most_in_window(WINDOW_S, after=after)
        over = {name: got for name, got in most.items() if got > allowed}
        self.assertEqual(over, {}, f"allowed {allowed} in {WINDOW_S} s")

    async def state(self, *values: str) -> float:
        """Make all backend servers state a limit; return the time from which it holds."""
        self.servers.stated = values
        await trio.sleep(SETTLE_S)
        return trio.current_time()

    def test_requests_of_all_instances_keep_a_stated_limit(self) -> None:
        """Guards against a backend server that gets more than the limit that it states."""

        async def test(_instances: Sequence[Instance]) -> None:
            stated_at = await self.state(str(STATED_PER_S))
            await trio.sleep(MEASURED_S)
            self.assert_kept(STATED_PER_S, after=stated_at)

        self.run_with(test)

    def test_instance_that_starts_later_keeps_a_stated_limit(self) -> None:
        """Guards against a limit that the instances forget which start after it was stated."""

        async def test(instances: Sequence[Instance]) -> None:
            await self.state(str(STATED_PER_S))
            for instance in instances[:2]:
                instance.process.kill()
                instance.process.start()
            await wait_until(lambda: all_return_alive(instances), LIMIT_S / 2, "all answer again")
            restarted_at = trio.current_time()
            await trio.sleep(SETTLE_S + MEASURED_S)
            self.assert_kept(STATED_PER_S, after=restarted_at + SETTLE_S)

        self.run_with(test)

    def test_lowered_and_lifted_limit(self) -> None:
        """Guards against a former limit that is kept, or one that outlives its statement."""

        async def test(_instances: Sequence[Instance]) -> None:
            await self.state("40")
            lowered_at = await self.state(str(STATED_PER_S))
            await trio.sleep(WINDOW_S)
            self.assert_kept(STATED_PER_S, after=lowered_at)
            await self.state()
            before = len(self.statuses)
            await trio.sleep(1.0)
            self.assertEqual(set(self.statuses[before:]), {200})

        self.run_with(test)

    def test_malformed_limit_changes_nothing(self) -> None:
        async def test(_instances: Sequence[Instance]) -> None:
            await self.state(str(STATED_PER_S))
            malformed_at = await self.state("a few")
            await trio.sleep(WINDOW_S)
            self.assert_kept(STATED_PER_S, after=malformed_at)

        self.run_with(test)

    def test_server_that_starts_again_has_no_limit(self) -> None:
        """Guards against a limit of a former start that keeps requests from the next one."""

        async def test(_instances: Sequence[Instance]) -> None:
            await self.state(str(STATED_PER_S))
            former = set(self.servers.server_ids)
            self.servers.stated = ()
            self.servers.restart_all()
            await trio.sleep(SETTLE_S)
            self.assertEqual(former & set(self.servers.server_ids), set())
            before = len(self.statuses)
            await trio.sleep(1.0)
            self.assertEqual(set(self.statuses[before:]), {200})

        self.run_with(test)

    def test_refusals_of_full_servers_state_a_limit(self) -> None:
        """Guards against retries that exceed a limit which only refusals state."""

        async def test(_instances: Sequence[Instance]) -> None:
            self.servers.sheds = True
            stated_at = await self.state(str(STATED_PER_S))
            await trio.sleep(WINDOW_S)
            self.assert_kept(STATED_PER_S, after=stated_at)

        self.run_with(test)


class OwnInterfaceTest(DeploymentCase):
    """Backend servers of the product's own interface, which state limits by its own header."""

    ENTRIES = 3
    AT_MOST_ONCE = False
    numbers = count()

    def tearDown(self) -> None:
        self.set_backends()

    def arrivals(self) -> Counter[str]:
        """Return how many requests each backend server got so far."""
        return Counter(
            {
                str(server): len(record["arrivals"])
                for backends in self.running.backends.values()
                for server, record in backends.records().items()
            }
        )

    async def flood(self, for_s: float) -> None:
        """Send requests through all entries for some seconds."""
        until = trio.current_time() + for_s

        async def call(place: tuple[str, int]) -> None:
            while trio.current_time() < until:
                await self.raw.send(place, f"/certificates/{next(self.numbers)}", method="GET")
                await trio.sleep(REQUEST_INTERVAL_S)

        async with trio.open_nursery() as nursery:
            for entry in self.running.entries:
                for _ in range(CALLERS_PER_INSTANCE):
                    nursery.start_soon(call, entry.place)

    def test_requests_of_all_entries_keep_a_stated_limit(self) -> None:
        """Guards against a backend server that gets more than the limit that it states."""

        async def test() -> None:
            self.set_backends(limit=str(STATED_PER_S))
            await self.flood(SETTLE_S)
            before = self.arrivals()
            await self.flood(WINDOW_S)
            got = self.arrivals() - before
            allowed = OVERAGE * STATED_PER_S * WINDOW_S + SLACK
            self.assertEqual({name: new for name, new in got.items() if new > allowed}, {})
            refused = [heard for heard in self.raw.heard if heard.status == 503]
            self.assertGreater(len(refused), 0)
            self.assertTrue(all(heard.retry_after_s for heard in refused))

        self.run_trio(test)

    def test_lifted_limit_ends_on_all_entries(self) -> None:
        async def test() -> None:
            self.set_backends(limit=str(STATED_PER_S))
            await self.flood(SETTLE_S)
            self.set_backends(limit="")
            await self.flood(SETTLE_S)
            heard = len(self.raw.heard)
            await self.flood(1.0)
            refused = [each for each in self.raw.heard[heard:] if each.status == 503]
            self.assertEqual(refused, [])

        self.run_trio(test)


async def all_return_alive(instances: Sequence[Instance]) -> bool:
    """Return whether all instances answer a request, served or refused for lack of room."""
    return all([await instance.status_of_valid_request() in (200, 503) for instance in instances])


if __name__ == "__main__":
    unittest.main()

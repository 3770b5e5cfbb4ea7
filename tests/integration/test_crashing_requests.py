"""Tests of requests that crash backend servers, with several instance processes."""

import unittest
from collections.abc import Awaitable, Callable, Sequence
from itertools import cycle
from typing import NamedTuple

import trio

from tests.common.crashing_servers import Crash, CrashingServers
from tests.common.node_settings_file import unsplit_config_document
from tests.common.steering_group import Instance, all_return_status, steering_group, wait_until
from tests.common.users_store import UsersStore
from wagtailpoint.quarantine.stored import KIND

LIMIT_S = 90
INSTANCES = 3
SERVERS = 12
SETTLE_S = 3.0
"""Time after the third crash by which all instances know of it."""

MAX_LATE_CRASHES = 3
APPLY_TIMEOUT_S = 5.0
REQUEST_INTERVAL_S = 0.15
SENDING_S = 6.0
CRASHING_TARGET = "/look/7/dead"


class SentRequest(NamedTuple):
    """The result of a harmless request.

    Attributes:
        target: Path of the request.
        status: HTTP status that the caller received.
    """

    target: str
    status: int


class CrashingRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.servers = CrashingServers(
            store=self.store, crash_marker="dead", down_s=1.3, runs_s=0.05
        )

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
                        await test(instances)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def send_in_turn(self, instances: Sequence[Instance], duration_s: float) -> None:
        """Send the crashing request repeatedly, to one instance after the other."""
        end_at = trio.current_time() + duration_s
        for instance in cycle(instances):
            if trio.current_time() > end_at:
                return
            await instance.status_of(CRASHING_TARGET)
            await trio.sleep(REQUEST_INTERVAL_S)

    def late_crashes(self) -> Sequence[Crash]:
        """Return the crashes that happened after all instances should know of the third one."""
        crashes = self.servers.crashes_by(CRASHING_TARGET)
        self.assertGreaterEqual(len(crashes), 3)
        return [crash for crash in crashes if crash.time_s > crashes[2].time_s + SETTLE_S]

    def test_crashing_request_is_quarantined(self) -> None:
        """Guards against a request that crashes one backend server after the other."""

        async def test(instances: list[Instance]) -> None:
            await self.send_in_turn(instances, SETTLE_S + SENDING_S)
            self.assertLessEqual(len(self.late_crashes()), MAX_LATE_CRASHES)

        self.run_with(test)

    def test_quarantine_outlasts_a_restart_of_all_instances(self) -> None:
        """Guards against a quarantine that is lost when all instances restart."""

        async def test(instances: list[Instance]) -> None:
            await self.send_in_turn(instances, SETTLE_S)
            for instance in instances:
                instance.process.kill()
            for instance in instances:
                instance.process.start()
            await wait_until(
                lambda: all_return_status(instances, 200), LIMIT_S / 2, "all serve again"
            )
            await self.send_in_turn(instances, SENDING_S)
            self.assertLessEqual(len(self.late_crashes()), MAX_LATE_CRASHES)

        self.run_with(test)

    def test_lifted_request_is_served_by_all_instances(self) -> None:
        """Guards against instances that still refuse a request whose quarantine was lifted."""

        async def test(instances: list[Instance]) -> None:
            await self.send_in_turn(instances, SETTLE_S)
            self.servers.crash_marker = "none"
            (digest,) = self.store.names(KIND)
            self.assertEqual(
                [await item.status_of(CRASHING_TARGET) for item in instances], [503] * 3
            )
            self.store.delete(KIND, digest)

            async def all_serve_it() -> bool:
                return all([await item.status_of(CRASHING_TARGET) == 200 for item in instances])

            await wait_until(all_serve_it, APPLY_TIMEOUT_S, "all serve it")

        self.run_with(test)

    def test_harmless_requests_are_answered_during_crashes(self) -> None:
        """Guards against a quarantine of requests that were interrupted by crashes of others."""
        sent: list[SentRequest] = []

        async def send_harmless(instance: Instance, caller: int) -> None:
            for number in range(30):
                target = f"/look/{number % 5}/{caller}"
                sent.append(SentRequest(target, await instance.status_of(target)))
                await trio.sleep(REQUEST_INTERVAL_S)

        async def test(instances: list[Instance]) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_in_turn, instances, SENDING_S)
                for caller in range(6):
                    nursery.start_soon(send_harmless, instances[caller % INSTANCES], caller)
            event = "event=request-quarantined "
            log_lines = [
                line for instance in instances for line in instance.process.log.splitlines()
            ]
            targets = {line.split("target=")[1] for line in log_lines if event in line}
            self.assertEqual(targets, {CRASHING_TARGET})
            answered = sum(request.status == 200 for request in sent)
            self.assertGreaterEqual(answered, 0.9 * len(sent))

        self.run_with(test)


if __name__ == "__main__":
    unittest.main()

"""Moves and drains under load, with real processes, their deaths and freezes, and outages."""

import time
import unittest
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio

from tests.common.deployment_process import EntryProcess, RunningDeployment
from tests.common.load import SteadyLoad, steady_load
from wagtailpoint.ports.backend import BackendAddress

CLIENTS = ("10.16.0.9", "10.24.0.9", "10.32.0.9")
TIMINGS = {
    "lookup_ttl_s": 0.5,
    "platform_timeout_s": 0.8,
    "moves_lease_s": 2.0,
    "move_interval_s": 0.1,
    "watch_wait_s": 5.0,
}
CAP_RPS = 36
DRAINED_WITHIN_S = 3.0
LONG_FREEZE_S = 2.0
"""Added to the freeze, for which some callers wait. They are within their limit, and none of their
requests may be refused afterwards."""


class MovesAndDrainsTest(unittest.TestCase):
    running: RunningDeployment

    def setUp(self) -> None:
        self.running = RunningDeployment(name="surakkha", entries=3, timings=TIMINGS)
        self.running.__enter__()
        self.addCleanup(self.running.__exit__, None, None, None)
        self.running.apply_objects()

    def run_async(self, work: Callable[[], Awaitable[None]]) -> None:
        async def limited() -> None:
            with trio.fail_after(90):
                await work()

        trio.run(limited)

    async def cli(self, *arguments: str) -> None:
        done = await trio.to_thread.run_sync(lambda: self.running.cli(*arguments))
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)

    async def start_move(self, service: str, *, steps: Sequence[float]) -> None:
        options = [text for step in steps for text in ("--step", str(step))]
        await self.cli(
            *("move", "start", "m", "--workspace", "surakkha", "--service", service),
            *("--to", "acquired", "--cap-rps", str(CAP_RPS), "--hold-s", "1", *options),
        )

    async def move_at(self, entry: EntryProcess) -> Any:
        status = await trio.to_thread.run_sync(entry.page, "status")
        return status["moves"][0] if status["moves"] else {"step": -1, "state": "", "writer": ""}

    async def wait_move(self, entry: EntryProcess, reached: Callable[[Any], bool]) -> Any:
        while True:
            found = await self.move_at(entry)
            if reached(found):
                return found
            await trio.sleep(0.05)

    def group(self, service: str, name: str) -> list[BackendAddress]:
        servers = self.running.objects[f"service/{service}"]["groups"][name]
        return [BackendAddress(server["address"], server["port"]) for server in servers]

    async def arrivals(self, service: str, servers: Sequence[BackendAddress]) -> list[float]:
        """Return the arrival times at backend servers, by their process's monotonic clock."""
        records = await trio.to_thread.run_sync(self.running.backends[service].records)
        return sorted(
            arrival["time"] for server in servers for arrival in records[server]["arrivals"]
        )

    async def check_cap(self, service: str) -> None:
        times = await self.arrivals(service, self.group(service, "acquired"))
        self.assertGreater(len(times), CAP_RPS)
        # No window of one second may hold one request more than the cap.
        shortest = min(later - first for first, later in zip(times, times[CAP_RPS:], strict=False))
        self.assertGreaterEqual(shortest, 1.0)

    def split(self, writer: str) -> tuple[EntryProcess, list[EntryProcess]]:
        """Return the entry that is the writer, and the other entries."""
        address = writer.partition(":")[0]
        first = [entry for entry in self.running.entries if entry.settings.address == address]
        return first[0], [entry for entry in self.running.entries if entry is not first[0]]

    def test_move_survives_death_freeze_and_outage_and_keeps_its_cap(self) -> None:
        """Guards against a move that stops, goes back a step or exceeds its cap.

        The writer dies at one step, its successor is frozen at another and resumes, and the
        platform is out at a third, all under a load above the cap. A writer could be left without
        a successor, a resumed one could still write, and each instance could count the cap for
        itself.
        """

        async def check() -> None:
            async with steady_load(
                self.running,
                workspace="surakkha",
                path="/deposits/balance",
                rate=80.0,
                clients=CLIENTS,
            ) as load:
                await self.start_move("deposit-desk", steps=(0.2, 0.4, 0.6, 0.8, 1.0))
                entry = self.running.entries[0]
                begun = await self.wait_move(entry, lambda move: move["step"] >= 0)
                dead, others = self.split(begun["writer"])
                await trio.to_thread.run_sync(dead.kill)
                second = await self.wait_move(
                    others[0], lambda move: move["writer"] not in ("", begun["writer"])
                )
                dead.start()
                await trio.to_thread.run_sync(dead.wait_ready)
                frozen, others = self.split(second["writer"])
                frozen.freeze()
                third = await self.wait_move(
                    others[0], lambda move: move["writer"] not in ("", second["writer"])
                )
                # Requests have to wait at the frozen instance whatever the speed of the machine.
                await trio.sleep(LONG_FREEZE_S)
                frozen.thaw()
                await self.outage(others[0])
                done = await self.wait_move(frozen, lambda move: move["state"] == "done")
                self.assertGreater(done["version"], third["version"])
                await trio.sleep(2.0)
            await self.check_cap("deposit-desk")
            self.check_answered(load)

        self.run_async(check)

    def check_answered(self, load: SteadyLoad) -> None:
        """Check that few requests failed, all with the verdict that they certainly did not run.

        The failed requests were sent to the entry that died; no request was refused.
        """
        others = {end: count for end, count in load.ends.items() if end != "status 200"}
        self.assertTrue(all(end.endswith("verdict not-run") for end in others), others)
        self.assertLess(sum(others.values()), 0.05 * load.ends["status 200"], others)

    async def outage(self, entry: EntryProcess) -> None:
        """Freeze the platform for some seconds, and check that step and share stay."""
        self.running.platform.freeze()
        # The result of a write in progress may still arrive.
        await trio.sleep(1.0)
        before = await self.move_at(entry)
        await trio.sleep(2.5)
        after = await self.move_at(entry)
        self.running.platform.thaw()
        self.assertEqual((before["step"], before["share"]), (after["step"], after["share"]))

    def test_abort_and_drain(self) -> None:
        """An abort reverts traffic, a drain stops new work, and a running download continues."""

        async def check() -> None:
            async with steady_load(
                self.running, workspace="surakkha", path="/records", rate=50.0, clients=CLIENTS
            ) as load:
                await self.start_move("records-vault", steps=(0.5, 1.0))
                await self.wait_move(self.running.entries[0], lambda move: move["step"] >= 1)
                await self.cli("move", "abort", "m", "--wait")
                await self.check_quiet(self.group("records-vault", "acquired"))
                await self.drain_under_load()
                await self.check_leave_without_platform()
            self.assertEqual(sum(load.ends.values()), load.ends["status 200"], load.ends)

        self.run_async(check)

    async def drain_under_load(self) -> None:
        size = 400_000
        caller = self.running.caller("surakkha", address=CLIENTS[0])
        path = f"/certificates/bulk/{size}?ms=7000"
        async with caller, caller.stream("GET", path, deadline_s=8.0) as download:
            servers = self.group("records-vault", "main")
            records = await trio.to_thread.run_sync(self.running.backends["records-vault"].records)
            busy = next(
                server
                for server in servers
                if any("bulk" in arrival["path"] for arrival in records[server]["arrivals"])
            )
            await self.cli("drain", "start", "d", "--backend-server", str(busy), "--wait")
            await self.check_quiet([busy])
            pages = [
                await trio.to_thread.run_sync(entry.page, "status")
                for entry in self.running.entries
            ]
            self.assertEqual(sum(page["drains"][0]["in_flight"] for page in pages), 1)
            received = sum([len(chunk) async for chunk in download.chunks()])
        self.assertEqual(received, size)

    async def check_leave_without_platform(self) -> None:
        """Guards against new work for a leaving backend server during an outage of the platform.

        No drain can be written; the server's own report or a shed answer must be enough.
        """
        self.running.platform.freeze()
        await trio.sleep(1.0)
        backends = self.running.backends["records-vault"]
        records = await trio.to_thread.run_sync(backends.records)
        # The server must be getting work, or the check that it gets none would prove nothing.
        leaving = max(
            self.group("records-vault", "main"),
            key=lambda server: max(
                (arrival["time"] for arrival in records[server]["arrivals"]), default=0.0
            ),
        )
        await trio.to_thread.run_sync(
            lambda: backends.control(leaving, "POST", "mode", {"draining": True})
        )
        await self.check_quiet([leaving])
        self.running.platform.thaw()

    async def check_quiet(self, servers: Sequence[BackendAddress]) -> None:
        """Check that no request arrives once the time for draining is over.

        The stand-in for the backend servers uses the same clock.
        """
        ordered_at = time.monotonic()
        await trio.sleep(DRAINED_WITHIN_S + 1.5)
        times = await self.arrivals("records-vault", servers)
        self.assertGreater(len(times), 0)
        self.assertEqual([time_s for time_s in times if time_s > ordered_at + DRAINED_WITHIN_S], [])

    def test_callers_of_a_lost_region_are_served_by_other_regions(self) -> None:
        """Guards against callers without service after their region was lost.

        The region's only entry dies, and its backend servers reset every connection.
        """

        async def check() -> None:
            lost = self.running.entries[0]
            region = lost.settings.region
            domains = self.running.objects[f"region/{region}"]["failure_domains"]
            self.assertIn(lost.settings.failure_domain, domains)
            client = CLIENTS[("kolkata", "siliguri", "durgapur").index(region)]
            for server in self.running.objects["service/deposit-desk"]["groups"]["main"]:
                if server["failure_domain"] in domains:
                    place = BackendAddress(server["address"], server["port"])
                    await trio.to_thread.run_sync(self.lose, place)
            await trio.to_thread.run_sync(lost.kill)
            await self.wait_not_named(lost, client)
            async with steady_load(
                self.running,
                workspace="surakkha",
                path="/deposits/balance",
                rate=40.0,
                clients=[client],
            ) as load:
                await trio.sleep(3.0)
            self.assertGreater(load.ends["status 200"], 60)
            self.assertEqual(sum(load.ends.values()), load.ends["status 200"], load.ends)

        self.run_async(check)

    def lose(self, server: BackendAddress) -> None:
        self.running.backends["deposit-desk"].control(server, "POST", "mode", {"reset_before": 1.0})

    async def wait_not_named(self, lost: EntryProcess, client: str) -> None:
        while True:
            done = await trio.to_thread.run_sync(
                lambda: self.running.cli("lookup", "--workspace", "surakkha", "--client", client)
            )
            if done.returncode == 0 and lost.settings.address not in done.stdout:
                return
            await trio.sleep(0.2)

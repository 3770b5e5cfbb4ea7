"""End-to-end requests with real processes: command line, platform, entries, backend servers."""

import json
import unittest
from functools import partial

import trio

from tests.common.deployment_process import RunningDeployment
from wagtailpoint import Verdict
from wagtailpoint.caller import Caller

CLIENT = "10.16.0.9"
DEADLINE_S = 20.0


class WholePathTest(unittest.TestCase):
    running: RunningDeployment

    @classmethod
    def setUpClass(cls) -> None:
        cls.running = RunningDeployment(name="surakkha", entries=3, timings={"lookup_ttl_s": 0.5})
        cls.running.__enter__()
        cls.addClassCleanup(cls.running.__exit__, None, None, None)
        cls.running.apply_objects()
        cls.running.wait_members()

    def run_with_caller(self, test) -> None:
        async def run() -> None:
            async with self.running.caller("surakkha", address=CLIENT) as caller:
                with trio.fail_after(60):
                    await test(caller)

        trio.run(run)

    def test_balance_check_is_answered_by_a_backend_server(self) -> None:
        async def check(caller: Caller) -> None:
            answer = await caller.request("GET", "/deposits/balance/7", deadline_s=DEADLINE_S)
            self.assertEqual((answer.status, answer.verdict), (200, Verdict.RAN))
            self.assertIn("deposit-desk", answer.body.decode())

        self.run_with_caller(check)

    def test_release_repeated_with_the_same_key_runs_once(self) -> None:
        async def check(caller: Caller) -> None:
            release = partial(
                caller.request,
                "POST",
                "/releases",
                body=b"{}",
                idempotency_key="release-7",
                deadline_s=DEADLINE_S,
            )
            first, second = await release(), await release()
            self.assertEqual(first.body, second.body)
            records = await trio.to_thread.run_sync(self.running.backends["deposit-desk"].records)
            executions = [record["by_key"].get("release-7", 0) for record in records.values()]
            self.assertEqual(sum(executions), 1)

        self.run_with_caller(check)

    def test_download_arrives_whole(self) -> None:
        async def check(caller: Caller) -> None:
            path = "/statements/bulk/3000000"
            async with caller.stream("GET", path, deadline_s=DEADLINE_S) as download:
                size = sum([len(chunk) async for chunk in download.chunks()])
            self.assertEqual(size, 3_000_000)

        self.run_with_caller(check)

    def test_unknown_workspace_is_refused_as_not_run(self) -> None:
        async def check(_caller: Caller) -> None:
            async with self.running.caller("nobody", address=CLIENT) as unknown_caller:
                with self.assertRaises(Exception) as raised:
                    await unknown_caller.request("GET", "/deposits/balance/7", deadline_s=1.0)
            self.assertIn("status-404", str(raised.exception))

        self.run_with_caller(check)

    def test_status_shows_every_instance_with_its_version(self) -> None:
        result = self.running.cli("status", "--json")
        self.assertEqual(result.returncode, 0, result.stderr)
        members = json.loads(result.stdout)["members"]
        self.assertEqual([member["config_version"] for member in members], [1, 1, 1])


class GracefulStopTest(unittest.TestCase):
    def test_other_entries_serve_when_one_stops(self) -> None:
        with RunningDeployment(
            name="heather-isles", entries=3, timings={"lookup_ttl_s": 0.5}
        ) as running:
            running.apply_objects()
            self.assertEqual(running.entries[0].stop(), 0)

            async def check() -> None:
                with trio.fail_after(60):
                    async with running.caller("heather-isles", address="10.60.0.9") as caller:
                        answer = await caller.request("GET", "/stays", deadline_s=DEADLINE_S)
                        self.assertEqual(answer.verdict, Verdict.RAN)

            trio.run(check)

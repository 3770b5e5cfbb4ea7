"""The command-line tool as a process, against a platform stand-in that runs as a process."""

import json
import unittest
from pathlib import Path
from typing import Any

from tests.common.deployment_process import RunningDeployment
from tests.common.platform_process import PlatformProcess
from tests.common.processes import ModuleProcess
from wagtailpoint.cli.exit_codes import ExitCode

OBJECTS = str(Path(__file__).parents[2] / "examples" / "heather-isles" / "objects")


class CliProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(PlatformProcess())

    def run_cli(self, *arguments: str, code: ExitCode = ExitCode.OK) -> Any:
        """Run a command, check its exit code, and return its JSON output."""
        address, port = self.platform.listens_on
        platform_options = ["--json", "--platform", f"{address}:{port}"]
        with ModuleProcess(
            module="wagtailpoint.cli", arguments=[*arguments, *platform_options]
        ) as process:
            self.assertEqual(process.wait(), code, process.log)
            return json.loads(process.log)

    def test_change_and_read_back(self) -> None:
        self.assertEqual(self.run_cli("apply", OBJECTS)["version"], 1)
        changed = self.run_cli("workspace", "adjust", "heather-isles", "--set", "max_rps=9")
        self.assertEqual(changed["put"], ["workspace/heather-isles"])
        found = self.run_cli("get", "workspace/heather-isles")["objects"]
        self.assertEqual(found["workspace/heather-isles"]["parameters"]["max_rps"], 9)

    def test_outage_and_lost_answers(self) -> None:
        """The tool must distinguish "nothing was changed" from "changed, answer lost".

        The platform applies the writes and closes each connection instead of answering. If every
        error were reported as a failure, a script would repeat a change that was written.
        """
        self.platform.set_mode(lose_answers=3)
        self.assertEqual(self.run_cli("apply", OBJECTS)["version"], 1)
        self.assertEqual(len(self.run_cli("history")["changes"]), 1)
        self.platform.set_mode(down=True)
        answer = self.run_cli("apply", OBJECTS, code=ExitCode.PLATFORM_UNAVAILABLE)
        self.assertEqual(answer["error"], "platform_unavailable")


class CliWithEntriesTest(unittest.TestCase):
    def test_change_followed_over_all_instances_and_through_an_outage(self) -> None:
        """Status and lookup must work during an outage of the platform.

        The platform dies while the instances keep serving. If the tool read from the platform what
        the instances know, it would only report "platform unavailable" in an outage.
        """
        running = self.enterContext(RunningDeployment(name="heather-isles", entries=2))
        running.apply_objects()
        running.wait_members()
        adjust = ["workspace", "adjust", "heather-isles", "--set", "max_rps=77", "--json"]
        changed = json.loads(self.cli(running, *adjust, "--wait"))
        instances = {entry.settings.address for entry in running.entries}
        waited = {
            enforcing_entry.partition(":")[0] for enforcing_entry in changed["wait"]["enforcing"]
        }
        self.assertEqual((changed["version"], waited), (2, instances))
        where = ["--where", "event=config-in-force", "--where", "version=2", "--json"]
        events = json.loads(self.cli(running, "timeline", *where))["events"]
        self.assertEqual(len({event["instance"] for event in events}), len(instances))
        running.platform.kill()
        self.cli(running, *adjust, code=ExitCode.PLATFORM_UNAVAILABLE)
        self.assertIn("config_version: 2", self.cli(running, "status"))
        lookup = ["lookup", "--workspace", "heather-isles", "--client", "10.40.0.9", "--json"]
        entries = json.loads(self.cli(running, *lookup))["entries"]
        self.assertEqual({entry["address"] for entry in entries}, instances)

    def cli(self, running: RunningDeployment, *arguments: str, code: ExitCode = ExitCode.OK) -> str:
        """Run a command, check its exit code, and return its standard output."""
        done = running.cli(*arguments)
        self.assertEqual(done.returncode, code, done.stdout + done.stderr)
        return done.stdout

"""The commands that query entries, and ``--wait``, against scripted entries."""

from typing import Any

from tests.common.cli import OBJECTS, CliTestCase
from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.ports.platform import ListedInstance


def member(host_number: int, version: int | None, state: str = "live") -> dict[str, Any]:
    """Return one member of a status, at the address 127.0.0.``host_number``."""
    return {
        "address": f"127.0.0.{host_number}",
        "port": 8080,
        "incarnation": f"i{host_number}",
        "region": "kolkata",
        "failure_domain": "salt-lake",
        "state": state,
        "config_version": version,
    }


class WaitTest(CliTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.query_count = 0

    def status(self) -> Any:
        """Three instances, of which one more enforces version 1 at each query."""
        self.query_count += 1
        members = [
            member(host_number, 1 if self.query_count > host_number else 0)
            for host_number in (1, 2, 3)
        ]
        return {"instance": member(1, None), "config_version": 1, "members": members}

    def apply_and_wait(self, *extra: str, code: ExitCode) -> str:
        entry = ["--entry", "127.0.0.1:8080"]
        return self.run_cli("apply", OBJECTS, "--wait", *entry, *extra, code=code)

    def test_waits_until_every_instance_enforces_the_version(self) -> None:
        self.answers["127.0.0.1", "/v1/status"] = self.status
        text = self.apply_and_wait(code=ExitCode.OK)
        self.assertIn("in force on 2 of 3 instances", text)
        self.assertIn("version 1 is in force on 3 instances", text)

    def test_lists_lagging_instances(self) -> None:
        """A change must not be reported as in force while an instance enforces an older version.

        A successful write doesn't show that the change is in force: an instance that is cut off
        from the platform and its peers still applies the old limits to its callers.
        """
        members = [member(2, 1), member(3, 0), member(4, 0, state="leaving")]
        status = {"instance": member(1, None), "config_version": 1, "members": members}
        self.answers["127.0.0.1", "/v1/status"] = status
        text = self.apply_and_wait("--wait-timeout", "0.5", code=ExitCode.WAIT_TIMED_OUT)
        self.assertIn("127.0.0.3:8080", text)
        self.assertNotIn("127.0.0.4:8080", text)

    def test_lists_instances_that_no_entry_sees(self) -> None:
        """A change must not be reported as in force while a partitioned region lacks it.

        The instances of a region whose link is cut keep serving with the old limits, but every
        entry that the tool can query reports them as dead. They must be found by the platform's
        list of instances.
        """
        members = [member(1, 1), member(2, 1), member(3, 0, state="dead")]
        status = {"instance": member(1, None), "config_version": 1, "members": members}
        self.answers["127.0.0.1", "/v1/status"] = status
        listed = [
            ListedInstance(f"127.0.0.{host_number}", "salt-lake", "live")
            for host_number in (1, 2, 3)
        ]
        self.platform.listed = listed
        text = self.apply_and_wait("--wait-timeout", "0.5", code=ExitCode.WAIT_TIMED_OUT)
        self.assertIn("127.0.0.3 in salt-lake: listed as live", text)
        self.platform.listed = listed[:2]
        self.assertIn("in force on 2 instances", self.apply_and_wait(code=ExitCode.OK))

    def test_no_entry_answers(self) -> None:
        text = self.apply_and_wait("--wait-timeout", "0.5", code=ExitCode.WAIT_TIMED_OUT)
        self.assertIn("no answer from 127.0.0.1:8080: refused", text)

    def test_wait_without_an_entry_changes_nothing(self) -> None:
        self.run_cli("apply", OBJECTS, "--wait", code=ExitCode.WRONG_INPUT)
        self.assertEqual(self.platform.counts, {})


class EntryCommandsTest(CliTestCase):
    ENTRY = ("--entry", "127.0.0.9:8080", "--entry", "127.0.0.1:8080")

    def setUp(self) -> None:
        super().setUp()
        self.answers["127.0.0.1", "/v1/status"] = {
            "instance": member(1, None),
            "config_version": 4,
            "members": [member(1, 4), member(2, 3)],
            "moves": [{"name": "teesta", "share": 0.25}],
        }

    def test_status_asks_the_next_entry_and_prints_unknown_sections(self) -> None:
        text = self.run_cli("status", *self.ENTRY)
        self.assertEqual(text.count("127.0.0.1:8080"), 1)
        self.assertIn("127.0.0.2:8080", text)
        self.assertRegex(text, r"moves:\nname +share\nteesta +0.25")

    def test_moves_and_drains_of_every_instance(self) -> None:
        self.answers["127.0.0.2", "/v1/status"] = {
            "moves": [{"name": "teesta", "share": 0.5, "reason": "warm"}],
            "drains": [{"name": "repair", "in_flight": 3}],
        }
        text = self.run_cli("move", "show", *self.ENTRY)
        self.assertRegex(text, r"127.0.0.1:8080 +teesta +- +0.25")
        self.assertRegex(text, r"127.0.0.2:8080 +teesta +- +0.5 .*warm")
        self.assertIn("no answer from 127.0.0.9:8080", text)
        self.assertRegex(self.run_cli("drain", "show", *self.ENTRY), r"127.0.0.2:8080 +repair +3")

    def test_status_without_an_entry(self) -> None:
        self.run_cli("status", code=ExitCode.WRONG_INPUT)
        self.run_cli("status", "--entry", "127.0.0.9:8080", code=ExitCode.FAILED)

    def test_timeline_merges_all_instances(self) -> None:
        for host_number, stamp in ((1, "02"), (2, "01")):
            event = {
                "hlc": stamp,
                "instance": f"i{host_number}",
                "event": "move-step",
                "name": "teesta",
            }
            self.answers[f"127.0.0.{host_number}", "/v1/timeline"] = {"events": [event]}
        text = self.run_cli("timeline", "--since", "00", "--where", "name=teesta", *self.ENTRY)
        lines = text.splitlines()
        self.assertEqual(lines[0], "01 i2 move-step name=teesta")
        self.assertEqual(lines[1], "02 i1 move-step name=teesta")
        self.assertIn("no events from 127.0.0.9:8080", lines[2])
        self.assertIn("127.0.0.2:8080/v1/timeline?since=00", self.asked)

    def test_lookup(self) -> None:
        answer = {"config_version": 4, "ttl_s": 2, "entries": [{"address": "127.0.0.1"}]}
        self.answers["127.0.0.1", "/v1/lookup"] = answer
        arguments = ["lookup", "--workspace", "surakkha", *self.ENTRY]
        self.assertEqual(self.run_json(*arguments, "--client", "10.16.0.1"), answer)
        self.assertIn("/v1/lookup?workspace=surakkha&address=10.16.0.1", self.asked[-1])
        self.run_cli(*arguments, "--client", "here", code=ExitCode.WRONG_INPUT)

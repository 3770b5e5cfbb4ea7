"""The commands that list and lift quarantined requests."""

from contextlib import nullcontext

from click.testing import CliRunner

from tests.common.cli import CliTestCase
from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.cli.main import cli
from wagtailpoint.cli.session import Tools
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.ports.platform import ABSENT
from wagtailpoint.quarantine.quarantine import CrashReport
from wagtailpoint.quarantine.stored import KIND, encode_report

DIGEST = "0123456789abcdef0123"
STARTS = tuple(ServerStart(f"i-{number}", 0) for number in (1, 2, 3))
REPORT = CrashReport(DIGEST, "GET", "h.example", "/r/7/1", STARTS)


class QuarantineCommandsTest(CliTestCase):
    def quarantine(self) -> None:
        self.platform.store.put(KIND, DIGEST, encode_report(REPORT), ABSENT)

    def test_nothing_is_quarantined(self) -> None:
        self.assertIn("no request is quarantined", self.run_cli("quarantine", "list"))

    def test_list_shows_the_request_and_the_servers_that_it_crashed(self) -> None:
        self.quarantine()
        text = self.run_cli("quarantine", "list")
        for shown in (DIGEST, "GET", "h.example", "/r/7/1", "i-1,i-2,i-3"):
            self.assertIn(shown, text)
        (found,) = self.run_json("quarantine", "list")["quarantined"]
        self.assertEqual(found["crashed"], ["i-1", "i-2", "i-3"])

    def test_lift_removes_the_request(self) -> None:
        self.quarantine()
        self.run_cli("quarantine", "lift", DIGEST)
        self.assertIn("no request is quarantined", self.run_cli("quarantine", "list"))

    def test_lift_of_an_unknown_digest_changes_nothing(self) -> None:
        self.quarantine()
        self.run_cli("quarantine", "lift", DIGEST, "4711", code=ExitCode.WRONG_INPUT)
        self.assertIn(DIGEST, self.run_cli("quarantine", "list"))

    def test_platform_unavailable(self) -> None:
        self.platform.down = True
        self.run_cli("quarantine", "list", code=ExitCode.PLATFORM_UNAVAILABLE)

    def test_store_option_selects_the_object_store(self) -> None:
        self.quarantine()
        tools = Tools(open_store=lambda _: nullcontext(self.platform))
        arguments = ["quarantine", "list", "--store", "127.0.0.1:7001"]
        result = CliRunner().invoke(cli, arguments, obj=tools)
        self.assertEqual(result.exit_code, ExitCode.OK, result.output)
        self.assertIn(DIGEST, result.output)

"""Runs the command-line tool in the test process, with a fake platform and fake entries."""

import json
import unittest
from contextlib import nullcontext
from pathlib import Path
from typing import Any

from click.testing import CliRunner
from result import Err, Ok, Result

from tests.common.fake_platform import FakePlatform
from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.cli.failures import EntryUnreachable
from wagtailpoint.cli.main import cli
from wagtailpoint.cli.profile import EntryAddress
from wagtailpoint.cli.session import Tools

EXAMPLES = Path(__file__).parents[2] / "examples"
OBJECTS = str(EXAMPLES / "surakkha" / "objects")
PLATFORM = ["--platform", "127.0.0.1:7000"]


class CliTestCase(unittest.TestCase):
    """Provides a platform in memory and entries that give scripted answers."""

    def setUp(self) -> None:
        self.platform = FakePlatform()
        self.answers: dict[tuple[str, str], Any] = {}
        self.asked: list[str] = []

    async def fetch(self, entry: EntryAddress, target: str) -> Result[Any, EntryUnreachable]:
        self.asked.append(f"{entry}{target}")
        answer = self.answers.get((entry.address, target.partition("?")[0]))
        answer = answer() if callable(answer) else answer
        return Ok(answer) if answer is not None else Err(EntryUnreachable(f"{entry}: refused"))

    def run_cli(self, *arguments: str, code: ExitCode = ExitCode.OK) -> str:
        """Run a command, check its exit code, and return everything that it printed."""
        tools = Tools(
            open_platform=lambda _: nullcontext(self.platform), fetch=self.fetch, settle_s=0.5
        )
        runner = CliRunner(env={"WAGTAILPOINT_AUTHOR": "asha"})
        result = runner.invoke(cli, [*arguments, *PLATFORM], obj=tools)
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def run_json(self, *arguments: str, code: ExitCode = ExitCode.OK) -> Any:
        return json.loads(self.run_cli(*arguments, "--json", code=code))

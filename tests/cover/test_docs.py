"""The reference pages agree with the program."""

import json
import re
import unittest
from pathlib import Path
from typing import Any

import click

from wagtailpoint.admission.refusal import RefusalBody, RefusalCode
from wagtailpoint.cli.exit_codes import ExitCode
from wagtailpoint.cli.main import cli
from wagtailpoint.config.compile import compile_config
from wagtailpoint.config.objects import KINDS
from wagtailpoint.lookup.answer import LookupAnswer
from wagtailpoint.settings import Limits, Settings, Timings, check_settings

DOCS = Path(__file__).parents[2] / "docs"


def json_blocks(page: str) -> list[Any]:
    """The JSON examples of a page."""
    text = (DOCS / page).read_text()
    return [json.loads(block) for block in re.findall(r"```json\n(.*?)```", text, re.DOTALL)]


class ConfigurationPageTest(unittest.TestCase):
    def test_examples_compile_together(self) -> None:
        objects: dict[str, Any] = {}
        for block in json_blocks("configuration.md"):
            objects |= block
        self.assertEqual({key.partition("/")[0] for key in objects}, set(KINDS))
        compile_config(version=1, objects=objects).unwrap()


class SettingsPageTest(unittest.TestCase):
    def test_example_is_valid(self) -> None:
        for block in json_blocks("settings.md"):
            check_settings(block).unwrap()

    def test_every_field_with_its_default(self) -> None:
        text = (DOCS / "settings.md").read_text()
        for name in Settings._fields:
            self.assertIn(f"| `{name}` |", text)
        for name, default in Timings()._asdict().items():
            self.assertIn(f"| `{name}` | {default:g} |", text)
        for name, default in Limits()._asdict().items():
            self.assertRegex(text, rf"\| `{name}` \| \w+ \| {default} \|")


class OperatorsPageTest(unittest.TestCase):
    def test_every_command_has_an_example(self) -> None:
        text = (DOCS / "operators.md").read_text()
        for name, command in cli.commands.items():
            inner = command.commands if isinstance(command, click.Group) else [""]
            for word in inner:
                self.assertIn(f"    wagtailpoint {name} {word}".rstrip(), text)

    def test_every_exit_code(self) -> None:
        text = (DOCS / "operators.md").read_text()
        for code in ExitCode:
            self.assertIn(f"\n| {int(code)} | ", text)


class CallersPageTest(unittest.TestCase):
    def test_every_refusal_code(self) -> None:
        text = (DOCS / "callers.md").read_text()
        for code in RefusalCode:
            self.assertRegex(text, rf"\n\|[^|]*`{code.value}`")

    def test_example_is_valid(self) -> None:
        for block in json_blocks("callers.md"):
            self.assertIn(set(block), [set(LookupAnswer.__annotations__), set(RefusalBody._fields)])

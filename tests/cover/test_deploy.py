"""The deploy file and the operations page are consistent with the program."""

import os
import re
import tomllib
import unittest
from pathlib import Path

from wagtailpoint.platform.settings import METRICS_PORT

ROOT = Path(__file__).parents[2]
STEERING = ("proxy", "placement", "discovery", "routing", "platform")
STEERING_DAEMON = ("steering.py", "store_state.py", "entry_pages.py")


class DeployFileTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())

    def test_build_is_a_program_of_the_repository(self) -> None:
        self.assertTrue(os.access(ROOT / self.deploy["build"], os.X_OK))

    def test_role_runs_a_module_that_exists(self) -> None:
        (role,) = self.deploy["roles"].values()
        module = role["run"].split()[-1].replace(".", "/")
        self.assertTrue((ROOT / "src" / module / "__main__.py").is_file())

    def test_metrics_are_where_the_program_serves_them(self) -> None:
        (role,) = self.deploy["roles"].values()
        self.assertEqual(role["metrics"], f"{METRICS_PORT}/metrics")


class OperationsPageTest(unittest.TestCase):
    def test_every_event_is_explained(self) -> None:
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        source = ROOT / "src" / "wagtailpoint"
        files = [path for name in STEERING for path in (source / name).glob("*.py")]
        files += [source / "daemon" / name for name in STEERING_DAEMON]
        events = set()
        for path in files:
            events |= set(re.findall(r'log_event\(\s*"([a-z-]+)"', path.read_text()))
        self.assertGreater(len(events), 20)
        self.assertEqual([event for event in sorted(events) if f"`{event}`" not in page], [])

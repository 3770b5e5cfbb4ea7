"""Reloading the settings file of a running instance."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from loguru import logger

from tests.common.node_settings_file import node_settings_document
from tests.common.odd_values import UNREADABLE
from wagtailpoint.daemon.settings_file import SettingsFile
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.platform.settings import read_node_settings


class SettingsFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"
        self.document = node_settings_document(store=Endpoint("127.0.0.1", 1))
        self.write()
        self.file = SettingsFile(
            path=self.path,
            settings=read_node_settings(self.path).unwrap(),
            read=read_node_settings,
        )
        self.lines: list[str] = []
        sink = logger.add(
            lambda message: self.lines.append(
                f"{message.record['message']} {message.record['extra']}"
            )
        )
        self.addCleanup(logger.remove, sink)

    def write(self, **bounds: Any) -> None:
        self.document["Terms"]["Bounds"].update(bounds)
        self.path.write_text(json.dumps(self.document))

    def test_bounds_apply_at_once(self) -> None:
        """Guards against overdrawing the shared retry budget after operators have lowered it.

        Sequence: the file changes without a signal. Cause: bounds are read only at the start.
        """
        self.write(BudgetSlack=10, ColdOverage=1.1)
        self.file.reload(signalled=False)
        self.assertEqual(self.file.bounds.retry_slack, 10)
        self.assertEqual(self.file.bounds.cold_overage, 1.1)
        self.assertIn("reload", self.lines[0])
        self.assertIn("'changed': 'bounds', 'from_next_start': ''", self.lines[0])

    def test_other_fields_apply_from_the_next_start(self) -> None:
        self.document["Network"]["SeedAddrs"] = ["127.0.0.9:8146"]
        self.write()
        self.file.reload(signalled=False)
        self.assertIn("'from_next_start': 'seeds'", self.lines[0])

    def test_invalid_file_is_ignored_and_logged_once(self) -> None:
        self.path.write_text("{")
        for _ in range(3):
            self.file.reload(signalled=False)
        self.assertEqual(self.file.bounds.retry_slack, 58)
        self.assertEqual(len(self.lines), 1)
        self.assertIn("reload-refused", self.lines[0])
        self.write(BudgetSlack=20)
        self.file.reload(signalled=False)
        self.assertEqual(self.file.bounds.retry_slack, 20)

    def test_nested_file_is_ignored(self) -> None:
        """Guards against instances that end when a settings file with nested arrays is reloaded."""
        for text in UNREADABLE:
            with self.subTest(text=text[:20]):
                self.path.write_text(text)
                self.file.reload(signalled=True)
                self.assertEqual(self.file.bounds.retry_slack, 58)
                self.assertIn("reload-refused", self.lines[-1])

    def test_unchanged_file_is_logged_only_after_a_signal(self) -> None:
        self.file.reload(signalled=False)
        self.assertEqual(self.lines, [])
        self.file.reload(signalled=True)
        self.assertEqual(len(self.lines), 1)

"""The settings file of an instance."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from result import Err, Ok

from wagtailpoint.settings import check_settings, read_settings

SETTINGS: dict[str, Any] = {
    "address": "127.0.0.1",
    "port": 8080,
    "peer_port": 8081,
    "region": "kolkata",
    "failure_domain": "salt-lake",
    "platform": [{"address": "127.0.0.9", "port": 7000}],
}


class SettingsTest(unittest.TestCase):
    def test_defaults(self) -> None:
        result = check_settings({**SETTINGS, "timings": {"lookup_ttl_s": 1}})
        assert isinstance(result, Ok), result
        self.assertEqual(result.ok_value.timings.lookup_ttl_s, 1.0)
        self.assertEqual(result.ok_value.limits.open_requests, 2000)
        self.assertEqual(result.ok_value.platform[0].port, 7000)

    def test_every_mistake_is_reported(self) -> None:
        wrong = {
            **SETTINGS,
            "address": "entry-1.example",
            "port": "8080",
            "prot": 1,
            "platform": [{"address": "0.0.0.0", "port": 7000}],
            "limits": {"open_requests": 0},
            "timings": {"lookup_ttl_ms": 2000, "epoch_s": "2m", "moves_lease_s": float("nan")},
        }
        result = check_settings(wrong)
        assert isinstance(result, Err)
        found = {item.path: item.expected for item in result.err_value.mistakes}
        self.assertEqual(
            set(found),
            {
                "address",
                "port",
                "prot",
                "platform[0].address",
                "limits.open_requests",
                "timings.lookup_ttl_ms",
                "timings.epoch_s",
                "timings.moves_lease_s",
            },
        )
        self.assertIn("did you mean 'lookup_ttl_s'", found["timings.lookup_ttl_ms"])
        self.assertIn("seconds", found["timings.epoch_s"])

    def test_requires_a_platform_address(self) -> None:
        mistakes = check_settings({**SETTINGS, "platform": []}).unwrap_err().mistakes
        self.assertEqual([mistake.path for mistake in mistakes], ["platform"])

    def test_rules_that_involve_several_fields(self) -> None:
        timings = {"heartbeat_interval_s": 3, "epoch_s": 1, "moves_lease_s": 1}
        result = check_settings({**SETTINGS, "peer_port": 8080, "timings": timings})
        assert isinstance(result, Err)
        self.assertEqual(len(result.err_value.mistakes), 4)

    def test_reads_settings_files(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "entry.json"
            self.assertIn("No such file", str(read_settings(path).err()))
            path.write_text("{,}")
            self.assertIn("line 1, column 2", str(read_settings(path).err()))
            path.write_text(json.dumps(SETTINGS))
            self.assertTrue(read_settings(path).is_ok())

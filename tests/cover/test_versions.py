"""The ``versions`` command: when instances enforced each configuration, read from logs."""

import tempfile
from pathlib import Path

from tests.common.cli import CliTestCase

LOG = """\
   0.1 a time=2026-05-11T05:00:00.100+00:00 level=INFO event=started instance=a name=a
time=2026-05-11T05:00:00.200+00:00 level=INFO event=config-in-force instance=a version=3 revision=9
time=2026-05-11T05:00:00.700+00:00 level=INFO event=config-in-force instance=b version=3 revision=9
time=2026-05-11T05:00:01.000+00:00 level=INFO event=config-in-force instance=a version=5 revision=12
time=2026-05-11T05:00:01.100+00:00 level=INFO event=request instance=b path="/a b" config=3
time=2026-05-11T05:00:02.000+00:00 level=INFO event=started instance=c name=c
no line of ours
"""


class VersionsCommandTest(CliTestCase):
    def run_versions(self, *arguments: str):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "log"
            path.write_text(LOG)
            return self.run_json("versions", str(path), *arguments)

    def test_spread_of_each_version(self) -> None:
        spreads = self.run_versions()["versions"]
        self.assertEqual([spread["version"] for spread in spreads], [3, 5])
        self.assertEqual((spreads[0]["instances"], spreads[0]["last_instance"]), (2, "b"))

    def test_instances_that_are_behind(self) -> None:
        instances = self.run_versions()["instances"]
        found = {item["instance"]: (item["version"], item["behind"]) for item in instances}
        self.assertEqual(found, {"a": (5, False), "b": (3, True), "c": (None, True)})

    def test_tables(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "log"
            path.write_text(LOG)
            text = self.run_cli("versions", str(path))
        self.assertIn("0.500", text)
        self.assertIn("behind", text)

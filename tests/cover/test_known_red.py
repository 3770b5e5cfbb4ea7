"""The list of tests that may fail, as the run of the tests applies it."""

import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).parents[2]
SAMPLE = """
import unittest
class Sample(unittest.TestCase):
    def test_passes(self) -> None:
        pass
    def test_fails(self) -> None:
        self.fail()
"""
CONFIG = """
[unittest]
plugins = tests.common.known_red
[known-red]
always-on = True
"""
RUN = """
import sys
from pathlib import Path
import nose2
from tests.common import known_red
known_red.KNOWN_RED_FILE = Path("known-red.txt")
nose2.main(module=None, argv=["nose2", "-c", "unittest.cfg", *sys.argv[1:]])
"""


class KnownRedTest(unittest.TestCase):
    def exit_code(self, test: str, *listed: str) -> int:
        """Return the exit code of a run of one sample test, with a list of known failures."""
        with TemporaryDirectory() as folder:
            directory = Path(folder)
            (directory / "sample.py").write_text(SAMPLE)
            (directory / "unittest.cfg").write_text(CONFIG)
            lines = [f"sample.Sample.{name} | command | seen | 1\n" for name in listed]
            (directory / "known-red.txt").write_text("".join(lines))
            return subprocess.run(
                [sys.executable, "-c", RUN, f"sample.Sample.{test}"],
                cwd=directory,
                env={"PYTHONPATH": f"{ROOT}:{ROOT / 'src'}:{directory}"},
                capture_output=True,
                check=False,
            ).returncode

    def test_failure_passes_only_if_it_is_listed(self) -> None:
        self.assertEqual(self.exit_code("test_fails", "test_fails"), 0)
        self.assertEqual(self.exit_code("test_fails", "test_passes"), 1)

    def test_listed_test_that_passes_fails_the_run(self) -> None:
        """Guards against entries that stay listed after their fault was mended."""
        self.assertEqual(self.exit_code("test_passes", "test_passes"), 1)
        self.assertEqual(self.exit_code("test_passes"), 0)

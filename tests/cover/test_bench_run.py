"""The runner of the benches: an exceeded bound fails the run without hiding other results."""

import json
import tempfile
import types
import unittest
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from unittest import mock

from bench import run


def module(name: str, *, broken: bool = False) -> types.ModuleType:
    made = types.ModuleType(f"bench.{name}")

    def measure(short: bool) -> list[str]:
        assert not broken, "ratio 3.0, bound 2.0"
        return [f"short={short}"]

    vars(made).update(run=measure, figures=lambda: {"ms": {"p50": 1.0}})
    return made


class BenchRunTest(unittest.TestCase):
    def test_missing_modules_are_left_out(self) -> None:
        self.assertEqual(run.find_modules(["no_such_module"]), [])

    def test_broken_bound_ends_with_1_after_the_others_ran(self) -> None:
        printed = StringIO()
        modules = [module("one", broken=True), module("two")]
        with mock.patch.object(run, "find_modules", lambda: modules), redirect_stdout(printed):
            self.assertEqual(run.main(["short"]), 1)
        self.assertIn("BROKEN BOUND in bench one: ratio 3.0, bound 2.0", printed.getvalue())
        self.assertIn("short=True", printed.getvalue())

    def test_results_are_written_with_a_plot(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            run.write_results(run.measure(module("one"), short=False), Path(directory))
            value = json.loads((Path(directory) / "one.json").read_text())
            self.assertEqual(value["figures"], {"ms": {"p50": 1.0}})
            self.assertTrue((Path(directory) / "one.png").read_bytes().startswith(b"\x89PNG"))

"""Reading and comparing rounds: only runs of the same day and seed may be compared."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from bench.rounds import Play, Report, compare_rounds, describe, main, read_round
from click.testing import CliRunner


def report(worth: float, broken: tuple[str, ...] = ()) -> Report:
    parts = {"whole day": worth, "prices": 0.1}
    return Report(worth, parts, {"read": worth}, {"a-1": worth}, {"0": worth}, broken)


class RoundsTest(unittest.TestCase):
    def test_only_plays_of_both_rounds_are_compared(self) -> None:
        before = {Play("d", 0): report(0.5), Play("d", 1): report(0.6), Play("e", 0): report(0.1)}
        after = {Play("d", 0): report(0.6), Play("d", 1): report(0.6), Play("f", 0): report(0.9)}
        lines = compare_rounds(before, after)
        self.assertIn("0.550 -> 0.600  +0.050", lines[0])
        self.assertIn("+0.0500 (standard error 0.0500, 2 plays)", lines[1])

    def test_broken_rules_are_printed(self) -> None:
        plays = {Play("d", 3): report(0.5, ("TWICE",))}
        self.assertEqual(describe(plays)[-1], "BROKEN d seed 3: TWICE")
        self.assertEqual(compare_rounds(plays, plays)[-1], "BROKEN d seed 3: TWICE")

    def test_reports_are_read_by_day_and_seed(self) -> None:
        group = {"name": "x", "worth": 0.7}
        document = {
            "G": 0.7,
            "all": {"n": 10, "in_aim": 6, "late": 2, "refused": 1, "failed": 1},
            "parts": [["whole day", 0.2, 0.8]],
            "prices": [["machines", 5.0, 0.02], ["probes", 1.0, 0.001]],
            "classes": [group],
            "zones": [group],
            "windows": [group],
            "breaks": {"LOST": 4},
        }
        with TemporaryDirectory() as folder:
            path = Path(folder) / Play("days/own.toml", 7).file_name
            path.write_bytes(msgspec.json.encode(document))
            ((play, found),) = read_round(Path(folder)).items()
            shown = CliRunner().invoke(main, ["show", folder])
        self.assertEqual(play, Play("own", 7))
        self.assertEqual((found.worth, found.broken), (0.7, ["LOST"]))
        self.assertAlmostEqual(found.parts["prices"], 0.021)
        self.assertEqual(found.parts["in time"], 0.6)
        self.assertIn("BROKEN own seed 7: LOST", shown.output)

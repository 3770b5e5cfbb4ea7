"""The bounds of the benches of locality and moves hold."""

import unittest

from bench import locality, moves


class PolicyBenchesTest(unittest.TestCase):
    def test_locality(self) -> None:
        self.assertEqual(len(locality.run(True)), 3)

    def test_moves(self) -> None:
        self.assertEqual(len(moves.run(True)), 4)

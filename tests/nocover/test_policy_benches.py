"""Run the models of locality and moves, which check their own bounds."""

import unittest

from bench import locality, moves


class PolicyBenchesTest(unittest.TestCase):
    def test_locality(self) -> None:
        self.assertEqual(len(locality.run(True)), 3)

    def test_moves(self) -> None:
        self.assertEqual(len(moves.run(True)), 4)

"""The verdict's names on the wire."""

import unittest

from wagtailpoint import Verdict


class VerdictTest(unittest.TestCase):
    def test_names_on_the_wire(self) -> None:
        self.assertEqual([verdict.value for verdict in Verdict], ["ran", "not-run", "may-have-run"])

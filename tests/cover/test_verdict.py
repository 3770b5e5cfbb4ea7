"""The values of the verdict on the wire."""

import unittest

from wagtailpoint import Verdict


class VerdictTest(unittest.TestCase):
    def test_values_on_the_wire(self) -> None:
        self.assertEqual([verdict.value for verdict in Verdict], ["ran", "not-run", "may-have-run"])

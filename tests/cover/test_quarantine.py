"""Requests that crash backend servers: which are the same, which are shut out."""

import unittest
from typing import Any

from wagtailpoint.quarantine.fingerprint import fingerprint

ASKED: dict[str, Any] = {"method": "GET", "host": "h", "target": "/r/7/1", "body": b""}


class FingerprintTest(unittest.TestCase):
    def test_repeat_of_a_caller_has_the_same(self) -> None:
        self.assertEqual(fingerprint(**ASKED), fingerprint(**{**ASKED, "host": "H"}))

    def test_whatever_a_backend_server_sees_makes_another(self) -> None:
        others: list[dict[str, Any]] = [
            {"method": "POST"},
            {"host": "g"},
            {"target": "/r/7/2"},
            {"body": b"x"},
            {"credentials": b"someone"},
        ]
        found = {fingerprint(**{**ASKED, **other}) for other in others} | {fingerprint(**ASKED)}
        self.assertEqual(len(found), len(others) + 1)

    def test_parts_can_not_be_moved_from_one_to_the_next(self) -> None:
        moved = fingerprint(**{**ASKED, "host": "h/r", "target": "/7/1"})
        self.assertNotEqual(moved, fingerprint(**ASKED))

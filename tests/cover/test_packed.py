"""Packing of values with long lists of strings."""

import unittest

from wagtailpoint.config.blocks import BlockReader
from wagtailpoint.config.manifest import compute_hash
from wagtailpoint.config.packed import PackedTexts, pack, unpack

NETWORKS = [f"10.{number}.0.0/16" for number in range(200)]
VALUE = {"region": "kolkata", "networks": NETWORKS}


class PackedTest(unittest.TestCase):
    def test_packing_keeps_the_hash(self) -> None:
        self.assertIsNot(pack(VALUE)["networks"], NETWORKS)
        self.assertEqual(compute_hash(pack(VALUE)), compute_hash(VALUE))
        self.assertEqual(unpack(pack(VALUE)), VALUE)

    def test_values_without_long_lists_of_strings_are_unchanged(self) -> None:
        for value in ("x", None, ["a"] * 100, {"a": list(range(100))}, {"a": ["b"]}):
            self.assertEqual(pack(value), value)
            self.assertEqual(unpack(value), value)

    def test_packed_objects_are_read_like_others(self) -> None:
        texts = PackedTexts(NETWORKS)
        self.assertEqual((list(texts), len(texts), texts[3]), (NETWORKS, 200, NETWORKS[3]))
        self.assertEqual(texts, PackedTexts(list(NETWORKS)))
        self.assertEqual(
            BlockReader().read({"a": pack(VALUE)}, []), BlockReader().read({"a": VALUE}, [])
        )

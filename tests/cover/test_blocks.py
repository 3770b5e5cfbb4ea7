"""Client blocks: the list of all blocks, and reading only changed objects."""

import unittest
from typing import Any

from wagtailpoint.config.blocks import BlockList, BlockReader, RegionBlocks, is_network
from wagtailpoint.config.model import ClientBlock
from wagtailpoint.errors import Mistake


class BlockListTest(unittest.TestCase):
    def test_is_a_sequence(self) -> None:
        parts = [RegionBlocks("x", ("a", "b")), RegionBlocks("z", ()), RegionBlocks("y", ("c",))]
        blocks = BlockList(parts=parts)
        expected = [ClientBlock("a", "x"), ClientBlock("b", "x"), ClientBlock("c", "y")]
        self.assertEqual(list(blocks), expected)
        self.assertEqual([blocks[0], blocks[1], blocks[-1]], expected)
        self.assertEqual(blocks[1:], expected[1:])
        self.assertEqual((len(blocks), len(BlockList(parts=()))), (3, 0))
        self.assertEqual(blocks, BlockList(parts=parts))
        self.assertNotEqual(blocks, BlockList(parts=parts[:1]))
        with self.assertRaises(IndexError):
            blocks[-4]


class BlockReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = BlockReader()
        self.first: Any = {"region": "x", "networks": ["10.0.0.0/8"]}
        self.second: Any = {"region": "y", "networks": ["11.0.0.0/8"]}

    def read(self, values: Any) -> tuple[BlockList, list[str]]:
        mistakes: list[Mistake] = []
        blocks = self.reader.read(values, mistakes)
        return blocks, [mistake.path for mistake in mistakes]

    def test_unchanged_objects_give_the_same_list(self) -> None:
        values = {"a": self.first, "b": self.second}
        before = self.read(values)[0]
        self.assertIs(self.read(dict(values))[0], before)
        changed = self.read({"a": self.first, "b": {"region": "y", "networks": []}})[0]
        self.assertEqual(list(changed), [ClientBlock("10.0.0.0/8", "x")])
        self.assertEqual(len(self.read({"a": self.first})[0]), 1)

    def test_mistake_is_reported_on_each_read(self) -> None:
        """Guards against accepting, on the second read, an object that the first read rejected.

        The reader skips unchanged objects. If it also remembered rejected ones, instances would
        enforce a configuration that the command-line tool rejects.
        """
        values = {"a": self.first, "b": {"region": "y", "networks": ["10.0.0.0/8", "x"]}}
        for _ in range(2):
            self.assertEqual(self.read(values)[1], ["blocks/b: networks[1]", "blocks/b: networks"])
        self.assertEqual(self.read({"a": self.first, "b": self.second})[1], [])


class NetworkTest(unittest.TestCase):
    def test_networks(self) -> None:
        for text in ("0.0.0.0/0", "10.1.2.3/32", "2001:db8::/32", "::/0"):
            self.assertTrue(is_network(text), text)
        for text in ("", "/", "10.0.0.0", "10.0.0.0/", "10.0.0.0/-1", "10.0.0.0/255.0.0.0"):
            self.assertFalse(is_network(text), text)
        for text in (
            "10.0.0.0/\u00b2",
            "10.0.0.0/0000",
            "x/8",
            "10.0.0.\0/8",
            "1::/129",
            "1::2/64",
        ):
            self.assertFalse(is_network(text), text)

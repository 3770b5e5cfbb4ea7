"""Validation of JSON input field by field."""

import unittest
from typing import Any

from wagtailpoint.checking import ObjectReader, did_you_mean, parse_json, show
from wagtailpoint.errors import Mistake


class ParseJsonTest(unittest.TestCase):
    def test_rejects_invalid_json_documents(self) -> None:
        for text in (b"{,}", b"\xff", b'"\\ud800"', b"1" * 5000, b"[" * 100_000, b""):
            with self.subTest(text=text[:10]):
                mistakes = parse_json(text, path="x.json").unwrap_err().mistakes
                self.assertEqual([mistake.path for mistake in mistakes], ["x.json"])

    def test_returns_the_parsed_value(self) -> None:
        self.assertEqual(parse_json('{"a": "\u00e9"}', path="x.json").unwrap(), {"a": "\u00e9"})


class ObjectReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.mistakes: list[Mistake] = []

    def reader(self, value: Any, path: str = "move/x: ") -> ObjectReader:
        return ObjectReader(value=value, path=path, mistakes=self.mistakes)

    def paths(self) -> list[str]:
        return [mistake.path for mistake in self.mistakes]

    def test_valid_values(self) -> None:
        reader = self.reader({"a": "x", "b": 2, "c": True, "d": {"e": 1.5}})
        self.assertEqual(reader.text("a"), "x")
        self.assertEqual(reader.integer("b", unit="slots"), 2)
        self.assertTrue(reader.flag("c"))
        self.assertEqual(reader.child("d").number("e", unit="seconds"), 1.5)
        reader.finish()
        self.assertEqual(self.mistakes, [])

    def test_boolean_is_not_a_number(self) -> None:
        reader = self.reader({"a": True, "b": False})
        reader.number("a", unit="seconds")
        reader.integer("b", unit="slots")
        self.assertEqual(self.paths(), ["move/x: a", "move/x: b"])

    def test_value_of_the_wrong_type_is_a_single_mistake(self) -> None:
        reader = self.reader([1], path="")
        reader.text("a")
        reader.child("b").text("c")
        reader.finish()
        self.assertEqual(self.paths(), ["(top)"])

    def test_nested_paths(self) -> None:
        reader = self.reader({"a": [{"b": {"c": 1}}]})
        reader.objects("a", expected="things")[0].child("b").text("c")
        self.assertEqual(self.paths(), ["move/x: a[0].b.c"])

    def test_unknown_fields(self) -> None:
        reader = self.reader({"timeout_s": 2})
        reader.number("timeout_ms", unit="milliseconds", above=0)
        reader.finish()
        expected = {item.path: item.expected for item in self.mistakes}
        self.assertIn("a number (milliseconds) above 0", expected["move/x: timeout_ms"])
        self.assertIn("did you mean 'timeout_ms'?", expected["move/x: timeout_s"])

    def test_messages(self) -> None:
        self.assertEqual(did_you_mean("kolkatta", ["kolkata", "siliguri"])[-10:], "'kolkata'?")
        self.assertEqual(len(show("x" * 1000)), 60)

"""Splitting and decoding JSON part by part."""

import json
import unittest
from typing import Any

import msgspec

from tests.common.odd_values import NESTED, SURROGATE, UNREADABLE
from wagtailpoint.adapters.json_parts import (
    MAX_NESTING,
    decode_parts,
    decode_value,
    split_array,
    split_object,
)
from wagtailpoint.errors import MAX_DESCRIPTION_CHARACTERS
from wagtailpoint.untrusted_input import decode_json


class _Inner(msgspec.Struct):
    name: str
    count: int = 0


class _Document(msgspec.Struct):
    inner: _Inner
    items: list[msgspec.Raw]
    value: msgspec.Raw = msgspec.Raw(b"null")


def nested(depth: int) -> str:
    return "[" * depth + "1" + "]" * depth


class SplitTest(unittest.TestCase):
    def test_array(self) -> None:
        items: list[Any] = [1, -2.5e3, "", 'a"]},\\', None, [], {}, [[{"x": []}], "]"], {"[": "}"}]
        for separators in ((",", ":"), (" , ", " : "), ("\n,", "\t: ")):
            texts = split_array(json.dumps(items, separators=separators))
            self.assertEqual([json.loads(text) for text in texts], items)
        for empty in ("[]", " [ ] "):
            self.assertEqual(split_array(empty), [])

    def test_object(self) -> None:
        self.assertEqual(
            split_object(' {"a" : {"b":[1]}, "c":"}" }'), {"a": '{"b":[1]}', "c": '"}"'}
        )
        self.assertEqual(split_object('{"\\u0061":1,"a":2}'), {"a": "2"})
        self.assertEqual(split_object("{}"), {})

    def test_unreadable_parts_are_kept_whole(self) -> None:
        for text in UNREADABLE:
            with self.subTest(text=text[:20]):
                self.assertEqual(split_array(f'[1,{text},"2"]'), ["1", text, '"2"'])
                self.assertEqual(split_object(f'{{"a":{text},"b":2}}'), {"a": text, "b": "2"})
        self.assertEqual(split_object(f'{{{SURROGATE}:1,"b":2}}'), {"b": "2"})

    def test_text_that_breaks_off(self) -> None:
        for text in ("", "[", "[1", "[1,", '["a', "[[1]", "[1 2]", "[,1]", "{}", "1", NESTED[:-1]):
            with self.subTest(text=text[:20]), self.assertRaises(ValueError):
                split_array(text)
        for text in ('{"a"', '{"a":', '{"a":1', '{"a":{}', "[]", '{"a"}'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                split_object(text)

    def test_long_text_that_breaks_off(self) -> None:
        """Guards against an instance that is busy for minutes with a page that was cut short."""
        for text in ("x", "[]", '""', '"x', "\\", '"\\'):
            with self.subTest(text=text), self.assertRaises(ValueError):
                split_array('[{"a":[' + text * 500_000)


class DecodeTest(unittest.TestCase):
    def test_fields_are_decoded_alone_beside_an_unreadable_one(self) -> None:
        for text in UNREADABLE:
            inner = f'{{"name":"x","y":{text}}}'
            document = f'{{"value":{text},"y":{text},"items":[{text},2],"inner":{inner}}}'
            with self.subTest(text=text[:20]):
                found = decode_parts(document, _Document).unwrap()
                self.assertEqual(found.inner, _Inner("x"))
                self.assertEqual([bytes(item) for item in found.items], [text.encode(), b"2"])
                self.assertTrue(decode_value(found.value).is_err())

    def test_reason_names_the_field(self) -> None:
        for text, expected in (
            (f'{{"inner":{{"name":{SURROGATE}}},"items":[]}}', "inner: name: "),
            (f'{{"inner":{{"name":1,"x":{NESTED}}},"items":[]}}', "inner: name: "),
            (f'{{"inner":{{"name":"x"}},"value":{NESTED}}}', "given no field items"),
            (f'{{"inner":{{"name":"x"}},"items":{{}},"value":{NESTED}}}', "items: "),
            ("[", "Expected `object`, got `array`"),
        ):
            with self.subTest(text=text[:40]):
                self.assertIn(expected, decode_parts(text, _Document).unwrap_err())

    def test_reason_has_a_limited_length(self) -> None:
        """Guards against log lines as long as the value that they are about."""
        reason = decode_json(json.dumps({"x" * 10_000: 1}), dict[str, str]).unwrap_err()
        self.assertLessEqual(len(reason), MAX_DESCRIPTION_CHARACTERS)

    def test_nesting_is_limited(self) -> None:
        self.assertTrue(decode_value(msgspec.Raw(nested(MAX_NESTING).encode())).is_ok())
        self.assertTrue(decode_value(msgspec.Raw(nested(MAX_NESTING + 1).encode())).is_err())
        flat = json.dumps([{}] * 1000)
        self.assertEqual(decode_value(msgspec.Raw(flat.encode())).unwrap(), [{}] * 1000)

"""Numbers, values and JSON documents that any writer may have sent."""

import unittest
import zlib

from tests.common.odd_values import NESTED, SURROGATE, UNREADABLE
from wagtailpoint.adapters.backend_headers import retry_after_s
from wagtailpoint.adapters.object_calls import Answer
from wagtailpoint.caller.answer import read_retry_after_s, refusal_code
from wagtailpoint.config.manifest import ChangeInfo
from wagtailpoint.errors import MAX_DESCRIPTION_CHARACTERS, InvalidInput
from wagtailpoint.lookup.prefixes import network_key
from wagtailpoint.membership.config_delta import BrokenDelta, apply_delta
from wagtailpoint.platform.settings import decode_node_settings
from wagtailpoint.untrusted_input import MAX_DIGITS, decode_json, parse_count, read_value

ODD_NUMBERS = (b"", b"-1", b"+1", b"1.5", b"1 ", b" 1", b"1_0", b"\xb2", b"9" * 400, b"9" * 5000)


class ParseCountTest(unittest.TestCase):
    def test_digits(self) -> None:
        for text in ("0", "007", "18446744073709551615", b"12"):
            self.assertEqual(parse_count(text), int(text))

    def test_other_text(self) -> None:
        for text in (*ODD_NUMBERS, "²", "٣", "\ud800", "1" * (MAX_DIGITS + 1)):
            self.assertIsNone(parse_count(text), text[:30])

    def test_odd_retry_after_is_none(self) -> None:
        """Guards against an infinite delay, and an error, for a header of thousands of digits."""
        for value in ODD_NUMBERS:
            headers = [(b"retry-after", value)]
            self.assertIsNone(Answer(503, b"", headers).retry_after_s)
            self.assertIsNone(retry_after_s(headers))
            self.assertEqual(read_retry_after_s(headers), 0.0)

    def test_odd_prefix_length_is_invalid(self) -> None:
        """Guards against an error that no reader of a configuration expects."""
        for text in ("10.0.0.0/²", "10.0.0.0/" + "9" * 5000, "10.0.0.0/33"):
            with self.assertRaises(InvalidInput):
                network_key(text)


class DecodeTest(unittest.TestCase):
    def test_unreadable_documents(self) -> None:
        """Guards against errors that are not those of the documented kind."""
        for text in (*UNREADABLE, f'{{"code":{NESTED}}}', "[", ""):
            with self.subTest(text=text[:20]):
                self.assertIsNone(refusal_code(400, text.encode()))
                mistakes = decode_node_settings(text.encode()).unwrap_err().mistakes
                self.assertTrue(mistakes)
        reason = decode_json(b'"' + b"x" * 10_000 + b'"', int).unwrap_err()
        self.assertLessEqual(len(reason), MAX_DESCRIPTION_CHARACTERS)

    def test_value_of_another_type(self) -> None:
        for value in (None, 7, {"a": "x"}, {"a": 10**400}, {7: 8.0}, object()):
            self.assertTrue(read_value(value, dict[str, float]).is_err(), value)

    def test_unreadable_delta_is_broken(self) -> None:
        """Guards against instances that end for a configuration that a peer passes on."""
        change = ChangeInfo(2, "c", "a", 0.0, "")
        for text in (NESTED, SURROGATE, f'{{"puts":{{"x":{NESTED}}},"deletes":[]}}'):
            data = zlib.compress(text.encode())
            with self.assertRaises(BrokenDelta):
                apply_delta(None, data, change=change, digest=b"")

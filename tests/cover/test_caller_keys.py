"""Verdicts for a key that several tasks of a caller send concurrently."""

import unittest

from wagtailpoint import headers
from wagtailpoint.caller.answer import read_verdict
from wagtailpoint.caller.entries import KnownEntry
from wagtailpoint.caller.exchange import EntryAddress, FailedExchange, Reply
from wagtailpoint.caller.keys import BoundKey
from wagtailpoint.verdict import Verdict

FIRST_ENTRY = KnownEntry(EntryAddress("127.0.0.1", 1), "a", "a" * 16 + ".1")
SECOND_ENTRY = KnownEntry(EntryAddress("127.0.0.1", 2), "b", "b" * 16 + ".1")
REFUSED = Reply(503, [(headers.VERDICT, b"not-run")], b"{}")


class BoundKeyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bound = BoundKey()

    def send(self, entry: KnownEntry) -> KnownEntry:
        bound = self.bound.bind(entry)
        self.bound.record_copy()
        return bound

    def settle(self, entry: KnownEntry, reply: Reply) -> Verdict:
        settled = self.bound.settle(entry, reply)
        assert isinstance(settled, Reply)
        return read_verdict(settled.headers)

    def test_refusal_of_an_earlier_attempt_keeps_the_binding(self) -> None:
        """Guards against a release that is paid twice by two tasks with one key.

        Both copies are refused. After the first refusal one task binds the key to another entry,
        where it runs. The second refusal belongs to the earlier attempt, so that the other task
        must not bind the key once more.
        """
        first, second = self.send(FIRST_ENTRY), self.send(FIRST_ENTRY)
        self.assertEqual(self.settle(first, REFUSED), Verdict.NOT_RUN)
        running = self.send(SECOND_ENTRY)
        self.assertEqual(self.settle(second, REFUSED), Verdict.MAY_HAVE_RUN)
        self.assertIs(self.bound.entry, running)

    def test_unsent_copy_of_an_earlier_attempt_keeps_the_binding(self) -> None:
        """As above, but the second copy of the earlier attempt gets no connection."""
        first, second = self.send(FIRST_ENTRY), self.send(FIRST_ENTRY)
        self.settle(first, REFUSED)
        running = self.send(SECOND_ENTRY)
        self.bound.settle(second, FailedExchange(False, "ConnectError"))
        self.assertIs(self.bound.entry, running)

    def test_key_stays_bound_if_one_of_two_copies_was_sent(self) -> None:
        first = self.send(FIRST_ENTRY)
        self.send(FIRST_ENTRY)
        self.bound.settle(first, FailedExchange(False, "ConnectError"))
        self.assertIs(self.bound.entry, first)

    def test_not_run_is_not_certain_during_another_call(self) -> None:
        with self.bound.call():
            self.assertTrue(self.bound.is_not_run_certain)
            with self.bound.call():
                self.assertFalse(self.bound.is_not_run_certain)
            self.send(FIRST_ENTRY)
            self.assertFalse(self.bound.is_not_run_certain)

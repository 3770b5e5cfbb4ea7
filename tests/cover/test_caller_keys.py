"""What a caller concludes for a key that several of its tasks send at the same time."""

import unittest

from wagtailpoint import headers
from wagtailpoint.caller.answer import read_verdict
from wagtailpoint.caller.entries import KnownEntry
from wagtailpoint.caller.exchange import Broken, EntryAddress, Reply
from wagtailpoint.caller.keys import BoundKey
from wagtailpoint.verdict import Verdict

ONE = KnownEntry(EntryAddress("127.0.0.1", 1), "a", "a" * 16 + ".1")
TWO = KnownEntry(EntryAddress("127.0.0.1", 2), "b", "b" * 16 + ".1")
REFUSED = Reply(503, [(headers.VERDICT, b"not-run")], b"{}")


class BoundKeyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bound = BoundKey()

    def send(self, entry: KnownEntry) -> KnownEntry:
        bound = self.bound.bind(entry)
        self.bound.note_copy()
        return bound

    def settle(self, entry: KnownEntry, reply: Reply) -> Verdict:
        settled = self.bound.settle(entry, reply)
        assert isinstance(settled, Reply)
        return read_verdict(settled.headers)

    def test_second_refusal_of_an_attempt_that_is_over(self) -> None:
        """A release is paid twice by two tasks with one key.

        Both copies are refused; on the first refusal one task binds the key to another entry,
        where it runs; on the second refusal the other task binds it anew. Cause: the second
        refusal was taken for one of the attempt that runs.
        """
        first, second = self.send(ONE), self.send(ONE)
        self.assertEqual(self.settle(first, REFUSED), Verdict.NOT_RUN)
        running = self.send(TWO)
        self.assertEqual(self.settle(second, REFUSED), Verdict.MAY_HAVE_RUN)
        self.assertIs(self.bound.entry, running)

    def test_copy_of_an_attempt_that_is_over_never_left(self) -> None:
        """As above, but the second copy of the attempt that is over finds no connection."""
        first, second = self.send(ONE), self.send(ONE)
        self.settle(first, REFUSED)
        running = self.send(TWO)
        self.bound.settle(second, Broken(False, "ConnectError"))
        self.assertIs(self.bound.entry, running)

    def test_one_of_two_copies_never_left(self) -> None:
        first = self.send(ONE)
        self.send(ONE)
        self.bound.settle(first, Broken(False, "ConnectError"))
        self.assertIs(self.bound.entry, first)

    def test_not_run_is_not_certain_while_another_call_goes_on(self) -> None:
        with self.bound.call():
            self.assertTrue(self.bound.is_not_run_certain)
            with self.bound.call():
                self.assertFalse(self.bound.is_not_run_certain)
            self.send(ONE)
            self.assertFalse(self.bound.is_not_run_certain)

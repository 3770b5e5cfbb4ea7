"""Binding of a keyed request to the one process that may run it."""

import re
import secrets
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailpoint.errors import Mistake

_TEXT = re.compile(r"([0-9a-f]{16})\.([1-9][0-9]{0,14})(?:\.([1-9][0-9]{0,5}))?")
_EXPECTED = "INCARNATION.EPOCH or INCARNATION.EPOCH.ATTEMPT, as in 00c0ffee00c0ffee.12.1"


def new_incarnation() -> str:
    """Return a random id for a process from start to end: 16 hexadecimal digits."""
    return secrets.token_hex(8)


class Binding(NamedTuple):
    """The process, epoch and attempt that a keyed request is bound to.

    Attributes:
        incarnation: The only process that may run the request.
        epoch: The epoch of that process in which it issued the binding.
        attempt: The number of the attempt, which the caller raises each time that an attempt was
            answered ``not-run``. Without it a caller could not return to an entry that refused its
            key: the entry could not tell the new attempt from a delayed copy of the refused one.
    """

    incarnation: str
    epoch: int
    attempt: int = 0

    def __str__(self) -> str:
        suffix = f".{self.attempt}" if self.attempt else ""
        return f"{self.incarnation}.{self.epoch}{suffix}"


def parse_binding(text: str) -> Result[Binding, Mistake]:
    """Parse the text form of a binding, as used in the header and in a lookup's answer."""
    match = _TEXT.fullmatch(text)
    if match is None:
        return Err(Mistake("Wagtailpoint-Binding", repr(text[:80]), _EXPECTED))
    incarnation, epoch, attempt = match.groups()
    return Ok(Binding(incarnation, int(epoch), int(attempt or 0)))

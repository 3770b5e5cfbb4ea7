"""The binding: which life of which entry may run a keyed request."""

import re
import secrets
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailpoint.errors import Mistake

_TEXT = re.compile(r"([0-9a-f]{16})\.([1-9][0-9]{0,14})(?:\.([1-9][0-9]{0,5}))?")
_EXPECTED = "INCARNATION.EPOCH or INCARNATION.EPOCH.ATTEMPT, as in 00c0ffee00c0ffee.12.1"


def new_incarnation() -> str:
    """Return the random name of one process life: 16 hexadecimal digits."""
    return secrets.token_hex(8)


class Binding(NamedTuple):
    """What a keyed request is bound to.

    Attributes:
        incarnation: The process that alone may run it.
        epoch: The epoch of that process in which the binding was given out.
        attempt: Raised by the caller each time that the former attempt was answered ``not-run``.
            Without it a caller could not return to an entry that once refused its key, because
            the entry could not tell the new attempt from a late copy of the refused one.
    """

    incarnation: str
    epoch: int
    attempt: int = 0

    def __str__(self) -> str:
        suffix = f".{self.attempt}" if self.attempt else ""
        return f"{self.incarnation}.{self.epoch}{suffix}"


def parse_binding(text: str) -> Result[Binding, Mistake]:
    """Read the text form, as it stands in the header and in a lookup's answer."""
    match = _TEXT.fullmatch(text)
    if match is None:
        return Err(Mistake("Wagtailpoint-Binding", repr(text[:80]), _EXPECTED))
    incarnation, epoch, attempt = match.groups()
    return Ok(Binding(incarnation, int(epoch), int(attempt or 0)))

"""Reading of what any writer may have sent or stored: JSON documents, values and numbers."""

import re
from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from wagtailpoint.errors import describe_error

MAX_DIGITS: Final = 20
"""Of the largest integer of 64 bits."""

_DIGITS: Final = re.compile(rb"[0-9]{1,%d}" % MAX_DIGITS)

_T = TypeVar("_T")


def decode_json(text: str | bytes | msgspec.Raw, wire_type: type[_T]) -> Result[_T, str]:
    """Decode a JSON document.

    Returns:
        The value, or the reason why it can't be decoded, of limited length.
    """
    try:
        return Ok(msgspec.json.decode(text, type=wire_type))
    except Exception as error:
        # Not only `DecodeError`: nesting raises RecursionError.
        return Err(describe_error(error))


def read_value(value: Any, wire_type: type[_T]) -> Result[_T, str]:
    """Convert a decoded value to the type that its reader expects.

    Returns:
        The converted value, or the reason why it is none of that type, of limited length.
    """
    try:
        return Ok(msgspec.convert(value, wire_type))
    except Exception as error:
        # Not only `ValidationError`: what else it raises for odd values is not documented.
        return Err(describe_error(error))


def parse_count(text: str | bytes) -> int | None:
    """Return the number that 1 to ``MAX_DIGITS`` ASCII digits stand for; None for other text.

    ``int`` also takes the digits of other scripts, and raises ValueError for thousands of digits;
    ``isdigit`` is true for more characters than ``int`` takes.
    """
    data = text if isinstance(text, bytes) else text.encode(errors="replace")
    return int(data) if _DIGITS.fullmatch(data) else None

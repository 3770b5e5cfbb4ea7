"""Reading of values from the platform's store, which is open to any writer."""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from wagtailpoint.errors import describe_error

_T = TypeVar("_T")


def read_value(value: Any, wire_type: type[_T]) -> Result[_T, str]:
    """Convert a stored value to the type that its reader expects.

    Returns:
        The converted value, or the reason why it is none of that type, of limited length.
    """
    try:
        return Ok(msgspec.convert(value, wire_type))
    except Exception as error:
        # Not only `ValidationError`: what else it raises for odd values is not documented.
        return Err(describe_error(error))

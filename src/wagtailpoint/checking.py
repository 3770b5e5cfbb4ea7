"""Validates JSON input and collects all mistakes instead of stopping at the first.

If operators saw only one mistake per run, fixing a file would take many runs. A reader therefore
records each mistake, returns a placeholder value of the right type and continues. The caller has to
check the collected mistakes before it uses any value.
"""

import difflib
import json
import re
import sys
from collections.abc import Collection, Iterable
from ipaddress import ip_address
from typing import Any, Final

from result import Err, Ok, Result

from wagtailpoint.errors import InvalidInput, Mistake

MAX_PORT: Final = 65535
_MAX_SHOWN = 60
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
NAME_RULE: Final = "a name of lower-case letters, digits, '-', '.', '_' (at most 63)"


class _Required:
    """The type of ``REQUIRED``, which marks a field without a default."""


REQUIRED: Final = _Required()


def show(value: Any) -> str:
    """Format a value as JSON for an error message, truncated."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    return text if len(text) <= _MAX_SHOWN else text[: _MAX_SHOWN - 3] + "..."


def did_you_mean(given: str, known: Iterable[str]) -> str:
    """Suggest the known name that is closest to the given one.

    Returns:
        ``"; did you mean 'x'?"``, or an empty string if no name is close.
    """
    close = difflib.get_close_matches(given, list(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def describe_choices(choices: Iterable[str]) -> str:
    """Describe the values that a field accepts."""
    listed = ", ".join(sorted(choices))
    return f"one of: {listed}" if listed else "no value (there are none to choose from)"


def check_reference(
    *, path: str, given: str, known: Collection[str], what: str, mistakes: list[Mistake]
) -> bool:
    """Check that a name refers to an existing object; record a mistake if it doesn't.

    Returns:
        Whether the object exists.
    """
    if given in known:
        return True
    if not given:
        return False  # The reader has recorded that it is missing or has a wrong type.
    expected = f"{what}, {describe_choices(known)}{did_you_mean(given, known)}"
    mistakes.append(Mistake(path, show(given), expected))
    return False


def check_name(*, path: str, given: str, mistakes: list[Mistake]) -> None:
    """Check that an object's name follows ``NAME_RULE``; record a mistake if it doesn't."""
    if not _NAME.fullmatch(given):
        mistakes.append(Mistake(path, show(given), NAME_RULE))


def parse_json(text: str | bytes, *, path: str) -> Result[Any, InvalidInput]:
    """Parse JSON; a syntax error is reported with its line and column."""
    try:
        value = json.loads(text)
        # An unpaired surrogate such as "\ud800" is valid JSON but can't be encoded in UTF-8.
        json.dumps(value, ensure_ascii=False).encode()
    except json.JSONDecodeError as error:
        problem = f"{error.msg} at line {error.lineno}, column {error.colno}"
    except RecursionError:
        problem = "nested too deeply"
    except ValueError as error:  # not UTF-8, unpaired surrogate, number with too many digits
        problem = str(error)
    else:
        return Ok(value)
    return Err(InvalidInput([Mistake(path, problem, "a JSON document in UTF-8")]))


class ObjectReader:
    """Reads the fields of one JSON object.

    If a field is missing or invalid, its method records a mistake instead of raising.
    """

    def __init__(
        self, *, value: Any, path: str, mistakes: list[Mistake], absent: bool = False
    ) -> None:
        """Initialise the reader.

        Args:
            value: The parsed JSON value; a mistake is recorded if it isn't an object.
            path: The path of the object; ends in ``": "`` for the top level of a named object.
            mistakes: The list to which mistakes are appended.
            absent: Whether the object is missing. This has been recorded already, so that its
                missing fields record no further mistakes.
        """
        self._path = path
        self._mistakes = mistakes
        self._seen: set[str] = set()
        self._is_object = isinstance(value, dict) and not absent
        self._fields: dict[str, Any] = value if isinstance(value, dict) else {}
        if not isinstance(value, dict):
            self.mistake(None, value, "an object: {...}")

    @property
    def path(self) -> str:
        """The path of the object."""
        return self._path

    def path_of(self, name: str | None) -> str:
        """Return the path of a field, or of the whole object for None."""
        if name is None:
            return self._path.removesuffix(": ") or "(top)"
        separator = "" if not self._path or self._path.endswith(": ") else "."
        return f"{self._path}{separator}{name}"

    def mistake(self, name: str | None, given: Any, expected: str) -> None:
        """Record a mistake in a field, or in the whole object for None."""
        self._mistakes.append(Mistake(self.path_of(name), show(given), expected))

    def has(self, name: str) -> bool:
        """Return whether the object has the field."""
        return name in self._fields

    def names(self) -> tuple[str, ...]:
        """Return the names of the fields that the object has."""
        return tuple(self._fields)

    def mark_known(self, *names: str) -> None:
        """Mark fields as known without reading them."""
        self._seen.update(names)

    def raw(self, name: str) -> Any:
        """Read a field of any type; None if it is missing."""
        self._seen.add(name)
        return self._fields.get(name)

    def _get_field(self, name: str, expected: str, default: Any) -> Any:
        """Return the unchecked value of a field, or its default if the field is missing."""
        self._seen.add(name)
        if name in self._fields:
            return self._fields[name]
        if default is REQUIRED and self._is_object:
            self._mistakes.append(Mistake(self.path_of(name), "nothing", expected))
        return default

    def text(
        self,
        name: str,
        *,
        expected: str = "a string",
        choices: Collection[str] | None = None,
        default: str | _Required = REQUIRED,
    ) -> str:
        """Read a non-empty string."""
        expected_text = describe_choices(choices) if choices is not None else expected
        value = self._get_field(name, expected_text, default)
        if value is REQUIRED:
            return ""
        if not isinstance(value, str) or not value:
            self.mistake(name, value, expected_text)
            return ""
        if choices is not None and value not in choices:
            self.mistake(name, value, expected_text + did_you_mean(value, choices))
        return value

    def name(self, name: str) -> str:
        """Read a string that follows ``NAME_RULE``."""
        value = self.text(name, expected=NAME_RULE)
        if value:
            check_name(path=self.path_of(name), given=value, mistakes=self._mistakes)
        return value

    def ip_number(self, name: str) -> str:
        """Read an IP number."""
        expected = 'an IP number such as "10.0.0.7"'
        value = self.text(name, expected=expected)
        if value and not is_ip_number(value):
            self.mistake(name, value, expected + " of one host; names are not resolved")
        return value

    def port(self, name: str) -> int:
        """Read a port number."""
        return self.integer(name, unit="port", minimum=1, maximum=MAX_PORT)

    def flag(self, name: str, *, default: bool | _Required = REQUIRED) -> bool:
        """Read a boolean."""
        value = self._get_field(name, "true or false", default)
        if value is REQUIRED:
            return False
        if not isinstance(value, bool):
            self.mistake(name, value, "true or false")
            return False
        return value

    def number(
        self,
        name: str,
        *,
        unit: str,
        above: float | None = None,
        minimum: float | None = None,
        maximum: float | None = None,
        default: float | _Required = REQUIRED,
    ) -> float:
        """Read a finite number.

        Args:
            name: The name of the field.
            unit: The unit for error messages, for example ``seconds``.
            above: The exclusive lower bound.
            minimum: The inclusive lower bound.
            maximum: The inclusive upper bound.
            default: The value if the field is missing.
        """
        expected = "a number" + describe_range(unit, above, minimum, maximum)
        value = self._get_field(name, expected, default)
        if value is REQUIRED:
            return 0.0
        if not is_number(value) or not in_range(value, above, minimum, maximum):
            self.mistake(name, value, expected)
            return 0.0
        return float(value)

    def optional_number(self, name: str, *, unit: str, above: float | None = None) -> float | None:
        """Read a number; None if it is missing or null."""
        if self._fields.get(name) is None:
            self._seen.add(name)
            return None
        return self.number(name, unit=unit, above=above)

    def integer(
        self,
        name: str,
        *,
        unit: str,
        minimum: int | None = None,
        maximum: int | None = None,
        default: int | _Required = REQUIRED,
    ) -> int:
        """Read a whole number."""
        expected = "a whole number" + describe_range(unit, None, minimum, maximum)
        value = self._get_field(name, expected, default)
        if value is REQUIRED:
            return 0
        whole = isinstance(value, int) and not isinstance(value, bool)
        if not whole or not in_range(value, None, minimum, maximum):
            self.mistake(name, value, expected)
            return 0
        return int(value)

    def items(self, name: str, *, expected: str, default: Any = REQUIRED) -> list[Any]:
        """Read a list with unchecked items."""
        expected_list = f"a list of {expected}"
        value = self._get_field(name, expected_list, default)
        if value is REQUIRED:
            return []
        if not isinstance(value, list):
            self.mistake(name, value, expected_list)
            return []
        return value

    def texts(self, name: str, *, expected: str, default: Any = REQUIRED) -> tuple[str, ...]:
        """Read a list of non-empty strings."""
        values = self.items(name, expected=expected, default=default)
        for index, value in enumerate(values):
            if not isinstance(value, str) or not value:
                self.mistake(f"{name}[{index}]", value, "a string")
        return tuple(value for value in values if isinstance(value, str) and value)

    def numbers(self, name: str, *, expected: str) -> tuple[float, ...]:
        """Read a list of finite numbers."""
        values = self.items(name, expected=expected)
        for index, value in enumerate(values):
            if not is_number(value):
                self.mistake(f"{name}[{index}]", value, "a number")
        return tuple(float(value) for value in values if is_number(value))

    def lists(self, name: str, *, expected: str) -> "dict[str, list[ObjectReader]]":
        """Read an object that maps user-defined names to lists of objects."""
        inner = self.child(name)
        for key in inner.names():
            check_name(path=inner.path_of(key), given=key, mistakes=self._mistakes)
        return {key: inner.objects(key, expected=expected) for key in inner.names()}

    def objects(self, name: str, *, expected: str, default: Any = REQUIRED) -> "list[ObjectReader]":
        """Read a list of objects; return a reader for each."""
        values = self.items(name, expected=expected, default=default)
        return [self._reader(f"{name}[{index}]", value) for index, value in enumerate(values)]

    def child(self, name: str, *, default: Any = REQUIRED) -> "ObjectReader":
        """Read an object; return a reader for it."""
        value = self._get_field(name, "an object: {...}", default)
        if value is REQUIRED:
            field_path = self.path_of(name)
            return ObjectReader(value={}, path=field_path, mistakes=self._mistakes, absent=True)
        return self._reader(name, value)

    def mapping(self, name: str, *, default: Any = REQUIRED) -> dict[str, Any]:
        """Read an object that maps user-defined names to unchecked values."""
        value = self._get_field(name, "an object: {...}", default)
        if value is REQUIRED:
            return {}
        if not isinstance(value, dict):
            self.mistake(name, value, "an object: {...}")
            return {}
        return value

    def named_objects(self, name: str, *, default: Any = REQUIRED) -> "dict[str, ObjectReader]":
        """Read an object that maps user-defined names to objects; return a reader for each."""
        readers = {}
        for key, value in self.mapping(name, default=default).items():
            field_path = f"{name}.{key}"
            check_name(path=self.path_of(field_path), given=key, mistakes=self._mistakes)
            readers[key] = self._reader(field_path, value)
        return readers

    def finish(self) -> None:
        """Record unknown fields as mistakes, so that a mistyped field isn't silently ignored."""
        for name in self._fields:
            if name not in self._seen:
                expected = f"no such field{did_you_mean(name, self._seen)}"
                known = ", ".join(sorted(self._seen))
                self.mistake(name, self._fields[name], f"{expected} (known fields: {known})")

    def _reader(self, name: str, value: Any) -> "ObjectReader":
        return ObjectReader(value=value, path=self.path_of(name), mistakes=self._mistakes)


def is_ip_number(value: str) -> bool:
    """Return whether a string is an IP number of one host.

    ``0.0.0.0`` is rejected: an instance's address is sent to others, which couldn't connect to it.
    """
    try:
        return not ip_address(value).is_unspecified
    except ValueError:
        return False


def is_number(value: Any) -> bool:
    """Return whether a value is a finite number; booleans aren't numbers."""
    # math.isfinite raises for an integer that is too large for a float.
    number = isinstance(value, int | float) and not isinstance(value, bool)
    return number and abs(value) <= sys.float_info.max


def in_range(
    value: float, above: float | None, minimum: float | None, maximum: float | None
) -> bool:
    """Return whether a number is within its bounds."""
    return (
        (above is None or value > above)
        and (minimum is None or value >= minimum)
        and (maximum is None or value <= maximum)
    )


def describe_range(
    unit: str, above: float | None, minimum: float | None, maximum: float | None
) -> str:
    """Describe a unit and bounds, for example `` (seconds) above 0 up to 60``."""
    parts = [f" ({unit})"]
    if above is not None:
        parts.append(f"above {above:g}")
    if minimum is not None:
        parts.append(f"from {minimum:g}")
    if maximum is not None:
        parts.append(f"up to {maximum:g}")
    return " ".join(parts)

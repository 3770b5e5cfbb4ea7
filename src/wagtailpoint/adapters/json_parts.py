"""JSON from any writer, decoded part by part: one bad part does not hide the others.

The decoder validates a document as a whole, including the values that it keeps as raw text, and
recurses into nested ones. So one string or one nested value makes a document with hundreds of
others unreadable. A document that can't be decoded as a whole is therefore split into its parts
without recursion and without reading them.
"""

import re
from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from wagtailpoint.errors import describe_error
from wagtailpoint.untrusted_input import decode_json

MAX_NESTING: Final = 32
"""Maximum nesting of arrays and objects in a value. Encoding, comparison and ``repr`` recurse into
a value, on a stack that may be nearly used up where they are called."""

_STRING: Final = r'"(?:[^"\\]++|\\.)*+"'
_NEXT_BRACKETS: Final = re.compile(rf'(?:[^"\[\]{{}}]++|{_STRING})*+([\[{{]+|[\]}}]+)', re.DOTALL)
"""The next run of brackets of one kind, behind strings and whatever else has no meaning here."""

_PLAIN_VALUE: Final = re.compile(rf'{_STRING}|[^\s,:"\[\]{{}}]+', re.DOTALL)
_SEPARATOR: Final = re.compile(r"\s*([,:\]}])\s*")

_CONTAINERS: Final = (list, dict)

_Struct = TypeVar("_Struct", bound=msgspec.Struct)


def decode_value(text: msgspec.Raw) -> Result[Any, str]:
    """Decode a value of any form.

    Returns:
        The value, or the reason why it is unusable: it can't be decoded, is nested in more than
        ``MAX_NESTING`` levels, or has an integer that instances can't send each other.
    """
    decoded = decode_json(text, Any)
    if isinstance(decoded, Err):
        return decoded
    # Nearly all values have too few brackets for that, in strings or not.
    encoded = bytes(text)
    may_be_deep = encoded.count(b"[") + encoded.count(b"{") > MAX_NESTING
    if may_be_deep and not _is_flat(decoded.ok_value):
        return Err(f"nested in more than {MAX_NESTING} levels")
    try:
        # JSON has integers of any length, MessagePack only those of 64 bits.
        msgspec.msgpack.encode(decoded.ok_value)
    except Exception as error:
        return Err(describe_error(error))
    return decoded


def decode_parts(text: str | bytes | msgspec.Raw, wire_type: type[_Struct]) -> Result[_Struct, str]:
    """Decode an object, field by field if that is not possible as a whole.

    Fields of type ``Raw`` and the items of ``list[Raw]`` are kept as they are. They may then be
    invalid, and the other fields are decoded nevertheless. Unknown fields are not read.

    Args:
        text: The JSON text, in valid UTF-8 if given as bytes.
        wire_type: The type of the object; the fields of inner structs are decoded alone, too.

    Returns:
        The object, or the reason why a field that is not raw can't be decoded.
    """
    whole = decode_json(text, wire_type)
    if isinstance(whole, Ok):
        return whole
    try:
        parts = split_object(text if isinstance(text, str) else bytes(text).decode())
    except ValueError:
        return whole
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(wire_type):
        if field.encode_name not in parts:
            if field.required:
                return Err(f"given no field {field.encode_name}, expected one")
            continue
        decoded = _decode_part(parts[field.encode_name], field.type)
        if isinstance(decoded, Err):
            return Err(f"{field.encode_name}: {decoded.err_value}")
        values[field.name] = decoded.ok_value
    return Ok(wire_type(**values))


def split_object(text: str) -> dict[str, str]:
    """Return the text of each field of a JSON object by its key, without keys that can't be read.

    Raises:
        ValueError: The text is no object, or breaks off.
    """
    values = _split(text, "{")
    fields = {}
    for key, value in zip(values[::2], values[1::2], strict=True):
        name = decode_json(key, str)
        if isinstance(name, Ok):
            fields[name.ok_value] = value
    return fields


def split_array(text: str) -> list[str]:
    """Return the text of each item of a JSON array.

    Raises:
        ValueError: The text is no array, or breaks off.
    """
    return _split(text, "[")


def _decode_part(text: str, wire_type: Any) -> Result[Any, str]:
    if wire_type is msgspec.Raw:
        return Ok(msgspec.Raw(text))
    if wire_type == list[msgspec.Raw]:
        try:
            return Ok([msgspec.Raw(item) for item in split_array(text)])
        except ValueError as error:
            return Err(describe_error(error))
    if isinstance(wire_type, type) and issubclass(wire_type, msgspec.Struct):
        return decode_parts(text, wire_type)
    return decode_json(text, wire_type)


def _split(text: str, opening: str) -> list[str]:
    """Return the values inside a pair of brackets, of an object also its keys."""
    text = text.strip()
    if not text.startswith(opening):
        raise ValueError(f"given {text[:20]!r}, expected {opening}")
    values = []
    position = len(text) - len(text[1:].lstrip())
    while text[position : position + 1] not in ("]", "}"):
        end = _find_end(text, position)
        values.append(text[position:end])
        separator = _SEPARATOR.match(text, end)
        if separator is None:
            raise ValueError(f"given {text[end : end + 20]!r}, expected a separator")
        if separator[1] in "]}":
            break
        position = separator.end()
    return values


def _find_end(text: str, start: int) -> int:
    """Return where the value that begins at ``start`` ends."""
    if text[start : start + 1] not in ("[", "{"):
        plain = _PLAIN_VALUE.match(text, start)
        if plain is None:
            raise ValueError(f"given {text[start : start + 20]!r}, expected a value")
        return plain.end()
    depth, end = 0, start
    # Not `finditer`, which searches again from each character behind the last brackets.
    while run := _NEXT_BRACKETS.match(text, end):
        brackets, end = run[1], run.end()
        depth += len(brackets) if brackets[0] in "[{" else -len(brackets)
        if depth <= 0:
            # The run of closing brackets may end with those of outer values.
            return end + depth
    raise ValueError("given the beginning of a value, expected its end")


def _is_flat(value: Any) -> bool:
    """Return whether a value is nested in at most ``MAX_NESTING`` levels."""
    containers = [value] if isinstance(value, _CONTAINERS) else []
    for _ in range(MAX_NESTING):
        containers = [
            inner
            for container in containers
            for inner in (container.values() if type(container) is dict else container)
            if isinstance(inner, _CONTAINERS)
        ]
        if not containers:
            return True
    return False

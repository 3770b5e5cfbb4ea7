"""Compares two configurations field by field."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final, Literal, NamedTuple

from wagtailpoint.checking import show

_MISSING: Final = object()


class Difference(NamedTuple):
    """One field that differs.

    Attributes:
        key: The object, ``kind/name``.
        field: Path of the field in the object; empty if the whole object was added or removed.
        action: Whether the field is added, changed or removed.
        before: Value before the change; None if the field is added.
        after: Value after the change; None if the field is removed.
    """

    key: str
    field: str
    action: Literal["add", "change", "remove"]
    before: Any
    after: Any


def compare(before: Mapping[str, Any], after: Mapping[str, Any]) -> list[Difference]:
    """List every field that differs, object by object."""
    differences: list[Difference] = []
    for key in sorted(before.keys() | after.keys()):
        old, new = before.get(key, _MISSING), after.get(key, _MISSING)
        differences += _compare(key, "", old, new)
    return differences


def format_differences(differences: Sequence[Difference]) -> str:
    """Format differences as text, one per line."""
    if not differences:
        return "nothing would change"
    return "\n".join(_format_difference(difference) for difference in differences)


def _format_difference(difference: Difference) -> str:
    place = f"{difference.key}: {difference.field}" if difference.field else difference.key
    if difference.action == "add":
        return f"+ {place} = {show(difference.after)}"
    if difference.action == "remove":
        return f"- {place} = {show(difference.before)}"
    return f"~ {place}: {show(difference.before)} -> {show(difference.after)}"


def _compare(key: str, field: str, old: Any, new: Any) -> Iterator[Difference]:
    if old == new:
        return
    if old is _MISSING:
        yield Difference(key, field, "add", None, new)
    elif new is _MISSING:
        yield Difference(key, field, "remove", old, None)
    elif isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            inner = f"{field}.{name}" if field else name
            yield from _compare(key, inner, old.get(name, _MISSING), new.get(name, _MISSING))
    elif isinstance(old, list) and isinstance(new, list):
        for index in range(max(len(old), len(new))):
            before = old[index] if index < len(old) else _MISSING
            after = new[index] if index < len(new) else _MISSING
            yield from _compare(key, f"{field}[{index}]", before, after)
    else:
        yield Difference(key, field, "change", old, new)

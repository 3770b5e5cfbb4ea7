"""Keeps long lists of strings as JSON, as hundreds of thousands of strings take too much memory.

A packed value has a ``msgspec.Raw`` in place of the list. It encodes to the same JSON, so hashes
and deltas don't change. It has to be unpacked before it is read.
"""

from collections.abc import Iterator, Sequence
from typing import Any, overload

import msgspec

_MIN_PACKED_LENGTH = 64
_decoder = msgspec.json.Decoder(list[str])


class PackedTexts(Sequence[str]):
    """A sequence of strings that is decoded from JSON on each access.

    Args:
        texts: The strings.
        raw: Their packed form, if ``pack`` has already created it; saves a second copy.
    """

    def __init__(self, texts: Sequence[str], *, raw: msgspec.Raw | None = None) -> None:
        self._raw = msgspec.Raw(msgspec.json.encode(list(texts))) if raw is None else raw
        self._count = len(texts)

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[str]:
        return iter(_decoder.decode(self._raw))

    def __eq__(self, other: object) -> bool:
        return isinstance(other, PackedTexts) and self._raw == other._raw

    __hash__ = None  # type: ignore[assignment]

    @overload
    def __getitem__(self, index: int) -> str: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[str]: ...

    def __getitem__(self, index: int | slice) -> str | Sequence[str]:
        return _decoder.decode(self._raw)[index]


def pack(value: Any) -> Any:
    """Return an object's value with its long lists of strings replaced by packed ones."""
    if not isinstance(value, dict):
        return value
    return {name: _pack_item(item) for name, item in value.items()}


def unpack(value: Any) -> Any:
    """Return the value that ``pack`` was given."""
    if not isinstance(value, dict):
        return value
    return {
        name: msgspec.json.decode(item) if isinstance(item, msgspec.Raw) else item
        for name, item in value.items()
    }


def _pack_item(item: Any) -> Any:
    if (
        isinstance(item, list)
        and len(item) >= _MIN_PACKED_LENGTH
        and all(isinstance(text, str) for text in item)
    ):
        return msgspec.Raw(msgspec.json.encode(item))
    return item

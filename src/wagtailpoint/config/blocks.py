"""The client blocks of a configuration, which may number hundreds of thousands.

They make up most of the configuration and change rarely, so ``BlockReader`` reuses the objects that
it has already checked and keeps their networks packed.
"""

import socket
from array import array
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import accumulate, chain, pairwise
from typing import Any, NamedTuple, overload

import msgspec

from wagtailpoint.checking import ObjectReader, show
from wagtailpoint.config.model import ClientBlock
from wagtailpoint.config.packed import PackedTexts, unpack
from wagtailpoint.errors import Mistake

_MAX_PREFIX_LENGTH_DIGITS = 3


class RegionBlocks(NamedTuple):
    """The region and the networks of one ``blocks`` object."""

    region: str
    networks: Sequence[str]


class BlockList(Sequence[ClientBlock]):
    """All client blocks in order; each ``ClientBlock`` is created when it is accessed."""

    def __init__(self, *, parts: Sequence[RegionBlocks]) -> None:
        self._parts = tuple(parts)
        self._ends = tuple(accumulate(len(part.networks) for part in parts))

    def __len__(self) -> int:
        return self._ends[-1] if self._ends else 0

    def __iter__(self) -> Iterator[ClientBlock]:
        for part in self._parts:
            for network in part.networks:
                yield ClientBlock(network, part.region)

    @property
    def parts(self) -> Sequence[RegionBlocks]:
        """The ``blocks`` objects that make up the list."""
        return self._parts

    def difference(self, other: "BlockList") -> "BlockList":
        """Return the parts that the other list lacks; parts are compared by identity."""
        other_parts = {id(part) for part in other._parts}
        return BlockList(parts=[part for part in self._parts if id(part) not in other_parts])

    def __eq__(self, other: object) -> bool:
        if self is other:
            return True
        return isinstance(other, BlockList) and self._parts == other._parts

    __hash__ = None  # type: ignore[assignment]

    @overload
    def __getitem__(self, index: int) -> ClientBlock: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[ClientBlock]: ...

    def __getitem__(self, index: int | slice) -> ClientBlock | Sequence[ClientBlock]:
        if isinstance(index, slice):
            return [self[position] for position in range(*index.indices(len(self)))]
        position = index + len(self) if index < 0 else index
        for part, end in zip(self._parts, self._ends, strict=True):
            if 0 <= position < end:
                return ClientBlock(part.networks[position - end], part.region)
        raise IndexError(f"block {index} of {len(self)}")


class BlockReader:
    """Reads all ``blocks`` objects and checks only those that changed since the last read.

    An object is skipped if its JSON value is identical (``is``) to the last one. This is safe
    because values are never modified in place, and the store returns the same value while the
    content is unchanged.
    """

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}
        self._parts: dict[str, RegionBlocks] = {}
        self._hashes: dict[str, array[int]] = {}
        self._blocks = BlockList(parts=())

    @property
    def parts(self) -> Mapping[str, RegionBlocks]:
        """The objects of the last read, by name."""
        return self._parts

    def read(self, values: Mapping[str, Any], mistakes: list[Mistake]) -> BlockList:
        """Read the JSON values of all objects, by name.

        Returns:
            The blocks; the identical list as in the last read if nothing changed. Valid only if
            no mistake was recorded.
        """
        if self._is_unchanged(values):
            return self._blocks
        found_mistakes: list[Mistake] = []
        parts = {
            name: self._read_object(name, value, found_mistakes) for name, value in values.items()
        }
        self._hashes = {name: self._hash_networks(name, part) for name, part in parts.items()}
        if not _are_distinct(self._hashes.values()):
            _check_duplicates(parts, found_mistakes)
        self._parts = parts
        if found_mistakes:
            mistakes += found_mistakes
            self._values = {}
        else:
            self._values = dict(values)
            self._blocks = BlockList(parts=tuple(parts.values()))
        return self._blocks

    def _is_unchanged(self, values: Mapping[str, Any]) -> bool:
        return self._values.keys() == values.keys() and all(
            self._values[name] is value for name, value in values.items()
        )

    def _read_object(self, name: str, value: Any, mistakes: list[Mistake]) -> RegionBlocks:
        if name in self._values and self._values[name] is value:
            return self._parts[name]
        reader = ObjectReader(value=unpack(value), path=_object_path(name), mistakes=mistakes)
        region = reader.text("region")
        networks = reader.texts("networks", expected="networks")
        for index, network in enumerate(networks):
            if not is_network(network):
                expected = (
                    'a network ADDRESS/LENGTH such as "10.1.0.0/16", no bits set after LENGTH'
                )
                reader.mistake(f"networks[{index}]", network, expected)
        reader.finish()
        packed = value.get("networks") if isinstance(value, dict) else None
        raw = packed if isinstance(packed, msgspec.Raw) else None
        return RegionBlocks(region, PackedTexts(networks, raw=raw))

    def _hash_networks(self, name: str, part: RegionBlocks) -> "array[int]":
        if self._parts.get(name) is part:
            return self._hashes[name]
        return array("q", map(hash, part.networks))


def is_network(text: str) -> bool:
    """Return whether a string is ``ADDRESS/LENGTH`` with no bits set beyond the length."""
    address, _, length = text.partition("/")
    if not (length.isascii() and length.isdecimal()) or len(length) > _MAX_PREFIX_LENGTH_DIGITS:
        return False
    try:
        packed = socket.inet_pton(socket.AF_INET6 if ":" in address else socket.AF_INET, address)
    except (OSError, ValueError):
        return False
    host_bits = len(packed) * 8 - int(length)
    return host_bits >= 0 and int.from_bytes(packed, "big") & ((1 << host_bits) - 1) == 0


def _object_path(name: str) -> str:
    return f"blocks/{name}: "


def _are_distinct(hashes: Iterable["array[int]"]) -> bool:
    """Return whether all hashes differ; sorting avoids a set of all strings, which takes 50 MB."""
    sorted_hashes = sorted(chain.from_iterable(hashes))
    return not any(previous == following for previous, following in pairwise(sorted_hashes))


def _check_duplicates(parts: Mapping[str, RegionBlocks], mistakes: list[Mistake]) -> None:
    seen: set[str] = set()
    for name, part in parts.items():
        count_before = len(seen)
        seen.update(part.networks)
        if len(seen) == count_before + len(part.networks):
            continue
        for network in _find_duplicates(name, part, parts):
            expected = "a network of its own; it is already listed in a blocks object"
            mistakes.append(Mistake(f"{_object_path(name)}networks", show(network), expected))


def _find_duplicates(
    name: str, part: RegionBlocks, parts: Mapping[str, RegionBlocks]
) -> Iterator[str]:
    """Yield the networks of an object that occur earlier, in it or in a preceding object."""
    earlier_networks: set[str] = set()
    for other, other_part in parts.items():
        if other == name:
            break
        earlier_networks.update(other_part.networks)
    for network in part.networks:
        if network in earlier_networks:
            yield network
        earlier_networks.add(network)

"""Sorted prefixes of one address family, each with the number of its region."""

import socket
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from wagtailpoint.errors import InvalidInput, Mistake
from wagtailpoint.untrusted_input import parse_count

IPV4_BITS = 32
IPV6_BITS = 128
NO_REGION = 0
_LENGTH_BITS = 8
_LENGTH_MASK = (1 << _LENGTH_BITS) - 1


class Prefix(NamedTuple):
    """A block of addresses: the first address and the length of the prefix, as numbers."""

    bits: int
    first: int
    length: int

    @property
    def last(self) -> int:
        """The last address of the block."""
        return self.first + (1 << (self.bits - self.length)) - 1

    @property
    def key(self) -> int:
        """The sort key: by first address, and a block before the blocks nested in it."""
        return self.first << _LENGTH_BITS | self.length


PlacedPrefix = tuple[int, int]
"""The key of a prefix, and the number of its region."""


class Prefixes:
    """All prefixes of one address family, in sorted arrays; immutable."""

    def __init__(self, *, bits: int, regions: Mapping[int, int]) -> None:
        """Initialise the prefixes from a mapping of keys to numbers of regions."""
        keys = sorted(regions)
        self._bits = bits
        # IPv6 keys do not fit into 64 bits; they are few, so a list will do.
        self._keys: array[int] | list[int] = array("Q", keys) if bits == IPV4_BITS else keys
        self._regions = array("H", [regions[key] for key in keys])

    def __len__(self) -> int:
        return len(self._regions)

    def __iter__(self) -> Iterator[PlacedPrefix]:
        return self._slice(0, len(self))

    def within(self, outer: Prefix) -> Iterator[PlacedPrefix]:
        """Return a prefix, if it is present, and the prefixes nested in it, in order."""
        begin = bisect_left(self._keys, outer.key)
        end = bisect_left(self._keys, (outer.last + 1) << _LENGTH_BITS)
        return self._slice(begin, end)

    def covering_region(self, inner: Prefix) -> int:
        """Return the region of the longest prefix that contains ``inner``, else ``NO_REGION``."""
        for length in range(inner.length - 1, -1, -1):
            shift = self._bits - length
            key = Prefix(self._bits, inner.first >> shift << shift, length).key
            index = bisect_left(self._keys, key)
            if index < len(self) and self._keys[index] == key:
                return self._regions[index]
        return NO_REGION

    def with_changes(self, changes: Mapping[int, int | None]) -> "Prefixes":
        """Return a copy with other regions for some keys; None removes a key."""
        copy = Prefixes(bits=self._bits, regions={})
        copy._keys = self._keys[:]
        copy._regions = self._regions[:]
        for key, region in changes.items():
            copy._set_region(key, region)
        return copy

    def _set_region(self, key: int, region: int | None) -> None:
        index = bisect_left(self._keys, key)
        is_present = index < len(self) and self._keys[index] == key
        if is_present:
            del self._keys[index]
            del self._regions[index]
        if region is not None:
            self._keys.insert(index, key)
            self._regions.insert(index, region)

    def _slice(self, begin: int, end: int) -> Iterator[PlacedPrefix]:
        return zip(self._keys[begin:end], self._regions[begin:end], strict=True)


def prefix_from_key(bits: int, key: int) -> Prefix:
    """Return the prefix of a key."""
    return Prefix(bits, key >> _LENGTH_BITS, key & _LENGTH_MASK)


def flatten(
    placed: Iterable[PlacedPrefix], *, bits: int, first: int, last: int, base: int
) -> tuple["array[int] | list[int]", "array[int]"]:
    """Turn nested prefixes into disjoint ranges; the longest prefix wins.

    Args:
        placed: The prefixes in order. Any two are nested or disjoint, so a stack of the open ones
            is enough.
        bits: Number of bits of an address.
        first: First address of the first range.
        last: Last address of the last range.
        base: The region of addresses outside all prefixes.

    Returns:
        The starts of the ranges and their regions.
    """
    # Numbers instead of an object for each prefix: there are hundreds of thousands.
    starts: array[int] | list[int] = array("Q", [first]) if bits == IPV4_BITS else [first]
    regions = array("H", [base])
    open_lasts, open_regions = [last], [base]
    spans = [(1 << (bits - length)) - 1 for length in range(bits + 1)]

    def begin(start: int, region: int) -> None:
        if starts[-1] == start:
            regions[-1] = region
        elif regions[-1] != region:
            starts.append(start)
            regions.append(region)

    for key, region in placed:
        start = key >> _LENGTH_BITS
        while open_lasts[-1] < start:
            end = open_lasts.pop() + 1
            open_regions.pop()
            begin(end, open_regions[-1])
        begin(start, region)
        open_lasts.append(start + spans[key & _LENGTH_MASK])
        open_regions.append(region)
    while len(open_lasts) > 1:
        end = open_lasts.pop() + 1
        open_regions.pop()
        if end <= last:
            begin(end, open_regions[-1])
    return starts, regions


def parse_address(text: str) -> tuple[int, int]:
    """Return the bits of the address family, and the address as a number.

    Raises:
        InvalidInput: The text is not an IP address.
    """
    family = socket.AF_INET6 if ":" in text else socket.AF_INET
    try:
        packed = socket.inet_pton(family, text)
    except (OSError, ValueError):
        mistake = Mistake("address", repr(text[:80]), "an IPv4 or IPv6 address")
        raise InvalidInput([mistake]) from None
    return len(packed) * 8, int.from_bytes(packed, "big")


def network_key(text: str) -> tuple[int, int]:
    """Parse ``ADDRESS/LENGTH``; address bits after the length are ignored.

    Returns:
        The bits of the address family, and the key of the prefix.

    Raises:
        InvalidInput: The text has another form.
    """
    address, _, length_text = text.partition("/")
    bits, number = parse_address(address)
    length = parse_count(length_text)
    if length is None or length > bits:
        expected = f"ADDRESS/LENGTH with a length of 0 to {bits}"
        raise InvalidInput([Mistake("network", repr(text[:80]), expected)])
    shift = bits - length
    return bits, number >> shift << shift << _LENGTH_BITS | length


def parse_network(text: str) -> Prefix:
    """Parse ``ADDRESS/LENGTH`` like ``network_key``, and return a prefix."""
    return prefix_from_key(*network_key(text))

"""Client blocks: which region is nearest to a client address.

Built for hundreds of thousands of blocks: overlapping prefixes are flattened once into disjoint
ranges in sorted arrays, so that a lookup is one binary search in C and a range costs a few bytes.
"""

import socket
from array import array
from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

from wagtailpoint.config.model import ClientBlock
from wagtailpoint.errors import InvalidInput, Mistake

_IPV4_BITS = 32
_IPV6_BITS = 128
_LOW_BITS = 64
_LOW_MASK = (1 << _LOW_BITS) - 1
_NO_REGION = 0


class _Prefix(NamedTuple):
    first: int
    last: int
    region: int


class _Ranges:
    """Disjoint ranges; each holds from its start to the next one's."""

    def __init__(self, *, prefixes: list[_Prefix], bits: int) -> None:
        starts, regions = _flatten(prefixes, bits)
        self._regions = array("H", regions)
        if bits == _IPV4_BITS:
            self._high = array("I", starts)
            self._low: array[int] | None = None
        else:
            self._high = array("Q", [start >> _LOW_BITS for start in starts])
            self._low = array("Q", [start & _LOW_MASK for start in starts])

    def __len__(self) -> int:
        return len(self._regions)

    @property
    def bytes_used(self) -> int:
        """Bytes of all arrays."""
        arrays = (self._high, self._low, self._regions)
        return sum(len(part) * part.itemsize for part in arrays if part is not None)

    def find(self, address: int) -> int:
        """Return the number of the region, 0 if no block holds the address."""
        place = self._place(address)
        return self._regions[place - 1] if place else _NO_REGION

    def _place(self, address: int) -> int:
        if self._low is None:
            return bisect_right(self._high, address)
        high = address >> _LOW_BITS
        last = bisect_right(self._high, high)
        first = bisect_right(self._high, high - 1, 0, last)
        return bisect_right(self._low, address & _LOW_MASK, first, last)


def _flatten(prefixes: list[_Prefix], bits: int) -> tuple[list[int], list[int]]:
    """Turn nested prefixes into disjoint ranges; the longest prefix wins.

    Prefixes either nest or are disjoint, so a stack of the open ones is enough.
    """
    # Of equal prefixes the last given wins: the sort keeps their order.
    prefixes.sort(key=lambda prefix: (prefix.first, -prefix.last))
    starts: list[int] = []
    regions: list[int] = []
    open_prefixes: list[_Prefix] = []

    def begin(start: int, region: int) -> None:
        if starts and starts[-1] == start:
            regions[-1] = region
        elif not regions or regions[-1] != region:
            starts.append(start)
            regions.append(region)

    def close_before(first: int) -> None:
        while open_prefixes and open_prefixes[-1].last < first:
            end = open_prefixes.pop().last + 1
            begin(end, open_prefixes[-1].region if open_prefixes else _NO_REGION)

    for prefix in prefixes:
        close_before(prefix.first)
        begin(prefix.first, prefix.region)
        open_prefixes.append(prefix)
    close_before(1 << bits)
    if starts and starts[-1] >= 1 << bits:
        starts.pop()
        regions.pop()
    return starts, regions


class ClientBlocks:
    """The table of all client blocks, IPv4 and IPv6."""

    def __init__(self, *, blocks: Iterable[ClientBlock]) -> None:
        """Build the table.

        Raises:
            InvalidInput: A network is not in the form ``ADDRESS/LENGTH``.
        """
        self._names: list[str] = [""]
        numbers: dict[str, int] = {}
        by_bits: dict[int, list[_Prefix]] = {_IPV4_BITS: [], _IPV6_BITS: []}
        for block in blocks:
            number = numbers.get(block.region)
            if number is None:
                number = numbers[block.region] = len(self._names)
                self._names.append(block.region)
            bits, first, last = _parse_network(block.network)
            by_bits[bits].append(_Prefix(first, last, number))
        self._ipv4 = _Ranges(prefixes=by_bits[_IPV4_BITS], bits=_IPV4_BITS)
        self._ipv6 = _Ranges(prefixes=by_bits[_IPV6_BITS], bits=_IPV6_BITS)

    def __len__(self) -> int:
        """Ranges after flattening."""
        return len(self._ipv4) + len(self._ipv6)

    @property
    def bytes_used(self) -> int:
        """Bytes of the arrays."""
        return self._ipv4.bytes_used + self._ipv6.bytes_used

    def find(self, address: str) -> str | None:
        """Return the nearest region of a client address; None if no block holds it.

        Raises:
            InvalidInput: The address is not an IP number.
        """
        bits, number = _parse_address(address)
        ranges = self._ipv4 if bits == _IPV4_BITS else self._ipv6
        return self._names[ranges.find(number)] or None


def _parse_address(text: str) -> tuple[int, int]:
    family = socket.AF_INET6 if ":" in text else socket.AF_INET
    try:
        packed = socket.inet_pton(family, text)
    except (OSError, ValueError):
        mistake = Mistake("address", repr(text[:80]), "an IPv4 or IPv6 number")
        raise InvalidInput([mistake]) from None
    return len(packed) * 8, int.from_bytes(packed, "big")


def _parse_network(text: str) -> tuple[int, int, int]:
    address, _, length_text = text.partition("/")
    bits, number = _parse_address(address)
    if not length_text.isdigit() or int(length_text) > bits:
        expected = f"ADDRESS/LENGTH with a length of 0 to {bits}"
        raise InvalidInput([Mistake("network", repr(text[:80]), expected)])
    span = 1 << (bits - int(length_text))
    first = number & ~(span - 1)
    return bits, first, first + span - 1

"""Disjoint ranges of addresses in sorted arrays: a lookup is one binary search in C."""

from array import array
from bisect import bisect_right
from collections.abc import Sequence

from wagtailpoint.lookup.prefixes import IPV4_BITS

_LOW_BITS = 64
_LOW_MASK = (1 << _LOW_BITS) - 1


class Ranges:
    """Maps each range to a region; a range ends before the next start, the first starts at 0."""

    def __init__(self, *, bits: int, starts: Sequence[int], regions: Sequence[int]) -> None:
        self._bits = bits
        self._high, self._low = _arrays(bits, starts)
        self._regions = array("H", regions)

    def __len__(self) -> int:
        return len(self._regions)

    @property
    def bytes_used(self) -> int:
        """The size of all arrays, in bytes."""
        arrays = (self._high, self._low, self._regions)
        return sum(len(values) * values.itemsize for values in arrays if values is not None)

    def find(self, address: int) -> int:
        """Return the number of an address's region."""
        return self._regions[self._index_after(address) - 1]

    def copy(self) -> "Ranges":
        """Return a copy that ``replace`` may change."""
        copy = Ranges(bits=self._bits, starts=(), regions=())
        copy._high = self._high[:]
        copy._low = None if self._low is None else self._low[:]
        copy._regions = self._regions[:]
        return copy

    def replace(
        self, *, first: int, last: int, starts: Sequence[int], regions: Sequence[int]
    ) -> None:
        """Replace the ranges between two addresses; addresses outside keep their regions."""
        begin = self._index_after(first - 1) if first else 0
        end = self._index_after(last)
        starts, regions = list(starts), list(regions)
        if last + 1 < 1 << self._bits and self._index_after(last + 1) == end:
            # The old range extends beyond `last`: the rest needs a new start.
            starts.append(last + 1)
            regions.append(self._regions[end - 1])
        high, low = _arrays(self._bits, starts)
        self._high[begin:end] = high
        if self._low is not None and low is not None:
            self._low[begin:end] = low
        self._regions[begin:end] = array("H", regions)

    def _index_after(self, address: int) -> int:
        """Return the index of the first start after an address."""
        if self._low is None:
            return bisect_right(self._high, address)
        high = address >> _LOW_BITS
        last = bisect_right(self._high, high)
        first = bisect_right(self._high, high - 1, 0, last)
        return bisect_right(self._low, address & _LOW_MASK, first, last)


def _arrays(bits: int, starts: Sequence[int]) -> tuple["array[int]", "array[int] | None"]:
    if bits == IPV4_BITS:
        return array("I", starts), None
    high = array("Q", [start >> _LOW_BITS for start in starts])
    return high, array("Q", [start & _LOW_MASK for start in starts])

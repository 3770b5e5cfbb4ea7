"""Client blocks: which region is nearest to a client address.

Built for hundreds of thousands of blocks. Overlapping prefixes are flattened into disjoint ranges
in sorted arrays; a change flattens only the blocks that it touches.
"""

from collections.abc import Iterable, Sequence

from wagtailpoint.config.blocks import BlockList
from wagtailpoint.config.model import ClientBlock
from wagtailpoint.lookup.prefixes import (
    IPV4_BITS,
    IPV6_BITS,
    NO_REGION,
    Prefixes,
    flatten,
    network_key,
    parse_address,
    parse_network,
    prefix_of,
)
from wagtailpoint.lookup.ranges import Ranges

_MOST_SPLICED = 2_000
_MOST_COMPARED = 50_000
_Changes = dict[int, dict[int, int | None]]


class _Family:
    """The blocks of one address family."""

    def __init__(self, *, bits: int, prefixes: Prefixes, ranges: Ranges | None = None) -> None:
        self._bits = bits
        self._prefixes = prefixes
        if ranges is None:
            starts, regions = flatten(
                prefixes, bits=bits, first=0, last=(1 << bits) - 1, base=NO_REGION
            )
            ranges = Ranges(bits=bits, starts=starts, regions=regions)
        self._ranges = ranges

    @property
    def ranges(self) -> Ranges:
        return self._ranges

    def changed(self, changes: dict[int, int | None]) -> "_Family":
        prefixes = self._prefixes.changed(changes)
        ranges = self._ranges.copy()
        for key in changes:
            prefix = prefix_of(self._bits, key)
            starts, regions = flatten(
                prefixes.within(prefix),
                bits=self._bits,
                first=prefix.first,
                last=prefix.last,
                base=prefixes.cover(prefix),
            )
            ranges.replace(first=prefix.first, last=prefix.last, starts=starts, regions=regions)
        return _Family(bits=self._bits, prefixes=prefixes, ranges=ranges)


class ClientBlocks:
    """The table of all client blocks, IPv4 and IPv6. Never changed after it was made."""

    def __init__(self, *, blocks: Sequence[ClientBlock]) -> None:
        """Build the table; of equal networks the last counts.

        Raises:
            InvalidInput: A network is not in the form ``ADDRESS/LENGTH``.
        """
        # A `BlockList` stays one: a tuple of 440,000 `ClientBlock`s would take 30 MB.
        self._blocks = _unchanging(blocks)
        self._names: list[str] = [""]
        self._numbers: dict[str, int] = {}
        by_bits: dict[int, dict[int, int]] = {IPV4_BITS: {}, IPV6_BITS: {}}
        for region, networks in _by_region(self._blocks):
            number = self._number(region)
            for bits, key in map(network_key, networks):
                by_bits[bits][key] = number
        self._families = {}
        for bits in (IPV4_BITS, IPV6_BITS):
            # Each dict is dropped as soon as its prefixes are in arrays: at hundreds of thousands
            # of blocks the steps of building would together take more memory than all the rest.
            prefixes = Prefixes(bits=bits, regions=by_bits.pop(bits))
            self._families[bits] = _Family(bits=bits, prefixes=prefixes)

    def __len__(self) -> int:
        """Ranges after flattening."""
        return sum(len(family.ranges) for family in self._families.values())

    @property
    def bytes_used(self) -> int:
        """Bytes of the arrays that lookups search."""
        return sum(family.ranges.bytes_used for family in self._families.values())

    def find(self, address: str) -> str | None:
        """Return the nearest region of a client address; None if no block holds it.

        Raises:
            InvalidInput: The address is not an IP number.
        """
        bits, number = parse_address(address)
        return self._names[self._families[bits].ranges.find(number)] or None

    def with_blocks(self, blocks: Sequence[ClientBlock]) -> "ClientBlocks":
        """Return the table of other blocks, built from this one if few of them differ.

        Raises:
            InvalidInput: As in the constructor.
        """
        blocks = _unchanging(blocks)
        if blocks == self._blocks:
            return self
        old, new = _unlike(self._blocks, blocks)
        if len(old) + len(new) > _MOST_COMPARED:
            return ClientBlocks(blocks=blocks)
        added, removed = set(new).difference(old), set(old).difference(new)
        if len(added) + len(removed) > _MOST_SPLICED:
            return ClientBlocks(blocks=blocks)
        copy = ClientBlocks(blocks=())
        copy._blocks = blocks
        copy._names = self._names[:]
        copy._numbers = self._numbers.copy()
        changes = copy._changes(removed, added)
        copy._families = {
            bits: family.changed(changes[bits]) if changes[bits] else family
            for bits, family in self._families.items()
        }
        return copy

    def _changes(self, removed: set[ClientBlock], added: set[ClientBlock]) -> _Changes:
        changes: _Changes = {IPV4_BITS: {}, IPV6_BITS: {}}
        for block in removed:
            prefix = parse_network(block.network)
            changes[prefix.bits][prefix.key] = None
        for block in added:
            prefix = parse_network(block.network)
            changes[prefix.bits][prefix.key] = self._number(block.region)
        return changes

    def _number(self, region: str) -> int:
        number = self._numbers.get(region)
        if number is None:
            number = self._numbers[region] = len(self._names)
            self._names.append(region)
        return number


def _unchanging(blocks: Sequence[ClientBlock]) -> Sequence[ClientBlock]:
    return blocks if isinstance(blocks, BlockList) else tuple(blocks)


def _by_region(blocks: Sequence[ClientBlock]) -> Iterable[tuple[str, Sequence[str]]]:
    if isinstance(blocks, BlockList):
        return blocks.parts
    return ((block.region, (block.network,)) for block in blocks)


def _unlike(
    one: Sequence[ClientBlock], two: Sequence[ClientBlock]
) -> tuple[Sequence[ClientBlock], Sequence[ClientBlock]]:
    """Return the blocks of two lists, if possible without parts that both have."""
    if isinstance(one, BlockList) and isinstance(two, BlockList):
        return one.without(two), two.without(one)
    return one, two

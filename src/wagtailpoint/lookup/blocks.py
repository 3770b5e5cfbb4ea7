"""Client blocks: a table that maps a client address to its nearest region.

Designed for hundreds of thousands of blocks. Overlapping prefixes are flattened into disjoint
ranges in sorted arrays; a change flattens only the prefixes that it affects.
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
    prefix_from_key,
)
from wagtailpoint.lookup.ranges import Ranges

# With more changed or compared blocks than this the table is built from scratch.
_MAX_CHANGED_BLOCKS = 2_000
_MAX_COMPARED_BLOCKS = 50_000
_KeyChanges = dict[int, dict[int, int | None]]


class _AddressFamily:
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

    def with_changes(self, changes: dict[int, int | None]) -> "_AddressFamily":
        prefixes = self._prefixes.with_changes(changes)
        ranges = self._ranges.copy()
        for key in changes:
            prefix = prefix_from_key(self._bits, key)
            starts, regions = flatten(
                prefixes.within(prefix),
                bits=self._bits,
                first=prefix.first,
                last=prefix.last,
                base=prefixes.covering_region(prefix),
            )
            ranges.replace(first=prefix.first, last=prefix.last, starts=starts, regions=regions)
        return _AddressFamily(bits=self._bits, prefixes=prefixes, ranges=ranges)


class ClientBlocks:
    """An immutable table of all client blocks, IPv4 and IPv6."""

    def __init__(self, *, blocks: Sequence[ClientBlock]) -> None:
        """Build the table; if a network occurs twice, its last block counts.

        Raises:
            InvalidInput: A network is not in the form ``ADDRESS/LENGTH``.
        """
        # A `BlockList` is kept as it is: a tuple of 440,000 `ClientBlock`s would take 30 MB.
        self._blocks = _as_immutable(blocks)
        self._names: list[str] = [""]
        self._numbers: dict[str, int] = {}
        by_bits: dict[int, dict[int, int]] = {IPV4_BITS: {}, IPV6_BITS: {}}
        for region, networks in _networks_by_region(self._blocks):
            number = self._region_number(region)
            for bits, key in map(network_key, networks):
                by_bits[bits][key] = number
        self._families = {}
        for bits in (IPV4_BITS, IPV6_BITS):
            # Each dict is released as soon as its prefixes are in arrays: with hundreds of
            # thousands of blocks the intermediate results together would take more memory than
            # everything else.
            prefixes = Prefixes(bits=bits, regions=by_bits.pop(bits))
            self._families[bits] = _AddressFamily(bits=bits, prefixes=prefixes)

    def __len__(self) -> int:
        """Return the number of ranges after flattening."""
        return sum(len(family.ranges) for family in self._families.values())

    @property
    def bytes_used(self) -> int:
        """The size of the arrays that lookups search, in bytes."""
        return sum(family.ranges.bytes_used for family in self._families.values())

    def find(self, address: str) -> str | None:
        """Return the nearest region of a client address; None if no block contains it.

        Raises:
            InvalidInput: The address is not an IP address.
        """
        bits, number = parse_address(address)
        return self._names[self._families[bits].ranges.find(number)] or None

    def with_blocks(self, blocks: Sequence[ClientBlock]) -> "ClientBlocks":
        """Return the table of the given blocks, built from this one if few of them differ.

        Raises:
            InvalidInput: As in the constructor.
        """
        blocks = _as_immutable(blocks)
        if blocks == self._blocks:
            return self
        old, new = _remove_common_parts(self._blocks, blocks)
        if len(old) + len(new) > _MAX_COMPARED_BLOCKS:
            return ClientBlocks(blocks=blocks)
        added, removed = set(new).difference(old), set(old).difference(new)
        if len(added) + len(removed) > _MAX_CHANGED_BLOCKS:
            return ClientBlocks(blocks=blocks)
        copy = ClientBlocks(blocks=())
        copy._blocks = blocks
        copy._names = self._names[:]
        copy._numbers = self._numbers.copy()
        changes = copy._key_changes(removed, added)
        copy._families = {
            bits: family.with_changes(changes[bits]) if changes[bits] else family
            for bits, family in self._families.items()
        }
        return copy

    def _key_changes(self, removed: set[ClientBlock], added: set[ClientBlock]) -> _KeyChanges:
        changes: _KeyChanges = {IPV4_BITS: {}, IPV6_BITS: {}}
        for block in removed:
            prefix = parse_network(block.network)
            changes[prefix.bits][prefix.key] = None
        for block in added:
            prefix = parse_network(block.network)
            changes[prefix.bits][prefix.key] = self._region_number(block.region)
        return changes

    def _region_number(self, region: str) -> int:
        number = self._numbers.get(region)
        if number is None:
            number = self._numbers[region] = len(self._names)
            self._names.append(region)
        return number


def _as_immutable(blocks: Sequence[ClientBlock]) -> Sequence[ClientBlock]:
    return blocks if isinstance(blocks, BlockList) else tuple(blocks)


def _networks_by_region(blocks: Sequence[ClientBlock]) -> Iterable[tuple[str, Sequence[str]]]:
    if isinstance(blocks, BlockList):
        return blocks.parts
    return ((block.region, (block.network,)) for block in blocks)


def _remove_common_parts(
    old: Sequence[ClientBlock], new: Sequence[ClientBlock]
) -> tuple[Sequence[ClientBlock], Sequence[ClientBlock]]:
    """Return the blocks of both lists, without common parts if both are ``BlockList``s."""
    if isinstance(old, BlockList) and isinstance(new, BlockList):
        return old.difference(new), new.difference(old)
    return old, new

"""Which instances callers are told to use: as few as the load needs, the most capable first.

Instances learn from the requests that they get: round trips, caches, loads, connections that are
used again. Spread over hundreds of instances a deployment's requests teach each of them nothing.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from wagtailpoint.membership.member import Member, capacity_sort_key

ENTRY_ORDER: Final = "entry"
"""Names the order by hashing of instances that are equally capable."""

MIN_ENTRIES: Final = 3
"""In a failure domain: the loss of one leaves two thirds of the callers undisturbed."""

MIN_CAPABLE_ENTRIES: Final = 2
CAPABLE_FRACTION: Final = 0.5
"""Of the capacity of the most capable one. So many that have it will do instead: callers choose
among the entries at random, and one that can do much less than the others answers late all that
come to it. It is named where the load needs it."""

MIN_CAPACITY_FRACTION: Final = 0.25
"""Of a failure domain's capacity. The load of a burst is known to all some seconds after it
begins; until then the entries must bear it."""

HEADROOM_FACTOR: Final = 3.0
"""The capacity of the entries, in times of what their load takes of it."""

OVERLOADED_LOAD: Final = 0.85
"""An instance with so much of its processor in use comes last. Where all are, all are entries."""

RELIEF_END_LOAD: Final = 0.4
"""A failure domain whose entries were all overloaded has its callers to itself again at this mean
load. Its load falls as soon as others share it."""


def choose_entries(members: Sequence[Member]) -> list[Member]:
    """The entries among the live instances of one failure domain, the most capable first.

    All instances that see the same members choose the same ones, and a member that comes or goes
    changes the place of no other.
    """
    ordered = sorted(
        members,
        key=lambda each: (each.load >= OVERLOADED_LOAD, *capacity_sort_key(each, ENTRY_ORDER)),
    )
    total = sum(each.capacity for each in members)
    in_use = sum(each.load * each.capacity for each in members)
    wanted = max(MIN_CAPACITY_FRACTION * total, HEADROOM_FACTOR * in_use)
    chosen: list[Member] = []
    capacity = 0.0
    for each in ordered:
        is_capable = each.capacity >= CAPABLE_FRACTION * ordered[0].capacity
        min_entries = MIN_ENTRIES if is_capable else MIN_CAPABLE_ENTRIES
        if len(chosen) >= min_entries and capacity >= wanted:
            break
        chosen.append(each)
        capacity += each.capacity
    return chosen


class EntryChoice:
    """The entries of each failure domain, as this instance sees the members."""

    def __init__(self, *, members: Callable[[], tuple[Member, ...]]) -> None:
        """Make it.

        Args:
            members: The instances, the dead among them; the same object until something changes.
        """
        self._members = members
        self._seen_members: tuple[Member, ...] = ()
        self._by_domain: Mapping[str, Sequence[Member]] = {}
        self._all: Sequence[Member] = ()
        self._relieved_domains: frozenset[str] = frozenset()

    @property
    def by_domain(self) -> Mapping[str, Sequence[Member]]:
        """The entries of each failure domain that has any."""
        self._refresh()
        return self._by_domain

    @property
    def all(self) -> Sequence[Member]:
        """The entries of all failure domains."""
        self._refresh()
        return self._all

    def includes(self, address: str) -> bool:
        """Whether an instance is one of them."""
        return any(each.address == address for each in self.all)

    def _refresh(self) -> None:
        members = self._members()
        if members is not self._seen_members:
            self._seen_members = members
            self._by_domain = _entries_by_domain(members)
            self._all = [each for found in self._by_domain.values() for each in found]
            self._relieved_domains = frozenset(
                domain
                for domain, found in self._by_domain.items()
                if self._needs_relief(domain, found)
            )

    def _needs_relief(self, domain: str, entries: Sequence[Member]) -> bool:
        """Whether the callers of a failure domain shall use others of its region, too."""
        if domain in self._relieved_domains:
            return sum(each.load for each in entries) > RELIEF_END_LOAD * len(entries)
        return all(each.load >= OVERLOADED_LOAD for each in entries)

    def nearest(self, failure_domain: str, region: str) -> Sequence[Member]:
        """The entries for a caller: of its failure domain, else of its region, else all.

        While those of its failure domain are overloaded, others of its region that are not, too.
        """
        near = self.by_domain.get(failure_domain)
        if near and failure_domain not in self._relieved_domains:
            return near
        in_region = [each for each in self.all if each.region == region]
        if not near:
            return in_region or self.all
        others = (each for each in in_region if each.failure_domain != failure_domain)
        return [*near, *(each for each in others if each.load < OVERLOADED_LOAD)]


class NearbyEntryCounts:
    """How many entries there are around one instance; implements ``placement.EntryCounts``."""

    def __init__(self, *, choice: EntryChoice, region: str, failure_domain: str) -> None:
        """Make it for an instance at a place."""
        self._choice = choice
        self._region = region
        self._failure_domain = failure_domain

    @property
    def everywhere(self) -> int:
        """In all regions, at least 1."""
        return max(1, len(self._choice.all))

    @property
    def in_region(self) -> int:
        """In the region of the instance, at least 1."""
        return max(1, sum(each.region == self._region for each in self._choice.all))

    @property
    def in_domain(self) -> int:
        """In its failure domain, at least 1."""
        return max(1, len(self._choice.by_domain.get(self._failure_domain, ())))


def _entries_by_domain(members: Sequence[Member]) -> Mapping[str, Sequence[Member]]:
    live: dict[str, list[Member]] = {}
    for member in members:
        if member.is_serving:
            live.setdefault(member.failure_domain, []).append(member)
    return {domain: choose_entries(found) for domain, found in live.items()}

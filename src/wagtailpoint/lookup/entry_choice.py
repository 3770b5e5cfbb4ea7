"""Selects the instances that lookups name: as few as the load needs, highest capacity first.

Instances learn round trips, caches and loads from the requests that they get, and reuse
connections. If a deployment's requests were spread over hundreds of instances, each would get too
few of them to learn anything.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

from wagtailpoint.membership.member import Member, capacity_sort_key

ENTRY_ORDER: Final = "entry"
"""Selects the hash that orders instances of equal capacity."""

MIN_ENTRIES: Final = 3
"""Minimum in a failure domain: two thirds of its callers are not affected by the loss of one."""

MIN_CAPABLE_ENTRIES: Final = 2
CAPABLE_FRACTION: Final = 0.5
"""Two entries are enough if all other instances have less than this fraction of the highest
capacity: callers choose among the entries at random, and an entry with much less capacity than the
others answers its callers late. Such an instance becomes an entry only if the load needs it."""

MIN_CAPACITY_FRACTION: Final = 0.25
"""Minimum fraction of a failure domain's capacity that its entries have. All instances know the
load of a burst only some seconds after it begins; until then the entries must take it."""

HEADROOM_FACTOR: Final = 3.0
"""Capacity of the entries as a multiple of the capacity that is in use."""

OVERLOADED_LOAD: Final = 0.85
"""An instance with at least this load of its processor comes last in the order of entries. If all
instances are overloaded, all are entries."""

RELIEF_END_LOAD: Final = 0.4
"""A failure domain whose entries are all overloaded shares its callers with its region until their
mean load is at most this. It is below the overload since sharing alone makes the load fall."""


def choose_entries(members: Sequence[Member]) -> list[Member]:
    """Choose the entries among the live instances of a failure domain, highest capacity first.

    All instances with the same view of the members choose the same entries, and a member that joins
    or leaves does not change the order of the others.
    """
    ordered = sorted(
        members,
        key=lambda member: (
            member.load >= OVERLOADED_LOAD,
            *capacity_sort_key(member, ENTRY_ORDER),
        ),
    )
    total = sum(member.capacity for member in members)
    in_use = sum(member.load * member.capacity for member in members)
    wanted = max(MIN_CAPACITY_FRACTION * total, HEADROOM_FACTOR * in_use)
    chosen: list[Member] = []
    capacity = 0.0
    for member in ordered:
        is_capable = member.capacity >= CAPABLE_FRACTION * ordered[0].capacity
        min_entries = MIN_ENTRIES if is_capable else MIN_CAPABLE_ENTRIES
        if len(chosen) >= min_entries and capacity >= wanted:
            break
        chosen.append(member)
        capacity += member.capacity
    return chosen


class EntryChoice:
    """The entries of each failure domain by this instance's view of the members."""

    def __init__(self, *, members: Callable[[], tuple[Member, ...]]) -> None:
        """Initialise the choice.

        Args:
            members: Returns all instances, including dead ones; the same object until a change.
        """
        self._members = members
        self._seen_members: tuple[Member, ...] = ()
        self._by_domain: Mapping[str, Sequence[Member]] = {}
        self._all: Sequence[Member] = ()
        self._relieved_domains: frozenset[str] = frozenset()

    @property
    def by_domain(self) -> Mapping[str, Sequence[Member]]:
        """The entries by failure domain, without failure domains that have none."""
        self._refresh()
        return self._by_domain

    @property
    def all(self) -> Sequence[Member]:
        """The entries of all failure domains."""
        self._refresh()
        return self._all

    def includes(self, address: str) -> bool:
        """Return whether the instance with an address is an entry."""
        return any(entry.address == address for entry in self.all)

    def _refresh(self) -> None:
        members = self._members()
        if members is not self._seen_members:
            self._seen_members = members
            self._by_domain = _entries_by_domain(members)
            self._all = [entry for found in self._by_domain.values() for entry in found]
            self._relieved_domains = frozenset(
                domain
                for domain, found in self._by_domain.items()
                if self._needs_relief(domain, found)
            )

    def _needs_relief(self, domain: str, entries: Sequence[Member]) -> bool:
        """Return whether callers of a failure domain also use other entries of its region."""
        if domain in self._relieved_domains:
            return sum(entry.load for entry in entries) > RELIEF_END_LOAD * len(entries)
        return all(entry.load >= OVERLOADED_LOAD for entry in entries)

    def nearest(self, failure_domain: str, region: str) -> Sequence[Member]:
        """Return the entries for a caller: of its failure domain, else of its region, else all.

        While the entries of its failure domain are overloaded, add those of its region that are
        not.
        """
        near = self.by_domain.get(failure_domain)
        if near and failure_domain not in self._relieved_domains:
            return near
        in_region = [entry for entry in self.all if entry.region == region]
        if not near:
            return in_region or self.all
        others = (entry for entry in in_region if entry.failure_domain != failure_domain)
        return [*near, *(entry for entry in others if entry.load < OVERLOADED_LOAD)]


class NearbyEntryCounts:
    """Counts the entries around an instance; implements ``placement.entry_counts.EntryCounts``."""

    def __init__(self, *, choice: EntryChoice, region: str, failure_domain: str) -> None:
        """Initialise the counts for an instance in a region and failure domain."""
        self._choice = choice
        self._region = region
        self._failure_domain = failure_domain

    @property
    def everywhere(self) -> int:
        """The number of entries in all regions, at least 1."""
        return max(1, len(self._choice.all))

    @property
    def in_region(self) -> int:
        """The number of entries in the instance's region, at least 1."""
        return max(1, sum(entry.region == self._region for entry in self._choice.all))

    @property
    def in_domain(self) -> int:
        """The number of entries in the instance's failure domain, at least 1."""
        return max(1, len(self._choice.by_domain.get(self._failure_domain, ())))


def _entries_by_domain(members: Sequence[Member]) -> Mapping[str, Sequence[Member]]:
    """Choose the entries of each failure domain.

    Isolated instances are entries only if no other instance of their region could serve its
    callers.
    """
    serving = [member for member in members if member.is_serving]
    served_regions = {member.region for member in serving if not member.is_isolated}
    live: dict[str, list[Member]] = {}
    for member in serving:
        if not member.is_isolated or member.region not in served_regions:
            live.setdefault(member.failure_domain, []).append(member)
    return {domain: choose_entries(found) for domain, found in live.items()}

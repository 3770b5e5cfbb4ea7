"""The order in which the instances of a region become watchers of the store."""

import math
from collections.abc import Sequence
from typing import Final

from wagtailpoint.membership import Membership
from wagtailpoint.membership.member import Member, capacity_sort_key

MAX_ALL_WATCHING: Final = 5
"""In a region with at most this many instances all of them watch: fewer would save little."""

MIN_WATCHERS: Final = 2
"""Minimum number of watchers of a region with more instances."""

INSTANCES_PER_WATCHER: Final = 32
"""An instance asks twice in 0.8 s and gets a copy of each change; each further watcher costs one
call of the store for each change."""


def watcher_count(instances: int) -> int:
    """Return how many of a region's instances watch the store."""
    if instances <= MAX_ALL_WATCHING:
        return instances
    return max(MIN_WATCHERS, math.ceil(instances / INSTANCES_PER_WATCHER))


class WatchOrder:
    """Orders the live members of each region, in the same way for the same view of the members."""

    def __init__(self, *, membership: Membership) -> None:
        """Initialise the order.

        Args:
            membership: Knows the live instances.
        """
        self._membership = membership
        self._members: Sequence[Member] = ()
        self._live: dict[str, Sequence[Member]] = {}
        self._watchers: frozenset[str] | None = None

    @property
    def regions(self) -> Sequence[str]:
        """The regions with members: the own region, then the others in cyclic order of names."""
        own = self._membership.own.region
        names = sorted({own, *(member.region for member in self._membership.members())})
        start = names.index(own)
        return [*names[start:], *names[:start]]

    def live(self, region: str) -> Sequence[Member]:
        """Return the live members of a region in the order in which they become watchers.

        The instances with the highest capacity come first: after a restart of all instances each
        watcher sends the whole state to dozens of them.
        """
        members = self._read_members()
        if region not in self._live:
            live = [member for member in members if member.region == region and member.is_serving]
            live.sort(key=lambda member: capacity_sort_key(member, "watcher"))
            self._live[region] = live
        return self._live[region]

    def watchers(self, region: str) -> Sequence[Member]:
        """Return the members that watch the store for a region."""
        live = self.live(region)
        return live[: watcher_count(len(live))]

    def is_watcher(self, address: str) -> bool:
        """Return whether the instance with this address is among the watchers of its region."""
        self._read_members()
        if self._watchers is None:
            self._watchers = frozenset(
                member.address for region in self.regions for member in self.watchers(region)
            )
        return address in self._watchers

    def _read_members(self) -> Sequence[Member]:
        """Return the members; discard what was derived from former ones."""
        members = self._membership.members()
        if members is not self._members:
            self._members = members
            self._live = {}
            self._watchers = None
        return members

"""Which instances send to a cold backend server: a few, agreed without any message."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import trio

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.instance_count import PEAK_RETENTION_S
from wagtailpoint.lookup.entry_choice import ENTRY_ORDER, MIN_ENTRIES
from wagtailpoint.membership.member import Member, capacity_sort_key
from wagtailpoint.rendezvous import rendezvous_score

POLL_INTERVAL_S: Final = 0.1
"""How often it is looked who is alive."""


class ColdSenders:
    """Chooses for each cold backend server the instances that share what it bears.

    Its bound, spread over all instances, leaves each of them less than a request a second, and
    wastes what each keeps back for bursts. A few that are the same in everybody's view use most.

    Instances that are not heard of are counted for some minutes as if they lived: they may be cut
    off and go on, and the sum over both sides must keep the bound.
    """

    def __init__(
        self,
        *,
        own: str,
        members: Callable[[], Iterable[Member]],
        instances: Callable[[], int],
    ) -> None:
        """Make it.

        Args:
            own: The address of this instance.
            members: The instances as this one sees them, the dead among them.
            instances: How many there may be, also before all of them are known.
        """
        self._own = own
        self._members = members
        self._instances = instances
        self._polled_at = -math.inf
        self._last_alive_at: dict[str, float] = {}
        self._members_by_address: dict[str, Member] = {}
        self._most_capable: frozenset[str] = frozenset()

    def count_senders(self, start: ServerStart, region: str, wanted: int) -> int:
        """How many instances share what a backend server bears; 0 if this one has no part.

        Args:
            start: The backend server.
            region: Where it is: its cache is filled for the callers there first.
            wanted: How many may share it.
        """
        self._poll_members()
        instances = self._instances()
        if len(self._last_alive_at) < instances:
            # Some are not known yet, and may choose others than we would: all share.
            return instances
        wanted = min(wanted, len(self._last_alive_at))
        senders = sorted(
            self._last_alive_at,
            key=lambda address: (
                self._members_by_address[address].region != region,
                address not in self._most_capable,
                -rendezvous_score(start.server_id, address),
            ),
        )
        return wanted if self._own in senders[:wanted] else 0

    def _poll_members(self) -> None:
        now = trio.current_time()
        if now - self._polled_at < POLL_INTERVAL_S:
            return
        self._polled_at = now
        previous = self._last_alive_at.keys()
        alive_at = dict(self._last_alive_at)
        for member in self._members():
            self._members_by_address[member.address] = member
            if member.state != "dead":
                alive_at[member.address] = now
        self._last_alive_at = _filter_recent(alive_at, now - PEAK_RETENTION_S)
        if self._last_alive_at.keys() != previous:
            self._most_capable = self._find_most_capable()

    def _find_most_capable(self) -> frozenset[str]:
        """The most capable instances of each failure domain: requests come to them first.

        By their capacity only, and not by who is an entry at the moment: while two instances
        disagreed on that, their senders would be others, and together exceed the bound.
        """
        domains: dict[str, list[Member]] = {}
        for address in self._last_alive_at:
            member = self._members_by_address[address]
            domains.setdefault(member.failure_domain, []).append(member)
        return frozenset(
            member.address
            for members in domains.values()
            for member in sorted(
                members, key=lambda member: capacity_sort_key(member, ENTRY_ORDER)
            )[:MIN_ENTRIES]
        )


def _filter_recent(times: Mapping[str, float], earliest: float) -> dict[str, float]:
    return {name: seen_at for name, seen_at in times.items() if seen_at >= earliest}

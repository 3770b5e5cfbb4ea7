"""The instances that share a bound on a backend server: a few, agreed on without messages."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Final

import trio

from wagtailpoint.discovery.instance_count import PEAK_RETENTION_S
from wagtailpoint.lookup.entry_choice import ENTRY_ORDER, MIN_ENTRIES
from wagtailpoint.membership.member import Member, capacity_sort_key
from wagtailpoint.rendezvous import rendezvous_score

POLL_INTERVAL_S: Final = 0.1
"""Interval between updates of the set of live instances."""

MAX_CACHED_RANKS: Final = 4096
"""Maximum number of backend servers with a cached order of senders."""


class BoundSenders:
    """Selects the instances that share a bound on the requests to one backend server.

    If the bound were spread over all instances, each would get less than one request a second, and
    most of the bound would be reserved for bursts. A few senders, which all instances derive from
    the same membership, use most of it.

    Instances that are believed dead count as alive for some minutes: they may be on the other side
    of a network partition and go on sending, and the sum over both sides must keep the bound.
    """

    def __init__(
        self,
        *,
        own: str,
        members: Callable[[], Iterable[Member]],
        instances: Callable[[], int],
    ) -> None:
        """Initialise the selection.

        Args:
            own: The address of this instance.
            members: Returns the members known to this instance, dead ones included.
            instances: Returns how many instances there may be, even if not all are known.
        """
        self._own = own
        self._members = members
        self._instances = instances
        self._polled_at = -math.inf
        self._last_alive_at: dict[str, float] = {}
        self._members_by_address: dict[str, Member] = {}
        self._most_capable: frozenset[str] = frozenset()
        self._own_ranks: dict[tuple[str, str], int] = {}

    def count_senders(self, server: str, region: str, max_senders: int) -> int:
        """Return how many instances send to a backend server, 0 if this one is not among them.

        Args:
            server: Identifies the backend server, in the same way on all instances.
            region: The region of the backend server; instances there are preferred, so that its
                cache is filled for the callers of that region first.
            max_senders: The maximum number of senders.
        """
        self._poll_members()
        instances = self._instances()
        if len(self._last_alive_at) < instances:
            # Instances that are not known yet may select other senders, so all instances share.
            return instances
        max_senders = min(max_senders, len(self._last_alive_at))
        return max_senders if self._own_rank(server, region) < max_senders else 0

    def _own_rank(self, server: str, region: str) -> int:
        """Return how many instances are senders of a backend server before this one is."""
        rank = self._own_ranks.get((server, region))
        if rank is None:
            senders = sorted(
                self._last_alive_at,
                key=lambda address: (
                    self._members_by_address[address].region != region,
                    address not in self._most_capable,
                    -rendezvous_score(server, address),
                ),
            )
            rank = senders.index(self._own) if self._own in senders else len(senders)
            self._own_ranks[server, region] = rank
        return rank

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
        if self._last_alive_at.keys() != previous or len(self._own_ranks) > MAX_CACHED_RANKS:
            self._most_capable = self._find_most_capable()
            self._own_ranks.clear()

    def _find_most_capable(self) -> frozenset[str]:
        """Return the instances with the most capacity of each failure domain.

        Callers' requests come to these first. Only capacity counts, not which instances are entries
        at the moment: while two instances disagreed about the entries, they would select different
        senders, which together would exceed the bound.
        """
        domains: dict[str, list[Member]] = {}
        for address in self._last_alive_at:
            member = self._members_by_address[address]
            domains.setdefault(member.failure_domain, []).append(member)
        return frozenset(
            capable.address
            for members in domains.values()
            for capable in sorted(
                members, key=lambda member: capacity_sort_key(member, ENTRY_ORDER)
            )[:MIN_ENTRIES]
        )


def _filter_recent(times: Mapping[str, float], earliest: float) -> dict[str, float]:
    return {name: seen_at for name, seen_at in times.items() if seen_at >= earliest}

"""The order of backend servers for an affinity key: the same on every instance."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from wagtailpoint.discovery.fleet import Candidate, Fleet
from wagtailpoint.rendezvous import rendezvous_score

MAX_CACHED_ORDERS: Final = 8192
"""Keys whose order is remembered; each takes about 1 KB."""

MAX_GLOBAL_CANDIDATES: Final = 6
MAX_LOCAL_CANDIDATES: Final = 3
"""How many are ordered for one key, of all and of the own failure domain and region: enough to go
on to when the first ones were tried, are full or can't be reached."""

_FULL_SCALE: Final = float(1 << 64)


class Ranked(NamedTuple):
    """A candidate for one affinity key.

    Attributes:
        candidate: The backend server.
        rank: Its place among all that may serve the request; 0 is the one that all instances know.
        in_domain: It is in the own failure domain.
        in_region: It is in the own region.
        is_first_in_region: It is the first one there.
    """

    candidate: Candidate
    rank: int
    in_domain: bool
    in_region: bool
    is_first_in_region: bool


class KeyOrder(NamedTuple):
    """The candidates for one affinity key.

    Attributes:
        position: Of the key among all keys of the service, evenly spread from 0 to 1.
        ranked: The candidates.
    """

    position: float
    ranked: Sequence[Ranked]


class Ranking:
    """Orders the candidates of a service by rendezvous hashing.

    When a backend server comes or goes, only the keys that it has or had get another first one;
    all others keep theirs, with what it has in its cache of them.
    """

    def __init__(self, *, fleet: Fleet, own_domain: str, own_region: str) -> None:
        """Make it.

        Args:
            fleet: The backend servers.
            own_domain: This instance's failure domain.
            own_region: This instance's region.
        """
        self._fleet = fleet
        self._own_domain = own_domain
        self._own_region = own_region
        self._generation = -1
        self._orders: dict[tuple[str, str, frozenset[str] | None], KeyOrder] = {}

    def order_candidates(
        self, service: str, key: str, home_regions: frozenset[str] | None
    ) -> KeyOrder:
        """The candidates for a key, in the regions ``home_regions`` only, unless that is None."""
        if self._generation != self._fleet.generation or len(self._orders) > MAX_CACHED_ORDERS:
            self._orders = {}
            self._generation = self._fleet.generation
        found = self._orders.get((service, key, home_regions))
        if found is None:
            position = rendezvous_score(key, "") / _FULL_SCALE
            found = KeyOrder(position, tuple(self._order(service, key, home_regions)))
            self._orders[service, key, home_regions] = found
        return found

    def _order(self, service: str, key: str, home_regions: frozenset[str] | None) -> list[Ranked]:
        allowed = [
            candidate
            for candidate in self._fleet.candidates(service)
            if home_regions is None or candidate.region in home_regions
        ]
        allowed.sort(key=lambda candidate: -rendezvous_score(key, candidate.entry.server_id))
        first_in_region = next(
            (candidate for candidate in allowed if candidate.region == self._own_region), None
        )
        ranked = [
            Ranked(
                candidate=candidate,
                rank=rank,
                in_domain=candidate.entry.failure_domain == self._own_domain,
                in_region=candidate.region == self._own_region,
                is_first_in_region=candidate is first_in_region,
            )
            for rank, candidate in enumerate(allowed)
        ]
        near = [candidate for candidate in ranked if candidate.in_region][:MAX_LOCAL_CANDIDATES]
        nearest = [candidate for candidate in ranked if candidate.in_domain][:MAX_LOCAL_CANDIDATES]
        kept = {candidate.rank for candidate in (*ranked[:MAX_GLOBAL_CANDIDATES], *near, *nearest)}
        return [ranked[rank] for rank in sorted(kept)]


def select_preferred(usable: Sequence[Ranked]) -> list[Ranked]:
    """Those of the usable backend servers to which a request should go, the first of all in front.

    The first of all, of the own failure domain and of the own region. With one more of all every
    key was on most backend servers, their caches overflowed, and what an object that is not cached
    takes three times as long for left no room for others.
    """
    first = usable[:1]
    nearest = [candidate for candidate in usable if candidate.in_domain][:1]
    near = [candidate for candidate in usable if candidate.in_region][:1]
    return list(dict.fromkeys((*first, *nearest, *near)))

"""Order of the backend servers for an affinity key, the same on every instance."""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from wagtailpoint.discovery.fleet import Candidate, Fleet
from wagtailpoint.placement.choice import Demand
from wagtailpoint.rendezvous import rendezvous_score

MAX_CACHED_ORDERS: Final = 8192
"""Maximum number of keys with a cached order; each takes about 1 KB."""

MAX_GLOBAL_CANDIDATES: Final = 6
MAX_LOCAL_CANDIDATES: Final = 3
"""Maximum numbers of candidates for one key: of all backend servers, and of this instance's failure
domain and region each. They leave alternatives when the first ones were tried, are full or cannot
be reached."""

_FULL_SCALE: Final = float(1 << 64)


class Ranked(NamedTuple):
    """A candidate for one affinity key.

    Attributes:
        candidate: The backend server.
        rank: The rank among all that may serve the request, from 0; the same on all instances.
        in_domain: The backend server is in this instance's failure domain.
        in_region: The backend server is in this instance's region.
        is_first_in_region: The backend server has the lowest rank in this instance's region.
    """

    candidate: Candidate
    rank: int
    in_domain: bool
    in_region: bool
    is_first_in_region: bool


class KeyOrder(NamedTuple):
    """The candidates for one affinity key.

    Attributes:
        position: The position of the key among all keys of the service, uniform from 0 to 1.
        ranked: The candidates by rank.
    """

    position: float
    ranked: Sequence[Ranked]


class Ranking:
    """Orders the candidates of a service by rendezvous hashing.

    When a backend server is added or removed, only the keys for which it ranks first are assigned
    another first backend server; all other keys keep theirs and its cache.
    """

    def __init__(self, *, fleet: Fleet, own_domain: str, own_region: str) -> None:
        """Initialise an empty cache of orders.

        Args:
            fleet: The backend servers.
            own_domain: The failure domain of this instance.
            own_region: The region of this instance.
        """
        self._fleet = fleet
        self._own_domain = own_domain
        self._own_region = own_region
        self._generation = -1
        self._orders: dict[tuple[str, str, frozenset[str] | None], KeyOrder] = {}

    def without_cache(self) -> "Ranking":
        """Return a ranking of the same servers with an empty cache of its own."""
        return Ranking(fleet=self._fleet, own_domain=self._own_domain, own_region=self._own_region)

    def order_candidates(
        self, service: str, key: str, home_regions: frozenset[str] | None
    ) -> KeyOrder:
        """Return the candidates for a key, in ``home_regions`` only unless that is None."""
        if self._generation != self._fleet.generation or len(self._orders) > MAX_CACHED_ORDERS:
            self._orders = {}
            self._generation = self._fleet.generation
        found = self._orders.get((service, key, home_regions))
        if found is None:
            position = rendezvous_score(key, "") / _FULL_SCALE
            found = KeyOrder(position, tuple(self._order(service, key, home_regions)))
            self._orders[service, key, home_regions] = found
        return found

    def order_where(self, demand: Demand, is_usable: Callable[[Candidate], bool]) -> list[Ranked]:
        """Return the candidates for a demand, chosen among those that fulfil a condition."""
        return self._order(demand.service, demand.key, demand.route.home_regions, is_usable)

    def _order(
        self,
        service: str,
        key: str,
        home_regions: frozenset[str] | None,
        is_usable: Callable[[Candidate], bool] = lambda candidate: True,
    ) -> list[Ranked]:
        allowed = [
            candidate
            for candidate in self._fleet.candidates(service)
            if (home_regions is None or candidate.region in home_regions) and is_usable(candidate)
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
    """Return the usable candidates that a request should go to, the one with the lowest rank first.

    They are the first of all, of this instance's failure domain and of its region. With a second
    candidate of all, every key would be cached on most backend servers; their caches would
    overflow, and uncached objects, which take three times as long, would fill the slots.
    """
    first = usable[:1]
    nearest = [candidate for candidate in usable if candidate.in_domain][:1]
    near = [candidate for candidate in usable if candidate.in_region][:1]
    return list(dict.fromkeys((*first, *nearest, *near)))

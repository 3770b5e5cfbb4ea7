"""Order of the backend servers for an affinity key, the same on every instance."""

from collections.abc import Callable, Collection, Sequence
from typing import Final, NamedTuple

from wagtailpoint.discovery.fleet import Candidate, Fleet
from wagtailpoint.placement.choice import Demand
from wagtailpoint.placement.key_hashes import KeyHashes
from wagtailpoint.placement.weighted_order import order_by_distance
from wagtailpoint.rendezvous import rendezvous_score

MAX_CACHED_ORDERS: Final = 8192
"""Maximum number of keys with a cached order; each takes about 1 KB."""

MAX_CACHED_HASHES: Final = 1 << 20
"""Number of hashes of keys with backend servers beyond which they are dropped; each takes 8 bytes.
They are kept when backend servers change, while the orders are not."""

MAX_GLOBAL_CANDIDATES: Final = 6
MAX_LOCAL_CANDIDATES: Final = 3
"""Maximum numbers of candidates for one key: of all backend servers, and of this instance's failure
domain and region each. They leave alternatives when the first ones were tried, are full or cannot
be reached."""

_FULL_SCALE: Final = float(1 << 64)

IsUsable = Callable[[Candidate], bool]


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


class _ServiceOrders:
    """The candidates of one service, and the orders of its keys."""

    def __init__(self, *, own_domain: str, own_region: str) -> None:
        self._own_domain = own_domain
        self._own_region = own_region
        self._candidates: tuple[Candidate, ...] = ()
        self._slots: list[int] = []
        self._max_in_region = 0
        self._max_in_domain = 0
        self.hashes = KeyHashes()
        self.generation = -1
        self.orders: dict[tuple[str, frozenset[str] | None], KeyOrder] = {}

    def set_candidates(self, candidates: tuple[Candidate, ...]) -> None:
        """Set the candidates by id; drop the orders if any candidate has changed."""
        if candidates == self._candidates:
            return
        self._candidates = candidates
        self._slots = [candidate.entry.slots for candidate in candidates]
        in_region = sum(candidate.region == self._own_region for candidate in candidates)
        in_domain = sum(
            candidate.entry.failure_domain == self._own_domain for candidate in candidates
        )
        self._max_in_region = min(in_region, MAX_LOCAL_CANDIDATES)
        self._max_in_domain = min(in_domain, MAX_LOCAL_CANDIDATES)
        self.hashes.set_servers([candidate.entry.server_id for candidate in candidates])
        self.orders = {}

    def order(
        self, key: str, home_regions: frozenset[str] | None, is_usable: IsUsable | None = None
    ) -> list[Ranked]:
        """Return the first candidates for a key of all, of the own region and failure domain."""
        hashes, slots, allowed = self.hashes.hashes_of(key), self._slots, self._candidates
        if home_regions is not None or is_usable is not None:
            places = [
                place
                for place, candidate in enumerate(allowed)
                if (home_regions is None or candidate.region in home_regions)
                and (is_usable is None or is_usable(candidate))
            ]
            hashes = [hashes[place] for place in places]
            slots = [slots[place] for place in places]
            allowed = tuple(allowed[place] for place in places)
        ranked: list[Ranked] = []
        in_region_count = in_domain_count = 0
        for rank, place in enumerate(order_by_distance(hashes, slots)):
            if (
                rank >= MAX_GLOBAL_CANDIDATES
                and in_region_count >= self._max_in_region
                and in_domain_count >= self._max_in_domain
            ):
                break
            candidate = allowed[place]
            in_domain = candidate.entry.failure_domain == self._own_domain
            in_region = candidate.region == self._own_region
            if (
                rank < MAX_GLOBAL_CANDIDATES
                or (in_region and in_region_count < MAX_LOCAL_CANDIDATES)
                or (in_domain and in_domain_count < MAX_LOCAL_CANDIDATES)
            ):
                is_first_in_region = in_region and not in_region_count
                ranked.append(Ranked(candidate, rank, in_domain, in_region, is_first_in_region))
            in_region_count += in_region
            in_domain_count += in_domain
        return ranked


class Ranking:
    """Orders the candidates of a service by weighted rendezvous hashing.

    Each candidate ranks first for a share of the keys that is proportional to its slots. When a
    backend server is added, removed or gets another number of slots, only the keys that it gains or
    loses are assigned another first backend server; all other keys keep theirs and its cache.
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
        self._services: dict[str, _ServiceOrders] = {}

    def without_cache(self) -> "Ranking":
        """Return a ranking of the same servers with an empty cache of its own."""
        return Ranking(fleet=self._fleet, own_domain=self._own_domain, own_region=self._own_region)

    def order_candidates(
        self, service: str, key: str, home_regions: frozenset[str] | None
    ) -> KeyOrder:
        """Return the candidates for a key, in ``home_regions`` only unless that is None."""
        orders = self._updated_orders(service)
        found = orders.orders.get((key, home_regions))
        if found is None:
            self._limit_memory()
            found = KeyOrder(position_of(key), tuple(orders.order(key, home_regions)))
            orders.orders[key, home_regions] = found
        return found

    def order_where(self, demand: Demand, is_usable: IsUsable) -> list[Ranked]:
        """Return the candidates for a demand, chosen among those that fulfil a condition."""
        orders = self._updated_orders(demand.service)
        return orders.order(demand.key, demand.route.home_regions, is_usable)

    def _updated_orders(self, service: str) -> _ServiceOrders:
        orders = self._services.get(service)
        if orders is None:
            orders = self._services[service] = _ServiceOrders(
                own_domain=self._own_domain, own_region=self._own_region
            )
        if orders.generation != self._fleet.generation:
            orders.set_candidates(self._fleet.candidates(service))
            orders.generation = self._fleet.generation
        return orders

    def _limit_memory(self) -> None:
        kept = self._services.values()
        if sum(len(orders.orders) for orders in kept) >= MAX_CACHED_ORDERS:
            for orders in kept:
                orders.orders.clear()
        if sum(orders.hashes.count for orders in kept) >= MAX_CACHED_HASHES:
            for orders in kept:
                orders.hashes.clear()


def position_of(key: str) -> float:
    """Return the position of a key among all keys of a service, uniform from 0 to 1."""
    return rendezvous_score(key, "") / _FULL_SCALE


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


def select_untried(ranked: Sequence[Ranked], tried: Collection[str]) -> list[Ranked]:
    """Return the candidates whose ids are not among those that a request was sent to before."""
    return [option for option in ranked if option.candidate.entry.server_id not in tried]

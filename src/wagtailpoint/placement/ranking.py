"""The order of backend servers for an affinity key: the same on every instance."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from wagtailpoint.discovery.fleet import Candidate, Fleet
from wagtailpoint.rendezvous import rendezvous_score

MOST_REMEMBERED: Final = 8192
"""Keys whose order is remembered; each takes about 1 KB."""

MOST_ANYWHERE: Final = 3
MOST_NEAR: Final = 1
"""Candidates for one key, of all and of the own failure domain and region. With more of them every
key was on most backend servers, their caches overflowed, and each request took three times as long
as a cached one: 27 % were refused where the slots would have sufficed."""

_FULL_SCALE: Final = float(1 << 64)


class Ranked(NamedTuple):
    """A candidate for one affinity key.

    Attributes:
        candidate: The backend server.
        rank: Its place among all that may serve the request; 0 is the one that all instances know.
        local_rank: Its place among those of its failure domain.
    """

    candidate: Candidate
    rank: int
    local_rank: int


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
        self._known: dict[tuple[str, str, frozenset[str]], KeyOrder] = {}

    def of(self, service: str, key: str, homes: frozenset[str]) -> KeyOrder:
        """The candidates for a key, in the regions ``homes`` only if there are any."""
        if self._generation != self._fleet.generation or len(self._known) > MOST_REMEMBERED:
            self._known = {}
            self._generation = self._fleet.generation
        found = self._known.get((service, key, homes))
        if found is None:
            position = rendezvous_score(key, "") / _FULL_SCALE
            found = KeyOrder(position, tuple(self._order(service, key, homes)))
            self._known[service, key, homes] = found
        return found

    def _order(self, service: str, key: str, homes: frozenset[str]) -> list[Ranked]:
        allowed = [
            each for each in self._fleet.candidates(service) if not homes or each.region in homes
        ]
        allowed.sort(key=lambda each: -rendezvous_score(key, each.entry.server_id))
        in_domain: dict[str, int] = {}
        in_region: dict[str, int] = {}
        ranked = []
        for rank, candidate in enumerate(allowed):
            domain, region = candidate.entry.failure_domain, candidate.region
            local_rank = in_domain.get(domain, 0)
            region_rank = in_region.get(region, 0)
            in_domain[domain] = local_rank + 1
            in_region[region] = region_rank + 1
            if (
                rank < MOST_ANYWHERE
                or (domain == self._own_domain and local_rank < MOST_NEAR)
                or (region == self._own_region and region_rank < MOST_NEAR)
            ):
                ranked.append(Ranked(candidate, rank, local_rank))
        return ranked

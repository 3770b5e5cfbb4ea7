"""The order of backend servers for an affinity key: the same on every instance."""

from collections.abc import Sequence
from hashlib import blake2b
from typing import NamedTuple

from wagtailpoint.discovery.fleet import Candidate, Fleet

MOST_REMEMBERED = 8192
"""Keys whose order is remembered; each takes about 1 KB."""


class Ranked(NamedTuple):
    """A candidate for one affinity key.

    Attributes:
        candidate: The backend server.
        rank: Its place among those of its region; 0 is the one that all instances prefer.
    """

    candidate: Candidate
    rank: int


def rendezvous_score(key: str, server_id: str) -> int:
    """A number that is as good as random for each pair of key and backend server."""
    digest = blake2b(f"{key}|{server_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class Ranking:
    """Orders the candidates of a service by rendezvous hashing (Thaler and Ravishankar 1998).

    When a backend server comes or goes, only the keys that it has or had get another first one;
    all others keep theirs, with what it has in its cache of them.
    """

    def __init__(self, *, fleet: Fleet, most_per_region: int) -> None:
        """Make it.

        Args:
            fleet: The backend servers.
            most_per_region: So many of each region are candidates for one key.
        """
        self._fleet = fleet
        self._most = most_per_region
        self._generation = -1
        self._known: dict[tuple[str, str], tuple[Ranked, ...]] = {}

    def of(self, service: str, key: str) -> Sequence[Ranked]:
        """The candidates for a key, each region's best first."""
        if self._generation != self._fleet.generation or len(self._known) > MOST_REMEMBERED:
            self._known = {}
            self._generation = self._fleet.generation
        found = self._known.get((service, key))
        if found is None:
            found = self._known[service, key] = tuple(self._order(service, key))
        return found

    def _order(self, service: str, key: str) -> list[Ranked]:
        counts: dict[str, int] = {}
        ranked = []
        for candidate in sorted(
            self._fleet.candidates(service),
            key=lambda each: -rendezvous_score(key, each.entry.server_id),
        ):
            rank = counts.get(candidate.region, 0)
            counts[candidate.region] = rank + 1
            if rank < self._most:
                ranked.append(Ranked(candidate, rank))
        return ranked

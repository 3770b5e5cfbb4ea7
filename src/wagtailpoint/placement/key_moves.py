"""Counts affinity keys that are sent to another backend server than before, by reason."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final, NamedTuple

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.choice import Demand
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.ranking import position_of

MAX_KEYS: Final = 4096
"""Maximum number of keys whose last backend server is remembered; each takes about 400 bytes."""

MAX_SERVICES: Final = 1000
"""Maximum number of services with remembered candidates. Services come and go with the
configuration."""


class _Place(NamedTuple):
    """Where a key was sent last.

    Attributes:
        server_id: The backend server.
        version: The version of the service's candidates at that time.
        region_fraction: The fraction of the keys that the own region kept.
        domain_fraction: The fraction of the keys that the own failure domain kept.
    """

    server_id: str
    version: int
    region_fraction: float
    domain_fraction: float


class _Known(NamedTuple):
    """A candidate, with the versions of the candidates since which it is one with these slots."""

    slots: int
    added_at: int
    resized_at: int


class _Candidates:
    """The candidates of one service."""

    def __init__(self) -> None:
        self.generation = -1
        self.version = 0
        self.known: dict[str, _Known] = {}

    def update(self, fleet: Fleet, service: str) -> None:
        """Update the candidates if the fleet has changed."""
        if self.generation == fleet.generation:
            return
        self.generation = fleet.generation
        self.version += 1
        known = {}
        for entry, _ in fleet.candidates(service):
            before = self.known.get(entry.server_id)
            if before is None:
                before = _Known(entry.slots, added_at=self.version, resized_at=0)
            elif before.slots != entry.slots:
                before = before._replace(slots=entry.slots, resized_at=self.version)
            known[entry.server_id] = before
        self.known = known


class KeyMoves:
    """Counts ``placement.moved.REASON`` for the keys of sticky routes at this instance.

    A move is a request for a key to another backend server than that of the key's request before.
    The first reason that applies is counted:

    * ``removed``: the server before takes no new requests, or went away meanwhile.
    * ``substitute``: it was tried for this request, or is skipped since it is unreachable, silent,
      failing, limited or backing off.
    * ``added``, ``resized``: the new server is new; one of both has other slots than before.
    * ``fraction``: a fraction of the keys that this region or failure domain keeps has passed the
      key's position.
    * ``full``: none of these; load, distance or a cached object made another server preferable.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        distances: Distances,
        cached_fraction: CachedFraction,
        metrics: Metrics,
        is_skipped: Callable[[ServerEntry], bool],
    ) -> None:
        """Initialise without any known key.

        Args:
            fleet: The backend servers.
            distances: The place of this instance.
            cached_fraction: The fraction of keys to cache in each failure domain and region.
            metrics: Receives the counts.
            is_skipped: Whether a backend server gets no requests at the moment.
        """
        self._fleet = fleet
        self._distances = distances
        self._cached_fraction = cached_fraction
        self._metrics = metrics
        self._is_skipped = is_skipped
        self._candidates: OrderedDict[str, _Candidates] = OrderedDict()
        self._places: OrderedDict[tuple[str, str], _Place] = OrderedDict()

    def record(self, demand: Demand, server_id: str) -> None:
        """Record that a request is sent to a backend server."""
        if not demand.route.sticky:
            return
        candidates = self._updated_candidates(demand.service)
        place = _Place(
            server_id,
            candidates.version,
            self._cached_fraction.region_fraction(demand.service, self._distances.region),
            self._cached_fraction.domain_fraction(demand.service, self._distances.failure_domain),
        )
        before = self._places.get((demand.service, demand.key))
        if before is not None and before.server_id != server_id:
            reason = self._reason(demand, candidates, before, place)
            self._metrics.count(f"placement.moved.{reason}")
        self._places[demand.service, demand.key] = place
        self._places.move_to_end((demand.service, demand.key))
        if len(self._places) > MAX_KEYS:
            self._places.popitem(last=False)

    def _updated_candidates(self, service: str) -> _Candidates:
        candidates = self._candidates.get(service)
        if candidates is None:
            candidates = self._candidates[service] = _Candidates()
            if len(self._candidates) > MAX_SERVICES:
                removed, _ = self._candidates.popitem(last=False)
                for key in [key for key in self._places if key[0] == removed]:
                    del self._places[key]
        candidates.update(self._fleet, service)
        return candidates

    def _reason(self, demand: Demand, candidates: _Candidates, before: _Place, now: _Place) -> str:
        old, new = candidates.known.get(before.server_id), candidates.known.get(now.server_id)
        if old is None or old.added_at > before.version:
            return "removed"
        if before.server_id in demand.tried or self._is_skipped(
            self._fleet.entries[before.server_id]
        ):
            return "substitute"
        if new is None or new.added_at > before.version:
            return "added"
        if max(old.resized_at, new.resized_at) > before.version:
            return "resized"
        position = position_of(demand.key)
        for earlier, current in (
            (before.region_fraction, now.region_fraction),
            (before.domain_fraction, now.domain_fraction),
        ):
            if (position < earlier) != (position < current):
                return "fraction"
        return "full"

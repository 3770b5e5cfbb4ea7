"""The backend servers that may take new requests, and which of them are cold."""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.observe.log import log_event
from wagtailpoint.routing.table import ServicePolicy

DEFAULT_COLD_S = 3.0
"""Cold time after an evacuation if the service is not configured: backend servers that got no
requests for a while may have become cold and are paced again."""

MAX_LEAVING: Final = 4096
"""Number of starts that are remembered as leaving, gone ones included: about 200 bytes each."""


class Candidate(NamedTuple):
    """A backend server that may take new requests.

    Attributes:
        entry: Its registration.
        region: The region that it runs in.
    """

    entry: ServerEntry
    region: str


class Fleet:
    """This instance's view of all backend servers."""

    def __init__(self, *, region_of: Mapping[str, str]) -> None:
        """Initialise a fleet without backend servers.

        Args:
            region_of: The region of each failure domain.
        """
        self._region_of = region_of
        self._entries: dict[str, ServerEntry] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._cold_until: dict[ServerStart, float] = {}
        self._leaving: OrderedDict[ServerStart, None] = OrderedDict()
        self._candidates: dict[str, tuple[Candidate, ...]] = {}
        self._generation = 0
        self._are_candidates_stale = False

    @property
    def generation(self) -> int:
        """A number that rises with every change of the candidates."""
        return self._generation

    @property
    def evacuated(self) -> frozenset[str]:
        """The failure domains whose backend servers get no requests."""
        return self._evacuated

    @property
    def entries(self) -> Mapping[str, ServerEntry]:
        """The entries of all backend servers by id."""
        return self._entries

    @property
    def failure_domains(self) -> int:
        """The number of failure domains, with or without backend servers."""
        return len(self._region_of)

    @property
    def known_domains(self) -> Collection[str]:
        """The names of all failure domains of the deployment."""
        return self._region_of

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain; empty if the failure domain is unknown."""
        return self._region_of.get(failure_domain, "")

    def candidates(self, service: str) -> tuple[Candidate, ...]:
        """Return the backend servers of a service that may take new requests."""
        if self._are_candidates_stale:
            # Rebuilt on use: an instance without requests still receives hundreds of changes.
            self._rebuild()
        return self._candidates.get(service, ())

    def knows_start(self, key: str) -> bool:
        """Return whether a start, given as ``ServerStart.key``, is that of a registered server."""
        entry = self._entries.get(key.rpartition("/")[0])
        return entry is not None and entry.start.key == key

    def takes_work(self, entry: ServerEntry) -> bool:
        """Return whether the backend server may take new requests and has not restarted since."""
        known = self._entries.get(entry.server_id)
        return known is not None and known.start == entry.start and self._is_usable(known)

    def _is_usable(self, entry: ServerEntry) -> bool:
        leaves = entry.draining or entry.start in self._leaving
        return not leaves and entry.failure_domain not in self._evacuated

    def record_leaving(self, start: ServerStart, source: str) -> bool:
        """Record that a start of a backend server said that it leaves, which it never takes back.

        The entry in the store may say so later, or be restored from before.

        Args:
            start: The start.
            source: Whom it was said to: ``answer``, to this instance, or ``peer``.

        Returns:
            Whether it was thought to stay.
        """
        if start in self._leaving:
            return False
        self._leaving[start] = None
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        entry = self._entries.get(start.server_id)
        if entry is None or entry.start != start or entry.draining:
            return False
        log_event("server-leaving", server=start.server_id, source=source)
        self._invalidate_candidates()
        return True

    def is_cold(self, start: ServerStart) -> bool:
        """Return whether a backend server is cold."""
        until = self._cold_until.get(start)
        if until is None:
            return False
        if until > trio.current_time():
            return True
        del self._cold_until[start]
        return False

    def record_cold(self, start: ServerStart, cold_s: float) -> None:
        """Record that a backend server stays cold for ``cold_s`` seconds from now."""
        if cold_s > 0:
            until = trio.current_time() + cold_s
            self._cold_until[start] = max(until, self._cold_until.get(start, 0.0))

    def update(self, entries: Iterable[ServerEntry]) -> list[ServerStart]:
        """Replace all entries; return the starts that have ended, by removal or restart."""
        found = {entry.server_id: entry for entry in entries}
        return self.apply_changes(found.values(), gone=self._entries.keys() - found.keys())

    def apply_changes(
        self, entries: Iterable[ServerEntry], *, gone: Collection[str]
    ) -> list[ServerStart]:
        """Apply changes to the entries.

        Args:
            entries: Entries that are new or have changed.
            gone: Ids of the backend servers that were removed.

        Returns:
            The starts that have ended, by removal or restart.
        """
        ended = [self._entries.pop(server_id).start for server_id in gone]
        for start in ended:
            self._discard(start)
        for entry in entries:
            previous = self._entries.get(entry.server_id)
            if entry == previous:
                continue
            if previous is not None and entry.start != previous.start:
                ended.append(previous.start)
                self._discard(previous.start)
            self._put(entry, previous)
        self._invalidate_candidates()
        return ended

    def _discard(self, start: ServerStart) -> None:
        self._cold_until.pop(start, None)
        log_event("server-gone", server=start.server_id, started_ms=start.started_ms)

    def _put(self, entry: ServerEntry, previous: ServerEntry | None) -> None:
        if (
            previous is None
            or entry.start != previous.start
            or entry.cold_left_s != previous.cold_left_s
        ):
            self.record_cold(entry.start, entry.cold_left_s)
        log_event(
            "server-known",
            server=entry.server_id,
            started_ms=entry.started_ms,
            service=entry.service,
            address=entry.address,
            draining=entry.draining,
            cold_left_s=entry.cold_left_s,
            domain=entry.failure_domain,
        )
        self._entries[entry.server_id] = entry

    def _invalidate_candidates(self) -> None:
        self._generation += 1
        self._are_candidates_stale = True

    def evacuate(
        self, failure_domains: frozenset[str], services: Mapping[str, ServicePolicy]
    ) -> None:
        """Set the failure domains whose backend servers get no new requests."""
        if failure_domains == self._evacuated:
            return
        reinstated = self._evacuated - failure_domains
        for entry in self._entries.values():
            if entry.failure_domain in reinstated:
                policy = services.get(entry.service)
                self.record_cold(entry.start, policy.cold_s if policy else DEFAULT_COLD_S)
        self._evacuated = failure_domains
        log_event("evacuations", domains=",".join(sorted(failure_domains)))
        self._invalidate_candidates()

    def _rebuild(self) -> None:
        by_service: dict[str, list[Candidate]] = {}
        for entry in self._entries.values():
            if not self._is_usable(entry):
                continue
            region = self.region_of(entry.failure_domain)
            by_service.setdefault(entry.service, []).append(Candidate(entry, region))
        self._candidates = {
            service: tuple(sorted(found, key=lambda candidate: candidate.entry.server_id))
            for service, found in by_service.items()
        }
        self._are_candidates_stale = False

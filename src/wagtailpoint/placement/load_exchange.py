"""Exchange of load reports and demand between the instances of a region that lookups name."""

import math
from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Final, NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.lookup.entry_choice import EntryChoice
from wagtailpoint.membership import Member
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.estimates import Estimates
from wagtailpoint.placement.load_news import (
    AGE_SCALE,
    PACE_SCALE,
    LoadNews,
    ServerReport,
    server_hash,
)
from wagtailpoint.placement.load_report import MAX_PACE, MIN_PACE, NORMAL_PACE, LoadReport
from wagtailpoint.placement.region_demand import RegionDemand
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message
from wagtailpoint.rendezvous import rendezvous_score

SEND_INTERVAL_S: Final = 0.25
DEMAND_INTERVAL_S: Final = 1.0

MAX_PEERS: Final = 8
"""Maximum number of instances that one tells; the bytes of a region would grow quadratically."""

MAX_BYTES_PER_S: Final = 1024
BURST_BYTES: Final = 1024
ENVELOPE_BYTES: Final = 70
REPORT_BYTES: Final = 12
DEMAND_BYTES: Final = 20
"""Bound on what an instance sends, and the sizes of encoded messages that it counts with, those of
demands without the names of their services. All control messages of an instance together have to
stay below 3 KB a second."""

MAX_RECEIVED_AGE_S: Final = 2.0
MAX_REQUESTS: Final = 100_000
MAX_PACE_PERCENT: Final = round(PACE_SCALE * MAX_PACE)
"""Reports with larger values, or older ones, are ignored."""

STANDSTILL_S: Final = 0.5
"""After the process stood still for longer, messages that arrived meanwhile have an unknown age."""


class LoadNewsMessage(NamedTuple):
    """Tells loads of backend servers and the sender's demand.

    Attributes:
        reports: The fields of ``ServerReport`` of each backend server.
        demands: The slots that the sender's callers use, by service.
    """

    reports: Sequence[ServerReport]
    demands: Mapping[str, float]


register_message("load-news", LoadNewsMessage)


class LoadExchange:
    """Tells the other named instances of the region what this one knows of loads, and learns."""

    def __init__(
        self,
        *,
        entries: EntryChoice,
        own_address: str,
        peers: Peers,
        fleet: Fleet,
        distances: Distances,
        demand: RegionDemand,
        is_enabled: Callable[[str], bool],
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Initialise the exchange; ``set_estimates`` must be called before it runs.

        Args:
            entries: The instances that lookups name.
            own_address: The address of this instance.
            peers: Links to the other instances.
            fleet: The backend servers.
            distances: The place of this instance, and round-trip times to backend servers.
            demand: Receives the demand of the others.
            is_enabled: Returns whether loads of a service are exchanged.
            metrics: Receives counts.
            random: The source of jitter.
        """
        self._entries = entries
        self._own_address = own_address
        self._peers = peers
        self._fleet = fleet
        self._distances = distances
        self._demand = demand
        self._is_enabled = is_enabled
        self._metrics = metrics
        self._random = random
        self._estimates = Estimates()
        self._own_slots: Callable[[str], float] = lambda service: 0.0
        self._news = LoadNews()
        self._services: set[str] = set()
        self._known: list[PeerAddress] = []
        self._demand_told_at: dict[PeerAddress, float] = {}
        self._budget_bytes = float(BURST_BYTES)
        self._budget_at = 0.0
        self._ran_at = math.inf
        self._servers: dict[int, ServerEntry] = {}
        self._fleet_services: set[str] = set()
        self._servers_generation = -1
        peers.handle(LoadNewsMessage, self._on_message)

    def set_estimates(self, estimates: Estimates, own_slots: Callable[[str], float]) -> None:
        """Set what receives the reports of others.

        Args:
            estimates: The estimates of this instance.
            own_slots: Returns the slots that this instance's callers use of a service.
        """
        self._estimates = estimates
        self._own_slots = own_slots
        estimates.on_report(self._record_report)

    async def run(self) -> None:
        """Tell the others periodically, until cancelled."""
        while True:
            self._ran_at = trio.current_time()
            await trio.sleep(SEND_INTERVAL_S * self._random.uniform(0.8, 1.2))
            if self._stood_still(trio.current_time()):
                # Handles what waited in the links before it goes on.
                await trio.sleep(SEND_INTERVAL_S)
                self._metrics.count("load-news.standstill")
            if self._services:
                self.tell(trio.current_time())

    def tell(self, now: float) -> None:
        """Tell the other named instances what has changed, as far as the bytes last."""
        self._news.remove_old(now)
        named = {member.address: member for member in self._entries.all}
        if self._own_address not in named:
            self._update_peers([])
            return
        self._update_peers(self._choose_peers(list(named.values())))
        rate_bytes = MAX_BYTES_PER_S * (now - self._budget_at)
        self._budget_bytes = min(BURST_BYTES, self._budget_bytes + rate_bytes)
        self._budget_at = now
        for peer in list(self._known):
            if self._budget_bytes < ENVELOPE_BYTES + REPORT_BYTES:
                return
            self._tell_peer(peer, now)
            # The peers take turns where the bytes don't last for all of them.
            self._known.remove(peer)
            self._known.append(peer)

    def _tell_peer(self, peer: PeerAddress, now: float) -> None:
        demands: dict[str, float] = {}
        if now - self._demand_told_at.get(peer, -DEMAND_INTERVAL_S) >= DEMAND_INTERVAL_S:
            demands = {
                service: round(self._own_slots(service), 1)
                for service in sorted(self._services)
                if self._is_shared(service)
            }
            self._demand_told_at[peer] = now
        size = ENVELOPE_BYTES + sum(DEMAND_BYTES + len(name.encode()) for name in demands)
        max_servers = max(0, int((self._budget_bytes - size) / REPORT_BYTES))
        reports = self._news.select(peer, now, max_servers)
        if not reports and not demands:
            return
        self._budget_bytes -= size + REPORT_BYTES * len(reports)
        self._peers.send(peer, LoadNewsMessage(reports, demands))
        self._metrics.count("load-news.sent")

    def _choose_peers(self, named: Sequence[Member]) -> list[PeerAddress]:
        own_region = self._distances.region
        others = [
            member
            for member in named
            if member.region == own_region and member.address != self._own_address
        ]
        others.sort(key=lambda member: rendezvous_score(self._own_address, member.address))
        return [member.peer_address for member in others[-MAX_PEERS:]]

    def _update_peers(self, present: Sequence[PeerAddress]) -> None:
        if set(present) == set(self._known):
            return
        for peer in set(self._known) - set(present):
            self._demand.remove(peer)
            self._demand_told_at.pop(peer, None)
        kept = [peer for peer in self._known if peer in present]
        self._known = kept + [peer for peer in present if peer not in kept]
        self._news.forget_peers(self._known)

    def _record_report(self, entry: ServerEntry, report: LoadReport, measured_at: float) -> None:
        """Record a report that came with a response to this instance."""
        if self._is_enabled(entry.service):
            self._services.add(entry.service)
            self._news.record(entry.start.key, report, measured_at)

    def _on_message(self, received: Received) -> None:
        message: LoadNewsMessage = received.message
        self._metrics.count("load-news.received")
        now = trio.current_time()
        if self._stood_still(now):
            self._metrics.count("load-news.ignored", len(message.reports))
            return
        self._record_demands(received.sender, message.demands, now)
        for told in message.reports:
            is_used = self._apply(ServerReport(*told), now)
            self._metrics.count("load-news.used" if is_used else "load-news.ignored")

    def _stood_still(self, now: float) -> bool:
        """Return whether the process may have stood still since the last interval began.

        A standstill can begin at any time in an interval, so the whole of it counts.
        """
        return now - self._ran_at > STANDSTILL_S

    def _record_demands(
        self, sender: PeerAddress, demands: Mapping[str, float], now: float
    ) -> None:
        member = next((each for each in self._entries.all if each.peer_address == sender), None)
        if member is None or member.region != self._distances.region:
            return
        in_domain = member.failure_domain == self._distances.failure_domain
        for service, slots in demands.items():
            if not self._is_shared(service) or not self._demand.record(
                sender, service, slots, now, in_domain=in_domain
            ):
                self._metrics.count("load-news.ignored")

    def _apply(self, told: ServerReport, now: float) -> bool:
        """Use a report of another instance; return False if it is implausible, old or known."""
        entry = self._entry_of(told.server)
        age_s = told.age / AGE_SCALE
        if entry is None or not 0 <= age_s <= MAX_RECEIVED_AGE_S or not _is_plausible(told):
            return False
        if not self._is_enabled(entry.service):
            return False
        report = LoadReport(
            told.running,
            told.waiting,
            entry.slots,
            max(MIN_PACE, told.pace / PACE_SCALE) if told.pace else NORMAL_PACE,
            has_pace=told.pace > 0,
        )
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        # A report that came by another instance is no newer than one that would have come directly.
        age_s = max(age_s, round_trip_s / 2)
        return self._estimates.record_peer_report(entry, report, now - age_s, round_trip_s)

    def _entry_of(self, server: int) -> ServerEntry | None:
        self._refresh_servers()
        return self._servers.get(server)

    def _is_shared(self, service: str) -> bool:
        """Return whether the demand of a service is exchanged, which has backend servers."""
        self._refresh_servers()
        return service in self._fleet_services and self._is_enabled(service)

    def _refresh_servers(self) -> None:
        if self._servers_generation != self._fleet.generation:
            self._servers_generation = self._fleet.generation
            entries = self._fleet.entries.values()
            self._servers = {server_hash(entry.start.key): entry for entry in entries}
            self._fleet_services = {entry.service for entry in entries}


def _is_plausible(told: ServerReport) -> bool:
    return (
        0 <= told.running <= MAX_REQUESTS
        and 0 <= told.waiting <= MAX_REQUESTS
        and 0 <= told.pace <= MAX_PACE_PERCENT
    )

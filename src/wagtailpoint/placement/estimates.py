"""Estimates that one instance keeps of backend servers and routes."""

from collections.abc import Callable
from typing import Final

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.placement.key_reuse import KeyReuse
from wagtailpoint.placement.load_report import NORMAL_PACE, LoadReport
from wagtailpoint.placement.machine_pace import MachinePaces
from wagtailpoint.placement.occupied_service import OccupiedService
from wagtailpoint.placement.route_costs import MeanServiceTime, RouteCost
from wagtailpoint.placement.server_load import REPORT_HALF_LIFE_S, ServerLoad
from wagtailpoint.placement.warm_keys import WarmKeys
from wagtailpoint.routing.table import HostRoute

MAX_ROUTES: Final = 10_000
"""Maximum number of routes with estimates. Routes come and go with the configuration; the estimates
of removed routes must not fill the memory."""

ReportCallback = Callable[[ServerEntry, LoadReport, float], None]
"""Receives a backend server, its load report, and when it was written, in seconds."""


class Estimates:
    """Estimates by start of a backend server and by route."""

    def __init__(self) -> None:
        self._loads: dict[tuple[str, int], ServerLoad] = {}
        self._warm: dict[tuple[str, int], WarmKeys] = {}
        self._costs: dict[tuple[str, str], RouteCost] = {}
        self._means: dict[str, MeanServiceTime] = {}
        self._reuse: dict[str, KeyReuse] = {}
        self._paces = MachinePaces()
        self._occupied: dict[str, OccupiedService] = {}
        self._report_callbacks: list[ReportCallback] = []
        self._peer_report_callbacks: list[ReportCallback] = []

    @property
    def paces(self) -> MachinePaces:
        """The paces of the machines of backend servers."""
        return self._paces

    def expected_pace(self, entry: ServerEntry, at: float) -> float:
        """Return the expected pace of a backend server's machine at a time from now on."""
        if not self._paces.is_reported(entry.service):
            return NORMAL_PACE
        return self._paces.expected(entry.service, (entry.server_id, entry.started_ms), at)

    def occupied(self, service: str) -> OccupiedService | None:
        """Return how service times grow with the occupancy; None if no growth was measured."""
        occupied = self._occupied.get(service)
        return None if occupied is None or occupied.is_uniform else occupied

    def record_occupied(
        self, service: str, fraction: float, service_s: float, normal_s: float
    ) -> None:
        """Record a service time at an occupancy, as in ``OccupiedService.record``.

        Only services whose backend servers state the pace of their machines are measured. Elsewhere
        the load of other users of a machine, which is unknown, would count as that of the server.
        """
        if self._paces.is_reported(service):
            self._occupied.setdefault(service, OccupiedService()).record(
                fraction, service_s, normal_s
            )

    def load_of(self, entry: ServerEntry) -> ServerLoad:
        """Return the estimated load and health of a backend server."""
        # A plain tuple equals the start, and is made several times faster.
        load = self._loads.get((entry.server_id, entry.started_ms))
        if load is None:
            load = self._loads[entry.start] = ServerLoad()
        return load

    def resting_until(self, start: ServerStart) -> float | None:
        """Return the end of the backoff of an unreachable backend server; None if it has none."""
        load = self._loads.get(start)
        return None if load is None else load.resting_until

    def on_report(self, callback: ReportCallback) -> None:
        """Call ``callback`` with each load report that comes with a response to this instance."""
        self._report_callbacks.append(callback)

    def on_peer_report(self, callback: ReportCallback) -> None:
        """Call ``callback`` with each recorded load report that another instance received."""
        self._peer_report_callbacks.append(callback)

    def record_report(
        self, entry: ServerEntry, report: LoadReport, now: float, round_trip_s: float
    ) -> None:
        """Record a load report that came with a response at ``now``."""
        self.load_of(entry).record_report(report, now, round_trip_s)
        measured_at = now - round_trip_s / 2
        self._paces.record(entry.service, entry.start, report, measured_at)
        for callback in self._report_callbacks:
            callback(entry, report, measured_at)

    def record_peer_report(
        self, entry: ServerEntry, report: LoadReport, measured_at: float, round_trip_s: float
    ) -> bool:
        """Record a load report that another instance received.

        Args:
            entry: The backend server.
            report: The report.
            measured_at: When the server wrote it, in seconds.
            round_trip_s: The round-trip time between this instance and the server.

        Returns:
            Whether it is newer than what is known, and was recorded.
        """
        if not self.load_of(entry).record_peer_report(report, measured_at, round_trip_s):
            return False
        self._paces.record(entry.service, entry.start, report, measured_at)
        for callback in self._peer_report_callbacks:
            callback(entry, report, measured_at)
        return True

    def report_half_life_s(self, service: str, now: float) -> float:
        """Return the half-life of a load report of a service's backend servers, in seconds."""
        if not self._paces.is_reported(service):
            return REPORT_HALF_LIFE_S
        return max(REPORT_HALF_LIFE_S, self.mean_service_s(service, now) or 0.0)

    def occupancy(self, entry: ServerEntry, now: float, round_trip_s: float) -> float:
        """Return the estimated number of requests that a request finds at a backend server."""
        half_life_s = self.report_half_life_s(entry.service, now)
        return self.load_of(entry).occupancy(now, round_trip_s, half_life_s)

    def warm_of(self, entry: ServerEntry) -> WarmKeys:
        """Return the affinity keys that a backend server has answered lately."""
        warm = self._warm.get((entry.server_id, entry.started_ms))
        if warm is None:
            warm = self._warm[entry.start] = WarmKeys()
        return warm

    def cost_of(self, route: HostRoute, service: str) -> RouteCost:
        """Return the estimated cost of a route's requests at a service."""
        cost = self._costs.get((route.name, service))
        if cost is None:
            if len(self._costs) >= MAX_ROUTES:
                self._costs.clear()
            cost = self._costs[route.name, service] = RouteCost(objective_s=route.objective_s)
        return cost

    def record_answer(
        self, route: HostRoute, service: str, service_s: float, reply_bytes: int, now: float
    ) -> None:
        """Record the service time and the size of the answer of a request."""
        cost = self.cost_of(route, service)
        cost.record(service_s, reply_bytes, now)
        if len(self._means) >= MAX_ROUTES:
            self._means.clear()
        self._means.setdefault(service, MeanServiceTime()).record(cost.service_s(now), now)

    def mean_service_s(self, service: str, now: float) -> float | None:
        """Return the mean service time at a service, in seconds; None without a recent sample."""
        mean = self._means.get(service)
        return None if mean is None else mean.value_s(now)

    def reuse_of(self, route: HostRoute) -> KeyReuse:
        """Return the reuse of the affinity keys of a route."""
        reuse = self._reuse.get(route.name)
        if reuse is None:
            if len(self._reuse) >= MAX_ROUTES:
                self._reuse.clear()
            reuse = self._reuse[route.name] = KeyReuse()
        return reuse

    def remove(self, start: ServerStart) -> None:
        """Remove a backend server that is gone or has restarted."""
        load = self._loads.get(start)
        if load is not None and load.in_flight == 0:
            del self._loads[start]
        self._warm.pop(start, None)
        self._paces.remove(start)

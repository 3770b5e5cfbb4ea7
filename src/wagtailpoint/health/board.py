"""Selection of the backend servers that may get new requests."""

from collections.abc import Callable, Sequence
from statistics import median

from wagtailpoint.config.model import BackendServer
from wagtailpoint.health.evidence import Outcome
from wagtailpoint.health.server import ServerHealth, State
from wagtailpoint.ports.backend import BackendAddress, LoadReport
from wagtailpoint.ports.clock import Clock

MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of a group that may be ejected at the same time.

Evidence can be wrong for many backend servers at once: a pause of this process looks like a timeout
of all of them. Without this cap the remaining few would get all requests and fail too.
"""

SLOW_FACTOR = 8.0
"""A backend server is ejected if its latency exceeds the median of its group by this factor.
Smaller differences are handled by load balancing."""

MIN_SLOW_S = 0.25
"""A backend server with a lower average latency is never regarded as slow."""

LATENCY_CHECK_INTERVAL_S = 1.0
"""Interval between two comparisons of the latencies of a group."""


class HealthBoard:
    """Keeps the health of all backend servers, as seen by this instance."""

    def __init__(self, *, clock: Clock, max_ejected_fraction: float = MAX_EJECTED_FRACTION) -> None:
        """Initialise the board with all backend servers healthy.

        Args:
            clock: The instance's clock.
            max_ejected_fraction: Maximum fraction (0 to 1) of a group that may be ejected at once.
        """
        self._clock = clock
        self._max_ejected_fraction = max_ejected_fraction
        self._health: dict[BackendAddress, ServerHealth] = {}
        self._latencies_checked_at: dict[tuple[BackendServer, ...], float] = {}
        self._draining_callbacks: list[Callable[[BackendAddress], None]] = []

    def on_draining(self, callback: Callable[[BackendAddress], None]) -> None:
        """Call ``callback`` when an answer of a backend server first says that it is draining.

        The callback must not block.
        """
        self._draining_callbacks.append(callback)

    def observe_outcome(self, server: BackendAddress, outcome: Outcome, latency_s: float) -> None:
        """Record the outcome of an exchange of this instance and its latency in seconds."""
        health = self._health_of(server)
        known = health.has_drain_answer
        health.observe_outcome(outcome, latency_s)
        if health.has_drain_answer and not known:
            for callback in self._draining_callbacks:
                callback(server)

    def apply_peer_draining(self, server: BackendAddress) -> None:
        """Record that a backend server told another instance that it is draining."""
        self._health_of(server).observe_outcome(Outcome.DRAINING, 0.0)

    def observe_report(self, server: BackendAddress, report: LoadReport) -> None:
        """Record a load report of a backend server."""
        self._health_of(server).observe_report(report)

    def state_of(self, server: BackendAddress) -> State:
        """Return the state of a backend server, regardless of the cap on ejections."""
        return self._health_of(server).state

    def report_of(self, server: BackendAddress) -> LoadReport | None:
        """Return the newest load report of a backend server; None if it is stale or missing."""
        return self._health_of(server).report

    def usable(self, servers: Sequence[BackendServer]) -> tuple[BackendServer, ...]:
        """Return the backend servers that may get the next request.

        Args:
            servers: All backend servers of one group of a service.

        Returns:
            The usable backend servers; empty only if all have answered that they are draining.
        """
        group = tuple(servers)
        self._eject_slow(group)
        doubtful = {
            server.address: health
            for server in group
            if not (health := self._health_of(server.address)).is_known_healthy
        }
        if not doubtful:
            return group
        excluded = self._find_excluded(doubtful, len(group))
        return tuple(server for server in group if server.address not in excluded)

    def retain(self, kept: Sequence[BackendAddress]) -> None:
        """Remove the health of all backend servers other than those in ``kept``."""
        known = set(kept)
        self._health = {key: value for key, value in self._health.items() if key in known}
        self._latencies_checked_at.clear()

    def _find_excluded(
        self, doubtful: dict[BackendAddress, ServerHealth], group_size: int
    ) -> set[BackendAddress]:
        """Return the doubtful backend servers of a group that get no new requests."""
        draining = {key for key, health in doubtful.items() if health.has_drain_answer}
        reporting = {key for key, health in doubtful.items() if health.has_drain_report}
        if len(draining | reporting) == group_size:
            # Either all are draining or the reports are wrong. Believing wrong reports would stop
            # the service, whereas a request to a draining backend server is merely shed.
            return draining
        draining |= reporting
        not_draining = {key: health for key, health in doubtful.items() if key not in draining}
        return draining | self._find_excluded_by_faults(not_draining, group_size - len(draining))

    def _find_excluded_by_faults(
        self, not_draining: dict[BackendAddress, ServerHealth], candidates: int
    ) -> set[BackendAddress]:
        """Return the backend servers that are ejected or not offered in a trial, up to the cap."""
        excluded = {key for key, health in not_draining.items() if not health.should_offer()}
        unhealthy = [
            key for key, health in not_draining.items() if health.state is not State.HEALTHY
        ]
        if len(unhealthy) == candidates:
            # If all look faulty, the evidence is more likely wrong than all backend servers.
            return set()
        excess = len(unhealthy) - int(self._max_ejected_fraction * candidates)
        if excess > 0:
            unhealthy.sort(
                key=lambda key: (not_draining[key].state is State.EJECTED, not_draining[key].faults)
            )
            excluded.difference_update(unhealthy[:excess])
        return excluded

    def _eject_slow(self, group: tuple[BackendServer, ...]) -> None:
        now = self._clock.monotonic()
        if (
            now - self._latencies_checked_at.get(group, -LATENCY_CHECK_INTERVAL_S)
            < LATENCY_CHECK_INTERVAL_S
        ):
            return
        self._latencies_checked_at[group] = now
        known = [self._health_of(server.address) for server in group]
        latencies = [item.latency_s for item in known if item.latency_s is not None]
        if len(latencies) < 2 or len(latencies) <= len(group) / 2:
            return
        limit_s = max(MIN_SLOW_S, SLOW_FACTOR * median(latencies))
        for health in known:
            report = health.report
            cold = report is not None and not report.warm
            slow = health.latency_s is not None and health.latency_s > limit_s
            if slow and not cold and health.state is State.HEALTHY:
                health.eject()

    def _health_of(self, server: BackendAddress) -> ServerHealth:
        health = self._health.get(server)
        if health is None:
            health = ServerHealth(clock=self._clock)
            self._health[server] = health
        return health

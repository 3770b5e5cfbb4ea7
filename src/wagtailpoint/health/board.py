"""Which backend servers get new work."""

from collections.abc import Callable, Sequence
from statistics import median

from wagtailpoint.config.model import BackendServer
from wagtailpoint.health.evidence import Outcome
from wagtailpoint.health.server import ServerHealth, State
from wagtailpoint.ports.backend import BackendAddress, LoadReport
from wagtailpoint.ports.clock import Clock

MOST_EJECTED = 0.5
"""The part of a group that may be ejected at the same time.

Evidence can be wrong for many at once: a pause of our own process looks like a timeout of all of
them. Without this cap the few that are left would be given all of the traffic and fail too.
"""

SLOW_FACTOR = 8.0
"""So many times slower than its group's median is ejected. Less is left to the choice by load."""

LEAST_SLOW_S = 0.25
"""Nothing faster than this is called slow, in seconds."""

JUDGE_EVERY_S = 1.0
"""How often the latencies of a group are compared, in seconds."""


class HealthBoard:
    """The health of all backend servers, as seen by this instance."""

    def __init__(self, *, clock: Clock, most_ejected: float = MOST_EJECTED) -> None:
        """Make a board on which all are healthy.

        Args:
            clock: The instance's clock.
            most_ejected: The part of a group (0 to 1) that may be ejected at the same time.
        """
        self._clock = clock
        self._most_ejected = most_ejected
        self._health: dict[BackendAddress, ServerHealth] = {}
        self._judged_at: dict[tuple[BackendServer, ...], float] = {}
        self._draining_callbacks: list[Callable[[BackendAddress], None]] = []

    def on_draining(self, callback: Callable[[BackendAddress], None]) -> None:
        """Call ``callback``, which must not block, when an answer says "draining" first."""
        self._draining_callbacks.append(callback)

    def observe_outcome(self, server: BackendAddress, outcome: Outcome, latency_s: float) -> None:
        """Take in how one of our own exchanges ended, after so many seconds."""
        health = self._of(server)
        known = health.said_draining
        health.observe_outcome(outcome, latency_s)
        if health.said_draining and not known:
            for callback in self._draining_callbacks:
                callback(server)

    def learn_draining(self, server: BackendAddress) -> None:
        """Take in that an answer to another instance's request said "draining"."""
        self._of(server).observe_outcome(Outcome.DRAINING, 0.0)

    def observe_report(self, server: BackendAddress, report: LoadReport) -> None:
        """Take in what a backend server says of itself."""
        self._of(server).observe_report(report)

    def state_of(self, server: BackendAddress) -> State:
        """Whether a backend server gets new work, but for the cap on ejections."""
        return self._of(server).state

    def report_of(self, server: BackendAddress) -> LoadReport | None:
        """A backend server's newest report; None if there is none or it is too old."""
        return self._of(server).report

    def usable(self, servers: Sequence[BackendServer]) -> tuple[BackendServer, ...]:
        """The backend servers to choose from for the next request.

        Args:
            servers: All backend servers of one group of a service.

        Returns:
            Those that may get new work; empty only if all of them said that they are draining.
        """
        group = tuple(servers)
        self._judge_latencies(group)
        doubtful = {
            each.address: health
            for each in group
            if not (health := self._of(each.address)).unblemished
        }
        if not doubtful:
            return group
        kept_out = self._kept_out(doubtful, len(group))
        return tuple(each for each in group if each.address not in kept_out)

    def retain(self, kept: Sequence[BackendAddress]) -> None:
        """Drop what is known of backend servers that left the configuration."""
        known = set(kept)
        self._health = {key: value for key, value in self._health.items() if key in known}
        self._judged_at.clear()

    def _kept_out(
        self, doubtful: dict[BackendAddress, ServerHealth], group_size: int
    ) -> set[BackendAddress]:
        """Which of the doubtful backend servers of a group get no new work."""
        draining = {key for key, health in doubtful.items() if health.said_draining}
        reporting = {key for key, health in doubtful.items() if health.reports_draining}
        if len(draining | reporting) == group_size:
            # All drain, or the reports are broken: a request finds out by a shed answer, which
            # costs nothing, while to believe a wrong report would stop the service.
            return draining
        draining |= reporting
        staying = {key: health for key, health in doubtful.items() if key not in draining}
        return draining | self._refused(staying, group_size - len(draining))

    def _refused(
        self, staying: dict[BackendAddress, ServerHealth], candidates: int
    ) -> set[BackendAddress]:
        """The ejected ones, and those on trial whose turn it is not, within the cap."""
        refused = {key for key, health in staying.items() if not health.offer()}
        out = [key for key, health in staying.items() if health.state is not State.HEALTHY]
        if len(out) == candidates:
            # All look dead: it is the measurement that is broken.
            return set()
        too_many = len(out) - int(self._most_ejected * candidates)
        if too_many > 0:
            out.sort(key=lambda key: (staying[key].state is State.EJECTED, staying[key].faults))
            refused.difference_update(out[:too_many])
        return refused

    def _judge_latencies(self, group: tuple[BackendServer, ...]) -> None:
        now = self._clock.monotonic()
        if now - self._judged_at.get(group, -JUDGE_EVERY_S) < JUDGE_EVERY_S:
            return
        self._judged_at[group] = now
        known = [self._of(each.address) for each in group]
        latencies = [each.latency_s for each in known if each.latency_s is not None]
        if len(latencies) < 2 or len(latencies) <= len(group) / 2:
            return
        limit_s = max(LEAST_SLOW_S, SLOW_FACTOR * median(latencies))
        for health in known:
            report = health.report
            cold = report is not None and not report.warm
            slow = health.latency_s is not None and health.latency_s > limit_s
            if slow and not cold and health.state is State.HEALTHY:
                health.eject()

    def _of(self, server: BackendAddress) -> ServerHealth:
        health = self._health.get(server)
        if health is None:
            health = ServerHealth(clock=self._clock)
            self._health[server] = health
        return health

"""Which backend servers take new work: groups, drains and health, put together."""

from collections.abc import Callable, Iterable, Sequence

from wagtailpoint.config.model import BackendServer, Drain, EffectiveConfig
from wagtailpoint.entry.plan import Plan
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.evidence import outcome_of
from wagtailpoint.observe.metrics import LatencyKey, Metrics
from wagtailpoint.ports.backend import BackendFailure, BackendResponse


class ConfiguredServers:
    """Implements ``entry.forwarding.ServerSource`` from the configuration in force."""

    def __init__(
        self,
        *,
        config: Callable[[], EffectiveConfig | None],
        health: HealthBoard,
        metrics: Metrics,
    ) -> None:
        self._config = config
        self._health = health
        self._metrics = metrics

    def candidates(self, plan: Plan) -> Sequence[BackendServer]:
        """The backend servers that may take a request now.

        It reads the configuration in force, not the one that the request was planned with: a
        request may have waited in a queue while a drain came into force.
        """
        config = self._config()
        service = config.services.get(plan.service.name) if config is not None else None
        if config is None or service is None:
            return ()
        workspace = config.workspaces.get(plan.workspace.name, plan.workspace)
        group = service.groups.get(workspace.groups.get(service.name, ""), ())
        staying = [server for server in group if not is_drained(server, config.drains.values())]
        return self._health.usable(staying)

    def note(
        self, server: BackendServer, answered: BackendResponse | BackendFailure, latency_s: float
    ) -> None:
        """Take note of how an exchange ended."""
        self._health.observe_outcome(server.address, outcome_of(answered), latency_s)
        name = str(server.address)
        if isinstance(answered, BackendFailure):
            self._metrics.count(f"backend-failure.{name}.{answered.reason}")
        else:
            self._metrics.record_latency(LatencyKey("backend", "", "", name), latency_s)


def is_drained(server: BackendServer, drains: Iterable[Drain]) -> bool:
    """Whether any drain covers the backend server."""
    return any(
        server.address == drain.backend_server or server.failure_domain == drain.failure_domain
        for drain in drains
    )

"""Polls the load reports of the backend servers, with one task for each."""

from collections.abc import Callable
from random import Random

import trio
from result import Ok

from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.evidence import Outcome
from wagtailpoint.ports.backend import BackendAddress, Backends


class _ProbeTask:
    """The probing task of a backend server."""

    def __init__(self, *, path: str, scope: trio.CancelScope) -> None:
        self.path = path
        self.scope = scope


class BackendProber:
    """Runs one probing task for each backend server of the configuration in force."""

    def __init__(
        self,
        *,
        backends: Backends,
        health: HealthBoard,
        interval_s: Callable[[], float],
        timeout_s: float,
        random: Random,
    ) -> None:
        """Initialise a prober without tasks.

        Args:
            backends: Sends the probes.
            health: Receives reports and failed probes.
            interval_s: Returns the seconds between two probes of the same backend server. It grows
                with the number of instances, to bound the probes of all instances together.
            timeout_s: Seconds after which a probe without a report has failed.
            random: Source of the jitter.
        """
        self._backends = backends
        self._health = health
        self._interval_s = interval_s
        self._timeout_s = timeout_s
        self._random = random
        self._tasks: dict[BackendAddress, _ProbeTask] = {}
        self._nursery: trio.Nursery | None = None
        self._config: EffectiveConfig | None = None

    def apply(self, config: EffectiveConfig) -> None:
        """Start and cancel tasks to match a new configuration."""
        self._config = config
        if self._nursery is None:
            return
        paths = {
            server.address: service.report_path
            for service in config.services.values()
            for group in service.groups.values()
            for server in group
        }
        for address, task in list(self._tasks.items()):
            if paths.get(address) != task.path:
                task.scope.cancel()
                del self._tasks[address]
                self._nursery.start_soon(self._backends.close, address)
        for address, path in paths.items():
            if address not in self._tasks:
                task = _ProbeTask(path=path, scope=trio.CancelScope())
                self._tasks[address] = task
                self._nursery.start_soon(self._probe, address, task)
        self._health.retain(list(paths))

    async def run(self) -> None:
        """Run the probing tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if self._config is not None:
                self.apply(self._config)
            await trio.sleep_forever()

    async def _probe(self, address: BackendAddress, task: _ProbeTask) -> None:
        with task.scope:
            while True:
                report = await self._backends.probe(
                    address, timeout_s=self._timeout_s, path=task.path
                )
                if isinstance(report, Ok):
                    self._health.observe_report(address, report.ok_value)
                else:
                    self._health.observe_outcome(address, Outcome.PROBE_FAILED, 0.0)
                await trio.sleep(self._interval_s() * self._random.uniform(0.8, 1.2))

"""Asks the backend servers for their load reports, one task for each."""

from collections.abc import Callable
from random import Random

import trio
from result import Ok

from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.health.evidence import Outcome
from wagtailpoint.ports.backend import BackendAddress, Backends


class _ProbeTask:
    """A backend server with its task."""

    def __init__(self, *, path: str, scope: trio.CancelScope) -> None:
        self.path = path
        self.scope = scope


class BackendProber:
    """Keeps one probing task for each backend server of the configuration in force."""

    def __init__(
        self,
        *,
        backends: Backends,
        health: HealthBoard,
        interval_s: Callable[[], float],
        timeout_s: float,
        random: Random,
    ) -> None:
        """Make a prober without any task.

        Args:
            backends: Carries the questions.
            health: Takes the reports.
            interval_s: Seconds between two questions to the same backend server. It grows with
                the number of instances, so that the sum over all instances stays bearable.
            timeout_s: The longest wait for a report.
            random: For the jitter.
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
        """Follow another configuration: start and end tasks."""
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
        """Probe until cancelled."""
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

"""The base of tests against one running deployment, which check all verdicts at their end."""

import time
import unittest
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, ClassVar

import trio

from tests.common.deployment_process import EntryProcess, RunningDeployment
from tests.common.raw_caller import RawCaller
from tests.common.verdict_check import NO_FAULTS, count_executions, find_false_verdicts

LIMIT_S = 90.0
POLL_S = 0.05


class DeploymentCase(unittest.TestCase):
    """Starts the deployment once for a class of tests.

    Attributes:
        ENTRIES: How many entry instances run.
        TIMINGS: Replaces timings of the settings.
        SETTINGS: Replaces other settings.
        BACKEND_OPTIONS: Command line of the backend stand-ins.
        AT_MOST_ONCE: False where requests are idempotent, so that the entries may repeat them.
    """

    ENTRIES: int = 3
    TIMINGS: Mapping[str, float] = {}
    SETTINGS: Mapping[str, Any] = {}
    BACKEND_OPTIONS: Sequence[str] = ()
    AT_MOST_ONCE: bool = True
    running: ClassVar[RunningDeployment]

    @classmethod
    def setUpClass(cls) -> None:
        cls.running = RunningDeployment(
            name="surakkha",
            entries=cls.ENTRIES,
            timings={"lookup_ttl_s": 0.5, **cls.TIMINGS},
            settings=cls.SETTINGS,
            backend_options=cls.BACKEND_OPTIONS,
        )
        cls.running.__enter__()
        cls.addClassCleanup(cls.running.__exit__, None, None, None)
        cls.running.apply_objects()
        cls.running.wait_members()

    def setUp(self) -> None:
        self.raw = RawCaller()

    def run_trio(self, test: Callable[[], Awaitable[None]]) -> None:
        """Run a test's body, bounded in time, then check every verdict that it heard."""

        async def bounded() -> None:
            with trio.fail_after(LIMIT_S):
                await test()

        trio.run(bounded)
        self.check_verdicts()

    def check_verdicts(self) -> None:
        """No false verdict so far, and nothing ran twice."""
        records = self.records()
        faults = find_false_verdicts(self.raw.heard, records, at_most_once=self.AT_MOST_ONCE)
        self.assertEqual(faults, NO_FAULTS)

    def records(self) -> list[Any]:
        """The records of all backend servers."""
        return [
            record
            for backends in self.running.backends.values()
            for record in backends.records().values()
        ]

    def count_runs(self, key: str) -> int:
        """How often a deposit release was executed."""
        return count_executions(self.records())[f"/releases/{key}"]

    def set_backends(self, **modes: Any) -> None:
        """Order faults of all backend servers; none mends them."""
        for backends in self.running.backends.values():
            backends.set_mode(**modes)

    def replace(self, entry: EntryProcess) -> None:
        """Start a new process at the address of a dead one, and wait until it serves."""
        entry.start()
        entry.wait_ready()
        self.wait_until(lambda: entry.page("status")["config_version"] > 0)

    def wait_until(self, holds: Callable[[], bool], limit_s: float = 30.0) -> None:
        """Wait for a condition; blocks."""
        give_up_s = time.monotonic() + limit_s
        while not holds():
            self.assertLess(time.monotonic(), give_up_s, "waited in vain")
            time.sleep(POLL_S)

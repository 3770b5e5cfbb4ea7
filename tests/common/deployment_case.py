"""Base class of tests against a running deployment, which check all verdicts at their end."""

import time
import unittest
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, ClassVar

import trio

from tests.common.deployment_process import EntryProcess, RunningDeployment
from tests.common.raw_caller import RawCaller
from tests.common.verdict_check import NO_FAULTS, count_executions, find_false_verdicts

TEST_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.05


class DeploymentCase(unittest.TestCase):
    """Starts one deployment for all tests of a class.

    Attributes:
        ENTRIES: Number of entry instances.
        TIMINGS: Overrides timings of the settings.
        SETTINGS: Overrides other settings.
        BACKEND_OPTIONS: Command-line options of the backend stand-ins.
        AT_MOST_ONCE: False if all requests are idempotent, so that entries may retry them.
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
        """Run the body of a test with a time-out, then check all verdicts received."""

        async def bounded() -> None:
            with trio.fail_after(TEST_TIMEOUT_S):
                await test()

        trio.run(bounded)
        self.check_verdicts()

    def check_verdicts(self) -> None:
        """Assert that no verdict was false and that no request ran twice if that is forbidden."""
        records = self.records()
        faults = find_false_verdicts(self.raw.heard, records, at_most_once=self.AT_MOST_ONCE)
        self.assertEqual(faults, NO_FAULTS)

    def records(self) -> list[Any]:
        """Return the records of all backend servers."""
        return [
            record
            for backends in self.running.backends.values()
            for record in backends.records().values()
        ]

    def count_runs(self, key: str) -> int:
        """Return how often the deposit release with this key was executed."""
        return count_executions(self.records())[f"/releases/{key}"]

    def set_backends(self, **modes: Any) -> None:
        """Set the faults of all backend servers; without arguments none changes."""
        for backends in self.running.backends.values():
            backends.set_mode(**modes)

    def replace(self, entry: EntryProcess) -> None:
        """Start a new process at the address of an ended one, and wait until it serves."""
        entry.start()
        entry.wait_ready()
        self.wait_until(lambda: entry.page("status")["config_version"] > 0)

    def wait_until(self, condition: Callable[[], bool], limit_s: float = 30.0) -> None:
        """Block until a condition holds; fail after ``limit_s`` seconds."""
        deadline_s = time.monotonic() + limit_s
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "waited in vain")
            time.sleep(POLL_INTERVAL_S)

"""Concurrent operators and a watcher on a platform that loses, delays and refuses calls.

Its reads may also be stale.
"""

import random
import unittest
from typing import Any, NamedTuple

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger
from result import Result
from trio.testing import MockClock

from tests.common.fake_platform import FakePlatform
from wagtailpoint.config.manifest import ChangeInfo, Snapshot
from wagtailpoint.config.store import ApplyConflict, ApplyError, ConfigStore
from wagtailpoint.config.watcher import ConfigWatcher
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable

OPERATORS = ("ann", "bob", "cho")
KEYS = ("service/a", "service/b", "service/c")
CHANGES_EACH = 4
FAULTS = ("lose_answers", "lose_requests", "late_writes", "refuse_calls")
FAULT_CHANCE = 0.2
OUTAGE_CHANCE = 0.2
SETTLE_S = 1.0
SETTLED_S = 120.0  # virtual time
LIMIT_S = 3600


class UnreliablePlatform(FakePlatform):
    """Delays every call and injects faults, both determined by a seed."""

    def __init__(self, *, rng: random.Random) -> None:
        super().__init__(max_events=10)
        self.rng = rng
        self.healed = False

    async def _arrive(self, method: str, kind: str) -> PlatformUnavailable | None:
        # Delays are continuous, so no two calls arrive at the same moment and the order of all
        # events depends on the seed alone.
        await trio.sleep(self.rng.uniform(0.001, 0.02))
        if method == "PUT" and not self.healed and self.rng.random() < FAULT_CHANCE:
            setattr(self, self.rng.choice(FAULTS), 1)
        return await super()._arrive(method, kind)

    def heal(self) -> None:
        self.healed = True
        for fault in FAULTS:
            setattr(self, fault, 0)
        self.set_down(False)
        self.deliver_late()
        self.answer_fresh()


class Attempt(NamedTuple):
    """A change that an operator attempted, with its reported outcome."""

    base_version: int
    key: str
    value: Any
    outcome: Result[Snapshot, ApplyError]


class Simulation:
    """A simulation of operators, a watcher and the platform for one seed."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.platform = UnreliablePlatform(rng=self.rng)
        self.attempts: list[Attempt] = []
        self.delivered: list[int] = []
        self.history: list[Snapshot] = []

    def new_store(self) -> ConfigStore:
        return ConfigStore(platform=self.platform, clock_wall=lambda: 0.0, settle_s=SETTLE_S)

    async def inject_faults(self) -> None:
        while True:
            await trio.sleep(self.rng.uniform(0.01, 0.3))
            self.platform.deliver_late()
            self.platform.answer_stale()
            await trio.sleep(self.rng.uniform(0.01, 0.1))
            self.platform.answer_fresh()
            if self.rng.random() < OUTAGE_CHANCE:
                self.platform.set_down(True)
                await trio.sleep(self.rng.uniform(0.1, 2 * SETTLE_S))
                self.platform.set_down(False)

    async def operate(self, author: str) -> None:
        store = self.new_store()
        for number in range(CHANGES_EACH):
            read = await store.read()
            known = read.unwrap_or(None)
            base_version = known.change.version if known else 0
            key, value = self.rng.choice(KEYS), [author, number]
            outcome = await store.apply(
                puts={key: value},
                deletes=[],
                base_version=base_version,
                author=author,
                message=str(number),
            )
            self.attempts.append(Attempt(base_version, key, value, outcome))

    async def run(self) -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery:
                watcher = ConfigWatcher(
                    store=self.new_store(),
                    platform=self.platform,
                    on_snapshot=lambda snapshot: self.delivered.append(snapshot.change.version),
                    rng=self.rng,
                )
                nursery.start_soon(watcher.run)
                async with trio.open_nursery() as disturbances:
                    disturbances.start_soon(self.inject_faults)
                    async with trio.open_nursery() as operators:
                        for author in OPERATORS:
                            operators.start_soon(self.operate, author)
                    disturbances.cancel_scope.cancel()
                self.platform.heal()
                await self.read_history()
                await trio.sleep(SETTLED_S)
                nursery.cancel_scope.cancel()

    async def read_history(self) -> None:
        store = self.new_store()
        changes = (await store.history(max_changes=1000)).unwrap()
        for change in reversed(changes):
            self.history.append((await store.read_version(change.version)).unwrap())

    def find_commits(self, attempt: Attempt) -> list[ChangeInfo]:
        author, number = attempt.value
        return [
            snapshot.change
            for snapshot in self.history
            if (snapshot.change.author, snapshot.change.message) == (author, str(number))
        ]


class ConfigRacesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 2**32))
    def test_each_change_is_committed_at_most_once_and_reported_correctly(self, seed: int) -> None:
        simulation = Simulation(seed=seed)
        trio.run(simulation.run, clock=MockClock(autojump_threshold=0))
        versions = [snapshot.change.version for snapshot in simulation.history]
        self.assertEqual(versions, list(range(1, len(versions) + 1)))
        self.assertEqual(simulation.delivered, sorted(set(simulation.delivered)))
        self.assertEqual(simulation.delivered[-1:], versions[-1:])
        for attempt in simulation.attempts:
            self.check_reported_outcome(simulation, attempt)
        self.check_no_lost_update(simulation)

    def check_reported_outcome(self, simulation: Simulation, attempt: Attempt) -> None:
        commits = simulation.find_commits(attempt)
        self.assertLessEqual(len(commits), 1)
        error = attempt.outcome.err()
        if error is None:
            self.assertEqual([attempt.outcome.unwrap().change], commits)
        elif isinstance(error, ApplyConflict | PlatformUnavailable):
            self.assertEqual(commits, [])
        else:
            self.assertIsInstance(error, OutcomeUnknown)

    def check_no_lost_update(self, simulation: Simulation) -> None:
        attempts = {tuple(attempt.value): attempt for attempt in simulation.attempts}
        expected: dict[str, Any] = {}
        changed_at: dict[str, int] = {}
        for snapshot in simulation.history:
            change = snapshot.change
            attempt = attempts[change.author, int(change.message)]
            expected[attempt.key] = attempt.value
            self.assertEqual(snapshot.objects, expected)
            self.assertLessEqual(changed_at.get(attempt.key, 0), attempt.base_version)
            changed_at[attempt.key] = change.version

"""Putting configurations in force without blocking requests."""

import threading
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from tests.common.fake_clock import FakeClock
from wagtailpoint.config.manifest import ChangeInfo, Snapshot
from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.daemon.config_state import ConfigState
from wagtailpoint.observe.hlc import HybridClock
from wagtailpoint.observe.timeline import Timeline

REGION = {"failure_domains": ["salt-lake"], "latency_ms": {}}
WAIT_TIMEOUT_S = 10.0


def snapshot(version: int, *, region: Any = REGION) -> Snapshot:
    return Snapshot(ChangeInfo(version, f"c{version}", "t", 0.0, ""), {"region/kolkata": region})


async def wait_until(condition: Callable[[], bool]) -> None:
    for _ in range(30_000):
        if condition():
            return
        await trio.sleep(0.001)
    raise AssertionError("not so after 30 s")


class ConfigStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.in_force: list[int] = []

    def run_scenario(
        self,
        scenario: Callable[[ConfigState], Awaitable[None]],
        prepare: Callable[[EffectiveConfig], Any] = lambda _: None,
    ) -> None:
        timeline = Timeline(clock=HybridClock(wall=FakeClock().wall), instance="i", max_events=9)
        state = ConfigState(timeline=timeline, prepare=prepare)
        state.follow(lambda config: self.in_force.append(config.version))

        async def main() -> None:
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(state.run)
                    await scenario(state)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_event_loop_runs_while_blocks_are_read(self) -> None:
        """Guards against a blocked event loop when client blocks change or an instance starts.

        Failure: with 440,000 blocks the instance answers no lookup for 5 s, and its peers suspect
        it. Cause: the configuration is compiled and the table built on the event loop.
        """
        preparing, event_loop_ran = threading.Event(), threading.Event()
        loop_ran_meanwhile: list[bool] = []

        def prepare(_: EffectiveConfig) -> None:
            preparing.set()
            loop_ran_meanwhile.append(event_loop_ran.wait(WAIT_TIMEOUT_S))

        async def scenario(state: ConfigState) -> None:
            state.offer(snapshot(1), source="peer")
            await wait_until(preparing.is_set)
            self.assertEqual(state.version, 0)
            event_loop_ran.set()
            await wait_until(lambda: state.version == 1)

        self.run_scenario(scenario, prepare)
        self.assertEqual(loop_ran_meanwhile, [True])

    def test_older_versions_are_dropped_and_only_the_newest_is_compiled(self) -> None:
        async def scenario(state: ConfigState) -> None:
            for version in (3, 9, 5):
                state.offer(snapshot(version), source="platform")
            await wait_until(lambda: state.version == 9)

        self.run_scenario(scenario)
        self.assertEqual(self.in_force, [9])

    def test_invalid_configuration_is_reported_and_not_enforced(self) -> None:
        async def scenario(state: ConfigState) -> None:
            state.offer(snapshot(8, region="?"), source="platform")
            await wait_until(lambda: state.rejected_version == 8)
            self.assertEqual(state.version, 0)
            state.offer(snapshot(9), source="platform")
            await wait_until(lambda: state.version == 9)
            self.assertIsNone(state.rejected_version)

        self.run_scenario(scenario)
        self.assertEqual(self.in_force, [9])

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
LIMIT_S = 10.0


def snapshot(version: int, *, region: Any = REGION) -> Snapshot:
    return Snapshot(ChangeInfo(version, f"c{version}", "t", 0.0, ""), {"region/kolkata": region})


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(30_000):
        if condition():
            return
        await trio.sleep(0.001)
    raise AssertionError("not so after 30 s")


class ConfigStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.in_force: list[int] = []

    def use(
        self,
        story: Callable[[ConfigState], Awaitable[None]],
        prepare: Callable[[EffectiveConfig], Any] = lambda _: None,
    ) -> None:
        timeline = Timeline(clock=HybridClock(wall=FakeClock().wall), instance="i", most_events=9)
        state = ConfigState(timeline=timeline, prepare=prepare)
        state.follow(lambda config: self.in_force.append(config.version))

        async def main() -> None:
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(state.run)
                    await story(state)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_requests_go_on_while_blocks_are_read(self) -> None:
        """Guards against a blocked event loop when client blocks change or an instance starts.

        Failure: with 440,000 blocks the instance answers no lookup for 5 s, and its peers suspect
        it. Cause: the configuration is compiled and the table built on the event loop.
        """
        preparing, request_was_served = threading.Event(), threading.Event()
        went_on: list[bool] = []

        def prepare(_: EffectiveConfig) -> None:
            preparing.set()
            went_on.append(request_was_served.wait(LIMIT_S))

        async def story(state: ConfigState) -> None:
            state.offer(snapshot(1), source="peer")
            await until(preparing.is_set)
            self.assertEqual(state.version, 0)
            request_was_served.set()
            await until(lambda: state.version == 1)

        self.use(story, prepare)
        self.assertEqual(went_on, [True])

    def test_older_versions_are_dropped_and_only_the_newest_is_compiled(self) -> None:
        async def story(state: ConfigState) -> None:
            for version in (3, 9, 5):
                state.offer(snapshot(version), source="platform")
            await until(lambda: state.version == 9)

        self.use(story)
        self.assertEqual(self.in_force, [9])

    def test_what_does_not_compile_is_named_and_not_enforced(self) -> None:
        async def story(state: ConfigState) -> None:
            state.offer(snapshot(8, region="?"), source="platform")
            await until(lambda: state.rejected_version == 8)
            self.assertEqual(state.version, 0)
            state.offer(snapshot(9), source="platform")
            await until(lambda: state.version == 9)
            self.assertIsNone(state.rejected_version)

        self.use(story)
        self.assertEqual(self.in_force, [9])

"""Whether backend servers can be reached directly, through other instances, or not at all."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger
from trio.testing import MockClock

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.relay.reachability import (
    FAILURE_WINDOW_S,
    MAX_RETURN_DELAY_S,
    MIN_RETURN_DELAY_S,
    MIN_SILENCE_S,
    RELAPSE_S,
    Path,
    PathCheck,
    Reachability,
)

ONE, OTHER = ServerStart("i-1", 0), ServerStart("i-2", 0)
ONLY_OTHERS_REACH = PathCheck(tried=3, direct=0, relayed=3)
NOBODY_REACHES = PathCheck(tried=3, direct=0, relayed=0)
REACHED = PathCheck(tried=3, direct=3, relayed=0)


class ReachabilityTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.reachability = Reachability()
        self.changes: list[Path] = []
        self.reachability.on_change(lambda: self.changes.append(self.reachability.path))

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    async def isolate(self) -> None:
        self.reachability.record_check(ONLY_OTHERS_REACH)
        self.assertIs(self.reachability.path, Path.RELAYED)

    async def seconds_until_direct(self) -> float:
        began = trio.current_time()
        while self.reachability.path is not Path.DIRECT:
            self.reachability.record_check(REACHED)
            await trio.sleep(0.25)
        return trio.current_time() - began

    def test_one_dead_server_does_not_make_the_path_suspect(self) -> None:
        """Guards against work for others whenever one backend server has ended."""

        async def test() -> None:
            for _ in range(5):
                self.reachability.record_failure(ONE)
            self.assertFalse(self.reachability.is_suspect())
            self.reachability.record_failure(OTHER)
            self.assertTrue(self.reachability.is_suspect())

        self.run_with(test)

    def test_failures_long_apart_do_not_make_the_path_suspect(self) -> None:
        """Guards against dead servers of different times that count together."""

        async def test() -> None:
            self.reachability.record_failure(ONE)
            await trio.sleep(FAILURE_WINDOW_S + 0.1)
            self.reachability.record_failure(OTHER)
            self.assertFalse(self.reachability.is_suspect())

        self.run_with(test)

    def test_bytes_on_old_connections_do_not_clear_the_suspicion(self) -> None:
        """Guards against a cut that is not noticed because old connections live on."""

        async def test() -> None:
            self.reachability.record_failure(ONE)
            self.reachability.record_failure(OTHER)
            self.reachability.record_heard(on_new_connection=False)
            self.assertTrue(self.reachability.is_suspect())
            self.reachability.record_heard(on_new_connection=True)
            self.assertFalse(self.reachability.is_suspect())

        self.run_with(test)

    def test_dead_servers_do_not_isolate_the_instance(self) -> None:
        """Guards against detours while backend servers are down for everybody."""

        async def test() -> None:
            self.reachability.record_check(PathCheck(tried=3, direct=1, relayed=0))
            self.assertIs(self.reachability.path, Path.DIRECT)

        self.run_with(test)

    def test_check_without_a_server_decides_nothing(self) -> None:
        """Guards against an instance that isolates itself before it knows backend servers."""

        async def test() -> None:
            self.reachability.record_check(PathCheck(tried=0, direct=0, relayed=0))
            self.assertIs(self.reachability.path, Path.DIRECT)

        self.run_with(test)

    def test_one_server_that_only_others_reach_does_not_isolate_the_instance(self) -> None:
        """Guards against a verdict from a server that restarted between two attempts."""

        async def test() -> None:
            self.reachability.record_check(PathCheck(tried=3, direct=0, relayed=1))
            self.assertIs(self.reachability.path, Path.DIRECT)

        self.run_with(test)

    def test_instance_that_still_hears_servers_is_not_without_a_path(self) -> None:
        """Guards against refusals while requests are still answered on open connections."""

        async def test() -> None:
            await trio.sleep(10)
            self.reachability.record_heard(on_new_connection=False)
            self.reachability.record_check(NOBODY_REACHES)
            self.assertIs(self.reachability.path, Path.DIRECT)
            await trio.sleep(MIN_SILENCE_S)
            self.reachability.record_check(NOBODY_REACHES)
            self.assertIs(self.reachability.path, Path.NONE)
            self.reachability.record_check(REACHED)
            self.assertIs(self.reachability.path, Path.DIRECT)

        self.run_with(test)

    def test_direct_path_is_used_again_once_it_has_worked_for_a_while(self) -> None:
        """Guards against requests that are lost while links come back one by one."""

        async def test() -> None:
            await trio.sleep(RELAPSE_S)
            await self.isolate()
            self.reachability.record_check(REACHED)
            await trio.sleep(MIN_RETURN_DELAY_S - 0.1)
            self.reachability.record_check(PathCheck(tried=3, direct=1, relayed=0))
            self.assertGreaterEqual(await self.seconds_until_direct(), MIN_RETURN_DELAY_S)

        self.run_with(test)

    def test_path_that_comes_and_goes_is_trusted_ever_later(self) -> None:
        """Guards against callers that come and go with a path that flaps."""

        async def test() -> None:
            waits = []
            for _ in range(6):
                await self.isolate()
                waits.append(await self.seconds_until_direct())
            self.assertEqual(waits, sorted(waits))
            self.assertGreater(waits[3], 3 * waits[0])
            self.assertLess(waits[-1], MAX_RETURN_DELAY_S + 1.0)
            await trio.sleep(RELAPSE_S)
            await self.isolate()
            self.assertLess(await self.seconds_until_direct(), 2 * MIN_RETURN_DELAY_S)

        self.run_with(test)

    def test_changes_are_told_once(self) -> None:
        """Guards against state that is published again with every check."""

        async def test() -> None:
            for _ in range(3):
                self.reachability.record_check(ONLY_OTHERS_REACH)
            self.reachability.record_relays_lost(NOBODY_REACHES)
            self.assertEqual(self.changes, [Path.RELAYED, Path.NONE])

        self.run_with(test)

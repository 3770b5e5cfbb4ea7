"""The path over which connections to backend servers are opened."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any, cast
from unittest.mock import patch

import trio
from loguru import logger

from tests.common.steering_parts import make_distances, make_server
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import BackendConnection, ExchangeFailed
from wagtailpoint.proxy.backend_connector import BackendConnector
from wagtailpoint.proxy.backend_dialer import OpenedStream
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.relay.reachability import Path, PathCheck, Reachability
from wagtailpoint.verdict import Verdict

ENTRY = make_server("i-1")


class ScriptedPaths:
    """Opens connections directly and through others, as the test says, and counts them."""

    def __init__(self) -> None:
        self.direct: FailureReason | None = None
        self.relayed: FailureReason | None = None
        self.dials = 0
        self.relays = 0

    async def dial(self, entry: ServerEntry, purpose: str) -> object:
        self.dials += 1
        await self._open(self.direct)
        return object()

    async def open(self, entry: ServerEntry, *, may_leave_region: bool) -> OpenedStream:
        self.relays += 1
        await self._open(self.relayed)
        return OpenedStream(cast(Any, object()), "127.0.0.1#1", may_leave_region)

    def is_usable(self, relay: str, *, ends_by: float | None = None) -> bool:
        return True

    async def _open(self, failure: FailureReason | None) -> None:
        await trio.lowlevel.checkpoint()
        if failure is not None:
            raise ExchangeFailed(Verdict.NOT_RUN, failure)


class BackendConnectorTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.reachability = Reachability()
        self.paths = ScriptedPaths()
        self.connector = BackendConnector(
            names=HEADER_NAMES,
            dialer=cast(Any, self.paths),
            relays=cast(Any, self.paths),
            reachability=self.reachability,
        )

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        trio.run(test)

    def suspect(self) -> None:
        for number in (2, 3):
            self.reachability.record_failure(make_server(f"i-{number}").start)

    async def failure(self, purpose: str) -> FailureReason:
        with self.assertRaises(ExchangeFailed) as caught:
            await self.connector.open(ENTRY, purpose)
        return caught.exception.reason

    def test_dead_server_is_not_tried_through_others(self) -> None:
        """Guards against work for others whenever a backend server is dead."""

        async def test() -> None:
            self.paths.direct = FailureReason.CONNECT_REFUSED
            self.assertIs(await self.failure("request"), FailureReason.CONNECT_REFUSED)
            self.suspect()
            self.assertIs(await self.failure("after-failure"), FailureReason.CONNECT_REFUSED)
            self.assertEqual(self.paths.relays, 0)

        self.run_with(test)

    def test_request_takes_the_detour_before_the_verdict(self) -> None:
        """Guards against requests that fail while the path is being checked."""

        async def test() -> None:
            self.paths.direct = FailureReason.CONNECT_TIMEOUT
            self.suspect()
            connection = await self.connector.open(ENTRY, "request")
            self.assertEqual(connection.relay, "127.0.0.1#1")
            self.assertFalse(self.connector.is_usable(connection))

        self.run_with(test)

    def test_crash_is_not_concluded_from_a_lost_path(self) -> None:
        """Guards against requests that are blamed for connections that a cut has reset."""

        async def test() -> None:
            self.paths.direct = FailureReason.CONNECT_REFUSED
            self.suspect()
            self.assertTrue((await self.connector.open(ENTRY, "crash-check")).relay)
            self.paths.relayed = FailureReason.CONNECT_REFUSED
            self.assertIs(await self.failure("crash-check"), FailureReason.CONNECT_REFUSED)

        self.run_with(test)

    def test_request_with_homes_takes_no_connection_that_leaves_its_region(self) -> None:
        """Guards against bodies that pass an instance outside of their home regions."""

        async def test() -> None:
            self.reachability.record_check(PathCheck(tried=2, direct=0, relayed=2))
            pool = BackendPool(connector=self.connector, distances=make_distances())
            left = await self.connector.open(ENTRY, "request", may_leave_region=True)
            self.assertTrue(left.leaves_region)
            with (
                patch.object(BackendConnection, "has_expired", return_value=False),
                patch.object(BackendConnection, "is_reusable", return_value=True),
            ):
                await pool.release(ENTRY.start, left)
                stays = await pool.acquire(ENTRY, may_leave_region=False)
                self.assertFalse(stays.leaves_region)
                self.assertIs(await pool.acquire(ENTRY, may_leave_region=True), left)

        self.run_with(test)

    def test_isolated_instance_does_not_try_direct_connections(self) -> None:
        """Guards against requests that wait for connections that can't open."""

        async def test() -> None:
            self.reachability.record_check(PathCheck(tried=2, direct=0, relayed=2))
            self.assertIs(self.reachability.path, Path.RELAYED)
            connection = await self.connector.open(ENTRY, "request")
            self.assertTrue(self.connector.is_usable(connection))
            self.assertEqual(self.paths.dials, 0)

        self.run_with(test)

"""The pool of connections to backend servers, and the round trip times measured with them."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random
from unittest.mock import patch

import trio
import trio.lowlevel
from loguru import logger

from tests.common.scripted_server import ScriptedStream, scripted_server
from tests.common.steering_parts import make_distances, make_pool, make_server
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import INITIAL_OTHER_REGION_ROUND_TRIP_S, Distances
from wagtailpoint.proxy import backend_dialer, backend_pool
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.round_trip_probe import RoundTripProbe

LIMIT_S = 20
FAR = "b-1"
NEAR = "a-1"


class FixedDistances(Distances):
    """Keeps the assumed round trip times, since all measured ones are short on loopback."""

    def __init__(self) -> None:
        super().__init__(failure_domain=NEAR, region="a", region_of={"a-1": "a", "b-1": "b"})

    def record_connect_time(self, failure_domain: str, seconds: float) -> None:
        """Ignore a measured time."""


async def wait_until(holds: Callable[[], bool]) -> None:
    """Poll until a condition holds; the time limit of the test applies."""
    while not holds():  # noqa: ASYNC110 - no event is available
        await trio.sleep(0.01)


class BackendPoolTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.opened = 0
        self.ended = 0
        self.metrics = Metrics()

    def run_with(
        self, domain: str, test: Callable[[BackendPool, ServerEntry], Awaitable[None]]
    ) -> None:
        async def script(stream: ScriptedStream) -> None:
            self.opened += 1
            await stream.request()
            self.ended += 1

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(script) as address, trio.open_nursery() as nursery:
                    pool = make_pool(distances=FixedDistances(), metrics=self.metrics)
                    nursery.start_soon(pool.run)
                    await trio.lowlevel.checkpoint()
                    await test(pool, make_server("i-1", address, failure_domain=domain))
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_spare_connection_is_opened_to_a_remote_backend_server(self) -> None:
        """Guards against late replies to callers in a failure domain with few backend servers.

        Most of their requests go to another region, with increasing concurrency. Without a spare
        connection each additional request first opens one, which takes a round trip of 110 ms.
        """

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            first = await pool.acquire(entry)
            await wait_until(lambda: self.opened == 2)
            await trio.sleep(0.05)
            with patch.object(backend_dialer, "open_stream", side_effect=AssertionError):
                # Opening connections fails here, so that only the spare one can be returned.
                second = await pool.acquire(entry)
            self.assertIsNot(first, second)

        self.run_with(FAR, test)

    def test_no_spare_connections_if_few_requests_reuse_connections(self) -> None:
        """Guards against a large deployment opening more connections than it sends requests.

        One of many instances sends each of 400 backend servers an occasional request. If a spare
        connection were opened each time, it would be closed unused after 8 s.
        """

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            for number in range(100):
                await pool.acquire(entry._replace(server_id=f"i-{number}"))
            # Connections that are being opened reach the server a moment later.
            await trio.sleep(0.2)
            opened = self.opened
            for number in range(100, 120):
                await pool.acquire(entry._replace(server_id=f"i-{number}"))
            await trio.sleep(0.2)
            self.assertEqual(self.opened - opened, 20)

        self.run_with(FAR, test)

    def test_no_spare_connection_to_a_nearby_backend_server(self) -> None:
        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            await pool.acquire(entry)
            await wait_until(lambda: self.opened == 1)
            await trio.sleep(0.1)
            self.assertEqual(self.opened, 1)

        self.run_with(NEAR, test)

    def test_expired_connections_are_closed(self) -> None:
        """Guards against running out of descriptors because unused connections stay open."""

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            await pool.open_spare(entry, "next-request")
            await wait_until(lambda: self.ended == 1)

        with (
            patch.object(backend_pool, "SWEEP_INTERVAL_S", 0.05),
            patch("wagtailpoint.proxy.backend_connection.DEFAULT_IDLE_TIMEOUT_S", 0.1),
        ):
            self.run_with(NEAR, test)

    def test_end_of_a_server_leaves_connections_in_use_open(self) -> None:
        """Guards against requests that are cut because the entry of their server is removed."""

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            connection = await pool.acquire(entry)
            await pool.open_spare(entry, "next-request")
            await wait_until(lambda: self.opened == 2)
            await pool.close(entry.start)
            await wait_until(lambda: self.ended == 1)
            await trio.sleep(0.1)
            self.assertEqual(self.ended, 1)
            await pool.release(entry.start, connection)

        self.run_with(NEAR, test)

    def test_failure_to_open_a_spare_connection_does_not_affect_requests(self) -> None:
        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            refusing = entry._replace(address=entry.address._replace(port=1))
            await pool.open_spare(refusing, "next-request")
            await pool.acquire(entry)
            self.assertEqual(
                self.metrics.counts,
                {"connection.opened.next-request": 1, "connection.opened.request": 1},
            )

        self.run_with(NEAR, test)


class RoundTripProbeTest(unittest.TestCase):
    def test_each_failure_domain_is_measured_once(self) -> None:
        """Guards against many requests moving to another region at once, 2 s after the start.

        Without probes a region is assumed to be far until requests have opened connections there.
        """
        opened: list[None] = []

        async def script(stream: ScriptedStream) -> None:
            opened.append(None)
            await stream.request()

        async def run() -> None:
            async with scripted_server(script) as address, trio.open_nursery() as nursery:
                distances = make_distances()
                pool = make_pool(distances=distances)
                entries = [
                    make_server(f"i-{number}", address, failure_domain=domain)
                    for number, domain in enumerate((NEAR, FAR, FAR, FAR))
                ]
                probe = RoundTripProbe(
                    entries=lambda: entries,
                    pool=pool,
                    distances=distances,
                    is_entry=lambda: True,
                    random=Random(1),
                )
                nursery.start_soon(probe.run)
                with trio.fail_after(LIMIT_S):
                    await wait_until(lambda: distances.is_measured(FAR))
                    await wait_until(lambda: distances.is_measured(NEAR))
                await trio.sleep(1.2)
                # A measured time has replaced the assumed one; its value depends on the load.
                self.assertNotEqual(distances.round_trip_s(FAR), INITIAL_OTHER_REGION_ROUND_TRIP_S)
                nursery.cancel_scope.cancel()

        trio.run(run)
        self.assertEqual(len(opened), 2)

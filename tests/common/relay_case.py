"""A relay and a client of it, for tests of relayed connections."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from tests.common.relay_parts import make_relay_client
from tests.common.scripted_server import ScriptedStream, scripted_server
from tests.common.sockets import loopback_address
from tests.common.steering_parts import make_distances, make_peer, make_server
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.proxy.backend_connection import ExchangeFailed
from wagtailpoint.proxy.backend_dialer import BackendDialer
from wagtailpoint.relay.reachability import Reachability
from wagtailpoint.relay.server import RelayServer

LIMIT_S = 20.0
SOON_S = 0.5
RELAY_PORT = 7660


class RelayCase(unittest.TestCase):
    """Runs a relay and a client of it in one process.

    Attributes:
        own: The instance that uses the relay.
        relay: The instance that relays.
        members: What both know of the instances.
        available: Whether the instance relays.
        backoff_s: For how long the backend servers want no requests from the relay.
        backoffs: The backoffs that the relay has told its user.
        servers: The backend servers that the relay knows.
    """

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.own = make_peer(loopback_address())
        self.relay = make_peer(loopback_address())
        self.members = [self.own, self.relay]
        self.available = True
        self.backoff_s = 0.0
        self.backoffs: list[tuple[str, float]] = []
        self.servers: dict[str, ServerEntry] = {}
        distances = make_distances()
        self.metrics = Metrics()
        self.server = RelayServer(
            endpoint=Endpoint(self.relay.address, RELAY_PORT),
            find_server=lambda server_id: self.servers.get(server_id),
            members=lambda: self.members,
            dialer=BackendDialer(
                distances=distances, reachability=Reachability(), metrics=self.metrics
            ),
            is_available=lambda: self.available,
            backoff_s=lambda server: self.backoff_s,
            max_connections=2,
            metrics=self.metrics,
        )
        self.client = make_relay_client(
            own=lambda: self.own,
            members=lambda: self.members,
            port=RELAY_PORT,
            distances=distances,
            record_backoff=lambda server, seconds: self.backoffs.append((server, seconds)),
            metrics=self.metrics,
        )

    def run_with(
        self,
        script: Callable[[ScriptedStream], Awaitable[None]],
        test: Callable[[ServerEntry], Awaitable[None]],
        *,
        starts_relay: bool = True,
    ) -> None:
        """Run a test with a backend server that the relay knows."""

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(script) as address, trio.open_nursery() as nursery:
                    entry = make_server("i-1", address)
                    self.servers["i-1"] = entry
                    if starts_relay:
                        await nursery.start(self.server.run)
                    await test(entry)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def failure(self, entry: ServerEntry) -> ExchangeFailed:
        try:
            opened = await self.client.open(entry, may_leave_region=False)
        except ExchangeFailed as error:
            return error
        raise AssertionError(opened)

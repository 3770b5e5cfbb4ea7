"""Relays that stop without their users hearing of it."""

import math
import unittest
from collections.abc import Awaitable, Callable, Sequence

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.relay_case import LIMIT_S, RELAY_PORT, RelayCase
from tests.common.relay_parts import GOES_ON_S, make_confirmations, make_relay_client
from tests.common.scripted_server import scripted_server
from tests.common.steering_parts import make_distances, make_peer, make_server
from tests.cover.test_relay import echo
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import ExchangeFailed
from wagtailpoint.proxy.backend_connector import BackendConnector
from wagtailpoint.proxy.backend_dialer import BackendDialer
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.relay.confirmations import (
    ASK_INTERVAL_S,
    CONFIRMED_FOR_S,
    KEPT_FOR_S,
)
from wagtailpoint.relay.reachability import PathCheck, Reachability
from wagtailpoint.verdict import Verdict

WHILE_S = 3 * CONFIRMED_FOR_S
SHORT_TIMEOUT_S = 1.2
STOP_S = 5.5
"""The time from the signal to a relay until its process ends."""


class ConfirmationsTest(unittest.TestCase):
    """A relay, an instance that uses it, and the messages between them."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.relay = make_peer("10.0.0.2")
        self.in_use: Sequence[str] = (f"{self.relay.address}#1", f"{self.relay.address}#2")
        self.leaving = False

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        """Run a test of a user whose relay has just been confirmed."""

        async def run() -> None:
            self.network = FakeNetwork()
            self.user = make_peer("10.0.0.1")
            members = [self.user, self.relay]
            users = FakePeers(network=self.network, address=self.user.peer_address)
            relays = FakePeers(network=self.network, address=self.relay.peer_address)
            self.confirmations = make_confirmations(
                users, members=members, in_use=lambda: self.in_use
            )
            make_confirmations(relays, members=members, is_leaving=lambda: self.leaving)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(users.run)
                nursery.start_soon(relays.run)
                await trio.sleep(0.1)
                nursery.start_soon(self.confirmations.run)
                await trio.sleep(ASK_INTERVAL_S)
                self.assertTrue(self.is_confirmed())
                await test()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def is_confirmed(self, timeout_s: float = math.inf) -> bool:
        ends_by = trio.current_time() + timeout_s
        return self.confirmations.is_confirmed(self.relay.address, ends_by=ends_by)

    def test_relay_that_goes_on_stays_confirmed(self) -> None:
        """Guards against connections that are given up though their relay goes on."""

        async def test() -> None:
            ends_at = trio.current_time() + WHILE_S
            while trio.current_time() < ends_at:
                self.assertTrue(self.is_confirmed())
                await trio.sleep(ASK_INTERVAL_S / 4)

        self.run_with(test)

    def test_one_lost_answer_changes_nothing(self) -> None:
        """Guards against connections that are given up at the loss of a message."""

        async def test() -> None:
            self.network.cut([self.relay.address], [self.user.address])
            await trio.sleep(ASK_INTERVAL_S)
            self.network.heal()
            await trio.sleep(ASK_INTERVAL_S)
            self.assertTrue(self.is_confirmed())

        self.run_with(test)

    def test_relay_that_leaves_says_so(self) -> None:
        """Guards against requests through a relay whose new state has not arrived."""

        async def test() -> None:
            self.leaving = True
            await trio.sleep(1.5 * ASK_INTERVAL_S)
            self.assertFalse(self.is_confirmed())

        self.run_with(test)

    def test_relay_that_is_not_heard_is_not_confirmed(self) -> None:
        """Guards against requests through a relay that may have been told to stop long ago."""

        async def test() -> None:
            self.network.cut_apart([self.relay.address], [self.user.address])
            await trio.sleep(CONFIRMED_FOR_S)
            self.assertFalse(self.is_confirmed())
            self.assertTrue(self.is_confirmed(SHORT_TIMEOUT_S))
            self.assertFalse(self.is_confirmed(GOES_ON_S - CONFIRMED_FOR_S + 0.1))
            await trio.sleep(KEPT_FOR_S - CONFIRMED_FOR_S)
            self.assertFalse(self.is_confirmed(SHORT_TIMEOUT_S))

        self.run_with(test)

    def test_answer_that_has_waited_confirms_nothing(self) -> None:
        """Guards against an instance that was frozen and takes old answers for new ones."""

        async def test() -> None:
            await trio.sleep(ASK_INTERVAL_S / 2)
            self.in_use = ()
            self.confirmations._ask(self.relay.address)
            self.network.freeze(self.user.address)
            await trio.sleep(KEPT_FOR_S)
            self.network.thaw(self.user.address)
            await trio.sleep(0.1)
            self.assertFalse(self.is_confirmed())

        self.run_with(test)


class UnheardStopTest(RelayCase):
    """A user whose members' states do not tell of the relay's stop."""

    def run_with_pool(
        self, test: Callable[[BackendPool, ServerEntry], Awaitable[None]], *, answers: bool
    ) -> None:
        """Run a test with an idle relayed connection in a pool.

        Args:
            test: The test.
            answers: Whether the relay's messages reach the user.
        """

        async def run() -> None:
            network = FakeNetwork()
            users = FakePeers(network=network, address=self.own.peer_address)
            relays = FakePeers(network=network, address=self.relay.peer_address)
            confirmations = make_confirmations(
                users, members=self.members, in_use=lambda: pool.relays()
            )
            make_confirmations(relays, members=self.members, is_leaving=lambda: not self.available)
            if not answers:
                network.cut_apart([self.relay.address], [self.own.address])
            distances, reachability = make_distances(), Reachability()
            reachability.record_check(PathCheck(tried=2, direct=0, relayed=2))
            connector = BackendConnector(
                names=HEADER_NAMES,
                dialer=BackendDialer(
                    distances=distances, reachability=reachability, metrics=self.metrics
                ),
                relays=make_relay_client(
                    own=lambda: self.own,
                    members=lambda: self.members,
                    distances=distances,
                    metrics=self.metrics,
                    port=RELAY_PORT,
                    confirmations=confirmations,
                ),
                reachability=reachability,
            )
            pool = BackendPool(connector=connector, distances=distances)
            with trio.fail_after(LIMIT_S):
                async with scripted_server(echo) as address, trio.open_nursery() as nursery:
                    entry = make_server("i-1", address)
                    self.servers["i-1"] = entry
                    await nursery.start(self.server.run)
                    for task in (users.run, relays.run, confirmations.run, pool.run):
                        nursery.start_soon(task)
                    self.assertIsNone(await pool.open_spare(entry, "next-request"))
                    self.assertEqual(self.server.open_connections, 1)
                    await test(pool, entry)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_no_request_is_sent_late_in_a_stop(self) -> None:
        """Guards against requests that the end of a relay cuts, whose stop was not heard of."""

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            self.available = False
            await trio.sleep(CONFIRMED_FOR_S)
            with self.assertRaises(ExchangeFailed) as caught:
                await pool.acquire(entry)
            self.assertEqual(
                (caught.exception.verdict, caught.exception.reason),
                (Verdict.NOT_RUN, FailureReason.CONNECT_FAILED),
            )

        self.run_with_pool(test, answers=False)

    def test_idle_connections_do_not_hold_up_a_stop(self) -> None:
        """Guards against relays that wait until their end for connections without a request."""

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            self.available = False
            with trio.fail_after(STOP_S):
                await self.server.wait_idle()

        self.run_with_pool(test, answers=False)

    def test_connection_is_used_again_while_its_relay_goes_on(self) -> None:
        """Guards against a new connection for each request."""

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            await trio.sleep(WHILE_S)
            connection = await pool.acquire(entry)
            self.assertEqual(connection.relay, f"{self.relay.address}#1")
            await connection.close()

        self.run_with_pool(test, answers=True)

    def test_request_is_sent_through_a_relay_whose_messages_are_lost(self) -> None:
        """Guards against requests that fail though a new connection could be opened."""

        async def test(pool: BackendPool, entry: ServerEntry) -> None:
            await trio.sleep(CONFIRMED_FOR_S)
            connection = await pool.acquire(entry)
            self.assertEqual(connection.relay, f"{self.relay.address}#2")
            await connection.close()

        self.run_with_pool(test, answers=False)


if __name__ == "__main__":
    unittest.main()

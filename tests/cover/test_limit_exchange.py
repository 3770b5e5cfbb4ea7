"""Exchange of stated limits: news at once, instances that start later, cuts, reborn servers."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from wagtailpoint.limits.limit_exchange import LimitExchange
from wagtailpoint.limits.stated_limit import StatedLimits
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.peers import PeerAddress

NAME = b"server-limit"
SERVER = "i-1/0"
COUNT = 6
AT_ONCE_S = 0.3
COMPARED_S = 6.0
"""A cut instance compares with one random peer a second."""


class ListedPeers:
    """Stands in for ``Membership``: lists all other instances."""

    def __init__(self, *, own: PeerAddress, places: list[PeerAddress]) -> None:
        self._others = [place for place in places if place != own]

    def others(self) -> list[PeerAddress]:
        return self._others


class Instance:
    """An instance that exchanges limits."""

    def __init__(
        self, *, network: FakeNetwork, own: PeerAddress, places: list[PeerAddress]
    ) -> None:
        self.peers = FakePeers(network=network, address=own)
        self.gone: set[str] = set()
        self.limits = StatedLimits(
            is_known=lambda server: server not in self.gone, metrics=Metrics()
        )
        self.exchange = LimitExchange(
            limits=self.limits,
            peers=self.peers,
            membership=ListedPeers(own=own, places=places),  # type: ignore[arg-type]
            random=Random(own.incarnation),
        )

    def answered(self, *values: bytes, server: str = SERVER) -> None:
        headers = [(NAME, value) for value in values]
        self.limits.record_answer(server, headers, NAME, trio.current_time())

    def forget(self, server: str) -> None:
        self.gone.add(server)
        self.limits.forget(server)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.peers.run)
            nursery.start_soon(self.exchange.run)


class LimitExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.network = FakeNetwork()
        places = [PeerAddress(f"127.9.0.{number}", 7000, number + 1) for number in range(COUNT)]
        self.instances = [
            Instance(network=self.network, own=place, places=places) for place in places
        ]

    def run_with(
        self, test: Callable[[trio.Nursery], Awaitable[None]], *, started: int = COUNT
    ) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for instance in self.instances[:started]:
                    nursery.start_soon(instance.run)
                await trio.sleep(1.0)
                await test(nursery)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def known(self, server: str = SERVER) -> list[float | None]:
        return [instance.limits.per_s(server) for instance in self.instances]

    def test_all_instances_hear_at_once_of_changes(self) -> None:
        async def test(_nursery: trio.Nursery) -> None:
            self.instances[0].answered(b"4")
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [4.0] * COUNT)
            self.instances[3].answered(b"2")
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [2.0] * COUNT)
            self.instances[5].answered()
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [None] * COUNT)

        self.run_with(test)

    def test_many_limits_cost_few_messages(self) -> None:
        """Guards against a message for each of hundreds of backend servers to each instance."""

        async def test(_nursery: trio.Nursery) -> None:
            for number in range(200):
                self.instances[0].answered(b"4", server=f"i-{number}/0")
            await trio.sleep(AT_ONCE_S)
            received = [
                instance.peers.counts.received["limit-news"].messages
                for instance in self.instances[1:]
            ]
            self.assertLess(max(received), 10)
            self.assertEqual(self.known("i-199/0"), [4.0] * COUNT)

        self.run_with(test)

    def test_instances_that_know_no_limit_exchange_nothing(self) -> None:
        """Guards against messages between all instances on days without any limit."""

        async def test(_nursery: trio.Nursery) -> None:
            before = self.network.delivered_bytes
            await trio.sleep(10.0)
            self.assertEqual(self.network.delivered_bytes, before)

        self.run_with(test)

    def test_instance_that_starts_later_learns_the_limits(self) -> None:
        """Guards against a restarted instance that sends without limit until it is told."""

        async def test(nursery: trio.Nursery) -> None:
            self.instances[0].answered(b"4")
            await trio.sleep(1.0)
            nursery.start_soon(self.instances[-1].run)
            await trio.sleep(AT_ONCE_S)
            self.assertEqual(self.known(), [4.0] * COUNT)

        self.run_with(test, started=COUNT - 1)

    def test_instance_learns_what_changed_while_it_was_cut_off(self) -> None:
        async def test(_nursery: trio.Nursery) -> None:
            cut = self.instances[0].peers.address.address
            others = [instance.peers.address.address for instance in self.instances[1:]]
            self.instances[0].answered(b"4")
            await trio.sleep(AT_ONCE_S)
            self.network.cut_apart([cut], others)
            self.instances[1].answered(b"2")
            await trio.sleep(3.0)
            self.assertEqual(self.known(), [4.0, *[2.0] * (COUNT - 1)])
            self.network.heal()
            await trio.sleep(COMPARED_S)
            self.assertEqual(self.known(), [2.0] * COUNT)

        self.run_with(test)

    def test_instance_without_any_limit_learns_one_that_was_stated_while_it_was_cut_off(
        self,
    ) -> None:
        """Guards against an instance that never asks, as it knows no limit itself."""

        async def test(_nursery: trio.Nursery) -> None:
            cut = self.instances[0].peers.address.address
            others = [instance.peers.address.address for instance in self.instances[1:]]
            self.network.cut_apart([cut], others)
            self.instances[1].answered(b"2")
            await trio.sleep(3.0)
            self.assertEqual(self.known(), [None, *[2.0] * (COUNT - 1)])
            self.network.heal()
            await trio.sleep(COMPARED_S)
            self.assertEqual(self.known(), [2.0] * COUNT)

        self.run_with(test)

    def test_sides_of_a_cut_agree_on_the_lower_limit(self) -> None:
        async def test(_nursery: trio.Nursery) -> None:
            places = [instance.peers.address.address for instance in self.instances]
            self.network.cut_apart(places[:3], places[3:])
            self.instances[0].answered(b"4")
            self.instances[5].answered(b"3")
            await trio.sleep(1.0)
            self.network.heal()
            await trio.sleep(2 * COMPARED_S)
            self.assertEqual(self.known(), [3.0] * COUNT)

        self.run_with(test)

    def test_limit_of_a_former_start_does_not_return(self) -> None:
        """Guards against the limit of a server that is gone, told by who has not heard of it."""

        async def test(_nursery: trio.Nursery) -> None:
            self.instances[0].answered(b"4")
            await trio.sleep(AT_ONCE_S)
            for instance in self.instances[:-1]:
                instance.forget(SERVER)
            await trio.sleep(COMPARED_S)
            self.assertEqual(self.known()[:-1], [None] * (COUNT - 1))

        self.run_with(test)


if __name__ == "__main__":
    unittest.main()

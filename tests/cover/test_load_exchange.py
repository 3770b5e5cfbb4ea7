"""Load reports that the named instances of a region tell each other, over links in memory."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.steering_parts import REGION_OF, make_distances, make_peer, make_server
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.lookup.entry_choice import EntryChoice
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.estimates import Estimates
from wagtailpoint.placement.load_exchange import MAX_BYTES_PER_S, LoadExchange, LoadNewsMessage
from wagtailpoint.placement.load_news import MAX_AGE_S, ServerReport, server_hash
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.region_demand import RegionDemand
from wagtailpoint.ports.peers import PeerAddress

SERVICE = "desk"
SERVERS = 76
SLOTS = 9
ROUND_TRIP_S = 0.002


def report(occupancy: int, pace: float = 1.0) -> LoadReport:
    running = min(occupancy, SLOTS)
    return LoadReport(running, occupancy - running, SLOTS, pace, has_pace=True)


class Instance:
    """A named instance with its estimates and what it was told."""

    def __init__(
        self, *, network: FakeNetwork, address: str, choice: EntryChoice, fleet: Fleet, on: bool
    ) -> None:
        self.peers = FakePeers(network=network, address=PeerAddress(address, 8146, 7))
        self.metrics = Metrics()
        self.estimates = Estimates()
        self.demand = RegionDemand()
        self.on = on
        self.exchange = LoadExchange(
            entries=choice,
            own_address=address,
            peers=self.peers,
            fleet=fleet,
            distances=make_distances(),
            demand=self.demand,
            is_enabled=lambda service: self.on,
            metrics=self.metrics,
            random=Random(address),
        )
        self.exchange.set_estimates(self.estimates, lambda service: 20.0)


class LoadExchangeTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.network = FakeNetwork()
        self.fleet = Fleet(region_of=REGION_OF)
        self.servers = [make_server(f"i-{n}", slots=SLOTS) for n in range(SERVERS)]
        self.fleet.update(self.servers)

    def run_with(
        self,
        test: Callable[[], Awaitable[None]],
        *,
        instances: int = 6,
        on: bool = True,
        clock: MockClock | None = None,
    ) -> None:
        addresses = [f"10.0.0.{number}" for number in range(1, instances + 1)]
        members = tuple(make_peer(address, capacity=1.0) for address in addresses)
        choice = EntryChoice(members=lambda: members)
        # All of these small instances are named, as they are in one failure domain.
        choice._refresh()
        choice._all = members

        async def run() -> None:
            self.instances = [
                Instance(
                    network=self.network, address=address, choice=choice, fleet=self.fleet, on=on
                )
                for address in addresses
            ]
            async with trio.open_nursery() as nursery:
                for instance in self.instances:
                    nursery.start_soon(instance.peers.run)
                    nursery.start_soon(instance.exchange.run)
                await test()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=clock or MockClock(autojump_threshold=0))

    def answer(self, instance: Instance, number: int, occupancy: int) -> None:
        instance.estimates.record_report(
            self.servers[number], report(occupancy), trio.current_time(), ROUND_TRIP_S
        )

    def occupancy(self, instance: Instance, number: int) -> float:
        return instance.estimates.occupancy(self.servers[number], trio.current_time(), ROUND_TRIP_S)

    def test_others_learn_that_a_server_is_full(self) -> None:
        """Guards against requests to a server whose queue another instance knows to be long."""

        async def test() -> None:
            first, *others = self.instances
            self.answer(first, 3, 18)
            await trio.sleep(0.4)
            for other in others:
                # The report is believed by its age, and the mean starts at 0.
                self.assertGreater(self.occupancy(other, 3), 2.0)
                self.assertEqual(other.metrics.counts["load-news.used"], 1)

        self.run_with(test)

    def test_demand_is_told(self) -> None:
        async def test() -> None:
            for instance in self.instances:
                self.answer(instance, 1, 1)
            await trio.sleep(1.0)
            mean = self.instances[0].demand.region_mean(SERVICE, 80.0, trio.current_time())
            self.assertEqual(mean, (80.0 + 5 * 20.0) / 6)

        self.run_with(test)

    def test_nothing_is_sent_where_the_exchange_is_off(self) -> None:
        """Guards against messages of deployments that did not ask for the exchange."""

        async def test() -> None:
            for number in range(SERVERS):
                self.answer(self.instances[0], number, 9)
            await trio.sleep(5.0)
            self.assertEqual(self.network.delivered_bytes, 0)

        self.run_with(test, on=False)

    def test_receiver_whose_exchange_is_off_uses_nothing(self) -> None:
        """Guards against reports of others that change choices where the exchange is off."""

        async def test() -> None:
            first, second, *_ = self.instances
            second.on = False
            self.answer(first, 3, 18)
            await trio.sleep(0.4)
            self.assertEqual(second.metrics.counts["load-news.used"], 0)
            self.assertEqual(self.occupancy(second, 3), 0.0)
            self.assertFalse(second.estimates.paces.is_reported(SERVICE))
            self.assertEqual(second.demand.region_mean(SERVICE, 80.0, trio.current_time()), 80.0)

        self.run_with(test)

    def test_nothing_is_sent_after_the_exchange_was_turned_off(self) -> None:
        """Guards against demands that are told until the next restart."""

        async def test() -> None:
            for instance in self.instances:
                self.answer(instance, 1, 1)
            await trio.sleep(1.0)
            for instance in self.instances:
                instance.on = False
            await trio.sleep(0.1)
            sent = self.network.delivered_bytes
            await trio.sleep(5.0)
            self.assertEqual(self.network.delivered_bytes, sent)

        self.run_with(test)

    def test_demands_of_unknown_services_are_ignored(self) -> None:
        """Guards against names that fill the memory, and the places of services that exist."""

        async def test() -> None:
            first, second, *_ = self.instances
            await trio.sleep(0.1)
            demands = {f"none-{number}": 1.0 for number in range(2000)}
            first.peers.send(second.peers.address, LoadNewsMessage([], {**demands, SERVICE: 20.0}))
            await trio.sleep(0.1)
            self.assertEqual(list(second.demand._services), [SERVICE])
            self.assertEqual(second.metrics.counts["load-news.ignored"], len(demands))

        self.run_with(test)

    def test_reports_are_forgotten_without_peers(self) -> None:
        """Guards against memory that grows with each server start where nobody is told."""

        async def test() -> None:
            (alone,) = self.instances
            for number in range(SERVERS):
                self.answer(alone, number, 9)
            await trio.sleep(MAX_AGE_S + 1.0)
            self.assertEqual(len(alone.exchange._news._known), 0)

        self.run_with(test, instances=1)

    def test_report_from_the_future_is_not_believed_beyond_its_value(self) -> None:
        """Guards against loads that are extrapolated from a report without an age.

        The way of a report takes at least as long as the server's response.
        """
        distant = make_server("i-b", slots=SLOTS, failure_domain="b-1")

        async def test() -> None:
            self.fleet.update([*self.servers, distant])
            first, second, *_ = self.instances
            second.exchange._distances.record_connect_time("b-1", 0.2)
            await trio.sleep(0.1)
            told = ServerReport(server_hash(distant.start.key), 9, 9, 100, 0)
            first.peers.send(second.peers.address, LoadNewsMessage([told], {}))
            await trio.sleep(0.02)
            self.assertEqual(second.metrics.counts["load-news.used"], 1)
            age_s = second.estimates.load_of(distant).report_age_s(trio.current_time())
            self.assertGreaterEqual(age_s, 0.0)

        self.run_with(test)

    async def play_load(self, seconds: float) -> float:
        """Let each instance get 50 answers a second; return the bytes that one sends a second."""
        random = Random(5)
        before = self.network.delivered_bytes
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(0.02)
            for instance in self.instances:
                self.answer(instance, random.randrange(SERVERS), random.randrange(2 * SLOTS))
        return (self.network.delivered_bytes - before) / seconds / len(self.instances)

    def test_bytes_are_bounded_with_any_number_of_instances(self) -> None:
        """Guards against control messages that grow with the number of named instances."""
        for instances in (2, 6, 12, 24):
            with self.subTest(instances=instances):

                async def test() -> None:
                    await self.play_load(5.0)
                    self.assertLess(await self.play_load(20.0), 1.1 * MAX_BYTES_PER_S)

                self.run_with(test, instances=instances)

    def test_bytes_are_bounded_with_many_services(self) -> None:
        """Guards against demands of long service names that are counted as if they were short."""
        servers = [make_server(f"s-{n}", service=f"{n:050}", slots=SLOTS) for n in range(30)]

        async def test() -> None:
            self.fleet.update([*self.servers, *servers])
            for instance in self.instances:
                for entry in servers:
                    instance.estimates.record_report(
                        entry, report(1), trio.current_time(), ROUND_TRIP_S
                    )
            await self.play_load(5.0)
            self.assertLess(await self.play_load(20.0), 1.1 * MAX_BYTES_PER_S)

        self.run_with(test)

    def test_estimates_are_closer_than_alone(self) -> None:
        """Guards against an exchange that costs bytes and tells nothing that matters.

        The loads of all servers change within seconds; an instance sees a report of each every 1.5
        seconds.
        """
        self.assertLess(self.mean_error(on=True), self.mean_error(on=False))

    def mean_error(self, *, on: bool) -> float:
        """Return the mean difference of estimated and actual requests at a backend server."""
        differences: list[float] = []

        async def test() -> None:
            random = Random(3)
            loads = [random.randrange(2 * SLOTS) for _ in range(SERVERS)]
            while trio.current_time() < 30.0:
                await trio.sleep(0.02)
                loads[random.randrange(SERVERS)] = random.randrange(2 * SLOTS)
                for instance in self.instances:
                    number = random.randrange(SERVERS)
                    self.answer(instance, number, loads[number])
                asked = random.randrange(SERVERS)
                differences.append(abs(self.occupancy(self.instances[0], asked) - loads[asked]))

        self.run_with(test, on=on)
        return sum(differences) / len(differences)

    def test_cut_off_instance_decides_by_itself(self) -> None:
        """Guards against an instance that keeps old reports when it hears nothing."""

        async def test() -> None:
            first, second, *_ = self.instances
            self.answer(first, 3, 18)
            await trio.sleep(0.4)
            known = self.occupancy(second, 3)
            everyone = [instance.peers.address.address for instance in self.instances]
            self.network.cut_apart(everyone[:2], everyone)
            self.answer(first, 4, 18)
            await trio.sleep(5.0)
            self.assertLess(self.occupancy(second, 3), known / 4)
            self.assertEqual(self.occupancy(second, 4), 0.0)
            self.answer(second, 4, 9)
            self.assertGreater(self.occupancy(second, 4), 7.0)

        self.run_with(test)

    def test_instance_that_stood_still_drops_what_waited(self) -> None:
        """Guards against reports of unknown age that are taken for new after a freeze."""

        async def test() -> None:
            first, second, *_ = self.instances
            await trio.sleep(1.0)
            second.exchange._ran_at = trio.current_time() - 3.0
            first.peers.send(
                second.peers.address,
                LoadNewsMessage([ServerReport(server_hash(self.key(3)), 9, 9, 100, 0)], {}),
            )
            await trio.sleep(0.02)
            self.assertEqual(second.metrics.counts["load-news.used"], 0)
            self.assertEqual(self.occupancy(second, 3), 0.0)

        self.run_with(test)

    def test_short_standstill(self) -> None:
        """Guards against a standstill that is missed as it began before the timer was due."""
        clock = MockClock(autojump_threshold=0)

        async def test() -> None:
            first, second, *_ = self.instances
            await trio.sleep(1.0)
            told = ServerReport(server_hash(self.key(3)), 9, 9, 100, 0)
            for _ in range(5):
                # The timer is at another place between two intervals each time.
                await trio.sleep(1.07)
                first.peers.send(second.peers.address, LoadNewsMessage([told], {}))
                clock.jump(0.55)
            await trio.sleep(0.05)
            self.assertEqual(second.metrics.counts["load-news.received"], 5)
            self.assertEqual(second.metrics.counts["load-news.used"], 0)
            await trio.sleep(1.0)
            first.peers.send(second.peers.address, LoadNewsMessage([told], {}))
            await trio.sleep(0.05)
            self.assertEqual(second.metrics.counts["load-news.used"], 1)

        self.run_with(test, clock=clock)

    def key(self, number: int) -> str:
        return self.servers[number].start.key

    def test_malformed_reports_are_ignored_and_counted(self) -> None:
        """Guards against one faulty instance that decides where the others send requests."""
        known = server_hash(self.key(3))
        malformed = [
            ServerReport(server_hash("i-gone/0"), 9, 0, 100, 0),
            ServerReport(known, -1, 0, 100, 0),
            ServerReport(known, 9, -4, 100, 0),
            ServerReport(known, 10**7, 0, 100, 0),
            ServerReport(known, 9, 0, -100, 0),
            ServerReport(known, 9, 0, 10**6, 0),
            ServerReport(known, 9, 0, 100, -1),
            ServerReport(known, 9, 0, 100, 201),
        ]

        async def test() -> None:
            first, second, *_ = self.instances
            await trio.sleep(0.1)
            first.peers.send(second.peers.address, LoadNewsMessage(malformed, {SERVICE: -5.0}))
            await trio.sleep(0.1)
            self.assertEqual(second.metrics.counts["load-news.ignored"], len(malformed) + 1)
            self.assertEqual(self.occupancy(second, 3), 0.0)

        self.run_with(test)


if __name__ == "__main__":
    unittest.main()

"""Bound on the requests to a backend server while a started instance knows no loads."""

import unittest
from random import Random
from typing import NamedTuple

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork
from tests.common.member_group import Instance
from tests.common.steering_parts import (
    REGION_OF,
    make_distances,
    make_placement,
    make_route,
    make_server,
)
from wagtailpoint.admission.start_ramp import (
    MAX_DURATION_S,
    RELEASE_MARGIN_S,
    ROOM_WAIT_FRACTION,
    StartRamp,
    can_wait,
)
from wagtailpoint.daemon.entry_role import EntryRole
from wagtailpoint.daemon.shared_loads import SharedLoads
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.discovery.instance_count import InstanceCount
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.choice import Choice, Demand, NotPlaced, Observation
from wagtailpoint.placement.estimates import Estimates, ReportCallback
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.placement.placement import Placement
from wagtailpoint.proxy.room_waiting import MAX_WAIT_FRACTION, OFFER_INTERVAL_S

SERVERS = 26
SLOTS = 9
INSTANCES = 6
SENDERS = 2
READY_AT = 100.0
OBJECTIVE_S = 1.112
DEADLINE_S = 8.893
SERVICE_S = 0.4
NEWS_DELAY_S = 0.25
KEYS = 200
KEY = "k"
REPORT = LoadReport(1, 0, SLOTS, 1.0, has_pace=True)


class Result(NamedTuple):
    """What a replay gave.

    Attributes:
        longest_queues: The mean of the longest queues of the busiest tenth of the servers.
        early_sends: The number of requests sent before the first response.
    """

    longest_queues: float
    early_sends: int


class Replay:
    """The callers of a region after a loss of its six named instances, in virtual time.

    The servers are as warm as before. Callers who waited for an instance come within 0.2 s, others
    at 45 requests per second and instance, for a few popular and many other keys. Each instance
    tells the others its reports 0.25 s after it received them.
    """

    def __init__(self, *, has_ramp: bool, is_always_on: bool) -> None:
        self._fleet = Fleet(region_of=REGION_OF)
        self._servers = [
            make_server(f"i-{n}", slots=SLOTS, failure_domain=("a-1", "a-2")[n % 2])
            for n in range(SERVERS)
        ]
        self._fleet.update(self._servers)
        self._slots = {each.server_id: trio.CapacityLimiter(SLOTS) for each in self._servers}
        self._longest = {each.server_id: 0 for each in self._servers}
        self._early_sends = 0
        self._has_response = False
        self._placements: list[Placement] = []
        for _ in range(INSTANCES):
            self._add_instance(has_ramp=has_ramp, is_always_on=is_always_on)

    def _add_instance(self, *, has_ramp: bool, is_always_on: bool) -> None:
        def is_enabled(service: str) -> bool:
            return is_always_on or placement.estimates.paces.is_reported(service)

        ramp = StartRamp(is_enabled=is_enabled, count_servers=lambda service: SERVERS)
        placement = make_placement(
            self._fleet, instances=INSTANCES, ramp=ramp if has_ramp else None
        )
        placement.estimates.on_report(ramp.record_report)
        placement.estimates.on_peer_report(ramp.record_peer_report)
        ramp.begin(trio.current_time())
        self._placements.append(placement)

    async def play(self) -> Result:
        """Play the first three seconds."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for number, placement in enumerate(self._placements):
                placement.estimates.on_report(self._tell_others_of(number))
                nursery.start_soon(self._callers, placement, Random(number))
        busiest = sorted(self._longest.values())[-SERVERS // 10 :]
        return Result(sum(busiest) / len(busiest), self._early_sends)

    def _tell_others_of(self, number: int) -> ReportCallback:
        def record(entry: ServerEntry, report: LoadReport, measured_at: float) -> None:
            self._nursery.start_soon(self._tell, number, entry, report, measured_at)

        return record

    async def _tell(
        self, number: int, entry: ServerEntry, report: LoadReport, measured_at: float
    ) -> None:
        await trio.sleep(NEWS_DELAY_S)
        for other in self._placements[:number] + self._placements[number + 1 :]:
            other.estimates.record_peer_report(entry, report, measured_at, 0.002)

    async def _callers(self, placement: Placement, random: Random) -> None:
        for number in range(40 + 45 * 3):
            await trio.sleep(random.expovariate(200 if number < 40 else 45))
            key = str(int(KEYS * random.random() ** 2))
            service_s = SERVICE_S * random.uniform(0.7, 1.3)
            self._nursery.start_soon(self._request, placement, key, service_s)

    async def _request(self, placement: Placement, key: str, service_s: float) -> None:
        arrived_at = trio.current_time()

        def choose() -> Choice | NotPlaced:
            passed_s = trio.current_time() - arrived_at
            return placement.choose(demand._replace(objective_remaining_s=OBJECTIVE_S - passed_s))

        route = make_route(objective_s=OBJECTIVE_S)
        demand = Demand(route, "desk", None, key, (), DEADLINE_S, OBJECTIVE_S)
        placement.record_request(demand)
        while not isinstance(choice := choose(), Choice):
            await trio.sleep(OFFER_INTERVAL_S)
            if trio.current_time() - arrived_at > MAX_WAIT_FRACTION * OBJECTIVE_S:
                return
        await self._send(placement, demand, choice, service_s)

    async def _send(
        self, placement: Placement, demand: Demand, choice: Choice, service_s: float
    ) -> None:
        self._early_sends += not self._has_response
        slots = self._slots[choice.entry.server_id]
        underway = placement.record_send(demand, choice)
        began = trio.current_time()
        self._longest[choice.entry.server_id] = max(
            self._longest[choice.entry.server_id],
            slots.statistics().tasks_waiting + (slots.available_tokens == 0),
        )
        async with slots:
            await trio.sleep(service_s)
            waiting = slots.statistics().tasks_waiting
            report = REPORT._replace(running=int(slots.borrowed_tokens), waiting=waiting)
        self._has_response = True
        latency_s = trio.current_time() - began
        seen = Observation(latency_s, 400, False, False, report, 0.0)
        placement.record_answer(demand, choice, seen)
        placement.record_end(choice.entry, underway)


def replay(*, has_ramp: bool, is_always_on: bool) -> Result:
    async def play() -> Result:
        return await Replay(has_ramp=has_ramp, is_always_on=is_always_on).play()

    return trio.run(play, clock=MockClock(autojump_threshold=0))


class LossOfAllInstancesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def test_queues_of_the_busiest_servers_are_shorter(self) -> None:
        """Guards against long queues at the preferred servers after a loss of all instances."""
        bounded = replay(has_ramp=True, is_always_on=True)
        unbounded = replay(has_ramp=False, is_always_on=True)
        self.assertLess(bounded.longest_queues, unbounded.longest_queues)

    def test_queues_are_no_longer_where_the_switch_follows_the_first_pace(self) -> None:
        """Guards against a bound that delays callers without an effect on the queues.

        The first response tells the pace, so the requests before it are not bounded.
        """
        bounded = replay(has_ramp=True, is_always_on=False)
        unbounded = replay(has_ramp=False, is_always_on=False)
        self.assertEqual(bounded.early_sends, unbounded.early_sends)
        self.assertLessEqual(bounded.longest_queues, unbounded.longest_queues)


class StartRampTest(unittest.TestCase):
    """An instance that became ready at 100 s, one of two that send to each of 26 servers."""

    def setUp(self) -> None:
        self.is_enabled = True
        self.ramp = StartRamp(
            is_enabled=lambda service: self.is_enabled, count_servers=lambda service: SERVERS
        )
        self.ramp.begin(READY_AT)
        self.servers = [make_server(f"i-{n}", slots=SLOTS) for n in range(SERVERS)]

    def max_in_flight(self, now: float, *, senders: int = SENDERS) -> int:
        """Return how many requests may be in flight at the first server, 100 if not bounded."""
        return next(
            (n for n in range(100) if not self.ramp.may_send(self.servers[0], n, senders, now)), 100
        )

    def record_reports(self, count: int, now: float) -> None:
        for server in self.servers[:count]:
            self.ramp.record_report(server, REPORT, now)

    def test_share_of_the_slots(self) -> None:
        """Guards against the sum of the instances' requests at a server of unknown load."""
        for senders, allowed in ((1, 13), (SENDERS, 6), (INSTANCES, 2), (18, 1), (300, 1)):
            with self.subTest(senders=senders):
                self.assertEqual(self.max_in_flight(READY_AT + 0.1, senders=senders), allowed)

    def test_ends_with_the_loads_of_half_of_the_servers(self) -> None:
        self.record_reports(SERVERS // 2 - 1, READY_AT + 0.5)
        self.assertEqual(self.max_in_flight(READY_AT + 0.5), 6)
        self.ramp.record_peer_report(self.servers[-1], REPORT, READY_AT + 0.6)
        self.assertEqual(self.max_in_flight(READY_AT + 0.6), 100)

    def test_does_not_return_when_servers_are_added(self) -> None:
        """Guards against a bound in a running deployment whose servers are doubled."""
        self.record_reports(SERVERS // 2, READY_AT + 0.5)
        self.assertEqual(self.max_in_flight(READY_AT + 0.5), 100)
        self.ramp._count_servers = lambda service: 2 * SERVERS
        self.assertEqual(self.max_in_flight(READY_AT + 0.6), 100)

    def test_no_messages_for_five_seconds(self) -> None:
        """Guards against an instance that stays bounded since nobody tells it loads."""
        self.record_reports(1, READY_AT + 1.0)
        self.assertEqual(self.max_in_flight(READY_AT + MAX_DURATION_S - 0.01), 6)
        self.assertEqual(self.max_in_flight(READY_AT + MAX_DURATION_S), 100)

    def test_instance_joins_a_running_deployment(self) -> None:
        """Guards against a bound where nothing was lost: others had responses before it was ready.

        The first report ends the bound for all services.
        """
        self.ramp.record_peer_report(
            self.servers[3]._replace(service="mail"), REPORT, READY_AT - 0.1
        )
        self.assertEqual(self.max_in_flight(READY_AT + 0.2), 100)

    def test_standby_instance_is_named_later(self) -> None:
        """Guards against a bound at an instance that callers first use minutes after its start."""
        self.assertEqual(self.max_in_flight(READY_AT + 300.0), 100)

    def test_later_changes_of_the_state_do_not_begin_it_again(self) -> None:
        """Guards against a bound when an isolated instance reaches the servers again."""
        self.ramp.begin(READY_AT + 60.0)
        self.assertEqual(self.max_in_flight(READY_AT + 60.1), 100)

    def test_switched_off(self) -> None:
        """Guards against a bound in services whose requests never wait for room."""
        self.is_enabled = False
        self.assertEqual(self.max_in_flight(READY_AT + 0.1), 100)

    def test_not_ready_yet(self) -> None:
        ramp = StartRamp(is_enabled=lambda service: True, count_servers=lambda service: SERVERS)
        self.assertTrue(ramp.may_send(self.servers[0], 50, SENDERS, READY_AT))


class BoundedPlacementTest(unittest.TestCase):
    """Two backend servers of nine slots, and an instance that is one of six."""

    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def count_sent(self, *, is_enabled: bool = True, cold_s: float = 0.0, passed_s: float) -> int:
        """Return how many of 12 requests for one key are sent at once.

        Args:
            is_enabled: Whether requests may wait for room.
            cold_s: For how long the backend servers are still cold.
            passed_s: The time since the requests arrived.
        """

        async def test() -> int:
            fleet = Fleet(region_of=REGION_OF)
            # The key's first server of all is in the other failure domain: two candidates.
            fleet.update(
                make_server(f"i-{n}", failure_domain=domain, slots=SLOTS, cold_left_s=cold_s)
                for n, domain in enumerate(("a-1", "a-2"))
            )
            ramp = StartRamp(is_enabled=lambda service: is_enabled, count_servers=lambda service: 2)
            ramp.begin(trio.current_time())
            placement = make_placement(fleet, instances=INSTANCES, ramp=ramp)
            route = make_route(objective_s=OBJECTIVE_S)
            demand = Demand(route, "desk", None, KEY, (), DEADLINE_S, OBJECTIVE_S - passed_s)
            sent = 0
            for _ in range(12):
                choice = placement.choose(demand)
                if isinstance(choice, Choice):
                    placement.record_send(demand, choice)
                    sent += 1
                else:
                    self.assertEqual(choice.reason, "no room")
                    wanted = "cold" if cold_s else "full"
                    self.assertEqual({each.reason for each in choice.declined}, {wanted})
            return sent

        return trio.run(test, clock=MockClock(autojump_threshold=0))

    def test_next_candidate_takes_what_is_beyond_the_share(self) -> None:
        """Guards against requests that wait although another candidate has a share left."""
        self.assertEqual(self.count_sent(passed_s=0.0), 2 * 2)

    def test_request_that_has_waited_is_sent(self) -> None:
        """Guards against requests that are rejected only because of the bound."""
        self.assertEqual(self.count_sent(passed_s=OBJECTIVE_S / 8 - RELEASE_MARGIN_S + 0.001), 12)

    def test_switched_off(self) -> None:
        """Guards against requests that are declined where they cannot wait for room."""
        self.assertEqual(self.count_sent(is_enabled=False, passed_s=0.0), 12)

    def test_cold_servers(self) -> None:
        """Guards against a bound on cold servers, which have a pacing of their own."""
        bounded = self.count_sent(cold_s=10.0, passed_s=0.0)
        self.assertEqual(bounded, self.count_sent(is_enabled=False, cold_s=10.0, passed_s=0.0))

    def test_requests_that_cannot_wait(self) -> None:
        """Guards against delays of requests that the room queue would reject."""
        self.assertTrue(can_wait(1.0, 1.0, 2.0))
        self.assertFalse(can_wait(1.0, 1.0, 1.9), "too little is left until the deadline")
        self.assertFalse(can_wait(0.4, 0.4, 9.0), "an eighth is two intervals of the room queue")

    def test_wait_ends_before_that_of_the_room_queue(self) -> None:
        """Guards against bounds that drift from those of the room queue."""
        self.assertEqual(ROOM_WAIT_FRACTION, MAX_WAIT_FRACTION)
        self.assertEqual(RELEASE_MARGIN_S, 2 * OFFER_INTERVAL_S)


class SharedLoadsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def test_begins_when_the_instance_is_ready(self) -> None:
        """Guards against a bound that never begins, or begins before the configuration is known."""

        async def test() -> None:
            network = FakeNetwork()
            instance = Instance(
                network=network, address="127.0.0.1", region="a", seed=1, wall_s=1000.0
            )
            fleet = Fleet(region_of=REGION_OF)
            fleet.update([make_server(f"i-{n}", slots=SLOTS) for n in range(2)])
            loads = SharedLoads(
                role=EntryRole(
                    membership=instance.membership,
                    instances=InstanceCount(alive=lambda: 1, registered=lambda: 1),
                    registered=lambda: 1,
                ),
                peers=instance.peers,
                membership=instance.membership,
                fleet=fleet,
                distances=make_distances(),
                is_enabled=lambda service: True,
                metrics=Metrics(),
                random=Random(1),
            )
            estimates = Estimates()
            loads.set_estimates(estimates)
            instance.membership.publish(load=0.5)
            self.assertFalse(loads.is_bounded("desk"))
            instance.membership.publish(state="live")
            self.assertTrue(loads.is_bounded("desk"))
            self.assertEqual(loads.gauges["bounded_services"], 1)
            estimates.record_report(fleet.entries["i-0"], REPORT, trio.current_time(), 0.002)
            self.assertFalse(loads.is_bounded("desk"))

        trio.run(test, clock=MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()

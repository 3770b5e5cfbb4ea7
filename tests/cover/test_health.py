"""Tests of which backend servers get new requests, and of drain broadcasts."""

import unittest
from functools import partial

import trio
import trio.testing
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from wagtailpoint.config.model import BackendServer
from wagtailpoint.health import HealthBoard, Outcome, State, outcome_of
from wagtailpoint.health.drain_broadcaster import DrainBroadcaster
from wagtailpoint.ports.backend import BackendAddress, BackendFailure, FailureReason, LoadReport
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.verdict import Verdict


class MovableClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


def make_servers(count: int) -> tuple[BackendServer, ...]:
    addresses = [BackendAddress("127.1.1.1", 9100 + number) for number in range(count)]
    return tuple(BackendServer(address, "salt-lake", 3) for address in addresses)


def make_report(*, draining: bool = False, warm: bool = True) -> LoadReport:
    return LoadReport(busy=0, queued=0, slots=3, draining=draining, warm=warm)


class HealthBoardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = MovableClock()
        self.board = HealthBoard(clock=self.clock)
        self.group = make_servers(4)
        self.first = self.group[0].address

    def record(
        self, outcome: Outcome, times: int = 1, latency_s: float = 2.0, server: int = 0
    ) -> None:
        for _ in range(times):
            self.board.observe_outcome(self.group[server].address, outcome, latency_s)

    def count_offers(self, choices: int = 100) -> int:
        """Return in how many choices the first backend server is usable."""
        usable = [self.board.usable(self.group) for _ in range(choices)]
        return sum(self.group[0] in servers for servers in usable)

    def test_all_are_usable_initially(self) -> None:
        self.assertEqual(self.board.usable(self.group), self.group)
        self.assertEqual(self.board.usable(()), ())

    def test_refused_connections_eject(self) -> None:
        self.record(Outcome.CONNECT_FAILED, 2)
        self.assertEqual(self.board.state_of(self.first), State.EJECTED)
        self.assertEqual(self.board.usable(self.group), self.group[1:])

    def test_own_answers_count_more_than_failed_probes(self) -> None:
        """Guards against the ejection of a working backend server whose health endpoint fails."""
        self.record(Outcome.ANSWERED, 50)
        self.record(Outcome.PROBE_FAILED, 100)
        self.assertEqual(self.count_offers(), 100)

    def test_faults_lose_weight_with_age(self) -> None:
        """Guards against an ejection because of resets that are an hour apart."""
        self.record(Outcome.RESET, 2)
        self.clock.now += 3600
        self.record(Outcome.RESET, 2)
        self.assertEqual(self.board.state_of(self.first), State.HEALTHY)

    def test_callers_with_short_timeouts_cause_no_ejection(self) -> None:
        """Guards against ejections caused by a caller with a timeout of 5 ms."""
        self.record(Outcome.TIMEOUT, 100, latency_s=0.005)
        self.assertEqual(self.board.state_of(self.first), State.HEALTHY)

    def test_requests_increase_gradually_after_an_ejection(self) -> None:
        """Guards against a restarted backend server that gets all requests at once and fails again.

        After the ejection it gets a small fraction of the requests. A good outcome doubles the
        fraction; a fault ends the trial and starts a longer ejection.
        """
        self.record(Outcome.CONNECT_FAILED, 2)
        self.clock.now += 2.5
        self.assertEqual(self.count_offers(), 0, "no offers without a report")
        self.board.observe_report(self.first, make_report())
        self.assertEqual(self.count_offers(), 5)
        self.record(Outcome.ANSWERED)
        self.assertEqual(self.count_offers(), 10)
        self.record(Outcome.RESET)
        self.clock.now += 3.9
        self.assertEqual(self.board.state_of(self.first), State.EJECTED)
        self.clock.now += 4.2
        self.record(Outcome.ANSWERED, 5)
        self.assertEqual(self.board.state_of(self.first), State.HEALTHY)
        self.assertEqual(self.count_offers(), 100)

    def test_at_most_half_are_ejected(self) -> None:
        """Guards against a few backend servers that get all requests after a pause of this process.

        Such a pause makes most requests time out, whatever the health of the backend servers.
        """
        for server in range(3):
            self.record(Outcome.CONNECT_FAILED, 2 + server, server=server)
        self.assertEqual(len(self.board.usable(self.group)), 2)

    def test_all_are_usable_if_all_look_faulty(self) -> None:
        """Guards against an outage because evidence against all backend servers is wrong."""
        for server in range(4):
            self.record(Outcome.TIMEOUT, 5, server=server)
        self.assertEqual(self.board.usable(self.group), self.group)

    def test_draining_server_is_excluded_at_once(self) -> None:
        self.board.observe_report(self.first, make_report(draining=True))
        self.assertEqual(self.board.usable(self.group), self.group[1:])
        self.clock.now += 20
        self.assertEqual(self.count_offers(), 0, "excluded although its reports stopped")
        self.clock.now += 11
        self.assertEqual(self.count_offers(), 100, "a stale report is ignored")

    def test_draining_answer_outweighs_the_report(self) -> None:
        """Guards against a lagging report that overrides an answer that said "draining"."""
        self.record(Outcome.DRAINING)
        self.board.observe_report(self.first, make_report(draining=False))
        self.assertEqual(self.count_offers(), 0)

    def test_only_answers_can_exclude_all_as_draining(self) -> None:
        """Guards against an outage because the load reports of all wrongly say "draining"."""
        for backend_server in self.group:
            self.board.observe_report(backend_server.address, make_report(draining=True))
        self.assertEqual(self.board.usable(self.group), self.group)
        for server in range(4):
            self.record(Outcome.DRAINING, server=server)
        self.assertEqual(self.board.usable(self.group), ())

    def test_very_slow_server_is_ejected_unless_it_is_cold(self) -> None:
        self.group = make_servers(5)
        for server, latency_s in enumerate((3.0, 0.02, 0.02, 2.0, 0.02)):
            self.record(Outcome.ANSWERED, 30, latency_s=latency_s, server=server)
        self.board.observe_report(self.group[3].address, make_report(warm=False))
        self.assertEqual(self.board.usable(self.group), self.group[1:])

    def test_fault_counts_at_once_after_all_were_healthy(self) -> None:
        """Guards against requests to a backend server for up to a second after its ejection.

        All are healthy, then one refuses connections, then the next request arrives. The failure
        occurs if the result "all are healthy" is cached across requests.
        """
        self.assertEqual(self.board.usable(self.group), self.group)
        self.record(Outcome.CONNECT_FAILED, 2)
        self.assertEqual(self.board.usable(self.group), self.group[1:])
        self.board.observe_report(self.group[1].address, make_report(draining=True))
        self.assertEqual(self.board.usable(self.group), self.group[2:])


class OutcomeTest(unittest.TestCase):
    def test_outcome_of_failures(self) -> None:
        shed = BackendFailure(Verdict.NOT_RUN, FailureReason.SHED, shed=True)
        refused = BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED)
        self.assertEqual(outcome_of(shed), Outcome.SHED)
        self.assertEqual(outcome_of(shed._replace(draining=True)), Outcome.DRAINING)
        self.assertEqual(outcome_of(refused), Outcome.CONNECT_FAILED)
        self.assertEqual(outcome_of(refused._replace(reason="odd")), Outcome.UNKNOWN)


class DrainBroadcasterTest(unittest.TestCase):
    """Broadcasts of drain refusals; see also ``tests/integration/test_leaving.py``."""

    def test_refusal_is_broadcast_once_and_not_forwarded(self) -> None:
        """Guards against further requests to a draining backend server from other instances.

        They occur if only the instance that was refused knows of the drain. Received messages must
        not be forwarded: with n instances that would be n times n messages for each refusal.
        """
        network, clock = FakeNetwork(), MovableClock()
        addresses = [PeerAddress(f"127.9.0.{number}", 7000, number) for number in (1, 2, 3)]
        boards = [HealthBoard(clock=clock) for _ in addresses]
        links = [FakePeers(network=network, address=address) for address in addresses]
        for address, board, peers in zip(addresses, boards, links, strict=True):
            others = tuple(other for other in addresses if other != address)
            DrainBroadcaster(peers=peers, health=board, others=partial(tuple, others))
        server = BackendAddress("127.1.1.1", 9100)

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                for peers in links:
                    nursery.start_soon(peers.run)
                await trio.testing.wait_all_tasks_blocked()
                for _ in range(3):
                    boards[0].observe_outcome(server, Outcome.DRAINING, 0.0)
                await trio.sleep(1.0)
                nursery.cancel_scope.cancel()

        trio.run(test, clock=MockClock(autojump_threshold=0))
        self.assertEqual([board.state_of(server) for board in boards], [State.DRAINING] * 3)
        sent = [peers.counts.sent.get("server-draining") for peers in links]
        self.assertEqual([traffic and traffic.messages for traffic in sent], [2, None, None])

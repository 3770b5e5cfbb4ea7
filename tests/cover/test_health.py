"""Which backend servers get new work."""

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


def servers_of(count: int) -> tuple[BackendServer, ...]:
    addresses = [BackendAddress("127.1.1.1", 9100 + number) for number in range(count)]
    return tuple(BackendServer(address, "salt-lake", 3) for address in addresses)


def report_of(*, draining: bool = False, warm: bool = True) -> LoadReport:
    return LoadReport(busy=0, queued=0, slots=3, draining=draining, warm=warm)


class HealthBoardTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = MovableClock()
        self.board = HealthBoard(clock=self.clock)
        self.group = servers_of(4)
        self.first = self.group[0].address

    def observe(
        self, outcome: Outcome, times: int = 1, latency_s: float = 2.0, server: int = 0
    ) -> None:
        for _ in range(times):
            self.board.observe_outcome(self.group[server].address, outcome, latency_s)

    def offered(self, choices: int = 100) -> int:
        """How often the first backend server is among the usable ones."""
        usable = [self.board.usable(self.group) for _ in range(choices)]
        return sum(self.group[0] in each for each in usable)

    def test_all_are_usable_at_first(self) -> None:
        self.assertEqual(self.board.usable(self.group), self.group)
        self.assertEqual(self.board.usable(()), ())

    def test_refused_connections_eject(self) -> None:
        self.observe(Outcome.CONNECT_FAILED, 2)
        self.assertEqual(self.board.state_of(self.first), State.EJECTED)
        self.assertEqual(self.board.usable(self.group), self.group[1:])

    def test_own_answers_count_more_than_failed_probes(self) -> None:
        """Symptom: a working backend server gets no work. Cause: its health endpoint is broken."""
        self.observe(Outcome.ANSWERED, 50)
        self.observe(Outcome.PROBE_FAILED, 100)
        self.assertEqual(self.offered(), 100)

    def test_faults_age(self) -> None:
        """Symptom: ejected over two resets an hour apart. Cause: evidence that does not age."""
        self.observe(Outcome.RESET, 2)
        self.clock.now += 3600
        self.observe(Outcome.RESET, 2)
        self.assertEqual(self.board.state_of(self.first), State.HEALTHY)

    def test_impatient_callers_eject_nobody(self) -> None:
        """A caller allows 5 ms, always times out, and has every backend server ejected."""
        self.observe(Outcome.TIMEOUT, 100, latency_s=0.005)
        self.assertEqual(self.board.state_of(self.first), State.HEALTHY)

    def test_let_back_gradually(self) -> None:
        """A backend server that restarts is given all traffic at once and falls over again.

        It is ejected, its time is over, and at first it gets a small part; a good outcome doubles
        the part, a fault ends the trial, with a longer wait.
        """
        self.observe(Outcome.CONNECT_FAILED, 2)
        self.clock.now += 2.5
        self.assertEqual(self.offered(), 0, "not before it is known to be back")
        self.board.observe_report(self.first, report_of())
        self.assertEqual(self.offered(), 5)
        self.observe(Outcome.ANSWERED)
        self.assertEqual(self.offered(), 10)
        self.observe(Outcome.RESET)
        self.clock.now += 3.9
        self.assertEqual(self.board.state_of(self.first), State.EJECTED)
        self.clock.now += 4.2
        self.observe(Outcome.ANSWERED, 5)
        self.assertEqual(self.board.state_of(self.first), State.HEALTHY)
        self.assertEqual(self.offered(), 100)

    def test_at_most_half_are_ejected(self) -> None:
        """Our own process is paused; most requests time out; the rest would carry all traffic."""
        for server in range(3):
            self.observe(Outcome.CONNECT_FAILED, 2 + server, server=server)
        self.assertEqual(len(self.board.usable(self.group)), 2)

    def test_all_look_dead(self) -> None:
        """Every backend server looks dead: the measurement is broken, so all are used."""
        for server in range(4):
            self.observe(Outcome.TIMEOUT, 5, server=server)
        self.assertEqual(self.board.usable(self.group), self.group)

    def test_draining_gets_no_new_work_at_once(self) -> None:
        self.board.observe_report(self.first, report_of(draining=True))
        self.assertEqual(self.board.usable(self.group), self.group[1:])
        self.clock.now += 20
        self.assertEqual(self.offered(), 0, "reports that stop coming bring nobody back")
        self.clock.now += 11
        self.assertEqual(self.offered(), 100, "a very old report says nothing")

    def test_draining_answer_outweighs_the_report(self) -> None:
        """A report that lags says "not draining" after an answer said "draining"."""
        self.observe(Outcome.DRAINING)
        self.board.observe_report(self.first, report_of(draining=False))
        self.assertEqual(self.offered(), 0)

    def test_all_draining(self) -> None:
        """All report "draining": a lie of the reports costs nothing; answers are believed."""
        for each in self.group:
            self.board.observe_report(each.address, report_of(draining=True))
        self.assertEqual(self.board.usable(self.group), self.group)
        for server in range(4):
            self.observe(Outcome.DRAINING, server=server)
        self.assertEqual(self.board.usable(self.group), ())

    def test_a_very_slow_one_is_ejected_unless_it_is_cold(self) -> None:
        self.group = servers_of(5)
        for server, latency_s in enumerate((3.0, 0.02, 0.02, 2.0, 0.02)):
            self.observe(Outcome.ANSWERED, 30, latency_s=latency_s, server=server)
        self.board.observe_report(self.group[3].address, report_of(warm=False))
        self.assertEqual(self.board.usable(self.group), self.group[1:])

    def test_fault_counts_at_once_when_all_were_healthy_a_moment_ago(self) -> None:
        """What was worked out for one request is not used against newer evidence.

        Symptom: requests go to a backend server for up to a second after it was ejected. Sequence:
        all are healthy; one refuses connections; the next request asks. Cause: the answer "all are
        healthy" was kept for the sake of speed.
        """
        self.assertEqual(self.board.usable(self.group), self.group)
        self.observe(Outcome.CONNECT_FAILED, 2)
        self.assertEqual(self.board.usable(self.group), self.group[1:])
        self.board.observe_report(self.group[1].address, report_of(draining=True))
        self.assertEqual(self.board.usable(self.group), self.group[2:])


class OutcomeTest(unittest.TestCase):
    def test_of_failures(self) -> None:
        shed = BackendFailure(Verdict.NOT_RUN, FailureReason.SHED, shed=True)
        refused = BackendFailure(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED)
        self.assertEqual(outcome_of(shed), Outcome.SHED)
        self.assertEqual(outcome_of(shed._replace(draining=True)), Outcome.DRAINING)
        self.assertEqual(outcome_of(refused), Outcome.CONNECT_FAILED)
        self.assertEqual(outcome_of(refused._replace(reason="odd")), Outcome.UNKNOWN)


class DrainNewsTest(unittest.TestCase):
    """Refusals of one instance are known to all; see ``tests/integration/test_leaving.py``."""

    def test_a_refusal_is_told_once_and_kept_by_those_who_were_told(self) -> None:
        """Symptom: each instance sends a draining backend server one request more, seconds later.

        Cause: only the instance that was refused knew of it. Those who are told must not tell it
        on: with n instances that would be n times n messages for each refusal.
        """
        network, clock = FakeNetwork(), MovableClock()
        places = [PeerAddress(f"127.9.0.{number}", 7000, number) for number in (1, 2, 3)]
        boards = [HealthBoard(clock=clock) for _ in places]
        links = [FakePeers(network=network, address=place) for place in places]
        for place, board, peers in zip(places, boards, links, strict=True):
            others = tuple(other for other in places if other != place)
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
        self.assertEqual([each and each.messages for each in sent], [2, None, None])

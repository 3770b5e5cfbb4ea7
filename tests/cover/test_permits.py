"""Permits, their loans, and what late and crossed messages do to them."""

import unittest
from collections import Counter

from tests.common.fake_clock import FakeClock
from wagtailpoint.config.model import BackendServer
from wagtailpoint.limits.homes import home_permits
from wagtailpoint.limits.lease import Holder
from wagtailpoint.limits.loans import PermitAsk, PermitLoan
from wagtailpoint.limits.permits import Permits
from wagtailpoint.limits.pulse import Pulse
from wagtailpoint.limits.seat import Seat, SeatState
from wagtailpoint.ports.backend import BackendAddress

LEASE_S = 10.0
LOAN_S = 8.0
SERVERS = [BackendServer(BackendAddress("127.0.0.1", port), "inv-a", 3) for port in range(8)]
SEATS = ("inv-a-0", "inv-b-0")


class HomePermitsTest(unittest.TestCase):
    def test_every_slot_has_one_home(self) -> None:
        homes = home_permits(SERVERS, SEATS)
        self.assertEqual(len(homes), 24)
        self.assertEqual(Counter(home.seat for home in homes.values()), dict.fromkeys(SEATS, 12))
        self.assertEqual(homes, home_permits(reversed(SERVERS), SEATS))

    def test_seat_is_spread_over_backend_servers(self) -> None:
        homes = home_permits(SERVERS, tuple("abcdefgh"))
        servers = {permit.server for permit, home in homes.items() if home.seat == "a"}
        self.assertEqual(len(servers), 3)

    def test_one_in_eight_is_in_doubt(self) -> None:
        homes = home_permits(SERVERS, SEATS)
        self.assertEqual(sum(home.in_doubt_part for home in homes.values()), 3)


class PermitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.a = self.make(1, SEATS[0])
        self.b = self.make(2, SEATS[1])

    def make(self, number: int, name: str) -> Permits:
        own = Holder("127.0.0.1", number, number)
        state = SeatState(name, 1, own, None, False, "")
        pulse = Pulse(clock=self.clock, longest_pause_s=1e9)
        seat = Seat(clock=self.clock, pulse=pulse, lease_s=LEASE_S, state=state)
        seat.confirm(state, self.clock.now)
        homes = home_permits(SERVERS, SEATS)
        return Permits(
            pool="desk",
            clock=self.clock,
            homes=lambda: homes,
            seats=lambda: {name: seat},
            usable=lambda address: True,
            loan_s=LOAN_S,
        )

    def lend(
        self, lender: Permits, asker: str, ask: PermitAsk, *, most: int = 0, prolong: int = 0
    ) -> PermitLoan:
        collection = lender.collect(asker, most=most)
        return lender.lend(ask, collection, prolong=prolong, need=1.0)

    def borrow(self, most: int) -> PermitAsk:
        asked_at = self.clock.now
        ask = self.a.ask("b", need=9.0)
        loan = self.lend(self.b, "a", ask, most=most, prolong=len(ask.keep))
        self.a.receive("b", loan, asked_at=asked_at)
        return ask

    def take_all(self, permits: Permits, *, seconds: float, long: bool = False) -> int:
        taken = 0
        while permits.take(SERVERS, deadline=self.clock.now + seconds, long=long):
            taken += 1
        return taken

    def test_loan_moves_permits(self) -> None:
        self.borrow(4)
        self.assertEqual(self.take_all(self.a, seconds=1.0), 16)
        self.assertEqual(self.take_all(self.b, seconds=1.0), 8)

    def test_loan_takes_no_request_that_outlives_it(self) -> None:
        self.borrow(4)
        self.clock.now += 7.0
        self.assertEqual(self.take_all(self.a, seconds=1.0), 12)

    def test_long_requests_run_on_lasting_permits_alone(self) -> None:
        self.borrow(4)
        doubtful = sum(
            home.in_doubt_part and home.seat == SEATS[0]
            for home in home_permits(SERVERS, SEATS).values()
        )
        self.assertEqual(self.take_all(self.a, seconds=1.0, long=True), 12 - doubtful)

    def test_borrower_ends_before_lender_begins(self) -> None:
        self.borrow(4)
        while self.b.held() < 12:
            self.clock.now += 0.1
        self.assertEqual(self.a.held(), 12)

    def test_late_return_does_not_end_a_newer_loan(self) -> None:
        """Symptom: a slot is used by two instances.

        Sequence: a loan is returned, the message is delayed; the loan ends and the same permit is
        lent again; the message arrives. Cause: the lender takes it for the return of the new loan.
        """
        self.borrow(12)
        self.a.give_up_loans_ending(by=self.clock.now + 100)
        late = self.a.ask("b", need=1.0)
        self.clock.now += LOAN_S + 1
        self.renew()
        self.borrow(12)
        held = self.a.held()
        self.lend(self.b, "a", late._replace(keep=()))
        self.assertLessEqual(held + self.b.held(), 24)

    def renew(self) -> None:
        for permits in (self.a, self.b):
            for seat in permits._seats().values():
                seat.confirm(seat.state, self.clock.now)

    def test_crossed_answer_does_not_bring_a_returned_loan_back(self) -> None:
        """Symptom: a slot is used by two instances.

        Sequence: a borrower asks to prolong a loan; before the answer comes the lender asks and is
        given the permit back; then the answer, prolonging the loan, arrives. Cause: the answer was
        true when it was sent.
        """
        self.borrow(4)
        asked_at = self.clock.now
        ask = self.a.ask("b", need=9.0)
        answer = self.lend(self.b, "a", ask, most=0, prolong=4)
        back = self.lend(self.a, "b", self.b.ask("a", need=9.0), most=4)
        self.b.receive("a", back, asked_at=asked_at)
        self.a.receive("b", answer, asked_at=asked_at)
        self.assertEqual(self.a.held() + self.b.held(), 24)

    def test_busy_permits_are_lent_as_they_become_free(self) -> None:
        in_use = []
        while server := self.b.take(SERVERS, deadline=self.clock.now + 1.0):
            in_use.append(server)
        collection = self.b.collect("a", most=2)
        for _ in range(3):
            self.b.give_back(in_use.pop())
        self.assertTrue(collection.is_full)
        self.assertEqual(self.take_all(self.b, seconds=1.0), 1)
        loan = self.b.lend(self.a.ask("b", need=9.0), collection, prolong=0, need=1.0)
        self.assertEqual(len(loan.permits), 2)

    def test_drained_when_nothing_runs_and_nothing_is_lent(self) -> None:
        self.assertTrue(self.b.is_drained(SEATS[1]))
        self.borrow(1)
        self.assertFalse(self.b.is_drained(SEATS[1]))
        self.clock.now += LOAN_S + 1
        self.assertTrue(self.b.is_drained(SEATS[1]))
        server = self.b.take(SERVERS, deadline=self.clock.now)
        self.assertFalse(self.b.is_drained(SEATS[1]))
        assert server is not None
        self.b.give_back(server)
        self.assertTrue(self.b.is_drained(SEATS[1]))


if __name__ == "__main__":
    unittest.main()

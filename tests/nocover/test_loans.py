"""Searches for schedules in which a permit is used by two instances."""

import unittest
from collections import Counter
from random import Random
from typing import NamedTuple

from tests.common.stepped_platform import DriftingClock, World
from wagtailpoint.config.model import BackendServer
from wagtailpoint.limits.homes import Permit, home_permits
from wagtailpoint.limits.lease import Holder
from wagtailpoint.limits.loans import Collection, PermitAsk, PermitLoan
from wagtailpoint.limits.permits import Permits
from wagtailpoint.limits.pulse import Pulse
from wagtailpoint.limits.seat import Seat, SeatState
from wagtailpoint.ports.backend import BackendAddress

SERVERS = [BackendServer(BackendAddress("127.0.0.1", port), "inv-a", 2) for port in range(4)]
SEATS = ("inv-a-0", "inv-b-0", "edi-a-0")
HOMES = home_permits(SERVERS, SEATS)
LOAN_S = 10.0
SCHEDULES = 1800
STEPS = 80


class Exchange(NamedTuple):
    """An ask on its way, then collected for, then its answer on its way."""

    borrower: int
    lender: int
    ask: PermitAsk
    asked_at: float
    collection: Collection | None = None
    loan: PermitLoan | None = None


class Running(NamedTuple):
    instance: int
    server: BackendServer
    deadline: float


class Schedule:
    """Three instances, whose messages are delayed, reordered and lost at random."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.world = World()
        self.clocks = [
            DriftingClock(self.world, rate=self.random.choice([0.97, 1, 1.03]), offset=1e5 * number)
            for number in range(len(SEATS))
        ]
        self.instances = [self.make(number) for number in range(len(SEATS))]
        self.exchanges: list[Exchange] = []
        self.running: list[Running] = []

    def make(self, number: int) -> Permits:
        clock = self.clocks[number]
        state = SeatState(SEATS[number], 1, Holder("", 0, number), None, False, "")
        pulse = Pulse(clock=clock, longest_pause_s=1e12)
        seat = Seat(clock=clock, pulse=pulse, lease_s=1e12, state=state)
        seat.confirm(state, clock.monotonic())
        return Permits(
            pool="desk",
            clock=clock,
            homes=lambda: HOMES,
            seats=lambda: {seat.name: seat},
            usable=lambda address: True,
            loan_s=LOAN_S,
        )

    def step(self) -> None:
        act = self.random.choices(
            [self.ask, self.move_on, self.start, self.return_loans, self.pass_time],
            [4, 9, 3, 1, 3],
        )[0]
        act()
        for each in list(self.running):
            over = self.clocks[each.instance].monotonic() >= each.deadline
            if over or self.random.random() < 0.1:
                self.running.remove(each)
                self.instances[each.instance].give_back(each.server)

    def ask(self) -> None:
        borrower, lender = self.random.sample(range(len(SEATS)), 2)
        asked_at = self.clocks[borrower].monotonic()
        ask = self.instances[borrower].ask(str(lender), need=1.0)
        self.exchanges.append(Exchange(borrower, lender, ask, asked_at))

    def move_on(self) -> None:
        if not self.exchanges:
            return
        each = self.exchanges.pop(self.random.randrange(len(self.exchanges)))
        lender = self.instances[each.lender]
        if each.loan is not None:
            if self.random.random() > 0.15:
                borrower = self.instances[each.borrower]
                borrower.receive(str(each.lender), each.loan, asked_at=each.asked_at)
        elif each.collection is not None:
            prolong = self.random.randint(0, 4)
            loan = lender.lend(each.ask, each.collection, prolong=prolong, need=1.0)
            self.exchanges.append(each._replace(loan=loan))
        elif self.random.random() > 0.15:
            collection = lender.collect(str(each.borrower), most=self.random.randint(0, 4))
            self.exchanges.append(each._replace(collection=collection))

    def start(self) -> None:
        number = self.random.randrange(len(SEATS))
        deadline = self.clocks[number].monotonic() + self.random.choice([0.5, 3.0])
        server = self.instances[number].take(SERVERS, deadline=deadline)
        if server is not None:
            self.running.append(Running(number, server, deadline))

    def return_loans(self) -> None:
        number = self.random.randrange(len(SEATS))
        by = self.clocks[number].monotonic() + self.random.choice([1.0, 20.0])
        self.instances[number].give_up_loans_ending(by=by)

    def pass_time(self) -> None:
        self.world.now += self.random.choice([0.1, 1.0, 3.0, 6.0, 9.0, 11.0])

    def used_twice(self) -> list[Permit]:
        uses: Counter[Permit] = Counter()
        for clock, permits in zip(self.clocks, self.instances, strict=True):
            uses.update(permits.free(until=clock.monotonic()))
            uses.update(permits.in_use)
        return [permit for permit, times in uses.items() if times > 1]


class LoansTest(unittest.TestCase):
    def test_no_permit_is_used_twice(self) -> None:
        """Symptom: a backend server gets more than its slots.

        Sequence: any order of asks, answers, returns, losses and delays, while loans end. Cause: a
        message that was true when it was sent is taken for the present.
        """
        for seed in range(SCHEDULES):
            schedule = Schedule(seed)
            for step in range(STEPS):
                schedule.step()
                self.assertEqual(schedule.used_twice(), [], (seed, step))


if __name__ == "__main__":
    unittest.main()

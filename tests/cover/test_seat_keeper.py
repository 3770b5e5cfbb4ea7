"""Seats taken, asked for, lost and given up."""

import unittest

from tests.common.stepped_platform import SteppedCheck, SteppedProcess, World
from wagtailpoint.limits.keeper import KeeperPlace, SeatKeeper
from wagtailpoint.limits.lease import Holder
from wagtailpoint.limits.seat import DOUBT_PART, REST_PART, SEAT_KIND

LEASE_S = 10.0
LOAN_S = 4.0
STEP_S = LEASE_S / 4
NAMES = ("inv-a-0", "inv-a-1", "inv-b-0", "inv-b-1")


class SeatKeeperTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World()
        self.processes: list[SteppedProcess] = []
        self.keepers: list[SeatKeeper] = []

    def start(self, failure_domain: str) -> int:
        number = len(self.processes)
        holder = Holder(f"127.0.0.{number}", 1, number + 1)
        process = SteppedProcess(self.world, holder, rate=1.0, offset=0.0)
        self.processes.append(process)
        self.keepers.append(
            SeatKeeper(
                platform=process.platform,
                clock=process.clock,
                check=SteppedCheck(self.world, self.processes, margin_s=20.0),
                place=KeeperPlace(holder, failure_domain),
                names=lambda: NAMES,
                lease_s=LEASE_S,
                loan_s=LOAN_S,
                drained=lambda name: process.drained,
            )
        )
        return number

    def work(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            for process, keeper in zip(self.processes, self.keepers, strict=True):
                process.begin(keeper.step)
                process.finish()
            for _ in range(int(STEP_S / 0.5)):
                self.world.now += 0.5
                for process, keeper in zip(self.processes, self.keepers, strict=True):
                    if process.awake:
                        keeper.beat()

    def share(self, which: int) -> float:
        return self.keepers[which].spendable_share()

    def test_lone_instance_takes_all_seats(self) -> None:
        self.start("inv-a")
        self.work(STEP_S)
        self.assertEqual(self.share(0), 1 / 4)
        self.work(LEASE_S + STEP_S)
        self.assertEqual(self.share(0), 1.0)

    def test_wish_that_cannot_be_met_is_cleared(self) -> None:
        """Symptom: an instance never gets a seat though another has two.

        Sequence: a seat is marked as wanted, and before its holder sees that, it has no other.
        Cause: the mark stays, and whoever sees one waits instead of marking another seat.
        """
        for _ in range(4):
            self.start("inv-a")
        self.work(60)
        stored = self.world.store.list(SEAT_KIND)[0]
        value = {**stored.value, "wanted": True}
        self.world.store.put(SEAT_KIND, stored.name, value, stored.version)
        self.work(2 * STEP_S)
        marks = [stored.value["wanted"] for stored in self.world.store.list(SEAT_KIND)]
        self.assertEqual(marks, [False] * 4)
        self.assertEqual([len(keeper.seats) for keeper in self.keepers], [1] * 4)

    def test_newcomer_is_given_a_seat(self) -> None:
        self.start("inv-a")
        self.work(30)
        self.start("inv-b")
        self.work(15)
        self.assertGreaterEqual(self.share(1), 1 / 4)
        self.assertEqual(self.share(0) + self.share(1), 1.0)

    def test_outage_of_the_platform_costs_the_doubt_part(self) -> None:
        self.start("inv-a")
        self.work(30)
        self.world.down = True
        self.work(60)
        self.assertEqual(self.share(0), REST_PART)
        self.world.down = False
        self.work(2.5)
        self.assertEqual(self.share(0), 1.0)

    def test_successor_of_a_frozen_holder(self) -> None:
        """Symptom: a frozen instance's seats stay idle, or are spent twice when it wakes.

        Sequence: the holder freezes past its lease, the other takes over, the holder wakes.
        """
        self.start("inv-a")
        self.work(30)
        self.start("inv-b")
        self.work(60)
        held = len(self.keepers[0].seats)
        self.processes[0].frozen_since = self.world.now
        self.work(15)
        in_doubt = [seat for seat in self.keepers[1].seats.values() if seat.in_doubt]
        self.assertEqual({seat.spendable_fraction() for seat in in_doubt}, {DOUBT_PART})
        self.processes[0].frozen_since = None
        self.assertEqual(self.share(0), 0.0)
        self.work(5)
        self.assertFalse(any(seat.in_doubt for seat in self.keepers[1].seats.values()))
        self.assertEqual(len(self.keepers[0].seats), held - len(in_doubt))
        self.work(30)
        self.assertGreaterEqual(self.share(0), 1 / 4)
        self.assertEqual(self.share(0) + self.share(1), 1.0)

    def test_stop_gives_seats_back_once_they_are_drained(self) -> None:
        self.start("inv-a")
        self.work(30)
        self.processes[0].drained = False
        self.keepers[0].give_up_all()
        self.assertEqual(self.share(0), 0.0)
        self.work(5)
        held = [stored.value["holder"] for stored in self.world.store.list(SEAT_KIND)]
        self.assertTrue(all(held))
        self.processes[0].drained = True
        self.work(2.5)
        held = [stored.value["holder"] for stored in self.world.store.list(SEAT_KIND)]
        self.assertFalse(any(held))
        self.assertFalse(self.keepers[0].seats)


if __name__ == "__main__":
    unittest.main()

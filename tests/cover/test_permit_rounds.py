"""Rounds of permits between two instances over links in memory."""

import unittest
from random import Random

import trio
import trio.testing

from tests.common.fake_clock import TrioClock
from tests.common.fake_peers import FakeNetwork, FakePeers
from wagtailpoint.config.model import BackendServer
from wagtailpoint.limits.homes import home_permits
from wagtailpoint.limits.lease import Holder
from wagtailpoint.limits.permits import Permits
from wagtailpoint.limits.pulse import Pulse
from wagtailpoint.limits.rounds import PermitRounds, PoolRounds, Rounds, RoundSettings
from wagtailpoint.limits.seat import Seat, SeatState
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.peers import PeerAddress

SERVERS = [BackendServer(BackendAddress("127.0.0.1", port), "inv-a", 3) for port in range(8)]
SEATS = ("inv-a-0", "inv-b-0")
LOAN_S = 20.0
PERIOD_S = 0.1


class Instance:
    def __init__(self, network: FakeNetwork, number: int) -> None:
        self.clock = TrioClock()
        address = PeerAddress(f"127.0.0.{number}", 1, number)
        self.peers = FakePeers(network=network, address=address)
        name = SEATS[number - 1]
        state = SeatState(name, 1, Holder("", 0, number), None, False, "")
        pulse = Pulse(clock=self.clock, longest_pause_s=1e9)
        seat = Seat(clock=self.clock, pulse=pulse, lease_s=1e6, state=state)
        seat.confirm(state, self.clock.monotonic())
        homes = home_permits(SERVERS, SEATS)
        self.permits = Permits(
            pool="desk",
            clock=self.clock,
            homes=lambda: homes,
            seats=lambda: {name: seat},
            usable=lambda address: True,
            loan_s=LOAN_S,
        )
        rounds = Rounds(
            permits=self.permits,
            clock=self.clock,
            random=Random(number),
            loan_s=LOAN_S,
            settings=RoundSettings(period_s=PERIOD_S),
        )
        self.queued = 0
        self.arrived = 0
        self.changed = trio.Event()
        pool = PoolRounds(rounds, lambda: self.queued, lambda: self.arrived, self.change)
        self.others: list[PeerAddress] = []
        self.rounds = PermitRounds(
            pools=lambda: {"desk": pool},
            peers=self.peers,
            period_s=PERIOD_S,
            others=lambda: self.others,
        )

    def change(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def load(self) -> None:
        """Requests of 20 ms, more than this instance's own permits can serve."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(0.001)
                self.arrived += 1
                nursery.start_soon(self.serve)

    async def serve(self) -> None:
        server = self.permits.take(SERVERS, deadline=self.clock.monotonic() + 1.0)
        if server is None:
            self.queued = min(self.queued + 1, 20)
            return
        await trio.sleep(0.02)
        self.permits.give_back(server)


class PermitRoundsTest(unittest.TestCase):
    def test_permits_go_where_the_load_is(self) -> None:
        async def main() -> None:
            network = FakeNetwork()
            busy, idle = Instance(network, 1), Instance(network, 2)
            busy.others, idle.others = [idle.peers.address], [busy.peers.address]
            async with trio.open_nursery() as nursery:
                for instance in (busy, idle):
                    nursery.start_soon(instance.peers.run)
                    nursery.start_soon(instance.rounds.run)
                nursery.start_soon(busy.load)
                with trio.fail_after(30):
                    while not busy.permits.borrowed:
                        await busy.changed.wait()
                self.assertLessEqual(busy.permits.held() + idle.permits.held(), 24)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()

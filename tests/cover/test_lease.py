"""Tests of leases that make one process the only writer."""

import unittest

from tests.common.stepped_platform import SteppedProcess, World
from wagtailpoint.limits.lease import Holder, Lease

LEASE_S = 10.0


class LeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = World()
        self.processes = [
            SteppedProcess(self.world, Holder("127.0.0.1", port, port), rate=1.0, offset=0.0)
            for port in (1, 2)
        ]
        self.leases = [
            Lease(
                platform=process.platform,
                clock=process.clock,
                name="move",
                own=process.holder,
                lease_s=LEASE_S,
            )
            for process in self.processes
        ]

    def step(self, which: int) -> bool:
        self.processes[which].begin(self.leases[which].step)
        self.processes[which].finish()
        return self.leases[which].held()

    def test_successor_waits_a_whole_lease(self) -> None:
        self.assertTrue(self.step(0))
        fence = self.leases[0].fence
        self.assertFalse(self.step(1))
        self.world.now += LEASE_S - 0.1
        self.assertFalse(self.leases[0].held())
        self.assertFalse(self.step(1))
        self.world.now += 0.2
        self.assertTrue(self.step(1))
        self.assertGreater(self.leases[1].fence, fence)

    def test_process_restarted_at_the_address_of_the_holder_takes_the_lease(self) -> None:
        """Guards against a lease that stays vacant for its whole duration after a restart."""
        self.assertTrue(self.step(0))
        fence = self.leases[0].fence
        holder = self.processes[0].holder
        self.processes[1] = SteppedProcess(
            self.world, holder._replace(incarnation=99), rate=1.0, offset=0.0
        )
        self.leases[1] = Lease(
            platform=self.processes[1].platform,
            clock=self.processes[1].clock,
            name="move",
            own=self.processes[1].holder,
            lease_s=LEASE_S,
        )
        self.assertTrue(self.step(1))
        self.assertGreater(self.leases[1].fence, fence)

    def test_delayed_release_does_not_free_a_held_lease(self) -> None:
        """Guards against two processes that write under one lease.

        A holder releases the lease, but its write is delayed. When it wants the lease again, it
        reads that it still holds it. Then the delayed write takes effect, and another process takes
        the vacant lease. So the holder must not adopt a lease while its release is in transit.
        """
        self.step(0)
        holder = self.processes[0]
        holder.begin(self.leases[0].release)
        late = holder.waiting
        assert late is not None
        holder.receive(lost=True)
        holder.finish()
        holder.begin(self.leases[0].step)
        assert holder.waiting is not None
        holder.waiting.deliver(self.world)
        holder.receive()
        late.deliver(self.world)
        self.assertTrue(self.step(1))
        self.assertFalse(self.leases[0].held())


if __name__ == "__main__":
    unittest.main()

"""Evidence that a former holder is gone."""

import unittest

import trio
import trio.testing

from tests.common.fake_clock import FakeClock
from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform
from wagtailpoint.limits.evidence import Evidence
from wagtailpoint.limits.holder_check import AddressCheck, ListCheck
from wagtailpoint.limits.lease import Holder
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ListedInstance

HOLDER = Holder("127.0.0.2", 1, 20)


class AddressCheckTest(unittest.TestCase):
    def ask(self, listening: int | None) -> Evidence | None:
        async def main() -> Evidence | None:
            network = FakeNetwork()
            own = FakePeers(network=network, address=PeerAddress("127.0.0.1", 1, 10))
            check = AddressCheck(peers=own, timeout_s=1.0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(own.run)
                if listening is not None:
                    address = PeerAddress(HOLDER.address, HOLDER.port, listening)
                    other = FakePeers(network=network, address=address)
                    AddressCheck(peers=other, timeout_s=1.0)
                    nursery.start_soon(other.run)
                await trio.testing.wait_all_tasks_blocked()
                found = await check.evidence(HOLDER)
                nursery.cancel_scope.cancel()
            return found

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_another_process_at_the_address(self) -> None:
        self.assertEqual(self.ask(21), Evidence.OTHER_INCARNATION)

    def test_the_holder_itself(self) -> None:
        self.assertIsNone(self.ask(HOLDER.incarnation))

    def test_silence_proves_nothing(self) -> None:
        self.assertIsNone(self.ask(None))


class ListCheckTest(unittest.TestCase):
    def test_missing_for_the_whole_margin(self) -> None:
        """Symptom: a seat is spent twice after the list missed an instance for a moment.

        Sequence: the list lacks a live holder at two readings, with one between that has it.
        Cause: absence at two moments is no absence in between.
        """
        platform, clock = FakePlatform(), FakeClock()
        check = ListCheck(platform=platform, clock=clock, margin_s=30.0)

        def look(*, listed: bool = False, after_s: float = 5.0) -> Evidence | None:
            clock.now += after_s
            platform.listed = [ListedInstance(HOLDER.address, "inv-a", "live")] if listed else []
            return trio.run(check.evidence, HOLDER)

        self.assertEqual([look() for _ in range(6)], [None] * 6)
        self.assertIsNone(look(listed=True))
        self.assertEqual([look() for _ in range(6)], [None] * 6)
        self.assertEqual(look(), Evidence.DROPPED)
        self.assertIsNone(look(after_s=15.0))


if __name__ == "__main__":
    unittest.main()

"""Which backend servers take new work, and which are cold."""

import unittest

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import REGION_OF, make_server, make_table
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.fleet import Fleet


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)

    def run_with(self, test) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    def ids(self) -> list[str]:
        return [each.entry.server_id for each in self.fleet.candidates("desk")]

    def test_draining_and_gone_ones_take_nothing(self) -> None:
        async def test() -> None:
            self.fleet.update([make_server("i-1"), make_server("i-2"), make_server("i-3")])
            gone = self.fleet.update([make_server("i-1"), make_server("i-2", draining=True)])
            self.assertEqual((self.ids(), gone), (["i-1"], [ServerStart("i-3", 0)]))
            self.assertFalse(self.fleet.takes_work(make_server("i-2")))

        self.run_with(test)

    def test_evacuated_domain_takes_nothing_and_is_cold_afterwards(self) -> None:
        async def test() -> None:
            services = make_table().services
            self.fleet.update([make_server("i-1"), make_server("i-2", failure_domain="a-2")])
            self.fleet.evacuate(frozenset(["a-2"]), services)
            self.assertEqual(self.ids(), ["i-1"])
            self.fleet.evacuate(frozenset(), services)
            self.assertEqual(self.ids(), ["i-1", "i-2"])
            self.assertTrue(self.fleet.is_cold(ServerStart("i-2", 0)))
            await trio.sleep(3.1)
            self.assertFalse(self.fleet.is_cold(ServerStart("i-2", 0)))

        self.run_with(test)

    def test_cold_time_counts_from_when_it_was_told(self) -> None:
        async def test() -> None:
            self.fleet.update([make_server("i-1", cold_left_s=2.0)])
            await trio.sleep(1.5)
            self.fleet.update([make_server("i-1", cold_left_s=2.0, slots=4)])
            await trio.sleep(1.0)
            self.assertFalse(self.fleet.is_cold(ServerStart("i-1", 0)))

        self.run_with(test)

    def test_server_that_starts_again_under_its_id_is_another_one(self) -> None:
        """Symptom: requests are sent on connections of a process that is gone.

        Sequence: a backend server crashes and starts again under the id that it had. Cause: by its
        id alone it is the same one, with its connections, its cold time over and its cache full.
        """

        async def test() -> None:
            before = make_server("i-1", started_ms=1000)
            after = make_server("i-1", started_ms=2000, cold_left_s=2.0)
            self.fleet.update([before])
            self.assertEqual(self.fleet.update([after]), [before.start])
            self.assertFalse(self.fleet.takes_work(before))
            self.assertTrue(self.fleet.takes_work(after))
            self.assertTrue(self.fleet.is_cold(after.start))

        self.run_with(test)

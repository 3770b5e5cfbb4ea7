"""Requests that crash backend servers: which are the same, which are shut out."""

import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform
from tests.common.steering_parts import CrashReportRecorder
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.kind_state import KindState, state_from_listing
from wagtailpoint.fingerprint import fingerprint
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.quarantine.crash_broadcaster import CrashBroadcaster
from wagtailpoint.quarantine.quarantine import (
    MOST_SUSPECTS,
    Admission,
    CrashReport,
    Quarantine,
)
from wagtailpoint.quarantine.stored import KIND, LIFETIME_S, StoredQuarantine, decode_report

ASKED: dict[str, Any] = {"method": "GET", "host": "h", "target": "/r/7/1", "body": b""}


class FingerprintTest(unittest.TestCase):
    def test_repeat_of_a_caller_has_the_same(self) -> None:
        self.assertEqual(fingerprint(**ASKED), fingerprint(**{**ASKED, "host": "H"}))

    def test_whatever_a_backend_server_sees_makes_another(self) -> None:
        others: list[dict[str, Any]] = [
            {"method": "POST"},
            {"host": "g"},
            {"target": "/r/7/2"},
            {"body": b"x"},
            {"credentials": b"someone"},
        ]
        found = {fingerprint(**{**ASKED, **other}) for other in others} | {fingerprint(**ASKED)}
        self.assertEqual(len(found), len(others) + 1)

    def test_parts_can_not_be_moved_from_one_to_the_next(self) -> None:
        moved = fingerprint(**{**ASKED, "host": "h/r", "target": "/7/1"})
        self.assertNotEqual(moved, fingerprint(**ASKED))


NAME = "0123456789abcdef0123"


def report(*servers: int, name: str = NAME) -> CrashReport:
    """What is told of a request that crashed these backend servers."""
    starts = tuple(ServerStart(f"i-{number}", 0) for number in servers)
    return CrashReport(name, "GET", "h", "/r/7/1", starts)


class Taught:
    """A quarantine, and what it tells."""

    def __init__(self) -> None:
        self.told = CrashReportRecorder()
        self.quarantine = Quarantine(others=self.told)

    def crash(self, *servers: int, name: str = NAME) -> None:
        """Let a request meet the crashes of numbered backend servers."""
        for number in servers:
            self.quarantine.record_crash(report(number, name=name))


class QuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_with(self, test: Callable[[Taught], None], *, after_s: float = 0.0) -> None:
        async def run() -> None:
            await trio.sleep(after_s)
            test(Taught())

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_third_crash_shuts_it_out(self) -> None:
        """Guards against a request that ends one backend server after the other."""

        def test(taught: Taught) -> None:
            taught.crash(1, 2)
            self.assertIs(taught.quarantine.admission(NAME), Admission.ADMITTED)
            taught.crash(3)
            self.assertIs(taught.quarantine.admission(NAME), Admission.QUARANTINED)
            self.assertIs(taught.quarantine.admission("b"), Admission.ADMITTED)

        self.run_with(test)

    def test_one_crash_counts_once(self) -> None:
        """Guards against one crash that is counted by each send that it cut."""

        def test(taught: Taught) -> None:
            taught.crash(1, 1, 1)
            taught.quarantine.learn(report(1))
            self.assertEqual(taught.quarantine.crashes(NAME), 1)

        self.run_with(test)

    def test_answer_clears_a_suspect(self) -> None:
        """Guards against shutting out whoever was cut by the crashes of others."""

        def test(taught: Taught) -> None:
            for number in range(9):
                taught.crash(number)
                taught.quarantine.record_finished(NAME, answered=number % 2 == 1)
            self.assertIs(taught.quarantine.admission(NAME), Admission.ADMITTED)
            self.assertEqual(taught.told.cleared, [NAME] * 4)

        self.run_with(test)

    def test_repeat_that_was_answered_is_told_to_nobody(self) -> None:
        """Guards against messages to all for every request that a crash has cut."""

        def test(taught: Taught) -> None:
            taught.crash(1)
            taught.quarantine.record_finished(NAME, answered=True)
            self.assertEqual((taught.told.reports, taught.told.cleared), ([], []))

        self.run_with(test)

    def test_others_are_told_of_what_was_not_answered(self) -> None:
        def test(taught: Taught) -> None:
            taught.crash(1)
            taught.quarantine.record_finished(NAME, answered=False)
            taught.crash(2)
            told = [[start.server_id for start in each.starts] for each in taught.told.reports]
            self.assertEqual(told, [["i-1"], ["i-1", "i-2"]])

        self.run_with(test)

    def test_crashes_at_several_instances_add_up(self) -> None:
        """Guards against instances that each let a request crash as many as one may."""

        def test(taught: Taught) -> None:
            taught.crash(1)
            self.assertEqual(taught.quarantine.learn(report(2, 3)), report(1, 2, 3))
            self.assertIs(taught.quarantine.admission(NAME), Admission.QUARANTINED)
            self.assertIsNone(taught.quarantine.learn(report(1, 2, 3)))

        self.run_with(test)

    def test_suspects_under_way_count_as_crashes(self) -> None:
        """Guards against a caller's parallel repeats that crash many before any is known."""

        def test(taught: Taught) -> None:
            taught.crash(1)
            taught.quarantine.record_started(NAME)
            self.assertIs(taught.quarantine.admission(NAME), Admission.ADMITTED)
            taught.quarantine.record_started(NAME)
            self.assertIs(taught.quarantine.admission(NAME), Admission.SUSPECT)
            taught.quarantine.record_ended(NAME)
            self.assertIs(taught.quarantine.admission(NAME), Admission.ADMITTED)

        self.run_with(test)

    def test_instance_repeats_it_once_by_itself(self) -> None:
        def test(taught: Taught) -> None:
            taught.crash(1)
            self.assertTrue(taught.quarantine.allows_retry(NAME))
            taught.crash(2)
            self.assertFalse(taught.quarantine.allows_retry(NAME))

        self.run_with(test)

    def test_removal_from_the_store_lifts_it(self) -> None:
        def test(taught: Taught) -> None:
            taught.crash(1, 2, 3)
            taught.quarantine.take_stored({NAME: report(1, 2, 3)}, lifted=[])
            self.assertEqual(taught.quarantine.unstored, [])
            self.assertIs(taught.quarantine.admission(NAME), Admission.QUARANTINED)
            taught.quarantine.take_stored({}, lifted=[])
            self.assertIs(taught.quarantine.admission(NAME), Admission.ADMITTED)

        self.run_with(test)

    def test_memory_is_bounded(self) -> None:
        def test(taught: Taught) -> None:
            for number in range(2 * MOST_SUSPECTS):
                taught.crash(1, name=str(number))
            taught.crash(*range(100), name="last")
            self.assertLessEqual(taught.quarantine.suspects, MOST_SUSPECTS)
            (found,) = taught.quarantine.unstored
            self.assertLess(len(found.starts), 100)

        self.run_with(test)


class StoredQuarantineTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_with(
        self, test: Callable[[FakePlatform, Taught, StoredQuarantine], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            taught, platform = Taught(), FakePlatform()
            stored = StoredQuarantine(
                platform=platform,
                quarantine=taught.quarantine,
                has_duty=lambda: True,
                random=Random(1),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stored.run)
                await test(platform, taught, stored)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_what_is_found_is_written_until_the_store_has_it(self) -> None:
        """Guards against a finding that the processes which know it take with them."""

        async def test(platform: FakePlatform, taught: Taught, stored: StoredQuarantine) -> None:
            platform.down = True
            taught.crash(1, 2, 3)
            await trio.sleep(10.0)
            platform.down = False
            await trio.sleep(5.0)
            (listed,) = (await platform.list(kind=KIND)).unwrap().objects
            self.assertEqual(decode_report(listed), report(1, 2, 3))
            stored.apply_listing(await state(platform))
            self.assertEqual(taught.quarantine.unstored, [])

        self.run_with(test)

    def test_listing_older_than_the_write_lifts_nothing(self) -> None:
        """Guards against a late listing that forgets what was just written."""

        async def test(platform: FakePlatform, taught: Taught, stored: StoredQuarantine) -> None:
            before = await state(platform)
            taught.crash(1, 2, 3)
            await trio.sleep(5.0)
            stored.apply_listing(before)
            self.assertIs(taught.quarantine.admission(NAME), Admission.QUARANTINED)

        self.run_with(test)

    def test_what_an_operator_removes_before_it_was_seen_is_lifted(self) -> None:
        async def test(platform: FakePlatform, taught: Taught, stored: StoredQuarantine) -> None:
            taught.crash(1, 2, 3)
            await trio.sleep(5.0)
            (listed,) = (await platform.list(kind=KIND)).unwrap().objects
            await platform.delete(kind=KIND, name=NAME, if_version=listed.version)
            stored.apply_listing(await state(platform))
            self.assertIs(taught.quarantine.admission(NAME), Admission.ADMITTED)

        self.run_with(test)

    def test_old_ones_are_removed(self) -> None:
        async def test(platform: FakePlatform, taught: Taught, stored: StoredQuarantine) -> None:
            taught.crash(1, 2, 3)
            await trio.sleep(5.0)
            stored.apply_listing(await state(platform))
            await trio.sleep(LIFETIME_S - 60.0)
            self.assertEqual(len((await state(platform)).objects), 1)
            await trio.sleep(120.0)
            self.assertEqual(len((await state(platform)).objects), 0)

        self.run_with(test)

    def test_object_that_can_not_be_read_shuts_nothing_out(self) -> None:
        wrong = StoredObject(KIND, "a", 3, {"method": 1})
        self.assertIsNone(decode_report(wrong))


async def state(platform: FakePlatform) -> KindState:
    return state_from_listing((await platform.list(kind=KIND)).unwrap())


class QuarantineNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_with(self, test: Callable[[list[Quarantine], FakeNetwork], Awaitable[None]]) -> None:
        """Run three instances that know each other."""

        async def run() -> None:
            network = FakeNetwork()
            places = [PeerAddress(f"127.0.0.{number}", 1, number) for number in (1, 2, 3)]
            quarantines = []
            async with trio.open_nursery() as nursery:
                for place in places:
                    peers = FakePeers(network=network, address=place)
                    others = tuple(each for each in places if each != place)
                    news = CrashBroadcaster(peers=peers, others=partial(tuple, others))
                    quarantines.append(Quarantine(others=news))
                    news.listen(quarantines[-1])
                    nursery.start_soon(peers.run)
                await trio.sleep(1.0)
                await test(quarantines, network)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_crash_at_one_shuts_it_out_at_all(self) -> None:
        """Guards against a request that goes on at the next instance."""

        async def test(quarantines: list[Quarantine], network: FakeNetwork) -> None:
            for number, each in enumerate(quarantines):
                each.record_crash(report(number))
                each.record_finished(NAME, answered=False)
                await trio.sleep(0.1)
            found = {each.admission(NAME) for each in quarantines}
            self.assertEqual(found, {Admission.QUARANTINED})

        self.run_with(test)

    def test_instance_that_was_cut_off_learns_at_its_next_report(self) -> None:
        """Guards against an instance that begins to count anew."""

        async def test(quarantines: list[Quarantine], network: FakeNetwork) -> None:
            network.cut_apart(["127.0.0.1"], ["127.0.0.2", "127.0.0.3"])
            for number in range(3):
                quarantines[1].record_crash(report(number))
            await trio.sleep(0.1)
            network.heal()
            quarantines[0].record_crash(report(7))
            quarantines[0].record_finished(NAME, answered=False)
            await trio.sleep(0.1)
            self.assertIs(quarantines[0].admission(NAME), Admission.QUARANTINED)

        self.run_with(test)

    def test_answer_at_one_clears_it_at_all(self) -> None:
        async def test(quarantines: list[Quarantine], network: FakeNetwork) -> None:
            for number in range(2):
                quarantines[0].record_crash(report(number))
            await trio.sleep(0.1)
            quarantines[2].record_finished(NAME, answered=True)
            await trio.sleep(0.1)
            self.assertEqual([each.crashes(NAME) for each in quarantines], [0, 0, 0])

        self.run_with(test)

    def test_messages_are_bounded(self) -> None:
        """Guards against the end of hundreds of backend servers that fills all links."""

        async def test(quarantines: list[Quarantine], network: FakeNetwork) -> None:
            before = network.delivered_bytes
            for number in range(5000):
                quarantines[0].record_crash(report(1, name=f"{number:020x}"))
                quarantines[0].record_finished(f"{number:020x}", answered=False)
            await trio.sleep(1.0)
            self.assertLess(network.delivered_bytes - before, 50_000)

        self.run_with(test)

    def test_report_that_names_nothing_is_dropped(self) -> None:
        async def test(quarantines: list[Quarantine], network: FakeNetwork) -> None:
            quarantines[0].record_crash(report(1, name="../config/main"))
            quarantines[0].record_finished("../config/main", answered=False)
            await trio.sleep(0.1)
            self.assertEqual(quarantines[1].suspects, 0)

        self.run_with(test)

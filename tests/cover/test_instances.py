"""The count of instances, and the removal of lost instances' registrations."""

import random
import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_platform import FakePlatform
from tests.common.object_store import ObjectStore
from wagtailpoint.discovery.instance_count import (
    CONVERGENCE_DELAY_S,
    PEAK_RETENTION_S,
    InstanceCount,
)
from wagtailpoint.discovery.lost_registrations import DEAD_RETENTION_S, LostRegistrationCleaner
from wagtailpoint.discovery.registration import INSTANCES_KIND, MAX_REWRITE_DELAY_S, Registration
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.membership.member import Member, MemberState
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.platform import ABSENT
from wagtailpoint.revision import Revision

WITHDRAWAL_S = 0.5
"""The time that a stop gives the withdrawal."""

ADDRESSES = ("127.9.0.1", "127.9.0.2", "127.9.0.3")


def run(test: Callable[[], Awaitable[None]]) -> None:
    trio.run(test, clock=MockClock(autojump_threshold=0))


class InstanceCountTest(unittest.TestCase):
    def test_registered_instances_count_until_membership_knows_the_others(self) -> None:
        """Guards against an instance that hardly ever retries a request.

        Hundreds of instances are replaced, and their registrations stay in the store. If all that
        are registered at the start count for ever, the share of the retry budget is too small.
        """
        alive = 1

        async def test() -> None:
            nonlocal alive
            count = InstanceCount(alive=lambda: alive, registered=lambda: 500)
            self.assertEqual(count.value, 500)
            alive = 9
            self.assertEqual(count.value, 500)
            await trio.sleep(CONVERGENCE_DELAY_S)
            self.assertEqual(count.value, 9)

        run(test)

    def test_cut_off_instance_keeps_its_share(self) -> None:
        """Guards against more retries than all instances together may make.

        A link between regions fails. If each side counts only its own instances, it spends the
        shares of the other side, which spends them, too.
        """
        alive = 9

        async def test() -> None:
            nonlocal alive
            count = InstanceCount(alive=lambda: alive, registered=lambda: 9)
            self.assertEqual(count.value, 9)
            await trio.sleep(60.0)
            alive = 3
            self.assertEqual(count.value, 9)
            await trio.sleep(PEAK_RETENTION_S + 1)
            self.assertEqual(count.value, 3)

        run(test)


class FixedMembers:
    """Members whose states the test sets, as seen by the instance ``viewer``."""

    def __init__(self) -> None:
        self.states: dict[str, MemberState] = dict.fromkeys(ADDRESSES, "live")
        self.viewer = ADDRESSES[0]

    @property
    def own(self) -> Member:
        return next(member for member in self.members() if member.address == self.viewer)

    def members(self) -> tuple[Member, ...]:
        return tuple(
            Member(address, 80, 7000, "a", "a-1", 1, 1, state, False, 1, 0.0)
            for address, state in self.states.items()
        )


class LostRegistrationCleanerTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.platform = FakePlatform()
        self.era = StoreEra(metrics=Metrics())
        self.views = [FixedMembers() for _ in ADDRESSES]
        for view, address in zip(self.views, ADDRESSES, strict=True):
            view.viewer = address

    def set_state(self, address: str, state: MemberState) -> None:
        for view in self.views:
            view.states[address] = state

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        async def body() -> None:
            for number, address in enumerate(ADDRESSES):
                await self.register(f"entry-{number}", address)
            async with trio.open_nursery() as nursery:
                for view in self.views:
                    cleaner = LostRegistrationCleaner(
                        platform=self.platform,
                        membership=view,  # type: ignore[arg-type]
                        era=self.era,
                        random=random.Random(1),
                    )
                    nursery.start_soon(cleaner.run)
                await test()
                nursery.cancel_scope.cancel()

        run(body)

    async def register(self, name: str, address: str, version: Revision = ABSENT) -> Revision:
        value = {"address": address, "peer_port": 7000}
        written = await self.platform.put(
            kind=INSTANCES_KIND, name=name, value=value, if_version=version
        )
        return written.unwrap().version

    async def names(self) -> set[str]:
        return {
            stored.name
            for stored in (await self.platform.list(kind=INSTANCES_KIND)).unwrap().objects
        }

    def test_one_live_instance_removes_a_lost_registration(self) -> None:
        async def test() -> None:
            self.set_state(ADDRESSES[2], "dead")
            await trio.sleep(DEAD_RETENTION_S - 5)
            self.assertEqual(len(await self.names()), 3)
            await trio.sleep(60.0)
            self.assertEqual(await self.names(), {"entry-0", "entry-1"})
            self.assertEqual(self.platform.counts["DELETE", INSTANCES_KIND], 1)

        self.run_with(test)

    def test_registration_of_a_returned_instance_stays(self) -> None:
        async def test() -> None:
            self.set_state(ADDRESSES[2], "dead")
            await trio.sleep(DEAD_RETENTION_S / 2)
            self.set_state(ADDRESSES[2], "live")
            await trio.sleep(2 * DEAD_RETENTION_S)
            self.assertEqual(len(await self.names()), 3)

        self.run_with(test)


class RegistrationTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.platform = FakePlatform()
        self.era = StoreEra(metrics=Metrics())

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        async def body() -> None:
            self.registration = Registration(
                platform=self.platform,
                era=self.era,
                name="entry-1",
                peers=Endpoint("10.0.0.1", 7000),
                random=random.Random(1),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.registration.run, lambda: False)
                await trio.sleep(1.0)
                await test()
                nursery.cancel_scope.cancel()

        run(body)

    async def names(self) -> list[str]:
        listing = (await self.platform.list(kind=INSTANCES_KIND)).unwrap()
        return [stored.name for stored in listing.objects]

    async def return_to(self, copy: ObjectStore) -> None:
        self.platform.store.return_to(copy)
        self.era.record(self.platform.store.version.era, source="store")
        await trio.sleep(MAX_REWRITE_DELAY_S + 1.0)

    def test_registration_that_the_store_lost_is_written_again(self) -> None:
        """Guards against instances that those which start after a return do not find."""

        async def test() -> None:
            self.assertEqual(await self.names(), ["entry-1"])
            for _ in range(2):
                await self.return_to(ObjectStore())
                self.assertEqual(await self.names(), ["entry-1"])
            await self.registration.withdraw()
            self.assertEqual(await self.names(), [])

        self.era.record(0, source="store")
        self.run_with(test)

    def test_registration_in_the_copy_is_withdrawn(self) -> None:
        """Guards against the registration of a stopped instance that stays in the store."""

        async def test() -> None:
            await self.return_to(self.platform.store.copy())
            await self.registration.withdraw()
            self.assertEqual(await self.names(), [])

        self.era.record(0, source="store")
        self.run_with(test)

    def test_withdrawn_registration_is_not_written_again(self) -> None:
        """Guards against a return of the store during a stop, after which it is written again."""

        async def test() -> None:
            await self.registration.withdraw()
            await self.return_to(ObjectStore())
            self.assertEqual(await self.names(), [])

        self.era.record(0, source="store")
        self.run_with(test)

    def test_withdrawal_whose_request_is_lost_is_repeated(self) -> None:
        """Guards against the registration of a stopped instance that stays in the store."""

        async def test() -> None:
            self.platform.lose_requests = 1
            await self.registration.withdraw()
            self.assertEqual(await self.names(), [])

        self.run_with(test)

    def test_withdrawal_whose_answer_is_lost_ends(self) -> None:
        """Guards against a stop that waits for the removal of what is gone."""

        async def test() -> None:
            self.platform.lose_answers = 1
            with trio.fail_after(WITHDRAWAL_S):
                await self.registration.withdraw()
            self.assertEqual(await self.names(), [])

        self.run_with(test)

    def test_registration_whose_answer_was_lost_is_withdrawn(self) -> None:
        """Guards against a stop during the start that leaves a registration behind."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(registration.run, lambda: False)
                await trio.sleep(0.1)
                self.assertEqual(await self.names(), ["entry-1"])
                with trio.fail_after(WITHDRAWAL_S):
                    await registration.withdraw()
                await trio.sleep(2.0)
                self.assertEqual(await self.names(), [])
                nursery.cancel_scope.cancel()

        registration = Registration(
            platform=self.platform,
            era=self.era,
            name="entry-1",
            peers=Endpoint("10.0.0.1", 7000),
            random=random.Random(1),
        )
        self.platform.lose_answers = 1
        run(body)

"""A large configuration in the store, behind a link that needs 1.5 s for it."""

import unittest
from collections.abc import Awaitable, Callable
from random import Random

import trio
from loguru import logger

from tests.common.fake_clock import FakeClock
from tests.common.narrow_link import NarrowLink
from tests.common.users_store import UsersStore
from tests.cover.test_kind_follower import FakePeerStates
from wagtailpoint.daemon.store_state import STORE_TIMEOUT_S
from wagtailpoint.discovery.confirmation import Confirmation
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.freshness import Freshness
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.platform.store import ObjectStore

LIMIT_S = 40
LINK_MBPS = 5
LARGE = "x" * 930_000
APPLY_S = 4.0
"""Time in which a confirmed configuration has to be in force."""

PROOF_BOUND_S = 5.0
KINDS = ("config", "servers", "evacuations")


class _TrioClock(FakeClock):
    def monotonic(self) -> float:
        return trio.current_time()


class NarrowLinkTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        """Run a test with an instance that follows a store with a large configuration."""

        async def run() -> None:
            self.store = UsersStore()
            self.store.link = NarrowLink(mbps=LINK_MBPS)
            self.put("first")
            for number in range(2):
                self.store.put("servers", f"i-{number}", {"n": number})
            with trio.fail_after(LIMIT_S):
                async with self.store.serve() as endpoint, trio.open_nursery() as nursery:
                    metrics = Metrics()
                    self.era = StoreEra(metrics=metrics)
                    self.client = ObjectStore(
                        address=endpoint,
                        timeout_s=STORE_TIMEOUT_S,
                        metrics=metrics,
                        era=self.era,
                    )
                    check = StoreCheck(store=self.client, random=Random(1), link_mbps=LINK_MBPS)
                    self.followers = {kind: self.make_follower(kind, check) for kind in KINDS}
                    for follower in self.followers.values():
                        nursery.start_soon(follower.run)
                    nursery.start_soon(check.run)
                    await self.wait_in_force("first")
                    await test()
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def make_follower(self, kind: str, check: StoreCheck) -> KindFollower:
        return KindFollower(
            kind=kind,
            platform=self.client,
            peers=FakePeerStates(),
            check=check,
            era=self.era,
            on_change=lambda: None,
            random=Random(1),
        )

    def put(self, name: str) -> None:
        self.store.put("config", "main", {"name": name, "routes": LARGE})

    def in_force(self) -> str:
        stored = self.followers["config"].objects.get("main")
        return stored.value["name"] if stored else ""

    async def wait_in_force(self, name: str) -> None:
        with trio.move_on_after(APPLY_S):
            while self.in_force() != name:  # noqa: ASYNC110
                await trio.sleep(0.01)
        self.assertEqual(self.in_force(), name)

    def test_changes_come_into_force(self) -> None:
        """Guards against an instance that never has a later version of a large configuration."""

        async def test() -> None:
            for name in ("second", "third"):
                await trio.sleep(2.0)
                self.put(name)
                await self.wait_in_force(name)

        self.run_with(test)

    def test_change_comes_into_force_without_history(self) -> None:
        """Guards against the same where the store has forgotten the change."""

        async def test() -> None:
            self.put("second")
            self.store.history_from = self.store.revision
            self.store.end_watches()
            await self.wait_in_force("second")

        self.run_with(test)

    def test_versions_that_follow_each_other_faster_than_they_arrive(self) -> None:
        """Guards against an instance that falls ever further behind, or has none until the end.

        The answer to a watch has all versions since.
        """

        async def test() -> None:
            seen = set()
            for number in range(10):
                self.put(str(number))
                await trio.sleep(0.6)
                seen.add(self.in_force())
            self.assertGreater(len(seen), 2)
            await self.wait_in_force("9")

        self.run_with(test)

    def test_quiet_link_carries_few_checks(self) -> None:
        """Guards against checks for names that take the link with the contents."""

        async def test() -> None:
            assert self.store.link is not None
            before = self.store.link.sent_bytes
            await trio.sleep(8.0)
            self.assertLess(self.store.link.sent_bytes - before, 1.2 * len(LARGE))

        self.run_with(test)

    def test_configuration_is_proved_while_it_changes(self) -> None:
        """Guards against requests that are refused since a large change delays the proofs."""

        async def test() -> None:
            follower = self.followers["config"]
            freshness = Freshness(
                clock=_TrioClock(), version=lambda: follower.version, bound_s=lambda: PROOF_BOUND_S
            )
            confirmation = Confirmation(
                follower=follower,
                platform=self.client,
                freshness=freshness,
                is_needed=lambda: True,
                is_watcher=lambda: True,
                random=Random(1),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(confirmation.run)
                await trio.sleep(1.0)
                for number in range(3):
                    self.put(str(number))
                    for _ in range(40):
                        await trio.sleep(0.1)
                        self.assertTrue(freshness.is_proved)
                    self.assertEqual(self.in_force(), str(number))
                nursery.cancel_scope.cancel()

        self.run_with(test)

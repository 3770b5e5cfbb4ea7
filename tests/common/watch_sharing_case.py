"""Base class of tests in which a few instances watch the store for all."""

import math
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform
from tests.common.fixed_membership import FixedMembership
from tests.common.steering_parts import make_freshness
from wagtailpoint.discovery.follower import WATCH_WAIT_S, KindFollower
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.discovery.watch_sharing import WatchSharing
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ABSENT
from wagtailpoint.revision import Revision

KIND = "servers"
COUNT = 12
BOUND_S = 2.0
"""Changes must arrive this soon even if watchers fail; they must be in force within 2.5 s."""


class Sharer:
    """An instance that follows one kind, by its own watch or through watchers."""

    def __init__(
        self,
        *,
        platform: FakePlatform,
        network: FakeNetwork,
        own: PeerAddress,
        places: list[PeerAddress],
        region_of: Callable[[str], str],
        bound_s: Callable[[], float],
    ) -> None:
        self.own = own
        self.region = region_of(own.address)
        self.peers = FakePeers(network=network, address=own)
        self.check = StoreCheck(store=platform, random=random.Random(1))
        self.follower = KindFollower(
            kind=KIND,
            platform=platform,
            peers=self,
            check=self.check,
            era=StoreEra(metrics=Metrics()),
            on_change=self._changed,
            random=random.Random(1),
            can_expire=True,
            watching=False,
        )
        self.sharing = WatchSharing(
            peers=self.peers,
            membership=FixedMembership(  # type: ignore[arg-type]
                addresses=places, own=own, region_of=region_of
            ),
            followers={KIND: self.follower},
            freshness=make_freshness(self.follower, bound_s),
        )

    async def ask(self, kind: str, newer_than: Revision) -> None:
        """Return None, as if no peer answered; ``PeerStates``."""

    def _changed(self) -> None:
        self.sharing.answer_waiting()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for task in (self.peers.run, self.check.run, self.follower.run, self.sharing.run):
                nursery.start_soon(task)


class WatchSharingCase(unittest.TestCase):
    """Twelve instances, each with its own way to a common store.

    Attributes:
        network: The links between the instances.
        platforms: The store as each instance reaches it.
        operator: The store as the operator reaches it.
        sharers: The instances.
        bound_s: How long a state may be stale before the instances need a proof, in seconds.
    """

    def setUp(self) -> None:
        self.bound_s = math.inf
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.network = FakeNetwork()
        # One platform for each instance, so that a fault can affect only some of them.
        self.platforms = [FakePlatform() for _ in range(COUNT)]
        self.operator = FakePlatform()
        for platform in self.platforms:
            platform.store = self.operator.store
        self.start_in(lambda _: "a")

    def start_in(self, region_of: Callable[[str], str]) -> None:
        """Make the instances, each in its region."""
        places = [PeerAddress(f"127.9.0.{number}", 7000, number + 1) for number in range(COUNT)]
        self.sharers = [
            Sharer(
                platform=platform,
                network=self.network,
                own=place,
                places=places,
                region_of=region_of,
                bound_s=lambda: self.bound_s,
            )
            for platform, place in zip(self.platforms, places, strict=True)
        ]

    @property
    def watchers(self) -> list[Sharer]:
        """The instances that watch the store."""
        return [sharer for sharer in self.sharers if sharer.follower.is_watching]

    def run_with(
        self, test: Callable[[], Awaitable[None]], *, settle_s: float = WATCH_WAIT_S + 3.0
    ) -> None:
        """Run a test after all instances have run for some seconds."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                await self.put("first")
                for sharer in self.sharers:
                    nursery.start_soon(sharer.run)
                await trio.sleep(settle_s)
                await test()
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))

    async def put(self, name: str, value: Any = "") -> None:
        """Store an object and answer the watches."""
        await self.put_unheard(name, value)
        self.answer_watches()

    async def put_unheard(self, name: str, value: Any = "") -> None:
        """Store an object without answering the watches that wait."""
        (await self.operator.put(kind=KIND, name=name, value=value, if_version=ABSENT)).unwrap()

    async def delete(self, name: str) -> None:
        """Delete an object and answer the watches."""
        stored = self.operator.store.get(KIND, name)
        assert stored is not None
        await self.operator.delete(kind=KIND, name=name, if_version=stored.version)
        self.answer_watches()

    def answer_watches(self) -> None:
        """Make the watches that wait see the newest changes."""
        for platform in self.platforms:
            platform.answer_fresh()

    def known(self) -> list[set[str]]:
        """Return the names that each instance knows."""
        return [set(sharer.follower.objects) for sharer in self.sharers]

    def calls(self) -> int:
        """Return the number of watches that all instances have begun."""
        return sum(platform.counts["WATCH", KIND] for platform in self.platforms)

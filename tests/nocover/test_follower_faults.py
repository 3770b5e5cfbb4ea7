"""Instances that follow a store with delays, refusals, lost history and stale answers."""

import unittest
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from loguru import logger
from result import Err, Ok, Result
from trio.testing import MockClock

from tests.common.fake_clock import TrioClock
from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform, WatchAnswer
from tests.common.fixed_membership import FixedMembership
from tests.common.object_store import ObjectStore
from wagtailpoint.daemon.store_state import STORE_TIMEOUT_S
from wagtailpoint.discovery.confirmation import Confirmation
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.freshness import Freshness
from wagtailpoint.discovery.peer_states import PeerStateExchange
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.discovery.watch_order import MAX_ALL_WATCHING
from wagtailpoint.discovery.watch_sharing import WatchSharing
from wagtailpoint.errors import PlatformUnavailable
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import ABSENT, Conflict, Listing, StoredObject
from wagtailpoint.revision import NO_REVISION, Revision

KIND = "config"
OTHER_KIND = "servers"
NAMES = ("main", "a", "b", "c")

STEPS = 60
MAX_STEP_S = 0.5
MAX_FAULT_S = 4.0
MAX_DELAY_S = 0.6
STALE_STEPS = 6
RETURN_FRACTION = 0.08
SETTLE_WINDOW_S = 4.0
"""Time after the last fault in which an instance reaches the store again."""

CONFIG_APPLY_S = 2.5
FRESH_BOUND_S = 5.0


class RecordingStore(ObjectStore):
    """Records the objects of the followed kind at each version."""

    def __init__(self) -> None:
        super().__init__(max_events=6)
        self.states: dict[Revision, Mapping[str, StoredObject]] = {NO_REVISION: {}}

    def put(
        self, kind: str, name: str, value: Any, if_version: Revision
    ) -> StoredObject | Conflict:
        outcome = super().put(kind, name, value, if_version)
        self._record()
        return outcome

    def delete(self, kind: str, name: str, if_version: Revision) -> Conflict | None:
        outcome = super().delete(kind, name, if_version)
        self._record()
        return outcome

    def return_to(self, copy: ObjectStore) -> None:
        super().return_to(copy)
        self._record()

    def _record(self) -> None:
        self.states[self.version] = {stored.name: stored for stored in self.list(KIND)}


class DelayingPlatform(FakePlatform):
    """The store as one instance reaches it, with delayed calls and answers and some stale reads."""

    def __init__(self, *, world: "World", random: Random) -> None:
        super().__init__()
        self.store = world.store
        self.delay_s = 0.0
        self.page_size = 2
        self._world = world
        self._random = random

    async def _arrive(self, method: str, kind: str) -> PlatformUnavailable | None:
        await self._wait()
        return await super()._arrive(method, kind)

    async def list(
        self, *, kind: str, may_be_stale: bool = False
    ) -> Result[Listing, PlatformUnavailable]:
        outcome: Result[Listing, PlatformUnavailable]
        outcome = Err(PlatformUnavailable("no answer in time"))
        with trio.move_on_after(STORE_TIMEOUT_S):
            store = self._world.older_store() if may_be_stale else self.store
            refusal = await self._arrive("LIST", kind)
            listing = Listing(store.version, store.list(kind))
            await self._wait()
            outcome = Err(refusal) if refusal else Ok(listing)
        return outcome

    async def watch(self, **arguments: Any) -> WatchAnswer:
        outcome = await super().watch(**arguments)
        await self._wait()
        return outcome

    async def _wait(self) -> None:
        await trio.sleep(self._random.uniform(0.001, 0.004 + self.delay_s))


class Instance:
    """An instance that follows the store, by its own watch or by peers, and answers its peers."""

    def __init__(self, *, world: "World", own: PeerAddress, platform: FakePlatform) -> None:
        random = Random(world.random.random())
        membership: Any = FixedMembership(addresses=world.places, own=own)
        self.peers = FakePeers(network=world.network, address=own)
        self.check = StoreCheck(store=platform, random=random)
        self.freshness = Freshness(
            clock=TrioClock(),
            version=lambda: self.follower.state.version,
            bound_s=lambda: FRESH_BOUND_S,
        )
        exchange = PeerStateExchange(
            peers=self.peers,
            membership=membership,
            seeds=world.places,
            random=random,
            proofs={KIND: self.freshness},
        )
        self.follower = KindFollower(
            kind=KIND,
            platform=platform,
            peers=exchange,
            check=self.check,
            era=StoreEra(metrics=Metrics()),
            on_change=self._check_state,
            random=random,
            watching=False,
        )
        exchange.set_followers({KIND: self.follower})
        self.sharing = WatchSharing(
            peers=self.peers,
            membership=membership,
            followers={KIND: self.follower},
            freshness=self.freshness,
        )
        self.confirmation = Confirmation(
            follower=self.follower,
            platform=platform,
            freshness=self.freshness,
            is_needed=lambda: True,
            is_watcher=self.sharing.is_watcher,
            random=random,
        )
        self.stopped = trio.CancelScope()
        self.mistakes: list[str] = []
        self._store = world.store
        self._newest = NO_REVISION

    async def run(self) -> None:
        with self.stopped:
            async with trio.open_nursery() as nursery:
                for task in (
                    self.peers.run,
                    self.check.run,
                    self.follower.run,
                    self.sharing.run,
                    self.confirmation.run,
                ):
                    nursery.start_soon(task)

    def check_proof(self, changed_at: Sequence[tuple[float, Revision]]) -> None:
        """Check that no version was written between the known one and the time of its proof."""
        proved_at = trio.current_time() - self.freshness.age_s
        newest = max(
            (version for written_at, version in changed_at if written_at < proved_at),
            default=NO_REVISION,
        )
        if self.follower.state.version < newest:
            known = self.follower.state.version
            self.mistakes.append(f"version {known} proved for {proved_at}, when it was {newest}")

    def _check_state(self) -> None:
        state = self.follower.state
        if state.version < self._newest:
            self.mistakes.append(f"version {state.version} after {self._newest}")
        if state.objects != self._store.states[state.version]:
            self.mistakes.append(f"version {state.version} with other objects than the store's")
        self._newest = state.version
        self.sharing.answer_waiting()


class World:
    """Instances, the store, and a schedule of changes and faults drawn from a seed."""

    def __init__(
        self, *, seed: int, count: int, faulty_starts: bool = False, returns: bool = False
    ) -> None:
        self.random = Random(seed)
        self._returns = returns
        self._faulty_starts = faulty_starts
        self.store = RecordingStore()
        self.network = FakeNetwork()
        self.places = [PeerAddress(f"127.9.0.{n}", 7000, n + 1) for n in range(count)]
        self.mistakes: list[str] = []
        self.platforms = [
            DelayingPlatform(world=self, random=Random(seed + n)) for n in range(count)
        ]
        self._older = [self.store.copy()]
        self._instances: list[Instance] = []
        self._changed_at: list[tuple[float, Revision]] = []

    def older_store(self) -> ObjectStore:
        """Return the store as it was up to ``STALE_STEPS`` changes ago."""
        return self.random.choice(self._older[-STALE_STEPS:])

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._instances = [self._make(n) for n in range(len(self.places))]
            for instance in self._instances:
                nursery.start_soon(instance.run)
            for _ in range(STEPS):
                await trio.sleep(self.random.uniform(0.0, MAX_STEP_S))
                self._step(nursery)
                for instance in self._instances:
                    instance.check_proof(self._changed_at)
            await trio.sleep(MAX_FAULT_S + SETTLE_WINDOW_S)
            self._change(KIND)
            await trio.sleep(CONFIG_APPLY_S)
            self._check_all()
            if not all(instance.freshness.is_proved for instance in self._instances):
                self.mistakes.append("a state without proof long after the last fault")
            nursery.cancel_scope.cancel()

    def _make(self, number: int) -> Instance:
        return Instance(world=self, own=self.places[number], platform=self.platforms[number])

    def _step(self, nursery: trio.Nursery) -> None:
        number = self.random.randrange(len(self.places))
        draw = self.random.random()
        if self._returns and self.random.random() < RETURN_FRACTION:
            self._return_to_copy()
        elif draw < 0.5:
            self._change(KIND)
        elif draw < 0.65:
            self._change(OTHER_KIND)
        elif draw < 0.75:
            self._restart(number, nursery)
        else:
            nursery.start_soon(self._disturb, self.platforms[number])

    def _change(self, kind: str) -> None:
        name = self.random.choice(NAMES)
        current = self.store.get(kind, name)
        if current is not None and self.random.random() < 0.3:
            self.store.delete(kind, name, current.version)
        else:
            self.store.put(kind, name, {}, current.version if current else ABSENT)
        if kind == KIND:
            self._changed_at.append((trio.current_time(), self.store.version))
        self._older.append(self.store.copy())
        for platform in self.platforms:
            platform.answer_fresh()

    def _return_to_copy(self) -> None:
        self.store.return_to(self.older_store())
        self._changed_at.append((trio.current_time(), self.store.version))
        self._older.append(self.store.copy())
        for platform in self.platforms:
            platform.answer_fresh()

    def _restart(self, number: int, nursery: trio.Nursery) -> None:
        self.mistakes += self._instances[number].mistakes
        self._instances[number].stopped.cancel()
        self._instances[number] = self._make(number)
        nursery.start_soon(self._instances[number].run)
        if self._faulty_starts:
            nursery.start_soon(self._disturb, self.platforms[number])

    async def _disturb(self, platform: DelayingPlatform) -> None:
        """Make an instance's calls refused, unanswered or slow for a while."""
        fault = self.random.choice(("down", "silent", "slow"))
        for_s = self.random.uniform(0.1, MAX_FAULT_S)
        if fault == "down":
            platform.set_down(True)
        elif fault == "silent":
            platform.set_silent(True)
        else:
            platform.delay_s = MAX_DELAY_S
        await trio.sleep(for_s)
        platform.delay_s = 0.0
        platform.set_silent(False)
        platform.set_down(False)

    def _check_all(self) -> None:
        for instance in self._instances:
            self.mistakes += instance.mistakes
            if instance.follower.state.objects != self.store.states[self.store.version]:
                known = instance.follower.state.version
                self.mistakes.append(
                    f"{instance.peers.address} has version {known} of {self.store.version}"
                )


SEEDS = st.integers(min_value=0, max_value=2**32 - 1)
COUNTS = st.sampled_from((3, MAX_ALL_WATCHING, MAX_ALL_WATCHING + 3))


class FollowersUnderFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(seed=SEEDS, count=COUNTS)
    @example(seed=917, count=8)
    def test_versions_keep_their_objects_and_changes_arrive_in_time(
        self, seed: int, count: int
    ) -> None:
        """Guards against objects of another version, missed changes, and wrong proofs."""
        self.check(World(seed=seed, count=count))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(seed=SEEDS, count=COUNTS)
    @example(seed=175, count=5)
    @example(seed=226, count=5)
    def test_starts_while_the_store_is_failing(self, seed: int, count: int) -> None:
        """Guards against older objects with a newer version after a start."""
        self.check(World(seed=seed, count=count, faulty_starts=True))

    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(seed=SEEDS, count=COUNTS)
    def test_store_returns_to_copies(self, seed: int, count: int) -> None:
        """Guards against states mixed of two eras, and changes missed after a return."""
        self.check(World(seed=seed, count=count, faulty_starts=True, returns=True))

    def check(self, world: World) -> None:
        trio.run(world.run, clock=MockClock(autojump_threshold=0))
        self.assertEqual(world.mistakes, [])

"""Instances that are cut off and restarted while requests crash backend servers."""

import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import count
from random import Random
from typing import NamedTuple

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.fake_platform import FakePlatform
from tests.common.object_store import ObjectStore
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.kind_state import state_from_listing
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.quarantine.crash_broadcaster import CrashBroadcaster
from wagtailpoint.quarantine.quarantine import Admission, CrashReport, Quarantine
from wagtailpoint.quarantine.stored import KIND, StoredQuarantine

STEPS = 80
LONGEST_STEP_S = 0.6
LONGEST_FAULT_S = 6.0
FOLLOW_S = 0.4
"""An instance that reaches the store has its news within so long."""

SETTLE_S = 3.0
MOST_LATE = 3
RUNS_S = 0.1
GUILTY = "00000000000000000bad"
GOOD = "000000000000000000aa"


class Crash(NamedTuple):
    """A crash by the guilty request, and whether the sending instance was in touch."""

    at_s: float
    in_touch: bool


class Instance:
    """One place; each start of its process begins with an empty quarantine."""

    def __init__(self, *, number: int, world: "World") -> None:
        self.platform = FakePlatform()
        self.platform.store = world.store
        self.disturbed_until = 0.0
        self._number = number
        self._world = world
        self._place = PeerAddress(f"127.0.0.{number}", 1, number)

    @property
    def address(self) -> str:
        return self._place.address

    @property
    def in_touch(self) -> bool:
        return trio.current_time() > self.disturbed_until + SETTLE_S

    async def run(self) -> None:
        """Run one process after the other until cancelled."""
        while True:
            self.process = trio.CancelScope()
            with self.process:
                await self._run_process()

    async def _run_process(self) -> None:
        peers = FakePeers(network=self._world.network, address=self._place)
        news = CrashBroadcaster(peers=peers, others=partial(self._world.others, self._place))
        self.quarantine = Quarantine(others=news)
        news.listen(self.quarantine)
        stored = StoredQuarantine(
            platform=self.platform,
            quarantine=self.quarantine,
            has_duty=lambda: False,
            random=Random(self._number),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peers.run)
            nursery.start_soon(stored.run)
            while True:
                listing = await self.platform.list(kind=KIND)
                if listing.is_ok():
                    stored.apply_listing(state_from_listing(listing.unwrap()))
                await trio.sleep(FOLLOW_S)


class World:
    """All instances, and what their requests meet."""

    def __init__(self, *, random: Random, instances: int) -> None:
        self.store = ObjectStore()
        self.network = FakeNetwork()
        self.crashes: list[Crash] = []
        self._random = random
        self._starts = count(1)
        self.instances = [Instance(number=number, world=self) for number in range(1, instances + 1)]

    def others(self, place: PeerAddress) -> list[PeerAddress]:
        return [each._place for each in self.instances if each._place != place]

    async def ask(self, instance: Instance, name: str, crash_part: float) -> None:
        """Send a request as an instance does: again by itself if it may."""
        quarantine = instance.quarantine
        answered = False
        for _ in range(2):
            if quarantine.admission(name) is not Admission.ADMITTED:
                break
            quarantine.record_started(name)
            in_touch = instance.in_touch
            await trio.sleep(RUNS_S)
            quarantine.record_ended(name)
            answered = self._random.random() >= crash_part
            if answered:
                break
            if name == GUILTY:
                self.crashes.append(Crash(trio.current_time(), in_touch))
            start = ServerStart(f"i-{next(self._starts)}", 0)
            quarantine.record_crash(CrashReport(name, "GET", "h", "/x", (start,)))
            if not quarantine.allows_retry(name):
                break
        quarantine.record_finished(name, answered=answered)

    async def disturb(self) -> None:
        """Cut an instance off from the store or from its peers for a while, or restart it."""
        instance = self._random.choice(self.instances)
        for_s = self._random.uniform(0.0, LONGEST_FAULT_S)
        instance.disturbed_until = max(instance.disturbed_until, trio.current_time() + for_s)
        fault = self._random.choice(("store", "peers", "restart"))
        if fault == "restart":
            instance.process.cancel()
            return
        others = [each.address for each in self.instances if each is not instance]
        if fault == "store":
            instance.platform.down = True
        else:
            self.network.cut_apart([instance.address], others)
        await trio.sleep(for_s)
        instance.platform.down = False
        self.network.heal()


class QuarantineScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def play(
        self, seed: int, instances: int, step: Callable[[World, trio.Nursery], Awaitable[None]]
    ) -> World:
        random = Random(seed)
        world = World(random=random, instances=instances)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for each in world.instances:
                    nursery.start_soon(each.run)
                await trio.sleep(1.0)
                for _ in range(STEPS):
                    await step(world, nursery)
                    await trio.sleep(random.uniform(0.0, LONGEST_STEP_S))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))
        return world

    @given(seed=st.integers(0, 10_000), instances=st.integers(1, 8))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_request_that_always_crashes_is_kept_from_backend_servers(
        self, seed: int, instances: int
    ) -> None:
        random = Random(seed + 1)

        async def step(world: World, nursery: trio.Nursery) -> None:
            nursery.start_soon(world.ask, random.choice(world.instances), GUILTY, 1.0)
            if random.random() < 0.3:
                nursery.start_soon(world.disturb)

        crashes = self.play(seed, instances, step).crashes
        self.assertGreaterEqual(len(crashes), 3)
        due_s = crashes[2].at_s + SETTLE_S
        late = [each for each in crashes if each.at_s > due_s and each.in_touch]
        self.assertLessEqual(len(late), MOST_LATE)

    @given(seed=st.integers(0, 10_000), instances=st.integers(1, 8))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_request_that_meets_crashes_and_is_answered_is_not_shut_out(
        self, seed: int, instances: int
    ) -> None:
        random = Random(seed + 1)

        async def step(world: World, nursery: trio.Nursery) -> None:
            # Every second time it is cut once, by a crash that it did not cause, and answered then.
            instance = random.choice(world.instances)
            await world.ask(instance, GOOD, crash_part=0.0)
            start = ServerStart(f"j-{random.random()}", 0)
            instance.quarantine.record_crash(CrashReport(GOOD, "GET", "h", "/x", (start,)))
            await world.ask(instance, GOOD, crash_part=0.0)
            if random.random() < 0.3:
                nursery.start_soon(world.disturb)

        world = self.play(seed, instances, step)
        self.assertEqual(world.store.list(KIND), [])


if __name__ == "__main__":
    unittest.main()

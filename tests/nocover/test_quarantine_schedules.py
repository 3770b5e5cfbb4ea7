"""Tests of the quarantine under random partitions and restarts of instances."""

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
MAX_STEP_S = 0.6
MAX_FAULT_S = 6.0
POLL_INTERVAL_S = 0.4
"""Interval at which an instance lists the store."""

SETTLE_S = 3.0
MAX_LATE_CRASHES = 3
REQUEST_DURATION_S = 0.1
CRASHING_REQUEST = "00000000000000000bad"
HARMLESS_REQUEST = "000000000000000000aa"


class Crash(NamedTuple):
    """A crash caused by the crashing request.

    Attributes:
        at_s: When it happened, by trio's clock.
        is_in_contact: Whether the sending instance had contact with the store and its peers when it
            sent the request.
    """

    at_s: float
    is_in_contact: bool


class Instance:
    """An instance; each start of its process begins with an empty quarantine."""

    def __init__(self, *, number: int, cluster: "Cluster") -> None:
        self.platform = FakePlatform()
        self.platform.store = cluster.store
        self.faulty_until = 0.0
        self._number = number
        self._cluster = cluster
        self._place = PeerAddress(f"127.0.0.{number}", 1, number)

    @property
    def address(self) -> str:
        return self._place.address

    @property
    def is_in_contact(self) -> bool:
        return trio.current_time() > self.faulty_until + SETTLE_S

    async def run(self) -> None:
        """Run one process after the other until cancelled."""
        while True:
            self.process = trio.CancelScope()
            with self.process:
                await self._run_process()

    async def _run_process(self) -> None:
        peers = FakePeers(network=self._cluster.network, address=self._place)
        broadcaster = CrashBroadcaster(
            peers=peers, others=partial(self._cluster.others, self._place)
        )
        self.quarantine = Quarantine(others=broadcaster)
        broadcaster.listen(self.quarantine)
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
                await trio.sleep(POLL_INTERVAL_S)


class Cluster:
    """All instances with their shared store and network, and the crashes that happened."""

    def __init__(self, *, random: Random, instances: int) -> None:
        self.store = ObjectStore()
        self.network = FakeNetwork()
        self.crashes: list[Crash] = []
        self._random = random
        self._starts = count(1)
        self.instances = [
            Instance(number=number, cluster=self) for number in range(1, instances + 1)
        ]

    def others(self, place: PeerAddress) -> list[PeerAddress]:
        return [other._place for other in self.instances if other._place != place]

    async def send_request(self, instance: Instance, name: str, crash_probability: float) -> None:
        """Send a request as an instance does, with one retry if the quarantine allows it."""
        quarantine = instance.quarantine
        answered = False
        for _ in range(2):
            if quarantine.admission(name) is not Admission.ADMITTED:
                break
            quarantine.record_started(name)
            is_in_contact = instance.is_in_contact
            await trio.sleep(REQUEST_DURATION_S)
            quarantine.record_ended(name)
            answered = self._random.random() >= crash_probability
            if answered:
                break
            if name == CRASHING_REQUEST:
                self.crashes.append(Crash(trio.current_time(), is_in_contact))
            start = ServerStart(f"i-{next(self._starts)}", 0)
            quarantine.record_crash(CrashReport(name, "GET", "h", "/x", (start,)))
            if not quarantine.allows_retry(name):
                break
        quarantine.record_finished(name, answered=answered)

    async def inject_fault(self) -> None:
        """Disconnect an instance from the store or from its peers for a while, or restart it."""
        instance = self._random.choice(self.instances)
        duration_s = self._random.uniform(0.0, MAX_FAULT_S)
        instance.faulty_until = max(instance.faulty_until, trio.current_time() + duration_s)
        fault = self._random.choice(("store", "peers", "restart"))
        if fault == "restart":
            instance.process.cancel()
            return
        others = [other.address for other in self.instances if other is not instance]
        if fault == "store":
            instance.platform.down = True
        else:
            self.network.cut_apart([instance.address], others)
        await trio.sleep(duration_s)
        instance.platform.down = False
        self.network.heal()


class QuarantineScheduleTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_schedule(
        self, seed: int, instances: int, step: Callable[[Cluster, trio.Nursery], Awaitable[None]]
    ) -> Cluster:
        random = Random(seed)
        cluster = Cluster(random=random, instances=instances)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for instance in cluster.instances:
                    nursery.start_soon(instance.run)
                await trio.sleep(1.0)
                for _ in range(STEPS):
                    await step(cluster, nursery)
                    await trio.sleep(random.uniform(0.0, MAX_STEP_S))
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))
        return cluster

    @given(seed=st.integers(0, 10_000), instances=st.integers(1, 8))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_request_that_always_crashes_is_quarantined(self, seed: int, instances: int) -> None:
        random = Random(seed + 1)

        async def step(cluster: Cluster, nursery: trio.Nursery) -> None:
            nursery.start_soon(
                cluster.send_request, random.choice(cluster.instances), CRASHING_REQUEST, 1.0
            )
            if random.random() < 0.3:
                nursery.start_soon(cluster.inject_fault)

        crashes = self.run_schedule(seed, instances, step).crashes
        self.assertGreaterEqual(len(crashes), 3)
        due_s = crashes[2].at_s + SETTLE_S
        late = [crash for crash in crashes if crash.at_s > due_s and crash.is_in_contact]
        self.assertLessEqual(len(late), MAX_LATE_CRASHES)

    @given(seed=st.integers(0, 10_000), instances=st.integers(1, 8))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_request_that_is_answered_between_crashes_is_not_quarantined(
        self, seed: int, instances: int
    ) -> None:
        random = Random(seed + 1)

        async def step(cluster: Cluster, nursery: trio.Nursery) -> None:
            # Between two answers a crash that it did not cause interrupts it once.
            instance = random.choice(cluster.instances)
            await cluster.send_request(instance, HARMLESS_REQUEST, crash_probability=0.0)
            start = ServerStart(f"j-{random.random()}", 0)
            instance.quarantine.record_crash(
                CrashReport(HARMLESS_REQUEST, "GET", "h", "/x", (start,))
            )
            await cluster.send_request(instance, HARMLESS_REQUEST, crash_probability=0.0)
            if random.random() < 0.3:
                nursery.start_soon(cluster.inject_fault)

        cluster = self.run_schedule(seed, instances, step)
        self.assertEqual(cluster.store.list(KIND), [])


if __name__ == "__main__":
    unittest.main()

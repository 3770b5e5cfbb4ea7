"""Fractions of keys that the instances of a region derive from their shared demand."""

import unittest
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import make_server
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.cached_fraction import UPDATE_INTERVAL_S, CachedFraction
from wagtailpoint.placement.entry_counts import FixedEntryCounts
from wagtailpoint.placement.region_demand import MAX_AGE_S, MAX_SLOTS, RegionDemand
from wagtailpoint.ports.peers import PeerAddress

SERVICE = "desk"
REGION_OF = {f"{region}-{number}": region for region in "abc" for number in (1, 2)}
DOMAIN, REGION = "a-1", "a"
INSTANCES = 6
SERVICE_S = 1.0
TELL_INTERVAL_S = 1.0
SETTLING_S = 20.0
PEERS = [PeerAddress(f"10.0.0.{number}", 1, 1) for number in range(INSTANCES)]


def make_fleet(servers: int = 76, slots: int = 9) -> Fleet:
    domains = sorted(REGION_OF)
    fleet = Fleet(region_of=REGION_OF)
    fleet.update(
        make_server(f"i-{n}", failure_domain=domains[n % len(domains)])._replace(slots=slots)
        for n in range(servers)
    )
    return fleet


class Instance(NamedTuple):
    """One of the named instances of a region."""

    demand: RegionDemand
    fractions: CachedFraction
    random: Random


class Region:
    """The named instances of a region, which get Poisson arrivals and tell each other."""

    def __init__(self, *, fleet: Fleet, is_shared: bool = True) -> None:
        entries = FixedEntryCounts(everywhere=18, in_region=INSTANCES, in_domain=INSTANCES // 2)
        self.instances = []
        for number in range(INSTANCES):
            demand = RegionDemand()
            fractions = CachedFraction(
                fleet=fleet, entries=entries, demand=demand, is_shared=lambda service: is_shared
            )
            self.instances.append(Instance(demand, fractions, Random(number)))
        self._next_arrivals = [0.0] * INSTANCES
        self._told_at = 0.0

    def domain_fractions(self) -> Sequence[float]:
        """Return the fraction of each instance's own failure domain."""
        return [each.fractions.domain_fraction(SERVICE, DOMAIN) for each in self.instances]

    async def step(self, rate: float) -> Sequence[float]:
        """Let the arrivals of one update interval pass; return the fractions of the region."""
        await trio.sleep(UPDATE_INTERVAL_S)
        now = trio.current_time()
        for number, instance in enumerate(self.instances):
            while self._next_arrivals[number] < now:
                instance.fractions.record_request(SERVICE, SERVICE_S)
                self._next_arrivals[number] += instance.random.expovariate(rate)
        if now - self._told_at >= TELL_INTERVAL_S:
            self._told_at = now
            self._tell(now)
        return [each.fractions.region_fraction(SERVICE, REGION) for each in self.instances]

    def _tell(self, now: float) -> None:
        for sender, instance in zip(PEERS, self.instances, strict=True):
            slots = instance.fractions.own_slots(SERVICE)
            for receiver, other in zip(PEERS, self.instances, strict=True):
                in_domain = (sender in PEERS[::2]) == (receiver in PEERS[::2])
                if receiver != sender:
                    other.demand.record(sender, SERVICE, slots, now, in_domain=in_domain)


class SharedFractionTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def follow(self, rate: float, seconds: float, *, is_shared: bool = True) -> list[list[float]]:
        """Return the fractions of each update after settling.

        Each row has those of the region on all instances, then those of their failure domain.
        """

        async def run() -> list[list[float]]:
            region = Region(fleet=make_fleet(), is_shared=is_shared)
            followed = []
            while trio.current_time() < seconds + SETTLING_S:
                fractions = await region.step(rate)
                if trio.current_time() > SETTLING_S:
                    followed.append([*fractions, *region.domain_fractions()])
            return followed

        return trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_steady_demand_moves_few_keys(self) -> None:
        """Guards against keys that change their region by the noise of small samples."""
        for rate in (20.0, 30.0):
            with self.subTest(rate=rate):
                followed = self.follow(rate, 580.0)
                for fractions in zip(*followed, strict=True):
                    moved = sum(
                        abs(later - earlier)
                        for earlier, later in zip(fractions, fractions[1:], strict=False)
                    )
                    self.assertLess(moved / (580.0 / 60), 0.12)

    def test_instances_of_a_region_agree(self) -> None:
        """Guards against keys that are cached at two servers as instances disagree."""
        followed = self.follow(20.0, 300.0)
        of_region = [fractions[:INSTANCES] for fractions in followed]
        apart = sum(max(fractions) - min(fractions) > 0.1 for fractions in of_region)
        self.assertLess(apart / len(followed), 0.1)

    def test_steady_demand_shifts_few_requests_between_regions(self) -> None:
        """Guards against over 15 % of a region's requests that change their region in 2 s."""
        followed = self.follow(20.0, 300.0)
        window = round(2.0 / UPDATE_INTERVAL_S)
        shares = [
            sum(sum(row[:INSTANCES]) for row in followed[at : at + window]) / (window * INSTANCES)
            for at in range(len(followed) - window)
        ]
        for earlier, later in zip(shares, shares[window:], strict=False):
            self.assertLess(abs(later - earlier), 0.15)

    def test_without_sharing_each_fraction_follows_the_own_demand(self) -> None:
        """Guards against a band for deployments that did not ask for it."""
        followed = self.follow(20.0, 60.0, is_shared=False)
        steps = [
            abs(later[0] - earlier[0])
            for earlier, later in zip(followed, followed[1:], strict=False)
        ]
        self.assertGreater(sum(step > 0.001 for step in steps), 0.9 * len(steps))

    def test_burst_is_followed_within_four_seconds(self) -> None:
        """Guards against a band that keeps a region's servers overloaded in a burst."""

        async def run() -> None:
            region = Region(fleet=make_fleet())
            while trio.current_time() < SETTLING_S:
                before = await region.step(20.0)
            begun_at = trio.current_time()
            while trio.current_time() < begun_at + 4.0:
                after = await region.step(40.0)
            for earlier, later in zip(before, after, strict=True):
                self.assertLess(later, 0.75 * earlier)

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def test_loss_of_half_the_servers_is_followed_within_four_seconds(self) -> None:
        """Guards against a band that keeps keys at servers that are gone."""

        async def run() -> None:
            fleet = make_fleet()
            region = Region(fleet=fleet)
            while trio.current_time() < SETTLING_S:
                before = await region.step(20.0)
            fleet.update(list(fleet.entries.values())[::2])
            lost_at = trio.current_time()
            while trio.current_time() < lost_at + 4.0:
                after = await region.step(20.0)
            for earlier, later in zip(before, after, strict=True):
                self.assertLess(later, 0.75 * earlier)

        trio.run(run, clock=MockClock(autojump_threshold=0))


class RegionDemandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.demand = RegionDemand()

    def record(self, number: int, slots: float, now: float = 0.0, *, near: bool = True) -> bool:
        return self.demand.record(PEERS[number], SERVICE, slots, now, in_domain=near)

    def test_instance_that_hears_nothing_uses_its_own_demand(self) -> None:
        self.assertEqual(self.demand.region_mean(SERVICE, 7.0, 0.0), 7.0)

    def test_mean_of_region_and_failure_domain(self) -> None:
        self.record(1, 10.0)
        self.record(2, 30.0, near=False)
        self.assertEqual(self.demand.region_mean(SERVICE, 20.0, 0.0), 20.0)
        self.assertEqual(self.demand.domain_mean(SERVICE, 20.0, 0.0), 15.0)

    def test_killed_peer(self) -> None:
        """Guards against a dead instance's high demand that keeps the region's keys away."""
        self.record(1, 1000.0)
        self.assertEqual(self.demand.region_mean(SERVICE, 10.0, MAX_AGE_S + 0.1), 10.0)
        self.record(1, 1000.0)
        self.demand.remove(PEERS[1])
        self.assertEqual(self.demand.region_mean(SERVICE, 10.0, 0.0), 10.0)

    def test_implausible_values_are_ignored(self) -> None:
        """Guards against one instance with a fault that empties a region's caches."""
        for slots in (-1.0, 2 * MAX_SLOTS, float("nan"), float("inf")):
            with self.subTest(slots=slots):
                self.assertFalse(self.record(1, slots))
                self.assertEqual(self.demand.region_mean(SERVICE, 10.0, 0.0), 10.0)


if __name__ == "__main__":
    unittest.main()

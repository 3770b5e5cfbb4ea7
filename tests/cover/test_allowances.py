"""Tests of allowance buckets, and of allowances shared by many instances."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.allowance_group import AllowanceGroup
from wagtailpoint.limits.allowance import SLACK_FRACTION, Allowance, AllowanceBucket
from wagtailpoint.limits.allowance_slots import (
    LEASE_S,
    RENEW_INTERVAL_S,
    SETTLE_S,
    SLOTS_PER_REGION,
    Slot,
    slots_for_workspace,
)
from wagtailpoint.limits.lease import LEASE_KIND
from wagtailpoint.ports.platform import ABSENT

SLACK = 20.0
SETTLED_S = SETTLE_S + 3.0


class AllowanceBucketTest(unittest.TestCase):
    def take(self, bucket: AllowanceBucket, allowance: Allowance, *, now: float) -> float:
        return bucket.take(allowance, fraction=1.0, slack=0.0, now=now).wait_s

    def test_bucket_is_empty_initially(self) -> None:
        """Guards against a burst that is spent again after a previous holder has spent it."""
        bucket = AllowanceBucket(now=0.0)
        self.assertEqual(self.take(bucket, Allowance(2.0, 10.0), now=0.0), 0.5)

    def test_bucket_fills_up_to_the_burst(self) -> None:
        bucket = AllowanceBucket(now=0.0)
        waits = [self.take(bucket, Allowance(2.0, 3.0), now=100.0) for _ in range(4)]
        self.assertEqual(waits, [0.0, 0.0, 0.0, 0.5])

    def test_tokens_above_a_lowered_allowance_are_dropped(self) -> None:
        """Guards against a burst accumulated under an allowance that has been lowered."""
        bucket = AllowanceBucket(now=0.0)
        self.take(bucket, Allowance(100.0, 100.0), now=10.0)
        waits = [self.take(bucket, Allowance(1.0, 2.0), now=10.0) for _ in range(3)]
        self.assertEqual(waits, [0.0, 0.0, 1.0])

    def test_fraction_of_a_small_burst_allows_one_request(self) -> None:
        """Guards against a workspace with one request per second that is never served."""
        bucket = AllowanceBucket(now=0.0)
        taken = bucket.take(Allowance(1.0, 1.0), fraction=1 / 3, slack=0.0, now=60.0)
        self.assertEqual(taken.tokens, 1)

    def test_tokens_are_taken_up_to_the_number_available(self) -> None:
        bucket = AllowanceBucket(now=0.0)
        allowance = Allowance(2.0, 3.0)
        given = [
            bucket.take(allowance, wanted=2, fraction=1.0, slack=0.0, now=100.0).tokens
            for _ in range(3)
        ]
        self.assertEqual(given, [2, 1, 0])

    def test_clock_may_be_before_the_last_filling(self) -> None:
        bucket = AllowanceBucket(now=10.0)
        self.assertEqual(self.take(bucket, Allowance(1.0, 1.0), now=9.0), 1.0)

    def test_fraction_of_the_slack_is_given_out(self) -> None:
        bucket = AllowanceBucket(now=0.0)
        spent = 0
        while bucket.take(Allowance(1.0, 1.0), fraction=1.0, slack=SLACK, now=1000.0).tokens:
            spent += 1
        self.assertEqual(spent, 1 + SLACK_FRACTION * SLACK)


class SharedAllowanceTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_group(
        self,
        allowances: Mapping[str, Allowance],
        test: Callable[[AllowanceGroup, trio.Nursery], Awaitable[None]],
        *,
        count: int = 9,
    ) -> AllowanceGroup:
        group = AllowanceGroup(count=count, seed=1, allowances=allowances, slack=SLACK)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                group.start(nursery)
                await trio.sleep(SETTLED_S)
                await test(group, nursery)
                nursery.cancel_scope.cancel()

        trio.run(run, clock=MockClock(autojump_threshold=0))
        return group

    async def send(
        self,
        group: AllowanceGroup,
        workspace: str,
        per_s: float,
        duration_s: float,
        *,
        numbers: range | None = None,
    ) -> None:
        """Send requests at random times to random instances."""
        numbers = numbers or range(len(group.instances))
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + duration_s
            while trio.current_time() < end:
                await trio.sleep(group.random.expovariate(per_s))
                nursery.start_soon(group.request, group.random.choice(numbers), workspace)

    def test_requests_within_the_allowance_are_admitted_at_any_instance(self) -> None:
        """Guards against refusals at one instance while tokens are left at others."""
        allowances = {f"w{n}": Allowance(1.6 * 2**n, 1.6 * 2**n) for n in range(7)}

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            async with trio.open_nursery() as senders:
                for name, allowance in allowances.items():
                    per_s = allowance.rate_per_s / 1.6
                    senders.start_soon(self.send, group, name, per_s, 30.0)

        group = self.run_group(allowances, test, count=82)
        granted = sum(map(len, group.granted.values()))
        refused = sum(map(len, group.refused.values()))
        self.assertGreater(granted, 3000)
        self.assertLess(refused, (granted + refused) / 200)

    def test_workspace_in_overload_gets_its_whole_allowance(self) -> None:
        """Guards against tokens that stay unused at instances without requests."""
        allowance = Allowance(50.0, 50.0)

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            await self.send(group, "hot", 7.5 * allowance.rate_per_s / 1.6, 10.0)

        group = self.run_group({"hot": allowance}, test, count=82)
        owed = 10.0 * allowance.rate_per_s + allowance.burst
        self.assertGreater(len(group.granted["hot"]), 0.97 * owed)

    def test_requests_in_one_region_get_tokens_of_all_regions(self) -> None:
        """Guards against callers in a single region that get only a third of their allowance."""
        allowance = Allowance(30.0, 30.0)

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            await self.send(group, "moved", 25.0, 20.0, numbers=range(0, 9, 3))

        group = self.run_group({"moved": allowance}, test)
        self.assertLess(len(group.refused["moved"]), len(group.granted["moved"]) / 200)

    def test_slots_are_held_at_once_after_a_restart_of_all_processes(self) -> None:
        """Guards against refusals until the leases of dead processes expire."""

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for number in range(len(group.instances)):
                group.kill(number)
            await trio.sleep(1.0)
            for number in range(len(group.instances)):
                group.restart(number, nursery)
            await trio.sleep(0.5)
            self.assertEqual(
                sum(instance.slots_held for instance in group.instances), 3 * SLOTS_PER_REGION
            )
            # No instance knows any other one yet.
            await trio.sleep(1.0)
            spent = [(await group.request(number, "w")).granted for number in range(3)]
            self.assertEqual(spent, [True] * 3)

        self.run_group({"w": Allowance(5.0, 5.0)}, test)

    def test_unreadable_leases_end_no_instance(self) -> None:
        """Guards against restarted instances that end for a lease of another writer."""

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for number in range(len(group.instances)):
                group.kill(number)
            store = group.platform.store
            overwritten = store.get(LEASE_KIND, Slot("a", 0).name)
            assert overwritten is not None
            store.put(LEASE_KIND, overwritten.name, [], overwritten.version)
            for value in (None, 7, {}, {"holder": 7, "write": ""}):
                store.put(LEASE_KIND, f"odd-{value}", value, ABSENT)
            await trio.sleep(1.0)
            for number in range(len(group.instances)):
                group.restart(number, nursery)
            await trio.sleep(LEASE_S + SETTLED_S)
            self.assertEqual(
                sum(instance.slots_held for instance in group.instances), 3 * SLOTS_PER_REGION
            )

        self.run_group({"w": Allowance(5.0, 5.0)}, test)

    def test_lost_holder_is_replaced_after_its_lease(self) -> None:
        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            lost = next(n for n, instance in enumerate(group.instances) if instance.slots_held)
            group.kill(lost)
            group.set_full_views()
            await trio.sleep(LEASE_S + 3.0)
            held = sum(
                instance.slots_held
                for number, instance in enumerate(group.instances)
                if number != lost
            )
            self.assertEqual(held, 3 * SLOTS_PER_REGION)

        self.run_group({"w": Allowance(5.0, 5.0)}, test)

    def test_partitioned_holder_ends_before_its_successor_starts(self) -> None:
        """Guards against a slot that is held on both sides of a network partition."""

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            cut = next(instance for instance in group.instances if instance.held)
            rest = [instance for instance in group.instances if instance is not cut]
            slot = cut.held[0]
            group.network.cut_apart(
                [cut.member.address], [instance.member.address for instance in rest]
            )
            cut.platform.set_down(True)
            group.set_views([[cut], rest])
            holders = []
            for _ in range(int((LEASE_S + 5.0) / 0.1)):
                await trio.sleep(0.1)
                holders.append([instance for instance in group.instances if slot in instance.held])
            self.assertLessEqual(max(map(len, holders)), 1)
            self.assertEqual(holders[0], [cut])
            self.assertIn(holders[-1][0], rest)

        self.run_group({"w": Allowance(5.0, 5.0)}, test)

    def test_slot_costs_one_store_call_per_renewal_interval(self) -> None:
        """Guards against store calls that grow with the instances, or two calls per renewal."""
        renewals = 6

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for instance in group.instances:
                instance.platform.counts.clear()
            await trio.sleep(renewals * RENEW_INTERVAL_S)
            calls = sum((instance.platform.counts for instance in group.instances), Counter())
            slots = 3 * SLOTS_PER_REGION
            self.assertEqual(set(calls), {("PUT", LEASE_KIND)})
            self.assertLessEqual(calls.total(), slots * (renewals + 1))

        self.run_group({"w": Allowance(5.0, 5.0)}, test, count=30)

    def test_store_outage_shorter_than_a_lease_causes_no_refusals(self) -> None:
        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for instance in group.instances:
                instance.platform.set_down(True)
            await self.send(group, "w", 5.0, 10.0)
            for instance in group.instances:
                instance.platform.set_down(False)

        group = self.run_group({"w": Allowance(10.0, 10.0)}, test)
        self.assertEqual(group.refused["w"], [])

    def test_wait_is_infinite_without_any_holder(self) -> None:
        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for instance in group.instances:
                instance.platform.set_down(True)
            await trio.sleep(LEASE_S)
            spent = await group.request(0, "w")
            self.assertEqual((spent.granted, spent.wait_s), (False, float("inf")))

        self.run_group({"w": Allowance(10.0, 10.0)}, test)

    def test_late_answer_grants_no_token(self) -> None:
        """Guards against tokens delayed on a broken link and spent at once when it recovers."""

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            holder = next(n for n, instance in enumerate(group.instances) if instance.slots_held)
            other = next(n for n in range(holder + 3, 9, 3))
            for instance in group.instances:
                if instance is not group.instances[holder]:
                    group.network.cut_apart([instance.member.address], [group.peer(other).address])
            group.network.freeze(group.peer(holder).address)
            spent = await group.request(other, "w")
            group.network.thaw(group.peer(holder).address)
            self.assertFalse(spent.granted)

        self.run_group({"w": Allowance(10.0, 10.0)}, test)


class SlotTest(unittest.TestCase):
    def test_workspace_has_one_slot_in_each_region(self) -> None:
        slots = slots_for_workspace("w", {"b", "a"})
        self.assertEqual([slot.region for slot in slots], ["a", "b"])
        self.assertEqual(len({slot.number for slot in slots}), 1)

    def test_workspaces_are_spread_over_the_slots(self) -> None:
        numbers = [slots_for_workspace(f"w{n}", {"a"})[0].number for n in range(100)]
        self.assertGreater(numbers.count(0), 30)
        self.assertLess(numbers.count(0), 70)


if __name__ == "__main__":
    unittest.main()

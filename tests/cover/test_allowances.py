"""Allowances of workspaces: one bucket, and many instances that share them."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.allowance_group import AllowanceGroup
from wagtailpoint.limits.allowance import SLACK_PART, Allowance, AllowanceBucket
from wagtailpoint.limits.allowance_slots import (
    LEASE_S,
    RENEW_INTERVAL_S,
    SETTLE_S,
    SLOTS_OF_A_REGION,
    slots_of,
)
from wagtailpoint.limits.lease import LEASE_KIND

SLACK = 20.0
SETTLED_S = SETTLE_S + 3.0


class AllowanceBucketTest(unittest.TestCase):
    def take(self, bucket: AllowanceBucket, allowance: Allowance, *, now: float) -> float:
        return bucket.take(allowance, part=1.0, slack=0.0, now=now).wait_s

    def test_it_begins_empty(self) -> None:
        """Guards against a burst that a former holder has just spent, spent again."""
        bucket = AllowanceBucket(now=0.0)
        self.assertEqual(self.take(bucket, Allowance(2.0, 10.0), now=0.0), 0.5)

    def test_it_fills_up_to_the_burst(self) -> None:
        bucket = AllowanceBucket(now=0.0)
        waits = [self.take(bucket, Allowance(2.0, 3.0), now=100.0) for _ in range(4)]
        self.assertEqual(waits, [0.0, 0.0, 0.0, 0.5])

    def test_a_lowered_allowance_takes_what_is_above_it(self) -> None:
        """Guards against a burst saved up under an allowance that holds no more."""
        bucket = AllowanceBucket(now=0.0)
        self.take(bucket, Allowance(100.0, 100.0), now=10.0)
        waits = [self.take(bucket, Allowance(1.0, 2.0), now=10.0) for _ in range(3)]
        self.assertEqual(waits, [0.0, 0.0, 1.0])

    def test_a_part_of_a_small_burst_still_holds_a_request(self) -> None:
        """Guards against a workspace of one request a second that is never served."""
        bucket = AllowanceBucket(now=0.0)
        taken = bucket.take(Allowance(1.0, 1.0), part=1 / 3, slack=0.0, now=60.0)
        self.assertEqual(taken.tokens, 1)

    def test_as_many_as_there_are(self) -> None:
        bucket = AllowanceBucket(now=0.0)
        allowance = Allowance(2.0, 3.0)
        given = [
            bucket.take(allowance, wanted=2, part=1.0, slack=0.0, now=100.0).tokens
            for _ in range(3)
        ]
        self.assertEqual(given, [2, 1, 0])

    def test_its_clock_may_stand_still(self) -> None:
        bucket = AllowanceBucket(now=10.0)
        self.assertEqual(self.take(bucket, Allowance(1.0, 1.0), now=9.0), 1.0)

    def test_a_part_of_the_slack_is_given_out(self) -> None:
        bucket = AllowanceBucket(now=0.0)
        spent = 0
        while bucket.take(Allowance(1.0, 1.0), part=1.0, slack=SLACK, now=1000.0).tokens:
            spent += 1
        self.assertEqual(spent, 1 + SLACK_PART * SLACK)


class SharedAllowanceTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def play(
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
        for_s: float,
        *,
        numbers: range | None = None,
    ) -> None:
        """Requests at random moments, at random instances."""
        numbers = numbers or range(len(group.instances))
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + for_s
            while trio.current_time() < end:
                await trio.sleep(group.random.expovariate(per_s))
                nursery.start_soon(group.request, group.random.choice(numbers), workspace)

    def test_what_is_within_is_admitted_wherever_it_arrives(self) -> None:
        """Guards against small parts that are refused while tokens are left elsewhere."""
        allowances = {f"w{n}": Allowance(1.6 * 2**n, 1.6 * 2**n) for n in range(7)}

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            async with trio.open_nursery() as senders:
                for name, allowance in allowances.items():
                    per_s = allowance.rate_per_s / 1.6
                    senders.start_soon(self.send, group, name, per_s, 30.0)

        group = self.play(allowances, test, count=82)
        granted = sum(map(len, group.granted.values()))
        refused = sum(map(len, group.refused.values()))
        self.assertGreater(granted, 3000)
        self.assertLess(refused, (granted + refused) / 200)

    def test_a_workspace_that_sends_many_times_its_allowance_gets_all_of_it(self) -> None:
        """Guards against tokens that lie where nobody asks for them."""
        allowance = Allowance(50.0, 50.0)

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            await self.send(group, "hot", 7.5 * allowance.rate_per_s / 1.6, 10.0)

        group = self.play({"hot": allowance}, test, count=82)
        owed = 10.0 * allowance.rate_per_s + allowance.burst
        self.assertGreater(len(group.granted["hot"]), 0.97 * owed)

    def test_requests_of_one_region_get_the_parts_of_the_others(self) -> None:
        """Guards against callers that moved to one region and get a third of their allowance."""
        allowance = Allowance(30.0, 30.0)

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            await self.send(group, "moved", 25.0, 20.0, numbers=range(0, 9, 3))

        group = self.play({"moved": allowance}, test)
        self.assertLess(len(group.refused["moved"]), len(group.granted["moved"]) / 200)

    def test_after_the_loss_of_all_processes_each_part_is_held_again_at_once(self) -> None:
        """Guards against refusals until the leases of dead processes lapse."""

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for number in range(len(group.instances)):
                group.kill(number)
            await trio.sleep(1.0)
            for number in range(len(group.instances)):
                group.restart(number, nursery)
            await trio.sleep(0.5)
            self.assertEqual(
                sum(each.slots_held for each in group.instances), 3 * SLOTS_OF_A_REGION
            )
            # None of them has heard of any other one yet.
            await trio.sleep(1.0)
            spent = [(await group.request(number, "w")).granted for number in range(3)]
            self.assertEqual(spent, [True] * 3)

        self.play({"w": Allowance(5.0, 5.0)}, test)

    def test_a_lost_holder_is_replaced_after_its_lease(self) -> None:
        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            lost = next(n for n, each in enumerate(group.instances) if each.slots_held)
            group.kill(lost)
            group.see_all()
            await trio.sleep(LEASE_S + 3.0)
            held = sum(
                each.slots_held for number, each in enumerate(group.instances) if number != lost
            )
            self.assertEqual(held, 3 * SLOTS_OF_A_REGION)

        self.play({"w": Allowance(5.0, 5.0)}, test)

    def test_a_holder_that_is_cut_off_ends_before_its_successor_begins(self) -> None:
        """Guards against one part that is spent on both sides of a cut."""

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            cut = next(each for each in group.instances if each.held)
            rest = [each for each in group.instances if each is not cut]
            slot = cut.held[0]
            group.network.cut_apart([cut.member.address], [each.member.address for each in rest])
            cut.platform.set_down(True)
            group.see([[cut], rest])
            holders = []
            for _ in range(int((LEASE_S + 5.0) / 0.1)):
                await trio.sleep(0.1)
                holders.append([each for each in group.instances if slot in each.held])
            self.assertLessEqual(max(map(len, holders)), 1)
            self.assertEqual(holders[0], [cut])
            self.assertIn(holders[-1][0], rest)

        self.play({"w": Allowance(5.0, 5.0)}, test)

    def test_a_slot_costs_one_call_of_the_store_in_an_interval(self) -> None:
        """Guards against calls that grow with the instances, and two for each renewal."""
        renewals = 6

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for each in group.instances:
                each.platform.counts.clear()
            await trio.sleep(renewals * RENEW_INTERVAL_S)
            calls = sum((each.platform.counts for each in group.instances), Counter())
            slots = 3 * SLOTS_OF_A_REGION
            self.assertEqual(set(calls), {("PUT", LEASE_KIND)})
            self.assertLessEqual(calls.total(), slots * (renewals + 1))

        self.play({"w": Allowance(5.0, 5.0)}, test, count=30)

    def test_an_outage_of_the_store_that_is_shorter_than_a_lease_is_not_felt(self) -> None:
        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for each in group.instances:
                each.platform.set_down(True)
            await self.send(group, "w", 5.0, 10.0)
            for each in group.instances:
                each.platform.set_down(False)

        group = self.play({"w": Allowance(10.0, 10.0)}, test)
        self.assertEqual(group.refused["w"], [])

    def test_without_any_holder_the_wait_is_not_known(self) -> None:
        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            for each in group.instances:
                each.platform.set_down(True)
            await trio.sleep(LEASE_S)
            spent = await group.request(0, "w")
            self.assertEqual((spent.granted, spent.wait_s), (False, float("inf")))

        self.play({"w": Allowance(10.0, 10.0)}, test)

    def test_an_answer_that_comes_late_grants_nothing(self) -> None:
        """Guards against tokens that lie on a cut link and are spent together when it heals."""

        async def test(group: AllowanceGroup, nursery: trio.Nursery) -> None:
            holder = next(n for n, each in enumerate(group.instances) if each.slots_held)
            other = next(n for n in range(holder + 3, 9, 3))
            for each in group.instances:
                if each is not group.instances[holder]:
                    group.network.cut_apart([each.member.address], [group.peer(other).address])
            group.network.freeze(group.peer(holder).address)
            spent = await group.request(other, "w")
            group.network.thaw(group.peer(holder).address)
            self.assertFalse(spent.granted)

        self.play({"w": Allowance(10.0, 10.0)}, test)


class SlotTest(unittest.TestCase):
    def test_a_workspace_has_one_slot_of_each_region(self) -> None:
        slots = slots_of("w", {"b", "a"})
        self.assertEqual([slot.region for slot in slots], ["a", "b"])
        self.assertEqual(len({slot.number for slot in slots}), 1)

    def test_workspaces_are_spread_over_the_slots(self) -> None:
        numbers = [slots_of(f"w{n}", {"a"})[0].number for n in range(100)]
        self.assertGreater(numbers.count(0), 30)
        self.assertLess(numbers.count(0), 70)


if __name__ == "__main__":
    unittest.main()

"""Bounds that all instances share: the retry budget and the pacing of cold backend servers."""

import unittest

import trio
from trio.testing import MockClock

from wagtailpoint.discovery.bound_share import BoundShare
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.instance_count import InstanceCount
from wagtailpoint.limits.bound_senders import BoundSenders
from wagtailpoint.membership import Member
from wagtailpoint.placement.cold_pacing import ColdBound, ColdPacing
from wagtailpoint.proxy.shared_retry_budget import RetryBound, SharedRetryBudget

START = ServerStart("i-1", 0)


class SharedRetryBudgetTest(unittest.TestCase):
    def test_sum_over_instances_keeps_the_bound(self) -> None:
        budgets = [
            SharedRetryBudget(bound=lambda: RetryBound(0.2, 58), divisor=lambda: 9.0)
            for _ in range(9)
        ]
        spent = 0
        for budget in budgets:
            for _ in range(100):
                budget.record_request("desk")
                while budget.take("desk"):
                    spent += 1
        self.assertLessEqual(spent, 0.2 * 900 + 58)
        self.assertGreater(spent, 0.1 * 900)

    def test_services_have_budgets_of_their_own(self) -> None:
        budget = SharedRetryBudget(bound=lambda: RetryBound(0.2, 10), divisor=lambda: 1.0)
        while budget.take("desk"):
            pass
        self.assertTrue(budget.take("vault"))


class BoundShareTest(unittest.TestCase):
    def shares(self, entries: int, instances: int) -> list[float]:
        """Return each instance's share of a bound; the first ``entries`` instances are entries."""
        shares = []
        for number in range(instances):
            share = BoundShare(
                instances=InstanceCount(alive=lambda: instances, registered=lambda: instances),
                entries=InstanceCount(alive=lambda: entries, registered=lambda: 1),
                is_entry=lambda number=number: number < entries,  # type: ignore[misc]
            )

            async def test(share: BoundShare = share) -> None:
                _ = share.divisor
                await trio.sleep(60)
                shares.append(1 / share.divisor)

            trio.run(test, clock=MockClock(autojump_threshold=0))
        return shares

    def test_entries_get_most_of_the_bound(self) -> None:
        """Guards against refused retries while most of the common budget is unused.

        Callers use 27 of 195 instances. With equal shares, nine tenths of the budget belong to
        instances without requests.
        """
        shares = self.shares(27, 195)
        self.assertLessEqual(sum(shares), 1.0 + 1e-9)
        self.assertGreater(sum(shares[:27]), 0.7)
        self.assertGreater(min(shares), 0.0)

    def test_equal_shares_if_all_instances_are_entries(self) -> None:
        self.assertEqual(self.shares(9, 9), [1 / 9] * 9)


class ColdPacingTest(unittest.TestCase):
    def sent_by(self, pacings: list[ColdPacing]) -> list[float]:
        """Return the times of requests if each pacing sends as often as it may for four seconds."""
        sent: list[float] = []

        async def test() -> None:
            for _ in range(400):
                for pacing in pacings:
                    if pacing.may_send(START, "a", 10.0):
                        pacing.record_sent(START, "a", 10.0)
                        sent.append(trio.current_time())
                await trio.sleep(0.01)

        trio.run(test, clock=MockClock(autojump_threshold=0))
        return sent

    def max_in_a_second(self, sent: list[float]) -> int:
        return max(sum(start <= sent_at < start + 1.0 for sent_at in sent) for start in sent)

    def group(self, size: int, *, unseen: int = 0) -> list[ColdPacing]:
        """Return the pacings of two sets of instances; each set sees only its own members.

        The second set has ``unseen`` instances, the first one the rest.
        """

        def pacing(number: int) -> ColdPacing:
            first, last = (0, size - unseen) if number < size - unseen else (size - unseen, size)
            seen = [make_member(index) for index in range(first, last)]
            sharing = BoundSenders(
                own=seen[number - first].address,
                members=lambda: seen,
                instances=lambda: size if unseen else len(seen),
            ).count_senders
            return ColdPacing(bound=lambda: ColdBound(1.5, 5.0), count_senders=sharing)

        return [pacing(number) for number in range(size)]

    def test_sum_over_instances_keeps_the_bound_in_every_second(self) -> None:
        """Guards against overloading a cold backend server until it crashes.

        Each of nine instances keeps to a ninth of the rate, but all spend their bursts together
        with their rates. So the burst counts against the rate of its second.
        """
        sent = self.sent_by(
            [
                ColdPacing(bound=lambda: ColdBound(1.5, 5.0), count_senders=lambda *_: 9)
                for _ in range(9)
            ]
        )
        self.assertLessEqual(self.max_in_a_second(sent), 20)
        self.assertGreater(len(sent), 20)

    def test_bound_is_used_for_any_number_of_instances(self) -> None:
        """Guards against idle cold backend servers while all others are full.

        If each instance sends its share of a cold backend server's rate less its burst, of 20
        requests a second twelve instances send only 4, and sixteen or more send none.
        """
        for size in (3, 12, 65):
            sent = self.sent_by(self.group(size))
            self.assertLessEqual(self.max_in_a_second(sent), 20)
            self.assertGreater(len(sent), 4 * 11, size)

    def test_no_bursts_of_hundreds_of_instances(self) -> None:
        """Guards against hundreds of requests to a backend server in the first second of its start.

        Instances that start together do not know each other yet, so all of them share the bound.
        The share of each is below one request, and each must not round it up to one.
        """
        pacings = [
            ColdPacing(bound=lambda: ColdBound(1.5, 5.0), count_senders=lambda *_: 490)
            for _ in range(490)
        ]
        self.assertEqual(self.sent_by(pacings), [])

    def test_both_sides_of_a_partition_keep_the_bound_together(self) -> None:
        sent = self.sent_by(self.group(12, unseen=4))
        self.assertLessEqual(self.max_in_a_second(sent), 20)

    def test_unreachable_instance_keeps_its_share(self) -> None:
        """Guards against twice the bound at a cold backend server while a region is cut off.

        Each side takes the other for dead. If both sides replace the senders that they cannot
        reach, there are twice as many.
        """

        async def test() -> None:
            members = [make_member(number) for number in range(12)]
            sharing = [
                BoundSenders(
                    own=member.address, members=lambda: members, instances=lambda: 12
                ).count_senders
                for member in members
            ]
            before = [get_sharing(START.server_id, "a", 3) for get_sharing in sharing]
            self.assertEqual(sum(map(bool, before)), 3)
            await trio.sleep(1.0)
            members[:] = [member._replace(state="dead") for member in members]
            self.assertEqual(
                [get_sharing(START.server_id, "a", 3) for get_sharing in sharing], before
            )

        trio.run(test, clock=MockClock(autojump_threshold=0))

    def test_instances_of_the_same_region_are_preferred(self) -> None:
        async def test() -> None:
            members = [make_member(n, region="a" if n % 4 == 0 else "b") for n in range(12)]
            for member in members:
                senders = BoundSenders(
                    own=member.address, members=lambda: members, instances=lambda: 12
                )
                chosen = senders.count_senders(START.server_id, "a", 3) > 0
                self.assertEqual(chosen, member.region == "a")

        trio.run(test, clock=MockClock(autojump_threshold=0))


def make_member(number: int, region: str = "a") -> Member:
    return Member(
        address=f"10.0.0.{number}",
        port=1,
        peer_port=2,
        region=region,
        failure_domain=f"{region}-1",
        incarnation=1,
        epoch=0,
        state="live",
        suspect=False,
        config_version=1,
        load=0.0,
    )

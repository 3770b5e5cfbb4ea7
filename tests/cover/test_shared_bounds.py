"""Bounds that all instances share, each spending its part: repeated sends, cold backend servers."""

import unittest

import trio
from trio.testing import MockClock

from wagtailpoint.discovery.bound_share import BoundShare
from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.instance_count import InstanceCount
from wagtailpoint.membership import Member
from wagtailpoint.placement.cold_pacing import ColdBound, ColdPacing
from wagtailpoint.placement.cold_senders import ColdSenders
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
    def parts(self, entries: int, instances: int) -> list[float]:
        """The parts of one bound that the instances spend; the first ones are entries."""
        found = []
        for number in range(instances):
            part = BoundShare(
                instances=InstanceCount(alive=lambda: instances, registered=lambda: instances),
                entries=InstanceCount(alive=lambda: entries, registered=lambda: 1),
                is_entry=lambda number=number: number < entries,  # type: ignore[misc]
            )

            async def test(part: BoundShare = part) -> None:
                _ = part.divisor
                await trio.sleep(60)
                found.append(1 / part.divisor)

            trio.run(test, clock=MockClock(autojump_threshold=0))
        return found

    def test_entries_of_hundreds_of_instances_get_most(self) -> None:
        """Symptom: no request is sent again although the budget of all is hardly touched.

        Callers use 27 of 195 instances; the parts of the others, nine tenths, lay idle.
        """
        parts = self.parts(27, 195)
        self.assertLessEqual(sum(parts), 1.0 + 1e-9)
        self.assertGreater(sum(parts[:27]), 0.7)
        self.assertGreater(min(parts), 0.0)

    def test_where_all_are_entries_all_get_the_same(self) -> None:
        self.assertEqual(self.parts(9, 9), [1 / 9] * 9)


class ColdPacingTest(unittest.TestCase):
    def sent_by(self, pacings: list[ColdPacing]) -> list[float]:
        """When requests were sent, each pacing sending as often as it may for four seconds."""
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

    def most_in_a_second(self, sent: list[float]) -> int:
        return max(sum(start <= at < start + 1.0 for at in sent) for start in sent)

    def group(self, size: int, *, unseen: int = 0) -> list[ColdPacing]:
        """The pacings of instances of which the first ``size - unseen`` see each other only."""

        def pacing(number: int) -> ColdPacing:
            first, last = (0, size - unseen) if number < size - unseen else (size - unseen, size)
            seen = [make_member(each) for each in range(first, last)]
            sharing = ColdSenders(
                own=seen[number - first].address,
                members=lambda: seen,
                instances=lambda: size if unseen else len(seen),
            ).count_senders
            return ColdPacing(bound=lambda: ColdBound(1.5, 5.0), count_senders=sharing)

        return [pacing(number) for number in range(size)]

    def test_sum_over_instances_keeps_the_bound_in_every_second(self) -> None:
        """Symptom: a cold backend server crashes.

        Each of nine instances keeps to a ninth of the rate, but all spend their bursts at the same
        moment as their rates. So the burst counts against the rate of the second.
        """
        sent = self.sent_by(
            [
                ColdPacing(bound=lambda: ColdBound(1.5, 5.0), count_senders=lambda *_: 9)
                for _ in range(9)
            ]
        )
        self.assertLessEqual(self.most_in_a_second(sent), 20)
        self.assertGreater(len(sent), 20)

    def test_few_senders_use_the_bound_however_many_instances_there_are(self) -> None:
        """Symptom: backend servers that come back cold stay empty while all others are full.

        Sequence: each instance takes its part of what one of them bears, less its burst. Cause: of
        20 a second twelve instances leave 4, and from sixteen on nothing.
        """
        for size in (3, 12, 65):
            sent = self.sent_by(self.group(size))
            self.assertLessEqual(self.most_in_a_second(sent), 20)
            self.assertGreater(len(sent), 4 * 11, size)

    def test_bursts_of_very_many_instances(self) -> None:
        """Symptom: a backend server that starts gets hundreds of requests in its first second.

        Sequence: instances that start together do not know all others yet, and share its bound with
        all. Cause: the part of each was below one request, and each sent its one.
        """
        pacings = [
            ColdPacing(bound=lambda: ColdBound(1.5, 5.0), count_senders=lambda *_: 490)
            for _ in range(490)
        ]
        self.assertEqual(self.sent_by(pacings), [])

    def test_two_sides_of_a_cut_keep_the_bound_together(self) -> None:
        sent = self.sent_by(self.group(12, unseen=4))
        self.assertLessEqual(self.most_in_a_second(sent), 20)

    def test_who_is_not_heard_of_keeps_its_part(self) -> None:
        """Symptom: a cold backend server gets twice its bound while a region is cut off.

        Sequence: each side takes the other for dead. Cause: the instances of both sides put others
        in the place of those that they no longer heard of.
        """

        async def test() -> None:
            members = [make_member(number) for number in range(12)]
            sharing = [
                ColdSenders(
                    own=member.address, members=lambda: members, instances=lambda: 12
                ).count_senders
                for member in members
            ]
            before = [each(START, "a", 3) for each in sharing]
            self.assertEqual(sum(map(bool, before)), 3)
            await trio.sleep(1.0)
            members[:] = [member._replace(state="dead") for member in members]
            self.assertEqual([each(START, "a", 3) for each in sharing], before)

        trio.run(test, clock=MockClock(autojump_threshold=0))

    def test_instances_of_its_region_come_first(self) -> None:
        async def test() -> None:
            members = [make_member(n, region="a" if n % 4 == 0 else "b") for n in range(12)]
            for member in members:
                senders = ColdSenders(
                    own=member.address, members=lambda: members, instances=lambda: 12
                )
                chosen = senders.count_senders(START, "a", 3) > 0
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

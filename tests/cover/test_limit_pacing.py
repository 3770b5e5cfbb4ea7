"""Pacing of requests to backend servers that state a limit, summed over all instances."""

import unittest
from collections.abc import Awaitable, Callable, Sequence
from random import Random

import trio
from loguru import logger
from trio.testing import MockClock

from tests.cover.test_shared_bounds import make_member
from wagtailpoint.limits.bound_senders import BoundSenders
from wagtailpoint.limits.limit_pacing import (
    LOW_LIMIT_SENDERS,
    MAX_SAVED_S,
    MIN_PER_S,
    LimitPacing,
)
from wagtailpoint.limits.stated_limit import StatedLimit, StatedLimits
from wagtailpoint.membership.member import Member
from wagtailpoint.observe.metrics import Metrics

SERVER = "i-1/0"
REGION = "a"
MEASURED_S = 20.0
REQUESTS_PER_S = 20.0
"""Requests of one instance for the backend server."""

WINDOW_S = 4.0


def allowed(per_s: float) -> float:
    """Return how many requests a window may have: the limit, and what all senders may save.

    It is never more than the users' bound, which is half as much again and five requests.
    """
    return per_s * WINDOW_S + max(LOW_LIMIT_SENDERS, MAX_SAVED_S * per_s)


class LimitPacingTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.limits = StatedLimits(is_known=lambda server: True, metrics=Metrics())
        self.sent: list[float] = []

    def run_with(self, test: Callable[[], Awaitable[None]]) -> None:
        trio.run(test, clock=MockClock(autojump_threshold=0))

    def make_group(
        self, members: Sequence[Member], instances: int, view: Sequence[Member] = ()
    ) -> list[LimitPacing]:
        """Return the pacing of each member.

        Args:
            members: The members.
            instances: How many instances there may be, for all that the members know.
            view: The members that they know; all given ones by default.
        """
        return [
            LimitPacing(
                limits=self.limits,
                count_senders=BoundSenders(
                    own=member.address,
                    members=lambda: view or members,
                    instances=lambda: instances,
                ).count_senders,
                metrics=Metrics(),
            )
            for member in members
        ]

    async def send_from(self, pacing: LimitPacing, random: Random, for_s: float) -> None:
        until = trio.current_time() + for_s
        while trio.current_time() < until:
            await trio.sleep(random.expovariate(REQUESTS_PER_S))
            if pacing.take(SERVER, REGION):
                self.sent.append(trio.current_time())

    async def send_from_all(self, pacings: Sequence[LimitPacing], for_s: float) -> None:
        async with trio.open_nursery() as nursery:
            for number, pacing in enumerate(pacings):
                nursery.start_soon(self.send_from, pacing, Random(number), for_s)

    def state(self, per_s: float | None, revision: int = 1) -> None:
        self.limits.apply([StatedLimit(SERVER, revision, per_s)])

    def most_in(self, window_s: float) -> int:
        sent = sorted(self.sent)
        return max(
            (sum(begin <= at < begin + window_s for at in sent) for begin in sent), default=0
        )

    def test_sum_over_any_number_of_instances_keeps_the_limit(self) -> None:
        """Guards against a backend server in need that gets more the more instances there are."""
        for size in (1, 9, 77):
            for per_s in (0.7, 2.9, 12.0):
                self.sent.clear()
                self.limits.forget(SERVER)

                async def test(size: int = size, per_s: float = per_s) -> None:
                    members = [make_member(number) for number in range(size)]
                    self.state(per_s)
                    await self.send_from_all(self.make_group(members, size), MEASURED_S)

                self.run_with(test)
                self.assertLessEqual(self.most_in(WINDOW_S), allowed(per_s), (size, per_s))
                self.assertLessEqual(allowed(per_s), 1.5 * per_s * WINDOW_S + 5)
                self.assertGreater(len(self.sent), 0.8 * per_s * MEASURED_S, (size, per_s))

    def test_instances_that_do_not_know_all_others_send_nothing(self) -> None:
        """Guards against a request of each of hundreds of instances that start together."""

        async def test() -> None:
            members = [make_member(number) for number in range(20)]
            self.state(2.0)
            await self.send_from_all(self.make_group(members, 490), 5.0)
            self.assertEqual(self.sent, [])

        self.run_with(test)

    def test_both_sides_of_a_partition_keep_the_limit_together(self) -> None:
        """Guards against twice the limit when each side takes the other one for dead."""

        async def test() -> None:
            members = [make_member(number) for number in range(12)]
            sides = (members[:8], members[8:])
            views = [list(members), list(members)]
            pacings = [
                pacing
                for side, view in zip(sides, views, strict=True)
                for pacing in self.make_group(side, 12, view)
            ]
            self.state(3.0)
            await self.send_from_all(pacings, 1.0)
            for side, view in zip(sides, views, strict=True):
                view[:] = [
                    member if member in side else member._replace(state="dead")
                    for member in members
                ]
            self.sent.clear()
            await self.send_from_all(pacings, MEASURED_S)
            self.assertLessEqual(self.most_in(WINDOW_S), allowed(3.0))

        self.run_with(test)

    def test_limit_of_zero_is_tried_now_and_then(self) -> None:
        """Guards against a backend server that gets nothing for ever after it stated zero."""

        async def test() -> None:
            members = [make_member(number) for number in range(9)]
            self.state(0.0)
            await self.send_from_all(self.make_group(members, 9), MEASURED_S)
            self.assertLessEqual(len(self.sent), MIN_PER_S * MEASURED_S + 1)
            self.assertGreater(len(self.sent), 0)

        self.run_with(test)

    def test_huge_limit_keeps_no_request_back(self) -> None:
        async def test() -> None:
            members = [make_member(number) for number in range(9)]
            pacings = self.make_group(members, 9)
            self.state(1e9)
            await trio.sleep(0.01)
            self.assertTrue(all(pacing.take(SERVER, REGION) for pacing in pacings for _ in "12345"))

        self.run_with(test)

    def test_lifted_limit_keeps_no_request_back(self) -> None:
        async def test() -> None:
            pacings = self.make_group([make_member(0)], 1)
            self.state(0.5)
            self.assertFalse(pacings[0].take(SERVER, REGION))
            self.state(None, revision=2)
            self.assertTrue(all(pacings[0].take(SERVER, REGION) for _ in range(10)))

        self.run_with(test)

    def test_limit_that_is_stated_again_begins_without_tokens(self) -> None:
        """Guards against saved tokens when a backend server lifts and states its limit by turns."""

        async def test() -> None:
            pacing = self.make_group([make_member(0)], 1)[0]
            for revision in range(1, 20, 2):
                self.state(1.0, revision)
                await self.send_from(pacing, Random(revision), 0.5)
                self.state(None, revision + 1)
                pacing.may_send(SERVER, REGION)
            self.assertEqual(self.sent, [])

        self.run_with(test)


if __name__ == "__main__":
    unittest.main()

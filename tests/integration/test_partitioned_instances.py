"""Instances that are cut off from all backend servers, as real processes in three domains."""

import statistics
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence

import trio
from loguru import logger

from tests.common.lookup_callers import Try
from tests.common.partition import Form
from tests.common.partitioned_group import PartitionedGroup, partitioned_group

LIMIT_S = 120.0
SETTLE_S = 3.0
"""The time after the beginning and the end of a cut in which callers may notice it."""

CUT_S = 7.0
AFTER_S = 3.0
SERVED_FRACTION = 0.98
"""The least fraction of first tries that have to be served at instances that are cut off."""

MIN_TRIES = 30
REFUSED_WITHIN_S = 0.1
SLOWER_BY_S = 0.1
"""Maximum difference of the median latencies at instances that are cut off and at the others."""


class PartitionedInstancesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def run_with(self, test: Callable[[PartitionedGroup], Awaitable[None]]) -> None:
        """Run a test; its failure is raised without the exception groups of the nurseries."""
        failures: list[AssertionError] = []

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with partitioned_group() as group:
                    try:
                        await test(group)
                    except AssertionError as failure:
                        failures.append(failure)

        trio.run(run)
        if failures:
            raise failures[0]

    def check_served(self, tries: Sequence[Try], what: str) -> None:
        self.assertGreater(len(tries), MIN_TRIES, what)
        statuses = Counter(entry.status for entry in tries)
        self.assertGreaterEqual(statuses[200], SERVED_FRACTION * len(tries), f"{what}: {statuses}")

    def check_promises(self, group: PartitionedGroup) -> None:
        """Check that non-idempotent requests ran at most once, and not if they were refused."""
        for entry in group.callers.tries:
            if entry.idempotent:
                continue
            runs = group.servers.runs[entry.request_id]
            self.assertLessEqual(runs, 1, f"{entry} ran {runs} times")
            if entry.status == 503:
                self.assertEqual(runs, 0, f"{entry} was refused and ran")

    def check_cut(self, form: Form, choose: Callable[[PartitionedGroup], Sequence[str]]) -> None:
        """Check that all callers are served during a cut of some instances and after it."""

        async def test(group: PartitionedGroup) -> None:
            cut = choose(group)
            began = trio.current_time()
            await group.partition.cut(cut, form)
            await trio.sleep(CUT_S)
            ended = trio.current_time()
            group.partition.heal(cut)
            await trio.sleep(SETTLE_S + AFTER_S)
            at_cut, at_others = group.tries(cut, began + SETTLE_S, ended)
            self.check_served(at_cut, f"cut off ({form})")
            self.check_served(at_others, f"others ({form})")
            self.assertLess(median_s(at_cut), median_s(at_others) + SLOWER_BY_S)
            everywhere, _ = group.tries(
                [instance.address for instance in group.instances],
                ended + SETTLE_S,
                trio.current_time() - 1.0,
            )
            self.check_served(everywhere, f"after the cut ({form})")
            self.check_promises(group)
            self.assertEqual(group.callers.empty_lookups, 0)

        self.run_with(test)

    def test_callers_of_a_failure_domain_whose_instances_are_cut_off(self) -> None:
        """Guards against callers that are refused where other instances reach the servers."""
        self.check_cut("reset", lambda group: group.of_domain("a-1"))

    def test_callers_of_an_instance_whose_connections_are_reset(self) -> None:
        """Guards against the same at one of the instances of a failure domain."""
        self.check_cut("reset", lambda group: group.of_domain("b-1")[:1])

    def test_callers_of_an_instance_whose_connections_hang(self) -> None:
        """Guards against callers that wait for connections that can't open."""
        self.check_cut("hang", lambda group: group.of_domain("a-2")[:1])

    def test_callers_of_a_failure_domain_whose_connections_hang(self) -> None:
        """Guards against the same at all instances of a failure domain."""
        self.check_cut("hang", lambda group: group.of_domain("a-1"))

    def test_callers_of_an_instance_that_opens_no_new_connections(self) -> None:
        """Guards against a cut that is not noticed because old connections live on."""
        self.check_cut("refuse-new", lambda group: group.of_domain("a-2")[:1])

    def test_callers_of_a_failure_domain_that_opens_no_new_connections(self) -> None:
        """Guards against the same at all instances of a failure domain."""
        self.check_cut("refuse-new", lambda group: group.of_domain("a-1"))

    def check_all_cut(self, form: Form) -> None:
        """Check that requests are refused at once if no instance reaches a backend server."""

        async def test(group: PartitionedGroup) -> None:
            cut = [instance.address for instance in group.instances]
            began = trio.current_time()
            await group.partition.cut(cut, form)
            await trio.sleep(CUT_S)
            ended = trio.current_time()
            group.partition.heal(cut)
            await trio.sleep(SETTLE_S + AFTER_S)
            during, _ = group.tries(cut, began + SETTLE_S, ended - 1.0)
            self.assertGreater(len(during), 0)
            for entry in during:
                self.assertEqual((entry.status, entry.retry_after), (503, True), entry)
            slow = [entry for entry in during if entry.took_s > REFUSED_WITHIN_S]
            self.assertLess(len(slow), 0.05 * len(during), slow[:5])
            after, _ = group.tries(cut, ended + SETTLE_S, trio.current_time() - 1.0)
            self.check_served(after, "after the cut")
            self.check_promises(group)
            self.assertEqual(group.callers.empty_lookups, 0)

        self.run_with(test)

    def test_callers_are_refused_at_once_if_no_instance_reaches_a_server(self) -> None:
        """Guards against requests that wait, or get no promise, although none can be served."""
        self.check_all_cut("reset")

    def test_callers_are_refused_at_once_if_the_connections_of_all_instances_hang(self) -> None:
        """Guards against requests that wait for connections although none can open."""
        self.check_all_cut("hang")


def median_s(tries: Sequence[Try]) -> float:
    """Return the median latency, in seconds."""
    return statistics.median(entry.took_s for entry in tries)

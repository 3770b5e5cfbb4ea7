"""Instances that are cut off from all backend servers, as real processes in three domains."""

from collections.abc import Callable, Sequence

import trio

from tests.common.partition import Form
from tests.common.partition_case import SETTLE_S, PartitionCase, median_s
from tests.common.partitioned_group import PartitionedGroup

CUT_S = 7.0
AFTER_S = 3.0
REFUSED_WITHIN_S = 0.1
SLOWER_BY_S = 0.1
"""Maximum difference of the median latencies at instances that are cut off and at the others."""


class PartitionedInstancesTest(PartitionCase):
    def check_cut(self, form: Form, choose: Callable[[PartitionedGroup], Sequence[str]]) -> None:
        """Check that all callers are served during a cut of some instances and after it."""

        async def test(group: PartitionedGroup) -> None:
            cut = choose(group)
            began = trio.current_time()
            await group.partition.cut(cut, form)
            await trio.sleep(CUT_S)
            await self.wait_tries(group, cut, began + SETTLE_S)
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

    def test_callers_of_a_region_whose_instances_are_cut_off(self) -> None:
        """Guards against requests that fail, or leave their home, as no near instance relays."""
        self.check_cut("reset", lambda group: group.of_domain("b-1"))

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

        self.run_with(test)

    def test_callers_are_refused_at_once_if_no_instance_reaches_a_server(self) -> None:
        """Guards against requests that wait, or get no promise, although none can be served."""
        self.check_all_cut("reset")

    def test_callers_are_refused_at_once_if_the_connections_of_all_instances_hang(self) -> None:
        """Guards against requests that wait for connections although none can open."""
        self.check_all_cut("hang")

    def test_callers_of_instances_none_of_which_opens_new_connections(self) -> None:
        """Guards against instances that all isolate themselves when the cut ends."""

        async def test(group: PartitionedGroup) -> None:
            cut = [instance.address for instance in group.instances]
            began = trio.current_time()
            await group.partition.cut(cut, "refuse-new")
            await trio.sleep(CUT_S)
            ended = trio.current_time()
            group.partition.heal(cut)
            await trio.sleep(AFTER_S)
            during, _ = group.tries(cut, began + SETTLE_S, ended)
            self.check_served(during, "on connections that live on")
            after, _ = group.tries(cut, ended, trio.current_time() - 1.0)
            self.check_served(after, "after the cut")
            self.check_promises(group)

        self.run_with(test)

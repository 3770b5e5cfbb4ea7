"""The order in which other instances are asked to relay a connection."""

import unittest
from collections import Counter
from collections.abc import Sequence
from random import Random

from tests.common.steering_parts import make_peer
from wagtailpoint.membership.member import Member
from wagtailpoint.relay.peer_choice import order_relays


class RelayOrderTest(unittest.TestCase):
    def order(
        self, *members: Member, avoided: Sequence[str] = (), may_leave_region: bool = True
    ) -> list[str]:
        ordered = order_relays(
            members,
            failure_domain="a-1",
            region="a",
            avoided=avoided,
            may_leave_region=may_leave_region,
            random=Random(1),
        )
        return [member.address for member in ordered]

    def test_relay_in_the_failure_domain_of_the_server_comes_first(self) -> None:
        """Guards against bytes that cross failure domains twice."""
        far = [make_peer(f"127.0.0.{n}", failure_domain="a-2") for n in range(1, 5)]
        self.assertEqual(self.order(*far, make_peer("127.0.0.9"))[0], "127.0.0.9")

    def test_second_relay_is_of_another_failure_domain(self) -> None:
        """Guards against three tries at instances that have lost the same links."""
        near = [make_peer(f"127.0.0.{n}") for n in range(1, 5)]
        other = make_peer("127.0.0.9", failure_domain="a-2")
        self.assertEqual(self.order(*near, other)[1], "127.0.0.9")

    def test_overloaded_and_failing_instances_come_last_or_not_at_all(self) -> None:
        """Guards against work for others at instances that have none to spare."""
        busy = make_peer("127.0.0.1", load=0.9)
        other = make_peer("127.0.0.2", failure_domain="a-2")
        self.assertEqual(self.order(busy, other), ["127.0.0.2", "127.0.0.1"])
        self.assertEqual(self.order(busy, other, avoided=["127.0.0.2"]), ["127.0.0.1"])
        self.assertEqual(self.order(make_peer("127.0.0.3", suspect=True)), [])

    def test_other_regions_relay_only_if_the_region_of_the_server_can_not(self) -> None:
        """Guards against requests that pass an instance outside of their home regions."""
        near = make_peer("127.0.0.1", failure_domain="a-2")
        far = make_peer("127.0.0.2", region="b", failure_domain="b-1")
        self.assertEqual(self.order(near, far), ["127.0.0.1"])
        isolated = near._replace(state="isolated")
        self.assertEqual(self.order(isolated, far), ["127.0.0.2"])
        self.assertEqual(self.order(isolated, far, may_leave_region=False), [])

    def test_connections_are_spread_by_capacity(self) -> None:
        """Guards against one instance that relays everything."""
        random = Random(1)
        members = [make_peer("127.0.0.1", capacity=3.0), make_peer("127.0.0.2", capacity=1.0)]
        first = Counter(
            order_relays(
                members,
                failure_domain="a-1",
                region="a",
                avoided=(),
                may_leave_region=False,
                random=random,
            )[0].address
            for _ in range(400)
        )
        self.assertGreater(first["127.0.0.1"], 2 * first["127.0.0.2"])
        self.assertGreater(first["127.0.0.2"], 20)

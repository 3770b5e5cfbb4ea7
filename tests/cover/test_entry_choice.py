"""The choice of the instances that lookups name."""

import unittest
from collections import Counter
from random import Random

from wagtailpoint.lookup.entry_choice import (
    HEADROOM_FACTOR,
    MIN_CAPABLE_ENTRIES,
    MIN_ENTRIES,
    OVERLOADED_LOAD,
    EntryChoice,
    NearbyEntryCounts,
    choose_entries,
)
from wagtailpoint.membership.member import Member

LARGE, SMALL = 2.0, 0.4


def make_member(number: int, **changes) -> Member:
    member = Member(
        address=f"127.0.0.{number + 1}",
        port=1,
        peer_port=2,
        region="a",
        failure_domain="a-1",
        incarnation=number,
        epoch=0,
        state="live",
        suspect=False,
        config_version=0,
        load=0.0,
        capacity=SMALL,
    )
    return member._replace(**changes)


def make_members(large: int, small: int) -> list[Member]:
    return [make_member(n, capacity=LARGE if n < large else SMALL) for n in range(large + small)]


class FewEntriesTest(unittest.TestCase):
    def test_instances_with_the_highest_capacity_are_chosen(self) -> None:
        """Guards against spreading the requests over hundreds of instances.

        If lookups name all instances of a failure domain, each gets a few requests a second and
        uses a backend server once a minute. It then reuses no connection and learns no load.
        """
        chosen = choose_entries(make_members(3, 20))
        self.assertEqual({member.capacity for member in chosen}, {LARGE})
        self.assertEqual(len(chosen), MIN_ENTRIES)

    def test_instance_of_low_capacity_does_not_join_two_capable_entries(self) -> None:
        """Guards against an entry of low capacity that answers a third of the callers late."""
        chosen = choose_entries(make_members(2, 10))
        self.assertEqual([member.capacity for member in chosen], [LARGE] * MIN_CAPABLE_ENTRIES)
        self.assertEqual(len(choose_entries(make_members(1, 2))), MIN_CAPABLE_ENTRIES)

    def test_instances_of_low_capacity_are_chosen_when_the_load_needs_them(self) -> None:
        busy = [member._replace(load=0.5) for member in make_members(2, 10)]
        self.assertGreater(len(choose_entries(busy)), MIN_ENTRIES)

    def test_small_failure_domain_uses_all_instances(self) -> None:
        members = make_members(0, MIN_ENTRIES)
        self.assertCountEqual(choose_entries(members), members)

    def test_equal_capacity_without_limits_in_the_settings(self) -> None:
        members = [make_member(n, capacity=1.0) for n in range(20)]
        self.assertEqual(len(choose_entries(members)), 5)
        self.assertCountEqual(choose_entries(members), choose_entries(members[::-1]))

    def test_no_entries_without_members(self) -> None:
        self.assertEqual(choose_entries([]), [])

    def test_lost_entry_is_replaced_and_the_others_stay(self) -> None:
        members = make_members(0, 20)
        before = choose_entries(members)
        after = choose_entries([member for member in members if member != before[0]])
        self.assertEqual(before[1:], after[: len(before) - 1])


class BurstLoadTest(unittest.TestCase):
    def test_entries_are_added_with_the_load(self) -> None:
        """Guards against three entries that stay alone with the load of a burst."""
        members = [
            member._replace(load=0.8 if member.capacity == LARGE else 0.0)
            for member in make_members(3, 20)
        ]
        chosen = choose_entries(members)
        capacity = sum(member.capacity for member in chosen)
        self.assertGreaterEqual(capacity, HEADROOM_FACTOR * 0.8 * 3 * LARGE - SMALL)
        self.assertGreater(len(chosen), 10)

    def test_all_are_entries_when_all_are_overloaded(self) -> None:
        members = [member._replace(load=1.0) for member in make_members(3, 20)]
        self.assertCountEqual(choose_entries(members), members)

    def test_overloaded_instance_comes_last(self) -> None:
        """Guards against delays of seconds for a third of a failure domain's callers.

        One of the three entries gets no processor time. By its settings it still has the highest
        capacity, so it must lose its place for its load.
        """
        members = make_members(3, 20)
        overloaded = members[0]._replace(load=OVERLOADED_LOAD)
        chosen = choose_entries([overloaded, *members[1:]])
        self.assertNotIn(overloaded, chosen[: MIN_ENTRIES - 1])
        self.assertEqual({member.capacity for member in chosen[:2]}, {LARGE})


class NearestEntriesTest(unittest.TestCase):
    def choice(self, *members: Member) -> EntryChoice:
        seen = tuple(members)
        return EntryChoice(members=lambda: seen)

    def test_own_failure_domain_then_region_then_all(self) -> None:
        here = make_member(1)
        others = make_member(2, failure_domain="a-2")
        far = make_member(3, failure_domain="b-1", region="b")
        choice = self.choice(here, others, far)
        self.assertEqual(choice.nearest("a-1", "a"), [here])
        self.assertEqual(choice.nearest("a-3", "a"), [here, others])
        self.assertEqual(choice.nearest("c-1", "c"), [here, others, far])
        self.assertCountEqual(choice.all, [here, others, far])
        around = NearbyEntryCounts(choice=choice, region="a", failure_domain="a-2")
        self.assertEqual((around.everywhere, around.in_region, around.in_domain), (3, 2, 1))

    def test_overloaded_failure_domain_shares_its_callers_with_the_region(self) -> None:
        """Guards against a single entry that answers seconds late while others are idle."""
        members = [
            make_member(1, load=0.9),
            make_member(2, failure_domain="a-2", load=0.3),
            make_member(3, failure_domain="a-2", load=0.9),
            make_member(4, failure_domain="b-1", region="b"),
        ]
        choice = EntryChoice(members=lambda: tuple(members))
        lone, idle, _, _ = members
        self.assertEqual(choice.nearest("a-1", "a"), [lone, idle])
        self.assertEqual(choice.nearest("a-2", "a"), members[1:3])
        self.assertEqual(choice.by_domain["a-1"], [lone])

        for load, shared in ((0.6, True), (0.3, False), (0.6, False)):
            members[0] = lone._replace(load=load)
            expected = [members[0], idle] if shared else [members[0]]
            self.assertEqual(choice.nearest("a-1", "a"), expected, load)

    def test_only_live_and_unsuspected_instances_are_entries(self) -> None:
        here = make_member(1)
        others = [
            make_member(2, state="leaving"),
            make_member(3, state="starting"),
            make_member(4, state="dead"),
            make_member(5, suspect=True),
        ]
        choice = self.choice(here, *others)
        self.assertEqual(choice.nearest("a-1", "a"), [here])
        self.assertFalse(any(choice.includes(member.address) for member in others))

    def test_choice_does_not_depend_on_the_order_of_members(self) -> None:
        random = Random(1)
        members = [
            make_member(n, address=f"127.0.{n // 250}.{n % 250 + 1}", failure_domain=f"a-{n % 9}")
            for n in range(490)
        ]
        found: Counter[frozenset[str]] = Counter()
        for _ in range(5):
            random.shuffle(members)
            entries = self.choice(*members).by_domain["a-1"]
            found[frozenset(entry.address for entry in entries)] += 1
        self.assertEqual(len(found), 1)


class IsolatedEntriesTest(unittest.TestCase):
    """Entries while instances reach backend servers only through others."""

    def choice(self, *isolated: int) -> EntryChoice:
        places = [("a", "a-1"), ("a", "a-1"), ("a", "a-2"), ("b", "b-1"), ("b", "b-1")]
        members = tuple(
            make_member(
                number,
                region=region,
                failure_domain=domain,
                state="isolated" if number in isolated else "live",
            )
            for number, (region, domain) in enumerate(places)
        )
        return EntryChoice(members=lambda: members)

    def numbers(self, choice: EntryChoice, domain: str) -> list[int]:
        return sorted(entry.incarnation for entry in choice.nearest(domain, domain[0]))

    def test_isolated_instance_is_no_entry(self) -> None:
        """Guards against callers that are led to an instance that needs others to serve them."""
        self.assertEqual(self.numbers(self.choice(0), "a-1"), [1])

    def test_callers_of_an_isolated_failure_domain_use_others_of_its_region(self) -> None:
        """Guards against callers that are led to another region, or to nobody."""
        self.assertEqual(self.numbers(self.choice(0, 1), "a-1"), [2])

    def test_isolated_instances_of_a_whole_region_stay_entries(self) -> None:
        """Guards against requests that leave their home region because lookups named another."""
        self.assertEqual(self.numbers(self.choice(3, 4), "b-1"), [3, 4])

    def test_lookups_are_answered_if_all_instances_are_isolated(self) -> None:
        """Guards against empty lookups."""
        self.assertEqual(self.numbers(self.choice(0, 1, 2, 3, 4), "a-1"), [0, 1])

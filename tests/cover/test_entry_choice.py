"""Which instances callers are told to use."""

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


def unequal(large: int, small: int) -> list[Member]:
    return [make_member(n, capacity=LARGE if n < large else SMALL) for n in range(large + small)]


class FewEntriesTest(unittest.TestCase):
    def test_most_capable_ones_are_used(self) -> None:
        """Symptom: hundreds of instances got a few requests a second each.

        Callers were told of all instances of their failure domain. Each of them met a backend
        server once in a minute: no connection was used twice, no load was known, nothing learned.
        """
        chosen = choose_entries(unequal(3, 20))
        self.assertEqual({each.capacity for each in chosen}, {LARGE})
        self.assertEqual(len(chosen), MIN_ENTRIES)

    def test_a_weak_third_is_not_named_beside_two_able_ones(self) -> None:
        """Guards against a third of the callers who are all answered late by the weakest entry."""
        chosen = choose_entries(unequal(2, 10))
        self.assertEqual([each.capacity for each in chosen], [LARGE] * MIN_CAPABLE_ENTRIES)
        self.assertEqual(len(choose_entries(unequal(1, 2))), MIN_CAPABLE_ENTRIES)

    def test_weak_ones_are_named_when_the_load_needs_them(self) -> None:
        busy = [each._replace(load=0.5) for each in unequal(2, 10)]
        self.assertGreater(len(choose_entries(busy)), MIN_ENTRIES)

    def test_small_deployments_use_all(self) -> None:
        members = unequal(0, MIN_ENTRIES)
        self.assertCountEqual(choose_entries(members), members)

    def test_without_limits_in_the_settings_all_are_alike(self) -> None:
        members = [make_member(n, capacity=1.0) for n in range(20)]
        self.assertEqual(len(choose_entries(members)), 5)
        self.assertCountEqual(choose_entries(members), choose_entries(members[::-1]))

    def test_no_member_no_entry(self) -> None:
        self.assertEqual(choose_entries([]), [])

    def test_lost_entry_is_replaced_and_the_others_stay(self) -> None:
        members = unequal(0, 20)
        before = choose_entries(members)
        after = choose_entries([each for each in members if each != before[0]])
        self.assertEqual(before[1:], after[: len(before) - 1])


class LoadOfABurstTest(unittest.TestCase):
    def test_entries_are_added_with_the_load(self) -> None:
        """The load of a burst: three entries bear at first what soon is spread over many."""
        members = [
            each._replace(load=0.8 if each.capacity == LARGE else 0.0) for each in unequal(3, 20)
        ]
        chosen = choose_entries(members)
        capacity = sum(each.capacity for each in chosen)
        self.assertGreaterEqual(capacity, HEADROOM_FACTOR * 0.8 * 3 * LARGE - SMALL)
        self.assertGreater(len(chosen), 10)

    def test_all_are_entries_when_all_are_overloaded(self) -> None:
        members = [each._replace(load=1.0) for each in unequal(3, 20)]
        self.assertCountEqual(choose_entries(members), members)

    def test_a_slowed_instance_is_avoided(self) -> None:
        """Symptom: a third of a failure domain's callers wait for seconds.

        One of the three entries gets no processor time. It stays the most capable one by its
        settings, so callers would be sent there for as long as it is slow.
        """
        members = unequal(3, 20)
        slowed = members[0]._replace(load=OVERLOADED_LOAD)
        chosen = choose_entries([slowed, *members[1:]])
        self.assertNotIn(slowed, chosen[: MIN_ENTRIES - 1])
        self.assertEqual({each.capacity for each in chosen[:2]}, {LARGE})


class NearestEntriesTest(unittest.TestCase):
    def choice(self, *members: Member) -> EntryChoice:
        seen = tuple(members)
        return EntryChoice(members=lambda: seen)

    def test_own_domain_then_region_then_all(self) -> None:
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

    def test_overloaded_domain_shares_its_callers_with_the_region(self) -> None:
        """Guards against a lone instance that answers seconds late beside idle ones."""
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

    def test_who_leaves_starts_or_is_suspect_is_no_entry(self) -> None:
        here = make_member(1)
        others = [
            make_member(2, state="leaving"),
            make_member(3, state="starting"),
            make_member(4, state="dead"),
            make_member(5, suspect=True),
        ]
        choice = self.choice(here, *others)
        self.assertEqual(choice.nearest("a-1", "a"), [here])
        self.assertFalse(any(choice.includes(each.address) for each in others))

    def test_hundreds_of_instances_agree_whatever_the_order(self) -> None:
        random = Random(1)
        members = [
            make_member(n, address=f"127.0.{n // 250}.{n % 250 + 1}", failure_domain=f"a-{n % 9}")
            for n in range(490)
        ]
        found: Counter[frozenset[str]] = Counter()
        for _ in range(5):
            random.shuffle(members)
            entries = self.choice(*members).by_domain["a-1"]
            found[frozenset(each.address for each in entries)] += 1
        self.assertEqual(len(found), 1)

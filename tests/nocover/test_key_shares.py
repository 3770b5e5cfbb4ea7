"""Key shares in proportion to slots, and few moves, for generated fleets and changes."""

import unittest
from collections import Counter
from collections.abc import Mapping
from typing import ClassVar

from hypothesis import Phase, assume, given, settings
from hypothesis import strategies as st
from loguru import logger

from tests.common.steering_parts import REGION_OF, make_server
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.key_hashes import KeyHashes
from wagtailpoint.placement.ranking import Ranking
from wagtailpoint.placement.weighted_order import order_by_distance

KEYS = 60_000
"""A server with 1 % of the slots has 600 keys, with a standard deviation of 4 %: a fifth of the
distance to the bounds."""

MIN_SHARE = 0.01
SERVERS = 40
MIN_SERVERS = 24
MIN_RATIO, MAX_RATIO = 0.8, 1.25
MAX_MOVES_RATIO = 1.2
DOMAINS = ("a-1", "a-2", "b-1")

# Servers with less than MIN_SHARE of the slots have too few keys for a bound; slots from 3 to 6
# keep the shares of all servers above it or close to it.
SLOTS = st.sampled_from((3, 4, 5, 6)) | st.sampled_from((2, 16)) | st.integers(2, 16)
FLEETS = st.lists(SLOTS, min_size=MIN_SERVERS, max_size=SERVERS - 1)


SLOW = settings(
    deadline=None, derandomize=True, database=None, phases=(Phase.explicit, Phase.generate)
)
"""Without shrinking, which takes many minutes with examples of seconds each."""


def shares(slots: Mapping[int, int]) -> Mapping[int, float]:
    total = sum(slots.values())
    return {server: count / total for server, count in slots.items()}


def least_moves(before: Mapping[int, int], after: Mapping[int, int]) -> float:
    """Return the least possible fraction of moved keys between two fleets."""
    old, new = shares(before), shares(after)
    return sum(max(0.0, new.get(server, 0.0) - old.get(server, 0.0)) for server in {*old, *new})


class KeySharesTest(unittest.TestCase):
    hashes: ClassVar[list[list[int]]]

    @classmethod
    def setUpClass(cls) -> None:
        hashes = KeyHashes()
        hashes.set_servers([f"i-{number:02d}" for number in range(SERVERS)])
        cls.hashes = [list(hashes.hashes_of(f"/r/{key}")) for key in range(KEYS)]

    def first_servers(self, slots: Mapping[int, int]) -> list[int]:
        servers, counts = list(slots), list(slots.values())
        return [
            servers[order_by_distance([row[server] for server in servers], counts)[0]]
            for row in self.hashes
        ]

    @settings(SLOW, max_examples=6)
    @given(fleet=FLEETS)
    def test_shares_of_keys_follow_the_shares_of_slots(self, fleet: list[int]) -> None:
        """Guards against small servers that get more keys than their slots can serve."""
        slots = dict(enumerate(fleet))
        counts = Counter(self.first_servers(slots))
        checked = 0
        for server, share in shares(slots).items():
            if share >= MIN_SHARE:
                checked += 1
                self.assertGreaterEqual(counts[server] / KEYS, MIN_RATIO * share)
                self.assertLessEqual(counts[server] / KEYS, MAX_RATIO * share)
        self.assertTrue(checked)

    @settings(SLOW, max_examples=6)
    @given(fleet=FLEETS, place=st.integers(0, SERVERS), added=SLOTS)
    def test_added_or_removed_server_moves_only_its_keys(
        self, fleet: list[int], place: int, added: int
    ) -> None:
        """Guards against moves between servers that stay; read backwards, this is a removal."""
        before = dict(enumerate(fleet))
        self.check_change(before, {**before, SERVERS - 1: added}, changed=SERVERS - 1)
        removed = place % len(fleet)
        after = {server: count for server, count in before.items() if server != removed}
        self.check_change(after, before, changed=removed)

    @settings(SLOW, max_examples=6)
    @given(fleet=FLEETS, place=st.integers(0, SERVERS), grown=st.integers(1, 20))
    def test_other_slots_move_only_the_difference(
        self, fleet: list[int], place: int, grown: int
    ) -> None:
        """Guards against moves of all keys of a server when its slots change."""
        before = dict(enumerate(fleet))
        changed = place % len(fleet)
        self.check_change(before, {**before, changed: before[changed] + grown}, changed=changed)

    def check_change(
        self, before: Mapping[int, int], after: Mapping[int, int], *, changed: int
    ) -> None:
        """Check that keys move to the changed server only, and few enough of them."""
        least = least_moves(before, after)
        old, new = self.first_servers(before), self.first_servers(after)
        moved_to = [now for then, now in zip(old, new, strict=True) if then != now]
        self.assertLessEqual(set(moved_to), {changed})
        if least >= MIN_SHARE:
            self.assertLessEqual(len(moved_to) / KEYS, MAX_MOVES_RATIO * least)

    @settings(SLOW, max_examples=4)
    @given(fleet=FLEETS, place=st.integers(0, SERVERS))
    def test_replaced_server_moves_its_keys_and_those_of_its_successor(
        self, fleet: list[int], place: int
    ) -> None:
        """Guards against moves between servers that stay when a server gets a new id."""
        before = dict(enumerate(fleet))
        replaced = place % len(fleet)
        after = {server: count for server, count in before.items() if server != replaced}
        after[SERVERS - 1] = before[replaced]
        old, new = self.first_servers(before), self.first_servers(after)
        moved = [(then, now) for then, now in zip(old, new, strict=True) if then != now]
        for then, now in moved:
            self.assertTrue(then == replaced or now == SERVERS - 1, (then, now))
        # An addition and a removal: the share of the slots that leaves, and that of the new ones.
        share = shares(before)[replaced]
        assume(share >= MIN_SHARE)
        self.assertLessEqual(len(moved) / KEYS, MAX_MOVES_RATIO * 2 * share)


def make_entries(slots: Mapping[str, int]) -> list[ServerEntry]:
    return [
        make_server(server, slots=count, failure_domain=DOMAINS[len(server) % 3])
        for server, count in slots.items()
    ]


NAMES = st.text(alphabet="abé/|", min_size=1, max_size=4)
HISTORIES = st.lists(
    st.dictionaries(NAMES, st.integers(1, 6) | st.integers(1, 100_000), max_size=30),
    min_size=1,
    max_size=6,
)


class AgreementTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(history=HISTORIES)
    def test_instances_with_the_same_view_agree(self, history: list[dict[str, int]]) -> None:
        """Guards against an order that depends on what an instance knew before."""
        keys = [f"/r/{key}" for key in range(12)]
        fleet = Fleet(region_of=REGION_OF)
        experienced = Ranking(fleet=fleet, own_domain="a-1", own_region="a")
        for slots in history:
            fleet.update(make_entries(slots))
            for key in keys:
                experienced.order_candidates("desk", key, None)
        new_fleet = Fleet(region_of=REGION_OF)
        new_fleet.update(reversed(make_entries(history[-1])))
        for domain in DOMAINS:
            fresh = Ranking(fleet=new_fleet, own_domain=domain, own_region=REGION_OF[domain])
            for key in keys:
                known = experienced.order_candidates("desk", key, None)
                found = fresh.order_candidates("desk", key, None)
                self.assertEqual(known.position, found.position)
                by_rank = {option.rank: option.candidate for option in found.ranked}
                for option in known.ranked:
                    self.assertEqual(by_rank.get(option.rank, option.candidate), option.candidate)
                self.assertEqual(
                    [option.candidate for option in known.ranked[:6]],
                    [option.candidate for option in found.ranked[:6]],
                )

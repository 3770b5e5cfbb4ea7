"""The order of backend servers for a key: by slots, the same on all instances and machines."""

import math
import unittest
from random import Random
from unittest import mock

import trio
from loguru import logger

from tests.common.steering_parts import REGION_OF, make_server
from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement import key_hashes, ranking, weighted_order
from wagtailpoint.placement.key_hashes import KeyHashes
from wagtailpoint.placement.ranking import Ranking
from wagtailpoint.placement.weighted_order import order_by_distance
from wagtailpoint.rendezvous import rendezvous_score

DOMAINS = ("a-1", "a-2", "b-1")
MAX_HASH = (1 << 64) - 1


def make_fleet(entries: list[ServerEntry]) -> Fleet:
    fleet = Fleet(region_of=REGION_OF)
    fleet.update(entries)
    return fleet


def make_ranking(fleet: Fleet, domain: str = "a-1") -> Ranking:
    return Ranking(fleet=fleet, own_domain=domain, own_region=REGION_OF[domain])


def order_before_weights(key: str, server_ids: list[str]) -> list[str]:
    """Return the order of instances whose version ignores slots."""
    return sorted(sorted(server_ids), key=lambda server_id: -rendezvous_score(key, server_id))


def ordered_ids(placed: Ranking, key: str) -> list[str]:
    order = placed.order_candidates("desk", key, None)
    return [option.candidate.entry.server_id for option in order.ranked]


class WeightedOrderTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def test_no_servers_have_an_empty_order(self) -> None:
        self.assertEqual(order_by_distance([], []), [])

    def test_equal_hashes_are_ordered_by_server_id(self) -> None:
        """Guards against an order that depends on the order in which servers became known."""
        self.assertEqual(order_by_distance([7, 7, 9, 7], [3, 3, 3, 3]), [2, 0, 1, 3])
        self.assertEqual(order_by_distance([7, 7, 9, 7], [3, 3, 3, 1]), [2, 0, 1, 3])

    def test_extreme_hashes_and_slots_have_an_order(self) -> None:
        """Guards against a logarithm of 0 and against hashes that are rounded to 1."""
        hashes = [0, MAX_HASH, MAX_HASH - 1, 1, 1 << 63, (1 << 63) - 1]
        self.assertEqual(order_by_distance(hashes, [1, 1, 1, 1, 1, 2])[:3], [1, 2, 5])
        order = order_by_distance(hashes, [100_000, 1, 1, 100_000, 1, 1])
        self.assertEqual(sorted(order), list(range(6)))

    def test_equal_slots_are_ordered_by_hash_among_other_slots(self) -> None:
        """Guards against rounded hashes: neighbours have the same floating-point logarithm."""
        near = [5 << 60, (5 << 60) + 1, (5 << 60) + 2]
        order = order_by_distance([*near, 1], [4, 4, 4, 9])
        self.assertEqual([place for place in order if place < 3], [2, 1, 0])

    def test_order_does_not_depend_on_the_errors_of_the_mathematical_library(self) -> None:
        """Guards against instances on different machines that disagree on close distances."""
        random = Random(1)
        # u squared has twice the distance of u, so with twice the slots the distances are close.
        hashes = [random.getrandbits(64) for _ in range(40)]
        squares = [(value * value) >> 64 for value in hashes]
        cases = ([*hashes, *squares], [2] * 40 + [4] * 40)
        expected = order_by_distance(*cases)
        for error in (-4e-15, 4e-15):

            def disturbed(value: float, error: float = error) -> float:
                return math.log(value) * (1 + error * random.random())

            def disturbed_log1p(value: float, error: float = error) -> float:
                return math.log1p(value) * (1 - error * random.random())

            with (
                mock.patch.object(weighted_order, "log", disturbed),
                mock.patch.object(weighted_order, "log1p", disturbed_log1p),
            ):
                self.assertEqual(order_by_distance(*cases), expected)

    def test_instances_of_the_version_before_agree_where_slots_are_equal(self) -> None:
        """Guards against two versions that send a key to two servers in a rolling upgrade."""
        for slots in (1, 4, 9, 100_000):
            entries = [
                make_server(f"i-{number:x}", slots=slots, failure_domain=DOMAINS[number % 3])
                for number in range(39)
            ]
            placed = make_ranking(make_fleet(entries))
            ids = [entry.server_id for entry in entries]
            for key in range(200):
                before = order_before_weights(f"/r/{key}", ids)
                order = placed.order_candidates("desk", f"/r/{key}", None)
                for option in order.ranked:
                    self.assertEqual(before[option.rank], option.candidate.entry.server_id)

    def test_only_keys_of_servers_with_other_slots_differ_from_the_version_before(self) -> None:
        """Guards against a whole fleet that disagrees because one server has other slots."""
        entries = [make_server(f"i-{number}", slots=4) for number in range(30)]
        mixed = [*entries[1:], entries[0]._replace(slots=9)]
        placed = make_ranking(make_fleet(mixed))
        ids = [entry.server_id for entry in entries]
        for key in range(1000):
            before = order_before_weights(str(key), ids)[0]
            self.assertIn(ordered_ids(placed, str(key))[0], (before, "i-0"))

    def test_restart_under_the_old_id_moves_no_key(self) -> None:
        """Guards against a place of a key that depends on the start of a server."""
        entries = [make_server(f"i-{number}", slots=2 + number) for number in range(24)]
        placed = make_ranking(fleet := make_fleet(entries))
        before = [ordered_ids(placed, str(key)) for key in range(300)]
        fleet.update([entries[0]._replace(started_ms=1_700_000_000_000), *entries[1:]])
        self.assertEqual([ordered_ids(placed, str(key)) for key in range(300)], before)
        first = placed.order_candidates("desk", "0", None).ranked[0].candidate
        self.assertEqual(first.entry, fleet.entries[first.entry.server_id])

    def test_draining_and_evacuation_move_only_the_keys_of_those_servers(self) -> None:
        """Guards against servers that stay but lose keys because another one drains."""
        entries = [
            make_server(f"i-{number}", slots=2 + number % 5, failure_domain=DOMAINS[number % 3])
            for number in range(24)
        ]
        placed = make_ranking(fleet := make_fleet(entries))
        before = {str(key): ordered_ids(placed, str(key))[:6] for key in range(400)}

        def check(gone: set[str]) -> None:
            for key, order in before.items():
                stay = [server_id for server_id in order if server_id not in gone]
                self.assertEqual(ordered_ids(placed, key)[: len(stay)], stay)

        drained = [entries[4]._replace(draining=True), entries[7]._replace(draining=True)]
        fleet.apply_changes(drained, gone=[])
        check({"i-4", "i-7"})
        fleet.apply_changes([entries[4], entries[7]], gone=[])
        check(set())
        fleet.evacuate(frozenset(["b-1"]), {})
        check({entry.server_id for entry in entries if entry.failure_domain == "b-1"})

        async def reinstate() -> None:
            fleet.evacuate(frozenset(), {})

        trio.run(reinstate)
        check(set())

    def test_changed_entry_is_used_though_the_order_stays(self) -> None:
        """Guards against requests to the former address of a server."""
        entries = [make_server(f"i-{number}") for number in range(3)]
        placed = make_ranking(fleet := make_fleet(entries))
        ordered_ids(placed, "k")
        fleet.update([entry._replace(failure_domain="b-1") for entry in entries])
        order = placed.order_candidates("desk", "k", None)
        self.assertEqual({option.in_domain for option in order.ranked}, {False})
        self.assertEqual(
            {option.candidate.entry.failure_domain for option in order.ranked}, {"b-1"}
        )

    def test_change_of_another_service_keeps_the_orders(self) -> None:
        """Guards against orders that are computed anew with each change of the store."""
        entries = [make_server(f"i-{number}") for number in range(3)]
        placed = make_ranking(fleet := make_fleet(entries))
        order = placed.order_candidates("desk", "k", None)
        fleet.update([*entries, make_server("i-9", service="other")])
        self.assertIs(placed.order_candidates("desk", "k", None), order)


class KeyHashesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")

    def test_hashes_are_the_rendezvous_scores(self) -> None:
        """Guards against another order than that of the version before."""
        hashes = KeyHashes()
        hashes.set_servers(["i-1", "ü", ""])
        expected = [rendezvous_score("/k|1", server) for server in ("i-1", "ü", "")]
        self.assertEqual(list(hashes.hashes_of("/k|1")), expected)

    def test_only_hashes_with_new_servers_are_computed(self) -> None:
        """Guards against the processor time of all hashes at each change of a server."""
        hashes = KeyHashes()
        hashes.set_servers([f"i-{number}" for number in range(20)])
        hashes.hashes_of("k")
        hashes.set_servers(["i-3", "i-new", "i-7"])
        with mock.patch.object(key_hashes, "_hash", wraps=key_hashes._hash) as computed:
            found = list(hashes.hashes_of("k"))
        self.assertEqual(found, [rendezvous_score("k", name) for name in ("i-3", "i-new", "i-7")])
        computed.assert_called_once_with("k", [b"i-new"])

    def test_hashes_of_servers_that_are_gone_are_dropped(self) -> None:
        """Guards against memory that grows with each server that ever was."""
        hashes = KeyHashes()
        for start in range(0, 2000, 10):
            hashes.set_servers([f"i-{number}" for number in range(start, start + 30)])
            self.assertEqual(
                list(hashes.hashes_of("k")),
                [rendezvous_score("k", f"i-{number}") for number in range(start, start + 30)],
            )
            self.assertLessEqual(hashes.count, 30 + key_hashes.MIN_UNUSED_PLACES + 30)

    def test_number_of_hashes_is_bounded(self) -> None:
        """Guards against memory that grows with each key that ever was."""
        placed = make_ranking(make_fleet([make_server(f"i-{number}") for number in range(10)]))
        with mock.patch.object(ranking, "MAX_CACHED_HASHES", 500):
            for key in range(200):
                placed.order_candidates("desk", str(key), None)
                kept = sum(orders.hashes.count for orders in placed._services.values())
                self.assertLessEqual(kept, 510)

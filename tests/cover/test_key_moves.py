"""The counts of affinity keys that are sent to another backend server, by reason."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from unittest import mock

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.steering_parts import (
    REGION_OF,
    make_distances,
    make_placement,
    make_route,
    make_server,
    make_table,
)
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement import key_moves
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.choice import Choice, Demand
from wagtailpoint.placement.entry_counts import FixedEntryCounts
from wagtailpoint.placement.key_moves import KeyMoves

PREFIX = "placement.moved."


class KeyMovesTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.fleet = Fleet(region_of=REGION_OF)
        self.servers = [make_server(f"i-{number}") for number in range(8)]
        self.fleet.update(self.servers)
        self.metrics = Metrics()
        self.skipped: set[str] = set()

    def run_with(self, test: Callable[[KeyMoves], Awaitable[None]]) -> None:
        async def run() -> None:
            entries = FixedEntryCounts(everywhere=1, in_region=1, in_domain=1)
            self.fractions = CachedFraction(fleet=self.fleet, entries=entries)
            moves = KeyMoves(
                fleet=self.fleet,
                distances=make_distances(),
                cached_fraction=self.fractions,
                metrics=self.metrics,
                is_skipped=lambda entry: entry.server_id in self.skipped,
            )
            await test(moves)

        trio.run(run, clock=MockClock(autojump_threshold=0))

    def demand(self, key: str = "k", **changes: object) -> Demand:
        demand = Demand(
            route=make_route(),
            service="desk",
            policy=make_table().services["desk"],
            key=key,
            tried=(),
            remaining_s=1.0,
            objective_remaining_s=0.3,
        )
        return demand._replace(**changes)  # type: ignore[arg-type]

    def counts(self) -> Counter[str]:
        return Counter(
            {
                name.removeprefix(PREFIX): count
                for name, count in self.metrics.counts.items()
                if name.startswith(PREFIX)
            }
        )

    def test_first_request_and_same_server_are_no_moves(self) -> None:
        async def test(moves: KeyMoves) -> None:
            for _ in range(3):
                moves.record(self.demand(), "i-1")
            moves.record(self.demand("other"), "i-2")
            self.assertEqual(self.counts(), {})

        self.run_with(test)

    def test_route_that_is_not_sticky_has_no_moves(self) -> None:
        """Guards against counts of requests whose server does not matter."""

        async def test(moves: KeyMoves) -> None:
            route = make_route(sticky=False)
            moves.record(self.demand(route=route), "i-1")
            moves.record(self.demand(route=route), "i-2")
            self.assertEqual(self.counts(), {})

        self.run_with(test)

    def test_each_reason_is_told_apart(self) -> None:
        """Guards against a change of the fleet that is counted as load, or the reverse."""

        async def test(moves: KeyMoves) -> None:
            for key in ("gone", "back", "grown", "new", "load", "tried", "skipped"):
                moves.record(self.demand(key), "i-1" if key in ("gone", "back") else "i-2")
            moves.record(self.demand("load"), "i-3")
            self.assertEqual(self.counts(), {"full": 1})
            self.fleet.update([*self.servers[2:], make_server("i-9")])
            moves.record(self.demand("gone"), "i-2")
            moves.record(self.demand("new"), "i-9")
            self.assertEqual(self.counts(), {"full": 1, "removed": 1, "added": 1})
            self.fleet.update([*self.servers, make_server("i-9")])
            moves.record(self.demand("back"), "i-2")
            self.assertEqual(self.counts()["removed"], 2)
            moves.record(self.demand("tried", tried=["i-2"]), "i-4")
            self.skipped.add("i-2")
            moves.record(self.demand("skipped"), "i-4")
            self.skipped.clear()
            self.assertEqual(self.counts()["substitute"], 2)
            resized = [*self.servers[:5], make_server("i-5", slots=30), *self.servers[6:]]
            self.fleet.update(resized)
            moves.record(self.demand("grown"), "i-5")
            self.assertEqual(
                self.counts(),
                {"full": 1, "removed": 2, "added": 1, "substitute": 2, "resized": 1},
            )

        self.run_with(test)

    def test_changed_fraction_is_told_apart_from_load(self) -> None:
        """Guards against moves by a smaller kept fraction that look like full servers."""

        async def test(moves: KeyMoves) -> None:
            with mock.patch.object(self.fractions, "region_fraction", return_value=1.0):
                moves.record(self.demand(), "i-1")
            with mock.patch.object(self.fractions, "region_fraction", return_value=0.0):
                moves.record(self.demand(), "i-2")
                moves.record(self.demand(), "i-3")
            self.assertEqual(self.counts(), {"fraction": 1, "full": 1})

        self.run_with(test)

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with each key and service that ever was."""

        async def test(moves: KeyMoves) -> None:
            with (
                mock.patch.object(key_moves, "MAX_KEYS", 50),
                mock.patch.object(key_moves, "MAX_SERVICES", 5),
            ):
                for number in range(300):
                    demand = self.demand(str(number), service=f"s-{number % 30}")
                    moves.record(demand, "i-1")
            self.assertLessEqual(len(moves._places), 50)
            self.assertLessEqual(len(moves._candidates), 5)

        self.run_with(test)

    def test_sent_requests_are_counted_with_the_reason(self) -> None:
        """Guards against a placement that does not record what it sends."""

        async def test(_: KeyMoves) -> None:
            backoffs = RequestedBackoffs(metrics=Metrics())
            placement = make_placement(self.fleet, backoffs=backoffs, metrics=self.metrics)
            first = placement.choose(self.demand())
            assert isinstance(first, Choice)
            placement.record_end(first.entry, placement.record_send(self.demand(), first))
            backoffs.record(first.entry.start.key, 5.0, source="answer")
            second = placement.choose(self.demand())
            assert isinstance(second, Choice)
            placement.record_send(self.demand(), second)
            self.assertEqual(self.counts(), {"substitute": 1})
            self.fleet.update([entry for entry in self.servers if entry != second.entry])
            third = placement.choose(self.demand())
            assert isinstance(third, Choice)
            placement.record_send(self.demand(), third)
            self.assertEqual(self.counts(), {"substitute": 1, "removed": 1})

        self.run_with(test)

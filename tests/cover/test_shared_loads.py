"""What an instance logs and measures of the keys that it shares with its region."""

import unittest
from collections.abc import Mapping
from random import Random
from typing import Any
from unittest.mock import Mock, patch

import trio
from loguru import logger
from trio.testing import MockClock

from tests.common.fake_peers import FakeNetwork, FakePeers
from tests.common.steering_parts import REGION_OF, make_distances, make_peer, make_server
from wagtailpoint.daemon.shared_loads import MOVED_PREFIX, MOVES_LOG_INTERVAL_S, SharedLoads
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.entry_counts import FixedEntryCounts
from wagtailpoint.ports.peers import PeerAddress

ADDRESS = "10.0.0.1"


class SharedLoadsTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.on = True
        self.metrics = Metrics()
        self.fleet = Fleet(region_of=REGION_OF)
        self.fleet.update([make_server("i-1")])
        entries = FixedEntryCounts(everywhere=3, in_region=3, in_domain=3)
        self.loads = SharedLoads(
            role=Mock(choice=Mock(all=()), nearby_counts=entries),
            peers=FakePeers(network=FakeNetwork(), address=PeerAddress(ADDRESS, 8146, 7)),
            membership=Mock(own=make_peer(ADDRESS)),
            fleet=self.fleet,
            distances=make_distances(),
            is_enabled=lambda service: self.on,
            metrics=self.metrics,
            random=Random(1),
        )

    def logged_moves(self) -> list[Mapping[str, Any]]:
        """Return the fields of what is logged while three keys move, two and then one."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.loads.run)
                for count in (2, 0, 1):
                    self.metrics.count(MOVED_PREFIX + "load", count)
                    await trio.sleep(MOVES_LOG_INTERVAL_S + 0.1)
                nursery.cancel_scope.cancel()

        with patch("wagtailpoint.daemon.shared_loads.log_event") as log:
            trio.run(run, clock=MockClock(autojump_threshold=0))
        return [call.kwargs for call in log.call_args_list]

    def test_moved_keys_are_logged_once(self) -> None:
        self.assertEqual(self.logged_moves(), [{"load": 2}, {"load": 1}])

    def test_moved_keys_are_not_logged_where_the_exchange_is_off(self) -> None:
        """Guards against a new log line for deployments that did not ask for the exchange."""
        self.on = False
        self.assertEqual(self.logged_moves(), [])
        self.assertEqual(self.loads.gauges, {"min_region_fraction": 1.0, "bounded_services": 0})


if __name__ == "__main__":
    unittest.main()

"""What is forgotten of a backend server when it is reached by another path."""

import unittest

from wagtailpoint.placement.server_load import ServerLoad

ROUND_TRIP_S = 0.001
STAY_S = 0.05


class PathChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = ServerLoad()
        self.load.record_latency(STAY_S, STAY_S, 1.0)

    def test_requests_that_are_stuck_on_a_lost_path_take_no_room(self) -> None:
        """Guards against refusals for requests that hang and never reached their server."""
        stuck = [self.load.record_send(10.0, STAY_S) for _ in range(3)]
        self.assertEqual(self.load.occupancy(11.0, ROUND_TRIP_S), 3)
        self.load.record_path_change(11.0)
        self.assertEqual(self.load.occupancy(11.0, ROUND_TRIP_S), 0)
        self.load.record_send(11.0, STAY_S)
        self.assertEqual(self.load.occupancy(11.01, ROUND_TRIP_S), 1)
        for request in stuck:
            self.load.record_end(request, 11.01)

    def test_silence_on_a_lost_path_is_forgotten(self) -> None:
        """Guards against backend servers that are avoided although others reach them."""
        self.load.record_send(10.0, STAY_S)
        self.load.record_unreachable(10.5)
        self.assertTrue(self.load.is_suspect(11.0, ROUND_TRIP_S))
        self.load.record_path_change(11.0)
        self.assertFalse(self.load.is_suspect(11.0, ROUND_TRIP_S))

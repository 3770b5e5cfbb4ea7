"""The selection of the newest heartbeat of each backend server."""

import unittest

from tests.common.steering_parts import make_server
from wagtailpoint.discovery.entries import RegisteredServer, ServerEntry
from wagtailpoint.discovery.newest_heartbeats import MAX_SERVERS, NewestHeartbeats


class NewestHeartbeatsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.heartbeats = NewestHeartbeats()

    def newest(self, entry: ServerEntry, sequence: int) -> ServerEntry:
        return self.heartbeats.newest(RegisteredServer(entry, sequence))

    def test_delayed_heartbeat_does_not_undo_a_drain(self) -> None:
        """Guards against requests to a backend server long after it began to drain.

        The store executes the write of a heartbeat seconds late, after the write that reported the
        drain. The entry that the store holds is then not the newest.
        """
        draining = make_server("i-1", draining=True)
        self.newest(make_server("i-1"), 6)
        self.newest(draining, 7)
        self.assertEqual(self.newest(make_server("i-1"), 5), draining)
        self.assertEqual(self.newest(make_server("i-1"), 8), make_server("i-1"))

    def test_heartbeat_of_an_earlier_start_does_not_undo_a_later_one(self) -> None:
        """Guards against treating a backend server that has just started as warm.

        It restarts under the same id. A heartbeat of its earlier start, with a higher number,
        arrives after the first one of the new start; the numbers restart with each start.
        """
        later = make_server("i-1", started_ms=2000, cold_left_s=3.0)
        self.newest(make_server("i-1", started_ms=1000), 40)
        self.assertEqual(self.newest(later, 1), later)
        self.assertEqual(self.newest(make_server("i-1", started_ms=1000), 41), later)

    def test_first_reported_start_replaces_an_unreported_one(self) -> None:
        later = make_server("i-1", started_ms=2000)
        self.newest(make_server("i-1"), 40)
        self.assertEqual(self.newest(later, 1), later)

    def test_number_of_kept_heartbeats_is_bounded(self) -> None:
        for number in range(2 * MAX_SERVERS):
            self.newest(make_server(f"i-{number}"), 9)
        self.assertEqual(self.newest(make_server("i-0", slots=5), 1).slots, 5)
        last = 2 * MAX_SERVERS - 1
        self.assertEqual(self.newest(make_server(f"i-{last}", slots=5), 1).slots, 3)

"""Which of the entries that come for one backend server is believed."""

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
        """Symptom: requests reach a backend server long after it said that it drains.

        Sequence: a heartbeat's write is executed by the store seconds late, behind the one that
        said draining. Cause: the entry that the store holds was taken for the newest.
        """
        draining = make_server("i-1", draining=True)
        self.newest(make_server("i-1"), 6)
        self.newest(draining, 7)
        self.assertEqual(self.newest(make_server("i-1"), 5), draining)
        self.assertEqual(self.newest(make_server("i-1"), 8), make_server("i-1"))

    def test_heartbeat_of_an_earlier_start_does_not_undo_a_later_one(self) -> None:
        """Symptom: a backend server that has just started is taken for one that is long warm.

        Sequence: it starts again under its id; a heartbeat of its earlier start, with a higher
        count, comes after the first one of the new start. Cause: counts begin anew with each start.
        """
        later = make_server("i-1", started_ms=2000, cold_left_s=3.0)
        self.newest(make_server("i-1", started_ms=1000), 40)
        self.assertEqual(self.newest(later, 1), later)
        self.assertEqual(self.newest(make_server("i-1", started_ms=1000), 41), later)

    def test_start_is_told_for_the_first_time(self) -> None:
        later = make_server("i-1", started_ms=2000)
        self.newest(make_server("i-1"), 40)
        self.assertEqual(self.newest(later, 1), later)

    def test_many_backend_servers_come_and_go(self) -> None:
        for number in range(2 * MAX_SERVERS):
            self.newest(make_server(f"i-{number}"), 9)
        self.assertEqual(self.newest(make_server("i-0", slots=5), 1).slots, 5)
        last = 2 * MAX_SERVERS - 1
        self.assertEqual(self.newest(make_server(f"i-{last}", slots=5), 1).slots, 3)

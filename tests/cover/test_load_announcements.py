"""Load reports in the heads of responses."""

import unittest
from unittest import mock

from tests.common.steering_parts import make_server
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.proxy import server_announcements
from wagtailpoint.proxy.server_announcements import ServerAnnouncements


class LoadAnnouncementTest(unittest.TestCase):
    def test_malformed_reports_are_counted_and_logged_once_for_each_server(self) -> None:
        """Guards against a log line for each response of a server with another form of report."""
        metrics = mock.create_autospec(Metrics, instance=True)
        announcements = ServerAnnouncements(
            backoffs=RequestedBackoffs(metrics=Metrics()),
            record_leaving=lambda start: None,
            tell_relay=lambda relay, start: None,
            names=HEADER_NAMES,
            metrics=metrics,
        )
        with mock.patch.object(server_announcements, "log_event") as log_event:
            for name in ("i-1", "i-1", "i-2", "i-1"):
                headers = [(HEADER_NAMES.load, b"1,2,3,4,5")]
                self.assertIsNone(announcements.read_load(make_server(name), headers))
            self.assertIsNone(announcements.read_load(make_server("i-3"), []))
        self.assertEqual(metrics.count.mock_calls, 4 * [mock.call("load-report.malformed")])
        self.assertEqual([c.kwargs["server"] for c in log_event.mock_calls], ["i-1", "i-2"])
        report = announcements.read_load(make_server("i-1"), [(HEADER_NAMES.load, b"1,0,4,150")])
        self.assertEqual(report, LoadReport(1, 0, 4, 1.5, has_pace=True))

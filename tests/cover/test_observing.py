"""Metrics and their text format, timeline events of requests, log lines, API pages."""

import unittest
from contextlib import redirect_stdout
from http import HTTPStatus
from io import StringIO

import trio
from loguru import logger

from tests.common.fake_clock import FakeClock
from wagtailpoint.daemon.api import ApiRouter, Page
from wagtailpoint.daemon.metrics_page import collect_metrics, metrics_text
from wagtailpoint.daemon.request_observer import RequestObserver
from wagtailpoint.entry.observer import CompletedRequest
from wagtailpoint.entry.request import CallerRequest
from wagtailpoint.observe.hlc import ZERO_STAMP, HybridClock
from wagtailpoint.observe.log import configure_log, log_event
from wagtailpoint.observe.metrics import MAX_HISTOGRAMS, OTHER, LatencyKey, Metrics
from wagtailpoint.observe.timeline import Timeline
from wagtailpoint.ports.backend import BackendAddress, BackendFailure
from wagtailpoint.ports.peers import PeerCounts, Traffic
from wagtailpoint.verdict import Verdict

HEADERS = [(b"wagtailpoint-request-id", b"r1"), (b"wagtailpoint-workspace", b"surakkha")]


class MetricsTest(unittest.TestCase):
    def test_histograms_are_bounded(self) -> None:
        metrics = Metrics()
        for number in range(MAX_HISTOGRAMS + 50):
            metrics.record_latency(LatencyKey("request", f"w{number}"), 0.01)
        self.assertLessEqual(len(list(metrics.latencies())), MAX_HISTOGRAMS + 1)
        other = dict(metrics.latencies())[LatencyKey("request", OTHER)]
        self.assertEqual(other["count"], 50)

    def test_latency_beyond_the_histogram_is_counted(self) -> None:
        metrics = Metrics()
        metrics.record_latency(LatencyKey("request"), 1e6)
        self.assertEqual(next(metrics.latencies())[1]["count"], 1)

    def test_text_format(self) -> None:
        metrics = Metrics()
        metrics.count("verdict.ran", 3)
        metrics.record_latency(LatencyKey("request", 'a"b', "browse", verdict="ran"), 0.5)
        peers = PeerCounts({"heartbeat": Traffic(2, 80)}, {}, {"link-full": 1})
        snapshot = trio.run(collect_metrics, metrics, peers, {"open_requests": 4})
        lines = metrics_text(snapshot).decode().splitlines()
        labels = r'workspace="a\"b",class="browse",verdict="ran"'
        for line in (
            "# TYPE wagtailpoint_request_seconds summary",
            f"wagtailpoint_request_seconds_count{{{labels}}} 1",
            f"wagtailpoint_request_seconds_sum{{{labels}}} 0.5",
            "wagtailpoint_open_requests 4",
            'wagtailpoint_events_total{event="verdict.ran"} 3',
            'wagtailpoint_peer_bytes_total{direction="sent",kind="heartbeat"} 80',
        ):
            self.assertIn(line, lines)


class RequestObserverTest(unittest.TestCase):
    def setUp(self) -> None:
        clock = FakeClock()
        self.metrics = Metrics()
        hybrid = HybridClock(wall=clock.wall)
        self.timeline = Timeline(clock=hybrid, instance="e", max_events=10)
        self.observer = RequestObserver(metrics=self.metrics, timeline=self.timeline, clock=clock)

    def request(self, *more: tuple[bytes, bytes]) -> CallerRequest:
        return CallerRequest("GET", "/p", "/p", [*HEADERS, *more], None, None, 0.0)

    def events(self) -> list[tuple[str, object]]:
        return [
            (event.event, event.fields["request_id"]) for event in self.timeline.since(ZERO_STAMP)
        ]

    def test_plain_answers_are_counted_without_an_event(self) -> None:
        self.observer.on_completed(self.request(), CompletedRequest(None, 200, Verdict.RAN, "ok"))
        self.assertEqual(self.events(), [])
        self.assertEqual(self.metrics.counts["verdict.ran"], 1)

    def test_keyed_refused_retried_and_broken_requests_have_an_event(self) -> None:
        plain, keyed = self.request(), self.request((b"idempotency-key", b"k"))
        self.observer.on_completed(keyed, CompletedRequest(None, 200, Verdict.RAN, "ok"))
        self.observer.on_completed(plain, CompletedRequest(None, 503, Verdict.NOT_RUN, "no-slot"))
        failure = BackendFailure(Verdict.MAY_HAVE_RUN, "reset")
        self.observer.on_exchange_failed(plain, BackendAddress("127.1.1.1", 1), failure, again=True)
        self.observer.on_reply_broken(plain, "short")
        names = ["request-answered", "request-refused", "request-retried", "request-broken"]
        self.assertEqual(self.events(), [(name, "r1") for name in names])


class LogLineTest(unittest.TestCase):
    def line(self, **fields: str) -> str:
        with redirect_stdout(StringIO()) as written:
            configure_log(level="INFO", instance="e")
            log_event("test", **fields)
            logger.remove()
            logger.configure(extra={})
        return written.getvalue()

    def test_event_is_one_line_of_key_value_pairs(self) -> None:
        line = self.line(target="/a?b", reason='a "b" c\\')
        self.assertIn('level=INFO event=test instance=e target=/a?b reason="a \\"b\\" c', line)

    def test_event_named_in_the_message_is_not_repeated(self) -> None:
        with redirect_stdout(StringIO()) as written:
            configure_log(level="INFO", instance="e")
            logger.info("event=seat-taken seat={}", "a-1")
            logger.remove()
            logger.configure(extra={})
        self.assertIn("level=INFO event=seat-taken seat=a-1 instance=e", written.getvalue())

    def test_value_cannot_forge_a_line(self) -> None:
        """Guards against forged log lines, made by a line break in the value of a header."""
        line = self.line(reason="a\r\nlevel=ERROR event=forged\x1b\u2028")
        self.assertEqual(len(line.splitlines()), 1, line)


class ApiRouterTest(unittest.TestCase):
    def test_synchronous_page_returns_the_request_id(self) -> None:
        def page(query):
            return Page(HTTPStatus.OK, dict(query))

        pages = ApiRouter(pages={}, quick={"echo": page})
        reply = pages.answer(b"/v1/echo?a=1&a=2", HEADERS)
        assert reply is not None
        self.assertEqual(reply.body, b'{"a":"2"}')
        self.assertIn(HEADERS[0], reply.headers)
        self.assertIn((b"wagtailpoint-verdict", b"ran"), reply.headers)
        self.assertIsNone(pages.answer(b"/v1/other", []))

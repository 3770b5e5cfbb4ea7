"""Metrics and timeline events of requests, and the memory used for large bodies."""

from tests.common.entry_case import (
    BALANCE,
    MAX_GROWTH_BYTES,
    MEGABYTE,
    RECEIVE_BYTES,
    RELEASE,
    EntryTestCase,
    peak_memory_bytes,
)


class ObservedRequestTest(EntryTestCase):
    """Requests appear in metrics and on the timeline shortly after their replies.

    A request is counted after its reply has ended, and its caller may read the pages before that.
    The tests therefore poll for the expected entries.
    """

    def names(self, request_id: str) -> list[object]:
        return [event["event"] for event in self.events(request_id)]

    def events(self, request_id: str) -> list[dict[str, object]]:
        events = self.entry.page("timeline")["events"]
        return [event for event in events if event.get("request_id") == request_id]

    def test_events_of_a_retried_request(self) -> None:
        desk = self.running.backends["deposit-desk"]
        desk.set_mode(reset_after=1.0)
        self.addCleanup(desk.set_mode)
        answer = self.ask(BALANCE + "Wagtailpoint-Request-Id: follow-1\r\n\r\n")
        self.check_refused(answer, 502, verdict="may-have-run")
        self.wait_until(lambda: "request-refused" in self.names("follow-1"), "the refusal")
        names = self.names("follow-1")
        self.assertEqual(names[0], "request-retried")
        self.assertEqual(names[-2:], ["request-given-up", "request-refused"])

    def test_events_of_a_keyed_request(self) -> None:
        ids = "Wagtailpoint-Request-Id: follow-2\r\nIdempotency-Key: key-2\r\n"
        answer = self.ask(RELEASE + ids + "Content-Length: 2\r\n\r\n{}")
        self.assertEqual(answer.verdict, "ran")
        self.wait_until(lambda: len(self.events("follow-2")) > 1, "both events")
        events = {event["event"]: event["key"] for event in self.events("follow-2")}
        self.assertEqual(events, {"attempt-ended": "key-2", "request-answered": "key-2"})

    def test_metrics_as_text(self) -> None:
        self.check_still_serves()
        labels = 'workspace="surakkha",class="balance",verdict="ran",code="ok"'
        wanted = f"wagtailpoint_request_seconds_count{{{labels}}} "
        self.wait_until(lambda: wanted in self.metrics_text(), "the count of the request")

    def metrics_text(self) -> str:
        answer = self.ask("GET /v1/metrics?format=text HTTP/1.1\r\nHost: e\r\n\r\n")
        self.assertEqual(answer.headers["content-type"], "text/plain; version=0.0.4; charset=utf-8")
        return answer.body.decode()


class LargeBodyTest(EntryTestCase):
    SIZE = 200 * MEGABYTE

    def test_memory_is_bounded_during_a_long_download(self) -> None:
        before = peak_memory_bytes(self.entry.pid)
        path = f"/statements/bulk/{self.SIZE}"
        with self.connected() as connection:
            connection.send(BALANCE.replace("/deposits/balance/7", path) + "\r\n")
            received = 0
            while received < self.SIZE:
                data = connection.socket.recv(RECEIVE_BYTES)
                self.assertTrue(data, "the download was cut")
                received += len(data)
        self.assertLess(peak_memory_bytes(self.entry.pid) - before, MAX_GROWTH_BYTES)

    def test_memory_is_bounded_during_a_long_upload(self) -> None:
        before = peak_memory_bytes(self.entry.pid)
        piece = b"x" * MEGABYTE
        with self.connected() as connection:
            connection.send(RELEASE + f"Content-Length: {self.SIZE}\r\n\r\n")
            for _ in range(self.SIZE // MEGABYTE):
                connection.send(piece)
            answer = connection.read()
        self.assertIn((answer.status, answer.verdict), [(200, "ran"), (504, "may-have-run")])
        self.assertLess(peak_memory_bytes(self.entry.pid) - before, MAX_GROWTH_BYTES)

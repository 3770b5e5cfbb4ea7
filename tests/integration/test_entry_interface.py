"""The interface to callers over real sockets: malformed, oversized and slow requests."""

import json
import re
import socket
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from tests.common.deployment_process import EntryProcess, RunningDeployment
from tests.common.processes import LIMIT_S

MEGABYTE = 1024 * 1024
BODY_LIMIT = 256 * MEGABYTE
RECEIVE_BYTES = 256 * 1024
BALANCE = "GET /deposits/balance/7 HTTP/1.1\r\nHost: e\r\nWagtailpoint-Workspace: surakkha\r\n"
RELEASE = "POST /releases HTTP/1.1\r\nHost: e\r\nWagtailpoint-Workspace: surakkha\r\n"


MOST_GROWTH = 24 * MEGABYTE


def peak_memory(pid: int) -> int:
    """The most memory that a process ever had resident, in bytes."""
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) * 1024


class Raw(NamedTuple):
    """A response as bytes on a socket."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        return self.headers.get("wagtailpoint-verdict", "")

    @property
    def code(self) -> str:
        return str(json.loads(self.body)["code"])


class RawConnection:
    """A caller's connection of which the test decides every byte."""

    def __init__(self, place: tuple[str, int], *, receive_buffer: int | None = None) -> None:
        self.socket = socket.socket()
        self.socket.settimeout(LIMIT_S)
        if receive_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(place)
        self._file = self.socket.makefile("rb")

    def send(self, text: str | bytes) -> None:
        self.socket.sendall(text.encode() if isinstance(text, str) else text)

    def read(self, *, has_body: bool = True) -> Raw:
        """Read one final response; those before it (100) are left out."""
        while True:
            status = int(self._file.readline().split()[1])
            lines = iter(lambda: self._file.readline().decode().rstrip("\r\n"), "")
            pairs = (line.split(":", 1) for line in lines)
            headers = {name.lower(): value.strip() for name, value in pairs}
            if status >= 200:
                break
        length = int(headers.get("content-length", 0)) if has_body else 0
        return Raw(status, headers, self._file.read(length))

    def read_line(self) -> bytes:
        return self._file.readline()

    def ends(self) -> bool:
        """Wait for the end of the connection; False if the entry sent something instead."""
        try:
            return self._file.read(1) == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self._file.close()
        self.socket.close()


class EntryTestCase(unittest.TestCase):
    """One entry instance of a running deployment."""

    running: RunningDeployment
    entry: EntryProcess
    limits = {"request_body_bytes": BODY_LIMIT, "header_bytes": 16 * 1024}
    timings = {"caller_idle_s": 20.0, "caller_stall_s": 2.0}

    @classmethod
    def setUpClass(cls) -> None:
        cls.running = RunningDeployment(
            name="surakkha",
            entries=1,
            limits=cls.limits,
            timings=cls.timings,
            backend_options=("--service-ms", "1"),
        )
        cls.running.__enter__()
        cls.addClassCleanup(cls.running.__exit__, None, None, None)
        cls.running.apply_objects()
        cls.entry = cls.running.entries[0]

    @contextmanager
    def connected(self, *, receive_buffer: int | None = None) -> Iterator[RawConnection]:
        connection = RawConnection(self.entry.place, receive_buffer=receive_buffer)
        try:
            yield connection
        finally:
            connection.close()

    def ask(self, text: str | bytes, *, has_body: bool = True) -> Raw:
        with self.connected() as connection:
            connection.send(text)
            return connection.read(has_body=has_body)

    def check_still_serves(self) -> None:
        answer = self.ask(BALANCE + "\r\n")
        self.assertEqual((answer.status, answer.verdict), (200, "ran"))

    def check_refused(self, answer: Raw, status: int, verdict: str = "not-run") -> None:
        self.assertEqual((answer.status, answer.verdict), (status, verdict))
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        value = json.loads(answer.body)
        self.assertEqual(sorted(value), ["code", "reason", "verdict"])
        self.assertEqual(value["verdict"], verdict)

    def check_unread(self, answer: Raw, status: int) -> None:
        """A request whose headers were not read may be a copy of one that ran."""
        self.check_refused(answer, status, verdict="may-have-run")

    def wait_until(self, holds, what: str) -> None:
        give_up = time.monotonic() + LIMIT_S
        while not holds():
            self.assertLess(time.monotonic(), give_up, what)
            time.sleep(0.05)

    def open_requests(self) -> int:
        return int(self.entry.page("status")["requests"]["open"])


class MalformedRequestTest(EntryTestCase):
    def test_bytes_that_are_not_http(self) -> None:
        self.check_unread(self.ask("hello entry\r\n\r\n"), 400)

    def test_headers_over_the_limit(self) -> None:
        with self.connected() as connection:
            connection.send(BALANCE + "X-Long: " + "a" * 100_000)
            self.check_unread(connection.read(), 431)
            self.assertTrue(connection.ends())

    def test_length_given_twice_in_different_ways(self) -> None:
        """A request whose end is ambiguous is refused.

        Symptom: the entry and a backend server disagree where a request ends, and the rest of one
        caller's body is run as another's request. Sequence: a request comes with Content-Length
        and with Transfer-Encoding; one side goes by the first, the other by the second. Cause:
        both were passed on.
        """
        both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.check_unread(self.ask(RELEASE + both + "0\r\n\r\n"), 400)

    def test_deadline_with_thousands_of_digits(self) -> None:
        """A number too long for Python is refused like any other mistake.

        Symptom: status 500 without a verdict. Sequence: the deadline header has 5000 digits.
        Cause: `int` raises for more than 4300 digits, behind the check that they are digits.
        """
        deadline = "Wagtailpoint-Deadline-Ms: " + "9" * 5000
        self.check_refused(self.ask(BALANCE + deadline + "\r\n\r\n"), 400)

    def test_http2_is_refused(self) -> None:
        """HTTP/2 with prior knowledge gets an answer in HTTP/1.1, and costs the others nothing.

        Symptom: the whole instance ends. Sequence: a request's reply is over before its body; a
        DATA frame of it arrives later. Cause: hypercorn looks up a stream that it has forgotten,
        and the exception goes through the nursery of all connections.
        """
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes.fromhex("000000040000000000")
        self.check_unread(self.ask(preface), 505)
        self.check_still_serves()

    def test_upgrades_are_ignored(self) -> None:
        for offer in ("websocket", "h2c"):
            headers = f"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: {offer}\r\n"
            headers += "HTTP2-Settings: AAMAAABkAAQAAP__\r\nSec-WebSocket-Version: 13\r\n"
            headers += "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
            answer = self.ask(BALANCE + headers + "\r\n")
            self.assertEqual((answer.status, answer.verdict), (200, "ran"))

    def test_strange_queries_of_own_pages(self) -> None:
        for target in ("/v1/lookup?%ff=%zz&&=&workspace", "/v1/timeline?since=x", "/v1/%00?a=b"):
            self.check_refused(self.ask(f"GET {target} HTTP/1.1\r\nHost: e\r\n\r\n"), 400)

    def test_answers_without_body_keep_the_connection_usable(self) -> None:
        with self.connected() as connection:
            connection.send("HEAD" + BALANCE[3:] + "\r\n" + BALANCE + "\r\n")
            self.assertEqual(connection.read(has_body=False).verdict, "ran")
            self.assertEqual(connection.read().verdict, "ran")

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        with self.connected() as connection:
            ids = [f"id-{number}" for number in range(20)]
            connection.send(
                "".join(f"{BALANCE}Wagtailpoint-Request-Id: {each}\r\n\r\n" for each in ids)
            )
            answered = [connection.read().headers["wagtailpoint-request-id"] for _ in ids]
        self.assertEqual(answered, ids)


class RequestBodyTest(EntryTestCase):
    limits = {"request_body_bytes": MEGABYTE}

    def test_announced_body_over_the_limit_is_refused_before_it_is_sent(self) -> None:
        headers = f"Content-Length: {2 * MEGABYTE}\r\nExpect: 100-continue\r\n\r\n"
        with self.connected() as connection:
            connection.send(RELEASE + headers)
            # Not "100 Continue": the caller keeps its two megabytes.
            self.assertIn(b"413", connection.read_line())

    def test_body_is_asked_for_when_expected(self) -> None:
        headers = "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        with self.connected() as connection:
            connection.send(RELEASE + headers)
            self.assertIn(b"100", connection.read_line())
            self.assertEqual(connection.read_line(), b"\r\n")
            connection.send("{}")
            self.assertEqual(connection.read().verdict, "ran")

    def test_refusal_reaches_a_caller_that_still_sends(self) -> None:
        """A refusal sent before the whole body was read arrives, and the connection ends.

        Symptom: the caller sees a reset instead of the refusal, or waits forever, and the entry
        keeps the connection and its tasks for good. Sequence: the caller sends megabytes; the
        entry refuses after the headers and closes with unread bytes, or its reader waits for room
        in a queue that nobody empties any more. Cause: nobody reads the rest of the body.
        """
        with self.connected() as connection:
            connection.send(RELEASE + f"Content-Length: {8 * MEGABYTE}\r\n\r\n")
            connection.send(b"x" * 8 * MEGABYTE)
            self.check_refused(connection.read(), 413)
            self.assertTrue(connection.ends())

    def test_chunked_body_over_the_limit(self) -> None:
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        with self.connected() as connection:
            connection.send(RELEASE + "Transfer-Encoding: chunked\r\n\r\n")
            connection.send(chunk * 20)
            self.check_refused(connection.read(), 413, verdict="may-have-run")
            self.assertTrue(connection.ends())

    def test_slow_body_is_refused_and_holds_no_slot(self) -> None:
        """A caller that announces a body and sends none of it takes nothing from the others.

        Symptom: slots of backend servers are taken until the route's timeout. Sequence: many
        callers announce a long body and stop. Cause: the exchange with the backend server began
        with the headers, and no limit but the deadline applied to the body.
        """
        with self.connected() as connection:
            connection.send(RELEASE + "Content-Length: 500000\r\n\r\nx")
            self.wait_until(lambda: self.open_requests() >= 1, "the request is open")
            self.assertEqual(self.entry.page("status")["requests"]["slots_held"], 0)
            self.check_refused(connection.read(), 408)

    def test_caller_that_goes_away_cancels_its_plain_request(self) -> None:
        self.running.backends["deposit-desk"].set_mode(slow=5000.0)
        self.addCleanup(self.running.backends["deposit-desk"].set_mode)
        with self.connected() as connection:
            connection.send(BALANCE + "\r\n")
            self.wait_until(lambda: self.open_requests() == 1, "the request is open")
        self.wait_until(lambda: self.open_requests() == 0, "it is cancelled")

    def test_caller_that_goes_away_leaves_its_keyed_attempt_running(self) -> None:
        self.running.backends["deposit-desk"].set_mode(slow=300.0)
        keyed = RELEASE + "Idempotency-Key: gone-1\r\nContent-Length: 2\r\n\r\n{}"
        with self.connected() as connection:
            connection.send(keyed)
            self.wait_until(lambda: self.open_requests() >= 1, "the request is open")
        self.running.backends["deposit-desk"].set_mode()
        self.wait_until(lambda: self.open_requests() == 0, "the attempt ends")
        answer = self.ask(keyed)
        self.assertEqual((answer.status, answer.verdict), (200, "ran"))
        records = self.running.backends["deposit-desk"].records().values()
        self.assertEqual(sum(record["by_key"].get("gone-1", 0) for record in records), 1)


class SlowCallerTest(EntryTestCase):
    limits = {"open_requests": 20, "queued_requests": 10}
    timings = {"caller_idle_s": 3.0, "caller_stall_s": 2.0}

    def test_slow_headers_end_with_an_error(self) -> None:
        with self.connected() as connection:
            connection.send(BALANCE)
            self.check_unread(connection.read(), 408)
            self.assertTrue(connection.ends())

    def test_idle_connection_ends_without_an_answer(self) -> None:
        with self.connected() as connection:
            connection.send(BALANCE + "\r\n")
            self.assertEqual(connection.read().status, 200)
            self.assertTrue(connection.ends())

    def test_open_connections_are_bounded(self) -> None:
        """Callers that open connections and say nothing do not take the place of the others.

        Symptom: the instance runs out of file descriptors and memory, and can't even connect to
        its backend servers. Sequence: thousands of connections are opened and kept. Cause: nothing
        bounds connections; open requests are bounded, but these have none.
        """
        idle = [RawConnection(self.entry.place) for _ in range(100)]
        try:
            answer = self.ask(BALANCE + "\r\n")
            self.assertEqual(answer.status, 503)
            self.assertEqual((answer.verdict, answer.code), ("may-have-run", "connections-full"))
            # Those that never sent a request have to make room after a moment.
            self.wait_until(lambda: self.ask(BALANCE + "\r\n").status == 200, "room is made")
        finally:
            for connection in idle:
                connection.close()
        self.wait_until(lambda: self.ask(BALANCE + "\r\n").status == 200, "all have gone")

    def test_reader_that_stops_holds_nothing_for_good(self) -> None:
        """A caller that stops reading its download loses its connection after a while.

        Symptom: slots of backend servers stay taken, and a stop of the instance never ends.
        Sequence: a caller asks for a large download and reads nothing. Cause: hypercorn's write is
        shielded from cancellation and has no limit of its own.
        """
        before = peak_memory(self.entry.pid)
        with self.connected(receive_buffer=64 * 1024) as connection:
            connection.send(
                BALANCE.replace("/deposits/balance/7", "/statements/bulk/50000000") + "\r\n"
            )
            line = connection.read_line()
            self.assertIn(b"200", line, connection.socket.recv(2000) if b"200" not in line else "")
            self.wait_until(
                lambda: self.entry.page("status")["requests"]["slots_held"] == 1, "it has a slot"
            )
            self.wait_until(
                lambda: self.entry.page("status")["requests"]["slots_held"] == 0, "it lost it"
            )
        self.wait_until(lambda: self.open_requests() == 0, "it is closed")
        # What it did not read was not read from the backend server either.
        self.assertLess(peak_memory(self.entry.pid) - before, MOST_GROWTH)


class ObservedRequestTest(EntryTestCase):
    def events(self, request_id: str) -> list[dict[str, object]]:
        events = self.entry.page("timeline")["events"]
        return [event for event in events if event.get("request_id") == request_id]

    def test_retried_request_can_be_followed(self) -> None:
        desk = self.running.backends["deposit-desk"]
        desk.set_mode(reset_after=1.0)
        self.addCleanup(desk.set_mode)
        answer = self.ask(BALANCE + "Wagtailpoint-Request-Id: follow-1\r\n\r\n")
        self.check_refused(answer, 502, verdict="may-have-run")
        names = [event["event"] for event in self.events("follow-1")]
        self.assertEqual(names[0], "request-retried")
        self.assertEqual(names[-2:], ["request-given-up", "request-refused"])

    def test_keyed_request_can_be_followed(self) -> None:
        ids = "Wagtailpoint-Request-Id: follow-2\r\nIdempotency-Key: key-2\r\n"
        answer = self.ask(RELEASE + ids + "Content-Length: 2\r\n\r\n{}")
        self.assertEqual(answer.verdict, "ran")
        events = {event["event"]: event["key"] for event in self.events("follow-2")}
        self.assertEqual(events, {"attempt-ended": "key-2", "request-answered": "key-2"})

    def test_metrics_as_text(self) -> None:
        self.check_still_serves()
        answer = self.ask("GET /v1/metrics?format=text HTTP/1.1\r\nHost: e\r\n\r\n")
        self.assertEqual(answer.headers["content-type"], "text/plain; version=0.0.4; charset=utf-8")
        labels = 'workspace="surakkha",class="balance",verdict="ran",code="ok"'
        self.assertIn(f"wagtailpoint_request_seconds_count{{{labels}}} ", answer.body.decode())


class LargeBodyTest(EntryTestCase):
    SIZE = 200 * MEGABYTE

    def test_long_download_takes_little_memory(self) -> None:
        before = peak_memory(self.entry.pid)
        path = f"/statements/bulk/{self.SIZE}"
        with self.connected() as connection:
            connection.send(BALANCE.replace("/deposits/balance/7", path) + "\r\n")
            received = 0
            while received < self.SIZE:
                data = connection.socket.recv(RECEIVE_BYTES)
                self.assertTrue(data, "the download was cut")
                received += len(data)
        self.assertLess(peak_memory(self.entry.pid) - before, MOST_GROWTH)

    def test_long_upload_takes_little_memory(self) -> None:
        before = peak_memory(self.entry.pid)
        piece = b"x" * MEGABYTE
        with self.connected() as connection:
            connection.send(RELEASE + f"Content-Length: {self.SIZE}\r\n\r\n")
            for _ in range(self.SIZE // MEGABYTE):
                connection.send(piece)
            answer = connection.read()
        self.assertIn((answer.status, answer.verdict), [(200, "ran"), (504, "may-have-run")])
        self.assertLess(peak_memory(self.entry.pid) - before, MOST_GROWTH)

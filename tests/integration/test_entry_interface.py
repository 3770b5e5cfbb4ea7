"""The interface to callers over real sockets: malformed, oversized and slow requests."""

from tests.common.entry_case import (
    BALANCE,
    MEGABYTE,
    MOST_GROWTH,
    RELEASE,
    EntryTestCase,
    Raw,
    RawConnection,
    peak_memory,
)


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


class DeadlineTest(EntryTestCase):
    def ask_with(self, deadline_ms: int, path: str) -> Raw:
        target = BALANCE.replace("balance/7", path)
        return self.ask(f"{target}Wagtailpoint-Deadline-Ms: {deadline_ms}\r\n\r\n")

    def passed_on_s(self, path: str) -> list[float]:
        records = self.running.backends["deposit-desk"].records().values()
        arrivals = [arrival for record in records for arrival in record["arrivals"]]
        return [each["deadline_s"] for each in arrivals if each["path"].endswith(path)]

    def test_deadline_is_passed_on_reduced_and_capped_by_the_route(self) -> None:
        self.assertEqual(self.ask_with(700, "short").verdict, "ran")
        self.assertEqual(self.ask_with(60_000, "long").verdict, "ran")
        (short,), (long,) = self.passed_on_s("short"), self.passed_on_s("long")
        self.assertTrue(0 < short < 0.7, short)
        self.assertTrue(0 < long < 1.0, long)

    def test_deadline_that_is_over_is_refused_before_it_is_sent(self) -> None:
        """A request without time left is not sent.

        Symptom: `may-have-run` for a request that could never be answered in time, and a slot
        spent on it. Cause: a millisecond was given to an exchange whose time was over.
        """
        self.check_refused(self.ask_with(0, "over"), 504)
        self.assertEqual(self.passed_on_s("over"), [])


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

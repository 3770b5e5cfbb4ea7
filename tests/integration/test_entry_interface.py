"""The entry's HTTP interface over real sockets: malformed, oversized and slow requests."""

from tests.common.entry_case import (
    BALANCE,
    MAX_GROWTH_BYTES,
    MEGABYTE,
    RELEASE,
    EntryTestCase,
    Raw,
    RawConnection,
    peak_memory_bytes,
)


class MalformedRequestTest(EntryTestCase):
    def test_bytes_that_are_not_http(self) -> None:
        self.check_refused_unread(self.ask("hello entry\r\n\r\n"), 400)

    def test_headers_over_the_limit(self) -> None:
        with self.connected() as connection:
            connection.send(BALANCE + "X-Long: " + "a" * 100_000)
            self.check_refused_unread(connection.read(), 431)
            self.assertTrue(connection.ends())

    def test_content_length_with_transfer_encoding_is_refused(self) -> None:
        """Guards against request smuggling.

        If a request has both Content-Length and Transfer-Encoding and both are forwarded, the entry
        and a backend server may disagree about its end. The rest of the body then runs as another
        caller's request.
        """
        both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.check_refused_unread(self.ask(RELEASE + both + "0\r\n\r\n"), 400)

    def test_deadline_with_thousands_of_digits_is_refused(self) -> None:
        """Guards against status 500 without a verdict for a deadline of 5000 digits.

        `int` raises ValueError for more than 4300 digits, even if all characters are digits.
        """
        deadline = "Wagtailpoint-Deadline-Ms: " + "9" * 5000
        self.check_refused(self.ask(BALANCE + deadline + "\r\n\r\n"), 400)

    def test_http2_is_refused(self) -> None:
        """Guards against an HTTP/2 connection that ends the whole instance.

        HTTP/2 with prior knowledge must be refused over HTTP/1.1. If a DATA frame arrives after the
        reply to its request, hypercorn looks up a stream that it has removed, and the exception
        propagates through the nursery of all connections.
        """
        preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes.fromhex("000000040000000000")
        self.check_refused_unread(self.ask(preface), 505)
        self.check_still_serves()

    def test_upgrades_are_ignored(self) -> None:
        for offer in ("websocket", "h2c"):
            headers = f"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: {offer}\r\n"
            headers += "HTTP2-Settings: AAMAAABkAAQAAP__\r\nSec-WebSocket-Version: 13\r\n"
            headers += "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
            answer = self.ask(BALANCE + headers + "\r\n")
            self.assertEqual((answer.status, answer.verdict), (200, "ran"))

    def test_invalid_queries_of_api_pages_are_refused(self) -> None:
        for target in ("/v1/lookup?%ff=%zz&&=&workspace", "/v1/timeline?since=x", "/v1/%00?a=b"):
            self.check_refused(self.ask(f"GET {target} HTTP/1.1\r\nHost: e\r\n\r\n"), 400)

    def test_connection_is_usable_after_a_reply_without_body(self) -> None:
        with self.connected() as connection:
            connection.send("HEAD" + BALANCE[3:] + "\r\n" + BALANCE + "\r\n")
            self.assertEqual(connection.read(has_body=False).verdict, "ran")
            self.assertEqual(connection.read().verdict, "ran")

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        with self.connected() as connection:
            ids = [f"id-{number}" for number in range(20)]
            connection.send(
                "".join(
                    f"{BALANCE}Wagtailpoint-Request-Id: {request_id}\r\n\r\n" for request_id in ids
                )
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
        return [seen["deadline_s"] for seen in arrivals if seen["path"].endswith(path)]

    def test_forwarded_deadline_is_reduced_and_capped_by_the_route(self) -> None:
        self.assertEqual(self.ask_with(700, "short").verdict, "ran")
        self.assertEqual(self.ask_with(60_000, "long").verdict, "ran")
        (short,), (long,) = self.passed_on_s("short"), self.passed_on_s("long")
        self.assertTrue(0 < short < 0.7, short)
        self.assertTrue(0 < long < 1.0, long)

    def test_request_past_its_deadline_is_not_sent(self) -> None:
        """Guards against sending a request that can't be answered in time.

        An exchange that is given a millisecond after the deadline uses a slot and ends with the
        verdict `may-have-run`.
        """
        self.check_refused(self.ask_with(0, "over"), 504)
        self.assertEqual(self.passed_on_s("over"), [])


class RequestBodyTest(EntryTestCase):
    limits = {"request_body_bytes": MEGABYTE}

    def test_announced_body_over_the_limit_is_refused_before_it_is_received(self) -> None:
        headers = f"Content-Length: {2 * MEGABYTE}\r\nExpect: 100-continue\r\n\r\n"
        with self.connected() as connection:
            connection.send(RELEASE + headers)
            # Without "100 Continue" the caller does not send the body of 2 MB.
            self.assertIn(b"413", connection.read_line())

    def test_expected_continue_is_sent(self) -> None:
        headers = "Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        with self.connected() as connection:
            connection.send(RELEASE + headers)
            self.assertIn(b"100", connection.read_line())
            self.assertEqual(connection.read_line(), b"\r\n")
            connection.send("{}")
            self.assertEqual(connection.read().verdict, "ran")

    def test_refusal_reaches_a_caller_that_is_still_sending(self) -> None:
        """Guards against a refusal that is lost while the caller is still sending megabytes.

        The entry refuses the request after its headers and must still read the rest of the body. If
        it closed the connection with unread bytes, the caller would receive a reset instead of the
        refusal. If its reader waited for room in a full queue, the caller would wait forever and
        the entry would keep the connection and its tasks.
        """
        with self.connected() as connection:
            connection.send(RELEASE + f"Content-Length: {8 * MEGABYTE}\r\n\r\n")
            connection.send(b"x" * 8 * MEGABYTE)
            self.check_refused(connection.read(), 413)
            self.assertTrue(connection.ends())

    def test_chunked_body_over_the_limit_is_refused(self) -> None:
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        with self.connected() as connection:
            connection.send(RELEASE + "Transfer-Encoding: chunked\r\n\r\n")
            connection.send(chunk * 20)
            self.check_refused(connection.read(), 413, verdict="may-have-run")
            self.assertTrue(connection.ends())

    def test_slow_body_is_refused_and_holds_no_slot(self) -> None:
        """Guards against callers that hold slots of backend servers without sending a body.

        Many callers announce a long body and send nothing. If the exchange with the backend server
        began after the headers, with no limit but the deadline on the body, the slots would be held
        until the route's timeout.
        """
        with self.connected() as connection:
            connection.send(RELEASE + "Content-Length: 500000\r\n\r\nx")
            self.wait_until(lambda: self.open_requests() >= 1, "the request is open")
            self.assertEqual(self.entry.page("status")["requests"]["slots_held"], 0)
            self.check_refused(connection.read(), 408)

    def test_request_without_key_is_cancelled_when_its_caller_leaves(self) -> None:
        self.running.backends["deposit-desk"].set_mode(slow=5000.0)
        self.addCleanup(self.running.backends["deposit-desk"].set_mode)
        with self.connected() as connection:
            connection.send(BALANCE + "\r\n")
            self.wait_until(lambda: self.open_requests() == 1, "the request is open")
        self.wait_until(lambda: self.open_requests() == 0, "it is cancelled")

    def test_keyed_attempt_continues_when_its_caller_leaves(self) -> None:
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

    def test_slow_headers_are_refused(self) -> None:
        with self.connected() as connection:
            connection.send(BALANCE)
            self.check_refused_unread(connection.read(), 408)
            self.assertTrue(connection.ends())

    def test_idle_connection_is_closed_without_a_reply(self) -> None:
        with self.connected() as connection:
            connection.send(BALANCE + "\r\n")
            self.assertEqual(connection.read().status, 200)
            self.assertTrue(connection.ends())

    def test_open_connections_are_bounded(self) -> None:
        """Guards against running out of file descriptors and memory because of idle connections.

        Callers open thousands of connections without sending requests, so that the limit on open
        requests does not apply. Without a limit on connections, the instance could not even connect
        to its backend servers.
        """
        idle = [RawConnection(self.entry.place) for _ in range(100)]
        try:
            answer = self.ask(BALANCE + "\r\n")
            self.assertEqual(answer.status, 503)
            self.assertEqual((answer.verdict, answer.code), ("may-have-run", "connections-full"))
            # Connections without a request are closed after a moment to make room.
            self.wait_until(lambda: self.ask(BALANCE + "\r\n").status == 200, "room is made")
        finally:
            for connection in idle:
                connection.close()
        self.wait_until(lambda: self.ask(BALANCE + "\r\n").status == 200, "all have gone")

    def test_caller_that_stops_reading_is_disconnected(self) -> None:
        """Guards against a slot held forever, and a stop that never ends, by a stalled download.

        A caller requests a large download and reads nothing. Hypercorn shields its writes from
        cancellation and sets no timeout on them.
        """
        before = peak_memory_bytes(self.entry.pid)
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
        # Data that the caller did not read was not read from the backend server either.
        self.assertLess(peak_memory_bytes(self.entry.pid) - before, MAX_GROWTH_BYTES)

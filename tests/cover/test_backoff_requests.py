"""Requests beside backend servers that request a backoff, over real sockets."""

import re
import unittest
from collections.abc import Sequence

import trio

from tests.common.dispatcher_case import (
    Answer,
    Backend,
    DispatcherCase,
    echo_id_header,
    get,
    ok,
    silent,
)
from tests.common.scripted_server import ScriptedStream, response
from tests.common.steering_parts import make_route, make_table
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.routing.table import RouteKind

BACKOFF_S = 1.0
ANSWER_S = 0.2


def turning_away(
    *values: str, status: str = "503 Service Unavailable", headers: Sequence[str] = ()
) -> Answer:
    """Return answers that turn requests away and request a backoff."""

    def answer(request: bytes) -> bytes:
        stated = [f"Retry-After: {value}" for value in values]
        lines = [echo_id_header(request), "X-Not-Executed: shed", *stated, *headers]
        return response(b"", *lines, status=status)

    return answer


def status_of(reply: bytes) -> bytes:
    """Return the status of a reply."""
    return reply.split(b" ")[1]


class BackoffRequestsTest(DispatcherCase):
    def send(self, backends: dict[str, Backend], count: int) -> list[bytes]:
        """Send requests one after the other; return their replies."""
        scripts = {name: backend.script for name, backend in backends.items()}
        return self.replies(scripts, *[get(f"/r/{number}") for number in range(count)])

    def test_others_serve_while_a_server_wants_no_requests(self) -> None:
        """Guards against a server that gets requests although it has asked for rest."""
        tired, other = Backend(turning_away("3")), Backend(ok)
        replies = self.send({"i-1": tired, "i-2": other}, 30)
        self.assertEqual({status_of(reply) for reply in replies}, {b"200"})
        self.assertEqual(len(tired.requests), 1)

    def test_request_is_refused_at_once_if_all_want_none(self) -> None:
        """Guards against a backoff that is ignored because no other server is left."""
        tired = Backend(turning_away("3"))
        times = []

        async def test(endpoint: Endpoint) -> None:
            for _ in range(5):
                began = trio.current_time()
                reply = await self.reply(endpoint, get("/r/x"))
                times.append(trio.current_time() - began)
                self.assertEqual(status_of(reply), b"503")
            self.assertIn(b"not run: backing-off", reply)
            found = re.search(rb"retry-after: ([0-9.]+)", reply)
            assert found is not None, reply
            # A third of the time that the caller has left, which ends before the backoff does.
            self.assertAlmostEqual(float(found[1]), 2.0 / 3, delta=0.05)

        self.run_with({"i-1": tired.script}, test)
        self.assertEqual(len(tired.requests), 1)
        self.assertLess(max(times), 0.3)

    def test_caller_is_told_the_end_of_the_shortest_backoff(self) -> None:
        first, second = Backend(turning_away("3")), Backend(turning_away("0.3"))

        async def test(endpoint: Endpoint) -> None:
            await self.reply(endpoint, get("/r/x"))
            reply = await self.reply(endpoint, get("/r/x"))
            found = re.search(rb"retry-after: ([0-9.]+)", reply)
            assert found is not None, reply
            self.assertGreater(float(found[1]), 0.2)
            self.assertLessEqual(float(found[1]), 0.6)

        self.run_with({"i-1": first.script, "i-2": second.script}, test)

    def test_retry_keeps_a_backoff(self) -> None:
        """Guards against a retry at a server that wants no requests, while the first try failed."""
        tired = Backend(turning_away("5"))
        failing = Backend(lambda request: response(b"", echo_id_header(request), status="500 No"))
        self.send({"i-1": tired, "i-2": failing}, 20)
        self.assertEqual(len(tired.requests), 1)

    def test_hedged_request_keeps_a_backoff(self) -> None:
        """Guards against hedged requests to a server that wants no requests."""
        tired = Backend(turning_away("50"))

        async def test(endpoint: Endpoint) -> None:
            for number in range(8):
                await self.reply(endpoint, get(f"/r/{number}", "X-Deadline-Ms: 700"))

        self.run_with({"i-1": tired.script, "i-2": Backend(silent).script}, test)
        self.assertLessEqual(len(tired.requests), 1)

    def test_requests_that_were_placed_before_are_withheld(self) -> None:
        """Guards against requests that reach a server since they were placed before its refusal."""
        tired = Backend(turning_away("5"))

        async def test(endpoint: Endpoint) -> None:
            # All are placed while none has a connection yet.
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(self.reply, endpoint, get(f"/r/{number}"))
            sent = len(tired.requests)
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(self.reply, endpoint, get(f"/r/{number}"))
            self.assertEqual(len(tired.requests), sent)

        self.run_with({"i-1": tired.script}, test)

    def test_backoff_in_the_answer_to_another_request_counts(self) -> None:
        """Guards against a backoff that is discarded with the response that was skipped."""
        requests = []

        async def script(stream: ScriptedStream) -> None:
            while request := await stream.request():
                requests.append(request)
                other = response(
                    b"", "X-Attempt-Id: 99", "Retry-After: 5", status="503 Service Unavailable"
                )
                await stream.send(other + ok(request))

        async def test(endpoint: Endpoint) -> None:
            replies = [await self.reply(endpoint, get(f"/r/{number}")) for number in range(4)]
            self.assertEqual([status_of(reply) for reply in replies], [b"200"] + 3 * [b"503"])

        self.run_with({"i-1": script}, test)
        self.assertEqual(len(requests), 1)

    def test_answer_of_another_server_at_the_address_is_ignored(self) -> None:
        tired = Backend(turning_away("5", status="421 Misdirected"))
        self.send({"i-1": tired}, 1)
        self.assertFalse(self.parts.backoffs.has_any)

    def test_only_refusals_with_503_request_a_backoff(self) -> None:
        for status in ("200 OK", "500 Failed", "429 Too Many"):
            self.setUp()
            self.send({"i-1": Backend(turning_away("5", status=status))}, 1)
            self.assertFalse(self.parts.backoffs.has_any, status)

    def test_malformed_value_changes_nothing(self) -> None:
        for value in ("soon", "-1", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9"):
            self.setUp()
            self.send({"i-1": Backend(turning_away(value))}, 2)
            self.assertFalse(self.parts.backoffs.has_any, value)

    def test_backoff_holds_on_another_path(self) -> None:
        """Guards against a change of the path that forgets a backoff with the failures."""
        tired = Backend(turning_away("5"))

        async def test(endpoint: Endpoint) -> None:
            await self.reply(endpoint, get("/r/x"))
            self.parts.placement.record_path_change()
            (entry,) = self.parts.fleet.entries.values()
            self.parts.placement.record_reachable(entry)
            self.parts.placement.record_unreachable(entry)
            await self.reply(endpoint, get("/r/x"))

        self.run_with({"i-1": tired.script}, test)
        self.assertEqual(len(tired.requests), 1)

    def test_requests_come_back_by_degrees_after_the_end(self) -> None:
        """Guards against a burst of requests at the moment in which a backoff ends."""
        arrivals: list[float] = []

        async def script(stream: ScriptedStream) -> None:
            while request := await stream.request():
                arrivals.append(trio.current_time())
                if len(arrivals) == 1:
                    await stream.send(turning_away(str(BACKOFF_S))(request) or b"")
                else:
                    await trio.sleep(ANSWER_S)
                    await stream.send(ok(request))

        async def test(endpoint: Endpoint) -> None:
            await self.reply(endpoint, get("/r/x"))
            await trio.sleep(BACKOFF_S + 0.1)
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(self.reply, endpoint, get(f"/r/{number}"))
            self.assertEqual(sum(arrived < began + ANSWER_S for arrived in arrivals[1:]), 1)
            for number in range(12):
                reply = await self.reply(endpoint, get(f"/r/{number}"))
                self.assertEqual(status_of(reply), b"200")

        self.run_with({"i-1": script}, test)

    def test_backoff_holds_for_requests_that_must_not_run_twice(self) -> None:
        self.parts.table = make_table(make_route(kind=RouteKind.NON_IDEMPOTENT))
        tired = Backend(turning_away("5"))
        replies = self.send({"i-1": tired}, 4)
        self.assertEqual([status_of(reply) for reply in replies], 4 * [b"503"])
        self.assertEqual(len(tired.requests), 1)

    def test_long_body_is_not_sent_during_a_backoff(self) -> None:
        tired = Backend(turning_away("5"))
        body = b"x" * 100_000
        post = (
            b"POST /r/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n"
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        self.replies({"i-1": tired.script}, *3 * [post])
        self.assertEqual(len(tired.requests), 1)


if __name__ == "__main__":
    unittest.main()

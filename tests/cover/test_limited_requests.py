"""Requests to backend servers that state a limit, over real sockets."""

import unittest
from collections.abc import Mapping

import trio

from tests.common.dispatcher_case import (
    Answer,
    Backend,
    DispatcherCase,
    echo_id_header,
    get,
    silent,
)
from tests.common.scripted_server import response
from tests.common.steering_parts import make_route, make_table
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.routing.table import RouteKind


def stating(*values: str, status: str = "200 OK") -> Answer:
    """Return answers that state a limit."""

    def answer(request: bytes) -> bytes:
        limits = [f"Server-Limit: {value}" for value in values]
        return response(b"ok", echo_id_header(request), *limits, status=status)

    return answer


class LimitedRequestsTest(DispatcherCase):
    def statuses(self, backends: Mapping[str, Backend], count: int) -> list[bytes]:
        scripts = {name: backend.script for name, backend in backends.items()}
        replies = self.replies(scripts, *[get(f"/r/{number}") for number in range(count)])
        return [reply.split(b" ")[1] for reply in replies]

    def test_request_over_the_limit_goes_to_another_server(self) -> None:
        limited, other = Backend(stating("0.5")), Backend(stating())
        statuses = self.statuses({"i-1": limited, "i-2": other}, 30)
        self.assertEqual(statuses, [b"200"] * 30)
        self.assertLessEqual(len(limited.requests), 2)

    def test_request_over_all_limits_is_refused_at_once(self) -> None:
        """Guards against a request that waits until its deadline although no server may take it."""
        backend = Backend(stating("0.5"))

        async def test(endpoint: Endpoint) -> None:
            for expected in (b"200", b"503"):
                began = trio.current_time()
                reply = await self.reply(endpoint, get("/r/x"))
                self.assertEqual(reply.split(b" ")[1], expected)
                self.assertLess(trio.current_time() - began, 0.3)
            self.assertIn(b"\r\nretry-after: ", reply)
            self.assertIn(b"not run", reply)

        self.run_with({"i-1": backend.script}, test)
        self.assertEqual(len(backend.requests), 1)

    def test_concurrent_requests_share_one_token(self) -> None:
        """Guards against a burst of requests that were placed before the first one was sent."""
        backend = Backend(stating("1"))

        async def test(endpoint: Endpoint) -> None:
            await self.reply(endpoint, get("/r/x"))
            await trio.sleep(1.2)
            async with trio.open_nursery() as nursery:
                for number in range(12):
                    nursery.start_soon(self.reply, endpoint, get(f"/r/{number}"))

        self.run_with({"i-1": backend.script}, test)
        self.assertEqual(len(backend.requests), 2)

    def test_hedged_request_keeps_the_limit(self) -> None:
        """Guards against hedged requests and retries that no limit counts."""
        limited = Backend(stating("0.5"))

        async def test(endpoint: Endpoint) -> None:
            for number in range(8):
                await self.reply(endpoint, get(f"/r/{number}", "X-Deadline-Ms: 700"))

        self.run_with({"i-1": limited.script, "i-2": Backend(silent).script}, test)
        self.assertLessEqual(len(limited.requests), 1 + 0.5 * 8 * 0.7 + 1)

    def test_refusal_that_states_a_limit_counts(self) -> None:
        backend = Backend(stating("0.5", status="503 Full"))
        self.statuses({"i-1": backend}, 5)
        self.assertEqual(self.parts.limits.per_s("i-1/0"), 0.5)

    def test_answer_of_another_server_at_the_address_states_nothing(self) -> None:
        backend = Backend(stating("0.5", status="421 Misdirected"))
        self.statuses({"i-1": backend}, 2)
        self.assertIsNone(self.parts.limits.per_s("i-1/0"))

    def test_limit_is_passed_on_to_the_caller(self) -> None:
        backend = Backend(stating("4.5"))
        (reply,) = self.replies({"i-1": backend.script}, get("/r/x"))
        self.assertIn(b"server-limit: 4.5", reply)

    def test_limit_holds_for_requests_that_must_not_run_twice(self) -> None:
        self.parts.table = make_table(make_route(kind=RouteKind.NON_IDEMPOTENT))
        backend = Backend(stating("0.5"))
        statuses = self.statuses({"i-1": backend}, 4)
        self.assertEqual(statuses[0], b"200")
        self.assertEqual(statuses[1:], [b"503"] * 3)


if __name__ == "__main__":
    unittest.main()

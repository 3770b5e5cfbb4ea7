"""Dispatch of requests with API keys: access, allowances and headers sent to backend servers."""

import unittest
from collections.abc import Awaitable, Callable

import trio
from loguru import logger

from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.steering_parts import SteeringParts, make_route, make_server, make_table
from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.routing.table import RouteTable
from wagtailpoint.routing.workspaces import WorkspacePolicy, key_digest

LIMIT_S = 20
KEY = "3fgfwrz56aw63is47qdq"
CREDENTIALS = f"Authorization: Bearer {KEY}"
WORKSPACE = WorkspacePolicy("huka270", allowance=Allowance(5.0, 5.0))


def keyed_table(*, version: int = 1, key: str = KEY) -> RouteTable:
    """Return a table with a route that needs a key and a public one."""
    table = make_table(make_route(), make_route("public", public=True), version=version)
    return table._replace(workspaces={key_digest(key.encode()): WORKSPACE})


class KeyedRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("wagtailpoint")
        self.addCleanup(logger.enable, "wagtailpoint")
        self.parts = SteeringParts(keyed_table())
        self.requests: list[bytes] = []

    async def answer(self, stream: ScriptedStream) -> None:
        while request := await stream.request():
            self.requests.append(request.lower())
            lines = request.decode().split("\r\n")
            own_id = next(line for line in lines if line.lower().startswith("x-attempt-id:"))
            await stream.send(response(b"ok", own_id, "X-Response-Seal: s"))

    def run_with(self, test: Callable[[Endpoint], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with scripted_server(self.answer) as address:
                    self.parts.fleet.update([make_server("i-1", address)])
                    await self.parts.run_with(test)

        trio.run(run)

    def status_of(self, *headers: str, path: str = "/r/1") -> int:
        return self.statuses_of([(path, headers)])[0]

    def statuses_of(self, sent: list[tuple[str, tuple[str, ...]]]) -> list[int]:
        """Send requests on one connection and return the statuses of the replies."""
        statuses = []

        async def test(endpoint: Endpoint) -> None:
            async with await trio.open_tcp_stream(*endpoint) as stream:
                replies = ScriptedStream(stream=stream)
                for path, headers in sent:
                    lines = [f"GET {path} HTTP/1.1", "Host: h", "X-Attempt-Id: a1", *headers]
                    await replies.send("\r\n".join(lines).encode() + b"\r\n\r\n")
                    statuses.append(int((await replies.request()).split(b" ")[1]))

        self.run_with(test)
        return statuses

    def test_backend_server_receives_the_workspace_but_not_the_key(self) -> None:
        """Guards against forwarding a key or a workspace header that was set by the caller."""
        self.assertEqual(self.status_of(CREDENTIALS, "X-Tenant: other"), 200)
        self.assertIn(b"x-tenant: huka270\r\n", self.requests[0])
        self.assertNotIn(b"other", self.requests[0])
        self.assertNotIn(b"authorization", self.requests[0])
        self.assertEqual(self.parts.allowances.spent, [WORKSPACE.name])

    def test_public_route_sends_no_workspace(self) -> None:
        self.assertEqual(self.status_of("X-Tenant: other", CREDENTIALS, path="/public/1"), 200)
        self.assertNotIn(b"x-tenant", self.requests[0])
        self.assertNotIn(b"authorization", self.requests[0])
        self.assertEqual(self.parts.allowances.spent, [])

    def test_connection_stays_open_after_a_refused_key(self) -> None:
        wrong = "Authorization: Bearer other"
        sent = [("/r/1", (wrong,)), ("/r/2", ()), ("/r/3", (CREDENTIALS, wrong))]
        statuses = self.statuses_of([*sent, ("/r/4", (CREDENTIALS,))])
        self.assertEqual(statuses, [401, 401, 401, 200])
        self.assertEqual(len(self.requests), 1)

    def test_unconfirmed_configuration_admits_no_key(self) -> None:
        """Guards against a partitioned instance that accepts a key after it was revoked."""
        self.parts.is_proved = False
        self.assertEqual(self.status_of(CREDENTIALS), 503)
        self.assertEqual(self.status_of(path="/public/1"), 200)
        self.assertEqual(len(self.requests), 1)

    def test_key_revoked_while_the_request_waits(self) -> None:
        """Guards against sending a request that was admitted before its key was revoked."""
        spend = self.parts.allowances.spend

        async def spend_slowly(workspace: str):
            self.parts.table = keyed_table(version=2, key="other")
            return await spend(workspace)

        self.parts.allowances.spend = spend_slowly  # type: ignore[method-assign]
        self.assertEqual(self.status_of(CREDENTIALS), 401)
        self.assertEqual(self.requests, [])

    def test_confirmation_lost_while_a_connection_opens(self) -> None:
        """Guards against a send that relies on a check made before a pause of the process."""
        begin = self.parts.quarantine.record_started

        def begin_and_lose_proof(fingerprint: str) -> None:
            begin(fingerprint)
            self.parts.is_proved = False

        self.parts.quarantine.record_started = begin_and_lose_proof  # type: ignore[method-assign]
        self.assertEqual(self.status_of(CREDENTIALS), 503)
        self.assertEqual(self.requests, [])

    def test_request_over_the_allowance_gets_429(self) -> None:
        self.parts.allowances.tokens = 1
        statuses = self.statuses_of([("/r/1", (CREDENTIALS,)), ("/r/2", (CREDENTIALS,))])
        self.assertEqual(statuses, [200, 429])

    def test_unknown_allowance_gets_503(self) -> None:
        self.parts.allowances.tokens = 0
        self.parts.allowances.wait_s = float("inf")
        self.assertEqual(self.status_of(CREDENTIALS), 503)


if __name__ == "__main__":
    unittest.main()

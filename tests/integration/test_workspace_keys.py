"""API keys and allowances of workspaces on several instances of the real program."""

import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Any

import trio

from tests.common.node_settings_file import server_document, unsplit_config_document
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.steering_group import CALLER_PORT, Instance, send_get, steering_group, wait_until
from tests.common.users_store import UsersStore

LIMIT_S = 90
INSTANCES = 7
REVOKE_S = 5.0
SERVE_AGAIN_TIMEOUT_S = 10.0
"""Time within which all instances serve again after the store has returned, also on a busy host."""

KEY = "3fgfwrz56aw63is47qdq"
OTHER_KEY = "iqrh4jcda9rgy35ieisp"


def config(version: str, *keys: str, **limits: float) -> dict[str, Any]:
    """Return a configuration with one workspace."""
    tenant = {"Name": "huka270", "ApiKeys": list(keys), "HomeRegions": [], **limits}
    return unsplit_config_document(version, Tenants=[tenant])


class WorkspaceKeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.seen: list[bytes] = []

    async def backend(self, stream: ScriptedStream) -> None:
        while request := await stream.request():
            self.seen.append(request)
            for line in request.split(b"\r\n"):
                if line.startswith(b"x-attempt-id: "):
                    number = line.partition(b": ")[2].decode()
                    await stream.send(response(b"ok", f"X-Attempt-Id: {number}"))

    def run_with(
        self, config_document: dict[str, Any], test: Callable[[list[Instance]], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with AsyncExitStack() as stack:
                    store = await stack.enter_async_context(self.store.serve())
                    server = await stack.enter_async_context(scripted_server(self.backend))
                    self.store.put("config", "main", config_document)
                    self.store.put("servers", "i-1", server_document(str(server)))
                    instances = await stack.enter_async_context(steering_group(store, INSTANCES))
                    await test(instances)

        trio.run(run)

    async def status(self, instance: Instance, key: str) -> int:
        sent = (f"Authorization: Bearer {key}", "X-Attempt-Id: a1")
        return (await send_get(instance.address, CALLER_PORT, "/look/1", *sent))[0]

    async def all_reply(self, instances: list[Instance], status: int, key: str = KEY) -> bool:
        return all([await self.status(instance, key) == status for instance in instances])

    def test_revoked_key_and_unavailable_store(self) -> None:
        """Guards against accepting a revoked key for too long, and against lasting refusals.

        Requests are refused while the store is unavailable, and must be served again afterwards.
        """

        async def test(instances: list[Instance]) -> None:
            await wait_until(
                lambda: self.all_reply(instances, 200),
                SERVE_AGAIN_TIMEOUT_S * 3,
                "all serve the key",
            )
            self.assertTrue(await self.all_reply(instances, 401, "unknown"))
            self.store.put("config", "main", config("00000009", OTHER_KEY))
            await wait_until(lambda: self.all_reply(instances, 401), REVOKE_S, "the key is gone")
            self.assertTrue(await self.all_reply(instances, 200, OTHER_KEY))
            self.store.refusal_status = 503
            self.store.end_watches()
            await trio.sleep(REVOKE_S)
            self.assertTrue(await self.all_reply(instances, 503, OTHER_KEY))
            self.store.refusal_status = None
            await wait_until(
                lambda: self.all_reply(instances, 200, OTHER_KEY),
                SERVE_AGAIN_TIMEOUT_S,
                "all serve again",
            )
            self.assertFalse(any(OTHER_KEY.encode() in request for request in self.seen))
            self.assertTrue(all(b"x-tenant: huka270" in request for request in self.seen))
            logs = "".join(instance.process.log for instance in instances)
            self.assertNotIn(KEY, logs)
            self.assertNotIn(OTHER_KEY, logs)

        self.run_with(config("00000007", KEY), test)

    def test_last_workspace_is_removed(self) -> None:
        """Guards against all keys working once a configuration takes away the last workspace."""

        async def test(instances: list[Instance]) -> None:
            await wait_until(
                lambda: self.all_reply(instances, 200),
                SERVE_AGAIN_TIMEOUT_S * 3,
                "all serve the key",
            )
            self.store.put("config", "main", unsplit_config_document("00000009", Tenants=[]))
            await wait_until(lambda: self.all_reply(instances, 401), REVOKE_S, "the key is gone")
            self.seen.clear()
            self.assertTrue(await self.all_reply(instances, 401))
            self.assertTrue(await self.all_reply(instances, 401, "unknown"))
            self.assertEqual(self.seen, [])

        self.run_with(config("00000007", KEY), test)

    def test_allowance_is_shared_by_all_instances(self) -> None:
        """Guards against each instance granting the full allowance independently."""
        rate, burst, slack = 4.0, 4.0, 20.0

        async def test(instances: list[Instance]) -> None:
            await wait_until(
                lambda: self.all_reply(instances[:1], 200), SERVE_AGAIN_TIMEOUT_S * 3, "a token"
            )
            began, before = trio.current_time(), len(self.seen)
            statuses = set()
            for number in range(100):
                statuses.add(await self.status(instances[number % INSTANCES], KEY))
            passed_s = trio.current_time() - began
            self.assertIn(429, statuses)
            most = 1.1 * (rate * passed_s + burst) + slack
            self.assertLessEqual(len(self.seen) - before, most)

        self.run_with(config("00000007", KEY, RatePerS=rate, Burst=burst), test)


if __name__ == "__main__":
    unittest.main()

"""The explanation of a routing decision by an instance of the real program."""

import unittest
from contextlib import AsyncExitStack

import trio

from tests.common.node_settings_file import server_document, unsplit_config_document
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.steering_group import all_return_status, send_get, steering_group, wait_until
from tests.common.users_store import UsersStore
from wagtailpoint.cli.profile import EntryAddress
from wagtailpoint.cli.session import fetch_json
from wagtailpoint.platform.settings import METRICS_PORT

LIMIT_S = 60
START_TIMEOUT_S = 30.0


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.requests = 0

    async def backend(self, stream: ScriptedStream) -> None:
        while request := await stream.request():
            self.requests += 1
            for line in request.split(b"\r\n"):
                if line.startswith(b"x-attempt-id: "):
                    number = line.partition(b": ")[2].decode()
                    await stream.send(response(b"ok", f"X-Attempt-Id: {number}"))

    def test_explanation_sends_nothing_and_leaves_the_metrics_page(self) -> None:
        """Guards against an explanation that no instance serves, or that reaches a server."""

        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with AsyncExitStack() as stack:
                    store = await stack.enter_async_context(self.store.serve())
                    server = await stack.enter_async_context(scripted_server(self.backend))
                    self.store.put("config", "main", unsplit_config_document())
                    self.store.put("servers", "i-1", server_document(str(server)))
                    instances = await stack.enter_async_context(steering_group(store, 1))
                    await wait_until(
                        lambda: all_return_status(instances, 200), START_TIMEOUT_S, "it serves"
                    )
                    entry = EntryAddress(instances[0].address, METRICS_PORT)
                    before = self.requests
                    target = "/explain?host=ficu95.example&path=/look/7&key=k1"
                    explained = (await fetch_json(entry, target)).unwrap()
                    self.assertEqual(self.requests, before)
                    (service,) = explained["services"]
                    self.assertEqual((service["result"], service["server"]), ("chosen", "i-1"))
                    (candidate,) = service["candidates"]
                    self.assertEqual(candidate["outcome"], "chosen")
                    _, metrics = await send_get(entry.address, METRICS_PORT, "/metrics")
                    self.assertIn(b"wagtailpoint_open_requests", metrics)

        trio.run(run)


if __name__ == "__main__":
    unittest.main()

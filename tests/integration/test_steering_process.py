"""The real program with a store, backend servers and callers over loopback."""

import json
import signal
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path

import trio

from tests.common.node_settings_file import (
    node_settings_document,
    server_document,
    unsplit_config_document,
)
from tests.common.processes import ModuleProcess
from tests.common.scripted_server import ScriptedStream, response, scripted_server
from tests.common.sockets import loopback_address
from tests.common.steering_group import HOST, send_get
from tests.common.users_store import UsersStore

LIMIT_S = 40
IN_FORCE_S = 5.0
"""Well below the 20 s wait of a watch, also on a busy host."""


class SteeringProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = UsersStore()
        self.hold: trio.Event | None = None

    async def backend(self, stream: ScriptedStream) -> None:
        while True:
            request = await stream.request()
            if not request:
                return
            if self.hold is not None:
                await self.hold.wait()
            number = b""
            for line in request.split(b"\r\n"):
                if line.startswith(b"x-attempt-id: "):
                    number = line.partition(b": ")[2]
            await stream.send(response(b"ok", f"X-Attempt-Id: {number.decode()}"))

    def run_with(self, test: Callable[[ModuleProcess, str], Awaitable[None]]) -> None:
        async def run() -> None:
            with trio.fail_after(LIMIT_S):
                async with AsyncExitStack() as stack:
                    endpoint = await stack.enter_async_context(self.store.serve())
                    server = await stack.enter_async_context(scripted_server(self.backend))
                    self.store.put("config", "main", unsplit_config_document())
                    self.store.put("servers", "i-1", server_document(str(server)))
                    self.address = loopback_address()
                    folder = stack.enter_context(tempfile.TemporaryDirectory())
                    self.file = Path(folder) / "settings.json"
                    self.document = node_settings_document(address=self.address, store=endpoint)
                    self.file.write_text(json.dumps(self.document))
                    process = ModuleProcess(
                        module="wagtailpoint.daemon",
                        environment={"WAGTAILPOINT_NODE_FILE": str(self.file)},
                    )
                    with process:
                        await self.until(200, lambda: send_get(self.address, 8140, "/api/ready"))
                        await test(process, self.address)

        trio.run(run)

    async def until(
        self, status: int, question: Callable[[], Awaitable[tuple[int, bytes]]]
    ) -> None:
        """Poll until the reply has the given status."""
        while True:
            got, _ = await question()
            if got == status:
                return
            await trio.sleep(0.02)

    async def request(self, number: int = 1) -> tuple[int, bytes]:
        return await send_get(self.address, 8144, "/look/1", f"X-Attempt-Id: a{number}")

    def test_lookup_and_request(self) -> None:
        async def test(process: ModuleProcess, address: str) -> None:
            status, body = await send_get(
                address, 8143, f"/api/resolve?Name={HOST}&Region=a&Zone=a-1"
            )
            self.assertEqual(status, 200)
            self.assertEqual(json.loads(body)["Addresses"], [f"{address}:8144"])
            self.assertEqual(await self.request(), (200, b"ok"))
            self.assertEqual((await send_get(address, 8144, "/nowhere/"))[0], 404)
            status, metrics = await send_get(address, 9190, "/metrics")
            self.assertIn(b"wagtailpoint_events_total", metrics)
            process.wait_log("event=request ")
            self.assertIn("event=config-in-force", process.log)

        self.run_with(test)

    def test_configuration_changes_take_effect(self) -> None:
        async def test(process: ModuleProcess, address: str) -> None:
            self.assertEqual((await self.request())[0], 200)
            self.store.put("config", "main", unsplit_config_document("00000009", VirtualHosts=[]))
            with trio.fail_after(IN_FORCE_S):
                await self.until(404, self.request)
            self.store.put("config", "main", unsplit_config_document("00000008"))
            await trio.sleep(0.3)
            self.assertEqual((await self.request())[0], 404)

        self.run_with(test)

    def test_stop_right_after_the_start_is_graceful(self) -> None:
        """Guards against a signal that kills a process which already accepts requests."""

        async def test(process: ModuleProcess, address: str) -> None:
            for starts in range(2, 6):
                process.kill()
                process.start()
                while process.log.count("event=started ") < starts:
                    await trio.lowlevel.checkpoint()
                process.terminate()
                self.assertEqual(await trio.to_thread.run_sync(process.wait), 0)

        self.run_with(test)

    def test_crash_leaves_the_stacks_in_the_log(self) -> None:
        """Guards against a crash of a library of which only the exit code is known."""

        async def test(process: ModuleProcess, address: str) -> None:
            process._running.send_signal(signal.SIGSEGV)
            code = await trio.to_thread.run_sync(process.wait)
            self.assertEqual(code, -signal.SIGSEGV)
            self.assertIn("Fatal Python error: Segmentation fault", process.log)
            self.assertIn("in _run_on_platform", process.log)

        self.run_with(test)

    def test_draining_backend_server_receives_no_requests(self) -> None:
        async def test(process: ModuleProcess, address: str) -> None:
            spec = self.store.spec("servers", "i-1")
            self.store.put("servers", "i-1", {**spec, "State": "draining"})
            with trio.fail_after(IN_FORCE_S):
                await self.until(503, self.request)

        self.run_with(test)

    def test_planned_stop_serves_open_and_new_requests(self) -> None:
        """Guards against a planned stop that cuts off a request.

        SIGTERM arrives while a request is at its backend server. The instance reports at once that
        it is not ready, still serves callers that use its address, and exits with code 0 only after
        it has replied to the open request.
        """

        async def test(process: ModuleProcess, address: str) -> None:
            self.hold = trio.Event()
            answers: list[tuple[int, bytes]] = []

            async def send_request() -> None:
                answers.append(await self.request())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_request)
                await trio.sleep(0.2)
                process.terminate()
                await trio.sleep(0.3)
                self.assertEqual((await send_get(address, 8140, "/api/ready"))[0], 503)
                self.hold.set()
            self.hold = None
            self.assertEqual(answers, [(200, b"ok")])
            self.assertEqual((await self.request(2))[0], 200)
            code = await trio.to_thread.run_sync(process.wait)
            self.assertEqual(code, 0)
            self.assertIsNone(self.store.spec("wagtailpoint-instances", "entry-1"))

        self.run_with(test)

    def test_reload_of_settings_interrupts_no_request(self) -> None:
        async def test(process: ModuleProcess, address: str) -> None:
            self.document["Terms"]["Bounds"]["GraceS"] = 9
            self.file.write_text(json.dumps(self.document))
            process._running.send_signal(signal.SIGHUP)
            await trio.to_thread.run_sync(process.wait_log, "event=reload ")
            self.assertEqual((await self.request())[0], 200)

        self.run_with(test)

    def test_unavailable_store_does_not_affect_requests(self) -> None:
        async def test(process: ModuleProcess, address: str) -> None:
            self.store.refusal_status = 503
            self.store.end_watches()
            await trio.to_thread.run_sync(process.wait_log, "event=store-lost ")
            self.assertEqual((await self.request())[0], 200)
            self.store.refusal_status = None
            await trio.to_thread.run_sync(process.wait_log, "event=store-regained ")
            self.assertEqual((await self.request(2))[0], 200)

        self.run_with(test)


class WrongSettingsTest(unittest.TestCase):
    def test_each_invalid_setting_is_reported_on_a_line(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"Self": {}, "Network": 1}')
            file.flush()
            process = ModuleProcess(
                module="wagtailpoint.daemon", environment={"WAGTAILPOINT_NODE_FILE": file.name}
            )
            with process:
                self.assertEqual(process.wait(), 2)
                lines = process.log.splitlines()
        self.assertEqual(
            [line.split(":")[0] for line in lines], ["Self", "Network", "Platform", "Terms"]
        )

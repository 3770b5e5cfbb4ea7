"""Signals that reach an entry while it stops, and what its log says of requests that it cuts."""

import signal
from contextlib import suppress

import trio

from tests.common.backend_standin import bulk_bytes
from tests.common.deployment_case import DeploymentCase
from tests.common.deployment_process import EntryProcess

BULK_BYTES = 600_000
BULK_MS = 5000
DEADLINE_S = 30.0
BEFORE_STOP_S = 0.5
REPEAT_INTERVAL_S = 0.02
in_thread = trio.to_thread.run_sync


class SignalsDuringStopTest(DeploymentCase):
    ENTRIES = 1

    def test_second_sigterm(self) -> None:
        """Guards against a second SIGTERM that cuts what the stop waits for."""
        self.check_stop(first=signal.SIGTERM, repeated=signal.SIGTERM)

    def test_interrupt_after_sigterm(self) -> None:
        """Guards against a SIGINT that ends a graceful stop with an error."""
        self.check_stop(first=signal.SIGTERM, repeated=signal.SIGINT)

    def test_hangup_during_stop(self) -> None:
        """Guards against a SIGHUP that kills a process with requests open."""
        self.check_stop(first=signal.SIGTERM, repeated=signal.SIGHUP)

    def test_hangup_begins_a_stop(self) -> None:
        """Guards against a SIGHUP, such as of a closed terminal, that cuts requests."""
        self.check_stop(first=signal.SIGHUP, repeated=signal.SIGHUP)

    def check_stop(self, *, first: signal.Signals, repeated: signal.Signals) -> None:
        """Stop the entry during a download, and send signals until the process is gone."""
        (entry,) = self.running.entries
        earlier_log = len(entry.log)
        self.addCleanup(self.replace, entry)

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.check_download)
                await trio.sleep(BEFORE_STOP_S)
                entry.send_signal(first)
                nursery.start_soon(self.repeat_signal, entry, repeated)
                self.assertEqual(await in_thread(entry.wait), 0)
            log = entry.log[earlier_log:]
            self.assertEqual(log.count("event=stop-begins"), 1, log)
            self.assertEqual(log.count("event=stopped"), 1, log)

        self.run_trio(test)

    async def check_download(self) -> None:
        """Assert that a slow download arrives whole; no other entry could resume it."""
        path = f"/certificates/bulk/{BULK_BYTES}?ms={BULK_MS}"
        async with (
            self.running.caller("surakkha") as caller,
            caller.stream("GET", path, deadline_s=DEADLINE_S) as download,
        ):
            body = b"".join([chunk async for chunk in download.chunks()])
        self.assertEqual(body, bulk_bytes(0, BULK_BYTES))

    async def repeat_signal(self, entry: EntryProcess, number: signal.Signals) -> None:
        while entry.exit_code is None:
            await trio.sleep(REPEAT_INTERVAL_S)
            entry.send_signal(number)


class RequestsCutByStopTest(DeploymentCase):
    ENTRIES = 1
    TIMINGS = {"lookup_ttl_s": 0.3, "drain_timeout_s": 0.1}

    def test_log_names_them(self) -> None:
        """Guards against requests that a stop cuts and that no log line names."""
        (entry,) = self.running.entries
        download = f"/certificates/bulk/{BULK_BYTES}?ms=60000"
        self.set_backends(slow=1e6)

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_until_cut, entry, "GET", download, "id-cut-1", "")
                nursery.start_soon(self.leave_early, entry, download, "id-left-2")
                await trio.sleep(BEFORE_STOP_S)
                entry.terminate()
                await trio.sleep(BEFORE_STOP_S)
                key = "Idempotency-Key: key-cut-3\r\n"
                nursery.start_soon(
                    self.send_until_cut, entry, "POST", "/releases/3", "id-cut-3", key
                )
                self.assertEqual(await in_thread(entry.wait), 0)

        self.run_trio(test)
        lines = entry.log.splitlines()
        cut = [line for line in lines if "event=request-cut" in line]
        self.assertEqual(len(cut), 2, entry.log)
        for request_id in ("id-cut-1", "id-cut-3"):
            self.assertEqual(sum(f"request_id={request_id}" in line for line in cut), 1, cut)
        attempts = [line for line in lines if "event=attempt-cut" in line]
        self.assertEqual(["key=key-cut-3" in line for line in attempts], [True])

    async def send_until_cut(
        self, entry: EntryProcess, method: str, path: str, request_id: str, more: str
    ) -> None:
        """Send a request and read until the connection ends."""
        async with await trio.open_tcp_stream(*entry.place) as stream:
            await stream.send_all(self.encode_request(method, path, request_id, more))
            with suppress(trio.BrokenResourceError):
                while await stream.receive_some(65536):
                    pass

    async def leave_early(self, entry: EntryProcess, path: str, request_id: str) -> None:
        """Send a request and close the connection before the answer is complete."""
        async with await trio.open_tcp_stream(*entry.place) as stream:
            await stream.send_all(self.encode_request("GET", path, request_id, ""))
            await trio.sleep(2 * BEFORE_STOP_S)

    def encode_request(self, method: str, path: str, request_id: str, more: str) -> bytes:
        return (
            f"{method} {path} HTTP/1.1\r\nHost: entry\r\nWagtailpoint-Workspace: surakkha\r\n"
            f"Wagtailpoint-Request-Id: {request_id}\r\n{more}Content-Length: 0\r\n\r\n"
        ).encode()

"""Signals that reach an entry while it stops."""

import signal

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

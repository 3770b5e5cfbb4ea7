"""Graceful stops of an entry beside other faults."""

import trio

from tests.common.deployment_case import DeploymentCase
from tests.common.deployment_process import EntryProcess
from wagtailpoint.verdict import Verdict

FREEZE_S = 1.5
"""Shorter than the time after which peers declare an instance dead."""

PERIOD_S = 0.1
REQUEST_DEADLINE_S = 10.0
MAX_STOP_S = 15.0
"""Two seconds of service, the clean-up and the rest of the replies, on a busy machine."""

in_thread = trio.to_thread.run_sync


class StopBesideFaultsTest(DeploymentCase):
    ENTRIES = 2

    def tearDown(self) -> None:
        self.running.set_platform(down=False)
        self.replace(self.running.entries[0])

    def test_platform_is_away(self) -> None:
        """Guards against requests that fail because an entry stops while the platform is away."""
        self.running.set_platform(down=True)
        self.check_stop(freeze_s=0.0)

    def test_signal_during_a_freeze(self) -> None:
        """Guards against requests that fail because an entry stops right after a freeze."""
        self.check_stop(freeze_s=FREEZE_S)

    def check_stop(self, *, freeze_s: float) -> None:
        """Send requests to a stopping entry until it is gone; each ran, or is known not to have."""
        entry = self.running.entries[0]
        earlier_log = len(entry.log)
        earlier_heard = len(self.raw.heard)

        async def test() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_until_gone, entry)
                await trio.sleep(0.5)
                if freeze_s:
                    entry.freeze()
                    await trio.sleep(freeze_s / 2)
                    entry.terminate()
                    await trio.sleep(freeze_s / 2)
                    entry.thaw()
                else:
                    entry.terminate()
                with trio.fail_after(MAX_STOP_S):
                    self.assertEqual(await in_thread(entry.wait), 0)

        self.run_trio(test)
        heard = self.raw.heard[earlier_heard:]
        self.assertEqual([h for h in heard if h.verdict is Verdict.MAY_HAVE_RUN], [])
        self.assertGreater(sum(h.verdict is Verdict.RAN for h in heard), 10)
        log = entry.log[earlier_log:]
        for event in ("stop-cuts", "request-cut", "attempt-cut"):
            self.assertNotIn(f"event={event} ", log)

    async def send_until_gone(self, entry: EntryProcess) -> None:
        """Send releases, every second one with a key, until the process has ended."""
        number = 0
        async with trio.open_nursery() as nursery:
            while entry.exit_code is None:
                number += 1
                key = f"stop-{entry.pid}-{number}"
                nursery.start_soon(self.release, entry, key, number % 2 == 0)
                await trio.sleep(PERIOD_S)

    async def release(self, entry: EntryProcess, name: str, keyed: bool) -> None:
        await self.raw.send(
            entry.place,
            f"/releases/{name}",
            key=name if keyed else None,
            deadline_s=REQUEST_DEADLINE_S,
        )

"""The order and the times of a planned stop."""

import os
import signal
import unittest
from typing import Any
from unittest.mock import AsyncMock, Mock

import trio
from trio.testing import MockClock

from tests.common.fake_clock import TrioClock
from wagtailpoint.daemon.steering_stop import LAST_REPLIES_S, SteeringStop
from wagtailpoint.daemon.stop_signal import STOP_SIGNALS
from wagtailpoint.proxy.stop_clock import MARGIN_S


class Parts:
    """Records what a stop does to the parts of an instance, and when, in seconds from its begin."""

    def __init__(self, *, idle: bool, store_hangs: bool) -> None:
        self.done: dict[str, float] = {}
        self._began = trio.current_time()
        self._idle = idle
        self._store_hangs = store_hangs

    def arguments(self, grace_s: float) -> dict[str, Any]:
        """Return the arguments of ``SteeringStop.run``."""
        server = Mock(wait_closed=AsyncMock())
        server.close_idle.side_effect = lambda: self._record("close idle")
        server.stop_accepting.side_effect = lambda: self._record("stop accepting")
        dispatcher = Mock(open_requests=1, wait_idle=self._wait_idle)
        dispatcher.end_requests.side_effect = lambda: self._record("end requests")
        return {
            "grace_s": lambda: grace_s,
            "membership": Mock(),
            "registration": Mock(withdraw=self._withdraw),
            "workspaces": Mock(release_slots=AsyncMock()),
            "servers": [server],
            "dispatcher": dispatcher,
            "paths": Mock(relayed_connections=0, wait_idle=AsyncMock()),
        }

    def _record(self, what: str) -> None:
        self.done[what] = trio.current_time() - self._began

    async def _wait_idle(self) -> None:
        if not self._idle:
            await trio.sleep_forever()

    async def _withdraw(self) -> None:
        if self._store_hangs:
            await trio.sleep_forever()


class SteeringStopTest(unittest.TestCase):
    def setUp(self) -> None:
        for number in STOP_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def stop(
        self, grace_s: float, *, idle: bool = True, store_hangs: bool = False
    ) -> dict[str, float]:
        """Run a stop; return when it did what, and ``ended``, in seconds from its begin."""

        async def run() -> dict[str, float]:
            stop = SteeringStop(clock=TrioClock())
            with stop.listen():
                os.kill(os.getpid(), signal.SIGTERM)
                parts = Parts(idle=idle, store_hangs=store_hangs)
                began = trio.current_time()
                await stop.run(**parts.arguments(grace_s))
                return {**parts.done, "ended": trio.current_time() - began}

        return trio.run(run, clock=MockClock(autojump_threshold=0.01))

    def test_idle_instance_ends_when_callers_know_others(self) -> None:
        done = self.stop(6.0)
        self.assertAlmostEqual(done["close idle"], 2.0, delta=0.01)
        self.assertAlmostEqual(done["stop accepting"], 4.0, delta=0.01)
        self.assertAlmostEqual(done["ended"], 4.0, delta=0.01)
        self.assertNotIn("end requests", done)

    def test_open_requests_are_ended_before_the_process(self) -> None:
        done = self.stop(6.0, idle=False)
        self.assertAlmostEqual(done["end requests"], 6.0 - MARGIN_S - LAST_REPLIES_S, delta=0.01)
        self.assertAlmostEqual(done["ended"], 6.0 - MARGIN_S, delta=0.01)

    def test_last_replies_have_time_however_late_it_is(self) -> None:
        """Guards against a process that ends in the moment in which it answers its requests."""
        for grace_s in (0.0, 0.5, 0.8, 1.0, 2.0, 60.0):
            with self.subTest(grace_s=grace_s):
                done = self.stop(grace_s, idle=False, store_hangs=True)
                self.assertGreater(done["ended"] - done["end requests"], 0.9 * LAST_REPLIES_S)
                self.assertLess(done["ended"], max(grace_s - MARGIN_S, LAST_REPLIES_S) + 0.01)

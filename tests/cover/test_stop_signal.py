"""The signals that begin a planned stop."""

import os
import signal
import unittest

import trio

from tests.common.fake_clock import TrioClock
from wagtailpoint.daemon.stop_signal import STOP_SIGNALS, StopSignal

LIMIT_S = 10.0


class StopSignalTest(unittest.TestCase):
    def setUp(self) -> None:
        for number in STOP_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_first_signal_begins_the_stop(self) -> None:
        async def test() -> None:
            receiver = StopSignal(clock=TrioClock())
            with trio.fail_after(LIMIT_S), receiver.listen():
                began = trio.current_time()
                os.kill(os.getpid(), signal.SIGTERM)
                request = await receiver.wait()
                self.assertEqual(request.name, "SIGTERM")
                self.assertLessEqual(request.sent_after, request.handled_at)
                self.assertLessEqual(began, request.handled_at)

        trio.run(test)

    def test_further_signals_change_nothing(self) -> None:
        """Guards against a second signal that kills the process at the end of its stop."""

        async def test() -> None:
            receiver = StopSignal(clock=TrioClock())
            with trio.fail_after(LIMIT_S), receiver.listen():
                os.kill(os.getpid(), signal.SIGTERM)
                first = await receiver.wait()
                for number in STOP_SIGNALS:
                    os.kill(os.getpid(), number)
                await trio.sleep(0.01)
                self.assertIs(await receiver.wait(), first)

        trio.run(test)
        for number in STOP_SIGNALS:
            os.kill(os.getpid(), number)

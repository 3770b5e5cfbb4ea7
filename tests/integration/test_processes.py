"""The helper class that starts processes for tests."""

import signal
import unittest

from tests.common.platform_process import PlatformProcess
from tests.common.processes import ModuleProcess


class ModuleProcessTest(unittest.TestCase):
    def test_process_that_ends_at_once_raises_with_its_log(self) -> None:
        process = ModuleProcess(module="no.such.module", port=9)
        with self.assertRaisesRegex(RuntimeError, "No module named"), process:
            self.fail("it can't be ready")

    def test_frozen_process_is_killed(self) -> None:
        process = PlatformProcess()
        with process:
            process.freeze()
        self.assertEqual(process.exit_code, -signal.SIGKILL)

    def test_process_can_be_restarted(self) -> None:
        with PlatformProcess() as process:
            first_pid = process.pid
            self.assertEqual(process.stop(), 0)
            process.start()
            process.wait_ready()
            self.assertNotEqual(process.pid, first_pid)
            self.assertIsNone(process.exit_code)

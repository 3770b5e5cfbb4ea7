"""Run Python modules as separate processes of a test, and always end them.

    with ModuleProcess(module="tests.common.platform_standin",
                       arguments=["--address", address, "--port", "9000"],
                       address=address, port=9000) as process:
        process.freeze()

The methods block. In a trio test call them with ``trio.to_thread.run_sync`` if other tasks of the
test have to run meanwhile.
"""

import atexit
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from types import TracebackType
from typing import IO, Self

ROOT = Path(__file__).parents[2]
LIMIT_S = 30.0
_POLL_INTERVAL_S = 0.02
_LOG_TAIL_CHARACTERS = 4000


class ModuleProcess:
    """Context manager for ``python -m MODULE ARGUMENTS``: ready on entry, ended on exit.

    Args:
        module: Name of the module, for example ``wagtailpoint.daemon.main``.
        arguments: Command-line arguments.
        address: Address on which the process listens; used to wait until it is ready.
        port: TCP port on which the process listens; None to not wait for it.
        environment: Environment variables added to those of the test.
    """

    def __init__(
        self,
        *,
        module: str,
        arguments: Sequence[str] = (),
        address: str = "127.0.0.1",
        port: int | None = None,
        environment: Mapping[str, str] | None = None,
    ) -> None:
        self._command = [sys.executable, "-m", module, *arguments]
        self._address = address
        self._port = port
        self._environment = dict(environment or {})
        self._log_file: IO[bytes] | None = None
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        return self._running.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or minus the number of the signal that ended it; None while it runs."""
        return self._running.poll()

    @property
    def log(self) -> str:
        """The standard output and standard error of the process so far."""
        if self._log_file is None:
            return ""
        return Path(self._log_file.name).read_text(errors="replace")

    @property
    def _running(self) -> subprocess.Popen[bytes]:
        if self._process is None:
            raise RuntimeError(f"{self._command} was not started; call start() first")
        return self._process

    def start(self) -> None:
        """Start the process without waiting; may be called again after its end to restart it."""
        if self._process is not None and self._process.poll() is None:
            raise RuntimeError(f"{self._command} runs already as {self._process.pid}")
        if self._log_file is None:
            # Kept open across restarts; closed, and so removed, by _end().
            self._log_file = tempfile.NamedTemporaryFile(suffix=".log")  # noqa: SIM115
        path = os.pathsep.join([str(ROOT / "src"), str(ROOT)])
        self._process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": path, **self._environment},
            stdin=subprocess.DEVNULL,
            stdout=self._log_file,
            stderr=subprocess.STDOUT,
        )
        atexit.register(self.kill)

    def wait_ready(self, limit_s: float = LIMIT_S) -> None:
        """Wait until the TCP port accepts connections.

        Raises:
            RuntimeError: The process ended or is not ready after ``limit_s`` seconds; has its log.
        """
        deadline_s = time.monotonic() + limit_s
        while self._port is not None and not self._accepts_connections():
            if self.exit_code is not None:
                raise RuntimeError(f"{self._command} ended: {self.exit_code}\n{self._log_tail()}")
            if time.monotonic() > deadline_s:
                raise RuntimeError(f"{self._command} not ready in {limit_s} s\n{self._log_tail()}")
            time.sleep(_POLL_INTERVAL_S)

    def _accepts_connections(self) -> bool:
        try:
            socket.create_connection((self._address, self._port or 0), timeout=1.0).close()
        except OSError:
            return False
        return True

    def wait_log(self, text: str, limit_s: float = LIMIT_S) -> None:
        """Wait until the log contains ``text``."""
        deadline_s = time.monotonic() + limit_s
        while text not in self.log:
            if time.monotonic() > deadline_s:
                raise RuntimeError(f"no {text!r} in the log\n{self._log_tail()}")
            time.sleep(_POLL_INTERVAL_S)

    def _log_tail(self) -> str:
        return self.log[-_LOG_TAIL_CHARACTERS:]

    def freeze(self) -> None:
        """Suspend the process (SIGSTOP), as on a paused machine."""
        self._running.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process (SIGCONT)."""
        self._running.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        self._running.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM without waiting for the end."""
        self.send_signal(signal.SIGTERM)

    def wait(self, limit_s: float = LIMIT_S) -> int:
        """Wait until the process ends.

        Returns:
            The exit code.
        """
        return self._running.wait(limit_s)

    def stop(self, limit_s: float = LIMIT_S) -> int:
        """Send SIGTERM, wait for the end and return the exit code."""
        self.terminate()
        return self.wait(limit_s)

    def kill(self) -> None:
        """Send SIGKILL, which also ends a suspended process, and wait until it has ended."""
        atexit.unregister(self.kill)
        if self._process is not None:
            self._process.kill()
            self._process.wait(LIMIT_S)

    def __enter__(self) -> Self:
        try:
            self.start()
            self.wait_ready()
        except BaseException:
            self._end()
            raise
        return self

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if exception_type is not None:
            print(f"--- log of {self._command}\n{self._log_tail()}", file=sys.stderr)
        self._end()

    def _end(self) -> None:
        self.kill()
        if self._log_file is not None:
            self._log_file.close()
            self._log_file = None


@contextmanager
def started_together(*processes: ModuleProcess) -> Iterator[None]:
    """Start processes concurrently, wait until all are ready, and end all on exit."""
    with ExitStack() as stack:
        for process in processes:
            stack.push(process.__exit__)
            process.start()
        for process in processes:
            process.wait_ready()
        yield

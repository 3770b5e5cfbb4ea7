"""Several instances of ``bench.member_process`` on loopback, for the bench and for tests."""

import json
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

WAIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1

Reports = dict[str, dict[str, Any]]


class ProcessGroup:
    """Instances as processes of their own, ended on exit.

    Args:
        count: How many.
        settings: Those of the membership that are not the default.
    """

    def __init__(self, *, count: int, settings: dict[str, Any]) -> None:
        self._prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._settings = json.dumps(settings)
        self._processes: dict[str, subprocess.Popen[str]] = {}
        for number in range(1, count + 1):
            self.start(number)

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_: object) -> None:
        for address in self.addresses:
            self.kill(address)

    @property
    def addresses(self) -> list[str]:
        """The addresses of the running instances."""
        return list(self._processes)

    def start(self, number: int) -> str:
        """Start an instance, or a replacement of a killed one; return its address."""
        address = f"{self._prefix}.{number}"
        self._processes[address] = subprocess.Popen(
            [sys.executable, "-m", "bench.member_process", self._prefix, str(number)]
            + [self._settings],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        return address

    def kill(self, address: str) -> None:
        """End an instance without a word."""
        process = self._processes.pop(address)
        process.kill()
        process.communicate()

    def freeze(self, address: str) -> None:
        """Stop an instance in its tracks."""
        self._processes[address].send_signal(signal.SIGSTOP)

    def thaw(self, address: str) -> None:
        """Let it go on."""
        self._processes[address].send_signal(signal.SIGCONT)

    def command(self, address: str, line: str) -> None:
        """Give an instance one command."""
        stdin = self._processes[address].stdin
        assert stdin is not None
        stdin.write(line + "\n")
        stdin.flush()

    def reports(self, *, but: str | None = None) -> Reports:
        """Return the reports of all instances, but of a frozen one."""
        processes = {
            address: process for address, process in self._processes.items() if address != but
        }
        for address in processes:
            self.command(address, "report")
        reports = {}
        for address, process in processes.items():
            assert process.stdout is not None
            reports[address] = json.loads(process.stdout.readline())
        return reports

    def until(self, condition: Callable[[Reports], bool], *, but: str | None = None) -> Reports:
        """Wait until a condition holds for the reports; return them."""
        ends_at = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < ends_at:
            reports = self.reports(but=but)
            if condition(reports):
                return reports
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f"not so after {WAIT_TIMEOUT_S} s with {len(self._processes)} instances"
        )

    def until_seen(self, key: str) -> float:
        """Wait until all instances saw something; return when the last one did."""
        reports = self.until(lambda now: all(key in address["seen"] for address in now.values()))
        return max(float(address["seen"][key]) for address in reports.values())

    def until_all_live(self) -> Reports:
        """Wait until all see all."""
        live = dict.fromkeys(self.addresses, "live")
        return self.until(lambda now: all(address["states"] == live for address in now.values()))

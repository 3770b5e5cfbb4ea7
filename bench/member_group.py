"""Runs several instances of ``bench.member_process`` on loopback, for the bench and for tests."""

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
    """Runs instances as separate processes, which are killed on exit.

    Args:
        count: The number of instances.
        settings: The settings of the membership that differ from the defaults.
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
        """Start an instance, or the replacement of a killed instance; return its address."""
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
        """Kill an instance, without notice to the others."""
        process = self._processes.pop(address)
        process.kill()
        process.communicate()

    def freeze(self, address: str) -> None:
        """Suspend an instance."""
        self._processes[address].send_signal(signal.SIGSTOP)

    def thaw(self, address: str) -> None:
        """Resume a suspended instance."""
        self._processes[address].send_signal(signal.SIGCONT)

    def command(self, address: str, line: str) -> None:
        """Send an instance one command line."""
        stdin = self._processes[address].stdin
        assert stdin is not None
        stdin.write(line + "\n")
        stdin.flush()

    def reports(self, *, except_address: str | None = None) -> Reports:
        """Return the reports of all instances by address, except of ``except_address``."""
        processes = {
            address: process
            for address, process in self._processes.items()
            if address != except_address
        }
        for address in processes:
            self.command(address, "report")
        reports = {}
        for address, process in processes.items():
            assert process.stdout is not None
            reports[address] = json.loads(process.stdout.readline())
        return reports

    def wait_until(
        self, condition: Callable[[Reports], bool], *, except_address: str | None = None
    ) -> Reports:
        """Wait until a condition holds for the reports; return these.

        Raises:
            AssertionError: The condition does not hold within `WAIT_TIMEOUT_S`.
        """
        ends_at = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < ends_at:
            reports = self.reports(except_address=except_address)
            if condition(reports):
                return reports
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f"condition not met after {WAIT_TIMEOUT_S} s with {len(self._processes)} instances"
        )

    def wait_until_seen(self, key: str) -> float:
        """Wait until all instances have observed an event.

        Returns:
            The monotonic time, in seconds, at which the last instance observed it.
        """
        reports = self.wait_until(
            lambda now: all(key in address["seen"] for address in now.values())
        )
        return max(float(address["seen"][key]) for address in reports.values())

    def wait_until_all_live(self) -> Reports:
        """Wait until every instance considers every instance live; return the reports."""
        live = dict.fromkeys(self.addresses, "live")
        return self.wait_until(
            lambda now: all(address["states"] == live for address in now.values())
        )

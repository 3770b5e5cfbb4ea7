"""A caller connection that sends arbitrary bytes, and a test case with one entry."""

import json
import re
import socket
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from tests.common.deployment_process import EntryProcess, RunningDeployment
from tests.common.processes import LIMIT_S

MEGABYTE = 1024 * 1024
BODY_LIMIT = 256 * MEGABYTE
RECEIVE_BYTES = 256 * 1024
BALANCE = "GET /deposits/balance/7 HTTP/1.1\r\nHost: e\r\nWagtailpoint-Workspace: surakkha\r\n"
RELEASE = "POST /releases HTTP/1.1\r\nHost: e\r\nWagtailpoint-Workspace: surakkha\r\n"


MAX_GROWTH_BYTES = 24 * MEGABYTE


def peak_memory_bytes(pid: int) -> int:
    """Return the peak resident memory of a process, in bytes."""
    match = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert match is not None
    return int(match[1]) * 1024


class Raw(NamedTuple):
    """A response as it was received from a socket."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        return self.headers.get("wagtailpoint-verdict", "")

    @property
    def code(self) -> str:
        return str(json.loads(self.body)["code"])


class RawConnection:
    """A caller's connection that sends arbitrary bytes."""

    def __init__(self, place: tuple[str, int], *, receive_buffer: int | None = None) -> None:
        self.socket = socket.socket()
        self.socket.settimeout(LIMIT_S)
        if receive_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(place)
        self._file = self.socket.makefile("rb")

    def send(self, text: str | bytes) -> None:
        self.socket.sendall(text.encode() if isinstance(text, str) else text)

    def read(self, *, has_body: bool = True) -> Raw:
        """Read one final response; skip interim responses (100)."""
        while True:
            status = int(self._file.readline().split()[1])
            lines = iter(lambda: self._file.readline().decode().rstrip("\r\n"), "")
            pairs = (line.split(":", 1) for line in lines)
            headers = {name.lower(): value.strip() for name, value in pairs}
            if status >= 200:
                break
        length = int(headers.get("content-length", 0)) if has_body else 0
        return Raw(status, headers, self._file.read(length))

    def read_line(self) -> bytes:
        return self._file.readline()

    def ends(self) -> bool:
        """Return True when the entry closes the connection, False if it sends data first."""
        try:
            return self._file.read(1) == b""
        except ConnectionResetError:
            return True

    def close(self) -> None:
        self._file.close()
        self.socket.close()


class EntryTestCase(unittest.TestCase):
    """Test case with one entry instance of a running deployment."""

    running: RunningDeployment
    entry: EntryProcess
    limits = {"request_body_bytes": BODY_LIMIT, "header_bytes": 16 * 1024}
    timings = {"caller_idle_s": 20.0, "caller_stall_s": 2.0}

    @classmethod
    def setUpClass(cls) -> None:
        cls.running = RunningDeployment(
            name="surakkha",
            entries=1,
            limits=cls.limits,
            timings=cls.timings,
            backend_options=("--service-ms", "1"),
        )
        cls.running.__enter__()
        cls.addClassCleanup(cls.running.__exit__, None, None, None)
        cls.running.apply_objects()
        cls.entry = cls.running.entries[0]

    @contextmanager
    def connected(self, *, receive_buffer: int | None = None) -> Iterator[RawConnection]:
        connection = RawConnection(self.entry.place, receive_buffer=receive_buffer)
        try:
            yield connection
        finally:
            connection.close()

    def ask(self, text: str | bytes, *, has_body: bool = True) -> Raw:
        with self.connected() as connection:
            connection.send(text)
            return connection.read(has_body=has_body)

    def check_still_serves(self) -> None:
        answer = self.ask(BALANCE + "\r\n")
        self.assertEqual((answer.status, answer.verdict), (200, "ran"))

    def check_refused(self, answer: Raw, status: int, verdict: str = "not-run") -> None:
        self.assertEqual((answer.status, answer.verdict), (status, verdict))
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)
        value = json.loads(answer.body)
        self.assertEqual(sorted(value), ["code", "reason", "verdict"])
        self.assertEqual(value["verdict"], verdict)

    def check_refused_unread(self, answer: Raw, status: int) -> None:
        """Assert a refusal with ``may-have-run``.

        A request whose headers were not read may be a repetition of one that ran.
        """
        self.check_refused(answer, status, verdict="may-have-run")

    def wait_until(self, condition, what: str) -> None:
        deadline = time.monotonic() + LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, what)
            time.sleep(0.05)

    def open_requests(self) -> int:
        return int(self.entry.page("status")["requests"]["open"])

"""A log sink that never blocks and limits the rate of lines of each event."""

import select
import time
from typing import Any, Final, TextIO

LINES_PER_S: Final = 300.0
"""Rate limit of one event. An instance serves about 60 requests per second; more lines than this
add little information, and each costs about 0.1 ms of processor time."""

BURST_LINES: Final = 600.0
ATOMIC_BYTES: Final = 4096
"""Bytes that a pipe that is ready accepts without blocking (PIPE_BUF)."""

REPORT_INTERVAL_S: Final = 1.0


class _LineBudget:
    """The token bucket of one event's lines."""

    def __init__(self, now: float) -> None:
        self.lines = BURST_LINES
        self.updated_at = now
        self.dropped = 0


class BoundedSink:
    """Writes lines to a stream; drops and counts lines that exceed the limit or would block."""

    def __init__(self, *, stream: TextIO) -> None:
        """Initialise the sink.

        Args:
            stream: The stream, usually standard output. If its reader stops reading, a blocking
                write would block all requests of the process.
        """
        self._stream = stream
        self._budgets: dict[str, _LineBudget] = {}
        self._reported_at = 0.0
        self._blocked = 0

    def __call__(self, message: Any) -> None:
        """Write one line; called by loguru."""
        event = message.record["message"]
        now = time.monotonic()
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = _LineBudget(now)
        budget.lines = min(BURST_LINES, budget.lines + LINES_PER_S * (now - budget.updated_at))
        budget.updated_at = now
        if budget.lines < 1.0:
            budget.dropped += 1
            return
        budget.lines -= 1.0
        if now - self._reported_at > REPORT_INTERVAL_S:
            self._reported_at = now
            self._report()
        self._write(str(message))

    def _report(self) -> None:
        dropped = {name: budget.dropped for name, budget in self._budgets.items() if budget.dropped}
        if not dropped and not self._blocked:
            return
        pairs = " ".join(f"{name}={number}" for name, number in dropped.items())
        blocked, self._blocked = self._blocked, 0
        for budget in self._budgets.values():
            budget.dropped = 0
        self._write(f"level=WARNING event=log-lines-dropped blocked={blocked} {pairs}\n")

    def _write(self, line: str) -> None:
        if not self._is_ready() or len(line) > ATOMIC_BYTES:
            self._blocked += 1
            return
        self._stream.write(line)
        self._stream.flush()

    def _is_ready(self) -> bool:
        try:
            number = self._stream.fileno()
        except OSError:
            return True  # An in-memory stream never blocks.
        return bool(select.select([], [number], [], 0)[1])

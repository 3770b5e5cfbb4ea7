"""A log sink that never blocks and limits the rate of lines of each event."""

import select
import time
from typing import Any, Final, TextIO

LINES_PER_S: Final = 300.0
"""Rate limit of one event. An instance serves about 60 requests per second; more lines than this
add little information, and each costs about 0.05 ms of processor time."""

BURST_LINES: Final = 600.0

LINES_PER_S_BY_BUDGET: Final = {"request-not-run": 20.0}
"""Rate limits of budgets that several events share. Thousands of requests per second may be
refused, each within a fraction of a millisecond, so that a line would cost more than the refusal.
"""

BURST_S: Final = 2.0
"""Time over which a budget collects unused lines."""

ATOMIC_BYTES: Final = 4096
"""Bytes that a pipe that is ready accepts without blocking (PIPE_BUF)."""

REPORT_INTERVAL_S: Final = 1.0


class _LineBudget:
    """The token bucket of the lines of one event, or of several."""

    def __init__(self, lines_per_s: float, now: float) -> None:
        self.dropped = 0
        self._lines_per_s = lines_per_s
        self._max_lines = BURST_S * lines_per_s
        self._lines = self._max_lines
        self._updated_at = now

    def take(self, now: float) -> bool:
        """Take a line; return False and count it as dropped if none is left."""
        gained = self._lines_per_s * (now - self._updated_at)
        self._lines = min(self._max_lines, self._lines + gained)
        self._updated_at = now
        if self._lines < 1.0:
            self.dropped += 1
            return False
        self._lines -= 1.0
        return True


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

    def admits(self, budget_name: str) -> bool:
        """Count a line against a budget; return whether the line may be written.

        Asked before a line is built, since building it costs most of its processor time.

        Args:
            budget_name: The event, or a name in ``LINES_PER_S_BY_BUDGET``.
        """
        now = time.monotonic()
        budget = self._budgets.get(budget_name)
        if budget is None:
            lines_per_s = LINES_PER_S_BY_BUDGET.get(budget_name, LINES_PER_S)
            budget = self._budgets[budget_name] = _LineBudget(lines_per_s, now)
        if now - self._reported_at > REPORT_INTERVAL_S:
            self._reported_at = now
            self._report()
        return budget.take(now)

    def __call__(self, message: Any) -> None:
        """Write one line, which was admitted before; called by loguru."""
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

"""How much of its processor this process uses, seen from its event loop."""

from typing import Final

import trio

RISE_HALF_LIFE_S: Final = 0.5
FALL_HALF_LIFE_S: Final = 8.0
"""Load that comes must be known at once. Load that goes may come back, and each change of entries
moves callers to other connections."""


class ProcessorLoad(trio.abc.Instrument):
    """Measures the part of the time in which the event loop did not wait.

    A process that is denied its processor counts as busy, which is right: its callers wait. The
    processor time that the system counts would not show it.
    """

    def __init__(self) -> None:
        self._waits_since: float | None = None
        self._waited_s = 0.0
        self._read_at: float | None = None
        self._value = 0.0

    def before_io_wait(self, timeout: float) -> None:
        """The loop has nothing to do."""
        self._waits_since = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        """The loop goes on."""
        if self._waits_since is not None:
            self._waited_s += trio.current_time() - self._waits_since
            self._waits_since = None

    def read(self) -> float:
        """From 0 (idle) to 1, averaged over some seconds; to be called from time to time."""
        now = trio.current_time()
        if self._read_at is not None and now > self._read_at:
            elapsed_s = now - self._read_at
            busy = max(0.0, min(1.0, 1.0 - self._waited_s / elapsed_s))
            half_life_s = RISE_HALF_LIFE_S if busy > self._value else FALL_HALF_LIFE_S
            self._value += (1.0 - 0.5 ** (elapsed_s / half_life_s)) * (busy - self._value)
        self._read_at = now
        self._waited_s = 0.0
        return self._value

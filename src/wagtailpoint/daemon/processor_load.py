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
        self._wait_started_at: float | None = None
        self._waited_s = 0.0
        self._last_read_at: float | None = None
        self._load = 0.0

    def before_io_wait(self, timeout: float) -> None:
        """The loop has nothing to do."""
        self._wait_started_at = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        """The loop goes on."""
        if self._wait_started_at is not None:
            self._waited_s += trio.current_time() - self._wait_started_at
            self._wait_started_at = None

    def read(self) -> float:
        """From 0 (idle) to 1, averaged over some seconds; to be called from time to time."""
        now = trio.current_time()
        if self._last_read_at is not None and now > self._last_read_at:
            elapsed_s = now - self._last_read_at
            busy_fraction = max(0.0, min(1.0, 1.0 - self._waited_s / elapsed_s))
            half_life_s = RISE_HALF_LIFE_S if busy_fraction > self._load else FALL_HALF_LIFE_S
            self._load += (1.0 - 0.5 ** (elapsed_s / half_life_s)) * (busy_fraction - self._load)
        self._last_read_at = now
        self._waited_s = 0.0
        return self._load

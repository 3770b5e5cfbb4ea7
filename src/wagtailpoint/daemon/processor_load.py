"""Processor load of this process, measured at its event loop."""

from typing import Final

import trio

RISE_HALF_LIFE_S: Final = 0.5
FALL_HALF_LIFE_S: Final = 8.0
"""Smoothing of the load. A rise has to be reported at once. A fall may be short, and each change of
the entries moves callers to other connections."""


class ProcessorLoad(trio.abc.Instrument):
    """Measures the fraction of time in which the event loop did not wait for I/O.

    Time in which the operating system does not schedule the process counts as busy, because
    callers wait then too. The processor time that the system accounts would not show it.
    """

    def __init__(self) -> None:
        self._wait_started_at: float | None = None
        self._waited_s = 0.0
        self._last_read_at: float | None = None
        self._load = 0.0

    def before_io_wait(self, timeout: float) -> None:
        """Record that the event loop starts to wait."""
        self._wait_started_at = trio.current_time()

    def after_io_wait(self, timeout: float) -> None:
        """Record that the event loop continues."""
        if self._wait_started_at is not None:
            self._waited_s += trio.current_time() - self._wait_started_at
            self._wait_started_at = None

    def read(self) -> float:
        """Return the load, from 0 (idle) to 1, smoothed over some seconds; call periodically."""
        now = trio.current_time()
        if self._last_read_at is not None and now > self._last_read_at:
            elapsed_s = now - self._last_read_at
            busy_fraction = max(0.0, min(1.0, 1.0 - self._waited_s / elapsed_s))
            half_life_s = RISE_HALF_LIFE_S if busy_fraction > self._load else FALL_HALF_LIFE_S
            self._load += (1.0 - 0.5 ** (elapsed_s / half_life_s)) * (busy_fraction - self._load)
        self._last_read_at = now
        self._waited_s = 0.0
        return self._load

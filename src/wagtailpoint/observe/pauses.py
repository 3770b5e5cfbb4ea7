"""Pauses of this process: times in which the operating system did not run it."""

import math
from typing import Final

import trio

WAKE_INTERVAL_S: Final = 0.1

MIN_PAUSE_S: Final = 0.1
"""Shorter delays are due to other tasks of the process."""


class Pauses:
    """Measures pauses by how late a task is woken."""

    def __init__(self) -> None:
        self._ended_s = 0.0
        self._due_at = math.inf

    @property
    def total_s(self) -> float:
        """The total duration of all pauses so far, in seconds.

        A pause counts as soon as any task runs again, not only when the one of ``run`` does.
        """
        return self._ended_s + self._late_s()

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due_at = trio.current_time() + WAKE_INTERVAL_S
            await trio.sleep_until(self._due_at)
            self._ended_s += self._late_s()

    def _late_s(self) -> float:
        late_s = trio.current_time() - self._due_at
        return late_s if late_s >= MIN_PAUSE_S else 0.0

"""A hybrid logical clock, which combines wall time with the causal order of events."""

import re
from collections.abc import Callable
from typing import NamedTuple

MAX_AHEAD_MS = 60_000
_STAMP_PATTERN = re.compile(r"(\d{13,})\.(\d{6,})")


class Stamp(NamedTuple):
    """A reading of a hybrid logical clock; sorts in causal order.

    Attributes:
        wall_ms: Milliseconds since the epoch by the most advanced clock seen so far.
        tick: A counter that orders readings with the same ``wall_ms``.
    """

    wall_ms: int
    tick: int

    def __str__(self) -> str:
        return f"{self.wall_ms:013d}.{self.tick:06d}"


ZERO_STAMP = Stamp(0, 0)


def parse_stamp(text: str) -> Stamp:
    """Parse the text form of a stamp.

    Raises:
        ValueError: The text isn't a stamp.
    """
    match = _STAMP_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"given {text!r}, expected a stamp such as {Stamp(1700000000000, 3)}")
    return Stamp(int(match[1]), int(match[2]))


class HybridClock:
    """Stamps events so that an effect sorts after its cause, within and across processes.

    Args:
        wall: Returns the wall-clock time in seconds since the epoch.
    """

    def __init__(self, *, wall: Callable[[], float]) -> None:
        self._wall = wall
        self._last = ZERO_STAMP

    def now(self) -> Stamp:
        """Return a stamp later than all stamps returned or merged before."""
        wall_ms = int(self._wall() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.tick + 1)
        return self._last

    def merge(self, other: Stamp) -> None:
        """Advance the clock to the stamp of a received message.

        A stamp more than a minute ahead is ignored: otherwise one instance with a wrong wall clock
        would permanently advance the clocks of all instances.
        """
        if other > self._last and other.wall_ms <= self._wall() * 1000 + MAX_AHEAD_MS:
            self._last = Stamp(*other)

"""A hybrid logical clock: wall time for people, order of cause and effect for the time line."""

import re
from collections.abc import Callable
from typing import NamedTuple

MAX_AHEAD_MS = 60_000
_STAMP_PATTERN = re.compile(r"(\d{13,})\.(\d{6,})")


class Stamp(NamedTuple):
    """A reading of a hybrid logical clock; sorts in the order of cause and effect.

    Attributes:
        wall_ms: Milliseconds since the epoch, of the furthest clock heard of so far.
        tick: Readings within the same millisecond.
    """

    wall_ms: int
    tick: int

    def __str__(self) -> str:
        return f"{self.wall_ms:013d}.{self.tick:06d}"


ZERO = Stamp(0, 0)


def parse_stamp(text: str) -> Stamp:
    """Read the text form back.

    Raises:
        ValueError: The text is not that of a stamp.
    """
    match = _STAMP_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"given {text!r}, expected a stamp such as {Stamp(1700000000000, 3)}")
    return Stamp(int(match[1]), int(match[2]))


class HybridClock:
    """Stamps events so that an effect always sorts after its cause, also across processes.

    Args:
        wall: Reads the wall clock, in seconds since the epoch.
    """

    def __init__(self, *, wall: Callable[[], float]) -> None:
        self._wall = wall
        self._last = ZERO

    def now(self) -> Stamp:
        """Return a stamp later than every one returned or merged before."""
        wall_ms = int(self._wall() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.tick + 1)
        return self._last

    def merge(self, other: Stamp) -> None:
        """Take note of a stamp that came with a message.

        A stamp more than a minute ahead is ignored: one instance with a wrong wall clock would
        otherwise drag the time line of all instances into the future, and for good.
        """
        if other > self._last and other.wall_ms <= self._wall() * 1000 + MAX_AHEAD_MS:
            self._last = Stamp(*other)

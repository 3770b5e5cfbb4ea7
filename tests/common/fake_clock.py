"""Clocks for tests: one set by the test, one that follows trio's (mock) clock."""

import trio

WALL_AT_START = 1_700_000_000.0


class FakeClock:
    """A clock that advances only when the test sets ``now``."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class TrioClock:
    """Follows trio's clock, so that a test under ``MockClock`` moves both at once."""

    def monotonic(self) -> float:
        return trio.current_time()

    def wall(self) -> float:
        return WALL_AT_START + trio.current_time()

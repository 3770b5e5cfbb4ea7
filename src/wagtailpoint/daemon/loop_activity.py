"""When the event loop of this process last ran, and whether it stood still."""

from collections import deque
from typing import Final, NamedTuple

import trio

from wagtailpoint.ports.clock import Clock

STANDSTILL_S: Final = 0.05
"""A wait that lasts this much longer than the loop asked for, or as long between two waits, counts
as a standstill."""

DELIVERY_S: Final = 0.5
"""Time after a standstill in which a signal may be handled that was sent during it. After a freeze
any thread may receive it, and the loop may run before that one."""


class Standstill(NamedTuple):
    """A time in which the event loop should have run and did not.

    Attributes:
        began_at: Its beginning, in seconds of the clock.
        ended_at: Its end.
        earliest_cause_at: The earliest time at which a signal that is handled just after it may
            have been sent. That is earlier than its beginning if it began just after another one
            and was so long that nothing of that one may have been handled.
    """

    began_at: float
    ended_at: float
    earliest_cause_at: float


class LoopActivity(trio.abc.Instrument):
    """Remembers when the event loop last ran.

    A process that is frozen, suspended or not scheduled can't see when an outside event, such as a
    signal, has happened meanwhile; only that its loop has not run since.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Initialise the instrument; ``trio.lowlevel.add_instrument`` begins to record.

        Args:
            clock: The clock, which counts the time in suspension.
        """
        self._clock = clock
        self._last_ran_at = clock.monotonic()
        self._standstills: deque[Standstill] = deque()
        self._wait_limit_s = 0.0

    def before_io_wait(self, timeout: float) -> None:
        """Record that the loop begins to wait, for at most ``timeout`` seconds."""
        self._record_run(0.0)
        self._wait_limit_s = timeout

    def after_io_wait(self, timeout: float) -> None:
        """Record that the loop goes on."""
        self._record_run(self._wait_limit_s)

    def earliest_cause(self) -> float:
        """Return the earliest time at which what is noticed now may have happened.

        Returns:
            Seconds of the clock.
        """
        self._forget_standstills(self._clock.monotonic())
        causes = (each.earliest_cause_at for each in self._standstills)
        return min(causes, default=self._last_ran_at)

    def _record_run(self, expected_s: float) -> None:
        now = self._clock.monotonic()
        if now - self._last_ran_at > expected_s + STANDSTILL_S:
            self._record_standstill(self._last_ran_at, now)
        self._last_ran_at = now

    def _record_standstill(self, began_at: float, ended_at: float) -> None:
        self._forget_standstills(began_at)
        cause_at = began_at
        if ended_at - began_at >= DELIVERY_S:
            cause_at = min((each.began_at for each in self._standstills), default=began_at)
        self._standstills.append(Standstill(began_at, ended_at, cause_at))

    def _forget_standstills(self, now: float) -> None:
        while self._standstills and now - self._standstills[0].ended_at >= DELIVERY_S:
            self._standstills.popleft()

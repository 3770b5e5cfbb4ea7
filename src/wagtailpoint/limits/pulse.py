"""Notices that this process was frozen."""

from wagtailpoint.ports.clock import Clock

NEVER = float("-inf")


class Pulse:
    """Tells a process that was frozen, at its first act after it woke.

    While it was frozen others may have been told that it is gone. A process that wakes must not
    spend anything before the platform has confirmed what it holds; a clock alone does not show
    that, for during an outage of the platform an old renewal is no sign of a freeze.
    """

    def __init__(self, *, clock: Clock, longest_pause_s: float) -> None:
        """Make it beating.

        Args:
            clock: Must count suspension.
            longest_pause_s: A longer time between two beats is a freeze. Beat several times
                within it.
        """
        self._clock = clock
        self._longest_pause_s = longest_pause_s
        self._last = clock.monotonic()
        self._woke_at = NEVER

    @property
    def woke_at(self) -> float:
        """When the last freeze was seen to have ended; what was confirmed earlier is void."""
        now = self._clock.monotonic()
        if now - self._last > self._longest_pause_s:
            self._woke_at = self._last = now
        return self._woke_at

    def beat(self) -> None:
        """Note that this process runs."""
        # Looks first: if this ran first after a freeze, the freeze would go unnoticed.
        _ = self.woke_at
        self._last = self._clock.monotonic()

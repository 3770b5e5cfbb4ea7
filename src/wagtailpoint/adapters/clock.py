"""The clock of the operating system."""

import time


class SystemClock:
    """Implements ``wagtailpoint.ports.clock.Clock``."""

    def monotonic(self) -> float:
        """Return the seconds since the system started, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        return time.time()

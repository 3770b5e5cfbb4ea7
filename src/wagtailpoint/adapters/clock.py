"""The clocks of the machine."""

import time


class SystemClock:
    """Implements ``wagtailpoint.ports.clock.Clock``."""

    def monotonic(self) -> float:
        """Seconds since the machine started, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the epoch."""
        return time.time()

"""What requests of a route take: service time and size of the answer, learned."""

import math
from typing import Final

GAIN: Final = 0.05
FIRST_SERVICE_S: Final = 0.1
FIRST_BYTES: Final = 4096.0

MOST_RATIO: Final = 2.0
"""A sample counts as no more than so many times what is believed. An instance that was frozen for
seconds sees answers that took seconds; taken as they are, twenty of them made it believe that no
request could be answered in time."""

FRESH_S: Final = 1.0
FADE_HALF_LIFE_S: Final = 1.0
"""Without a sample for a second the belief returns to the first one, by half in each second more.
Who believes that all requests come too late sends none, and would learn nothing else for ever."""


class RouteCost:
    """Means of one route on one service."""

    def __init__(self) -> None:
        self._service_s = FIRST_SERVICE_S
        self._bytes = FIRST_BYTES
        self._seen = 0
        self._sampled_at = -math.inf

    def service_s(self, now: float) -> float:
        """The time at the backend server, without queue, in seconds."""
        stale_s = max(0.0, now - self._sampled_at - FRESH_S)
        left: float = 0.5 ** (stale_s / FADE_HALF_LIFE_S)
        return FIRST_SERVICE_S + left * (self._service_s - FIRST_SERVICE_S)

    @property
    def reply_bytes(self) -> float:
        """The size of an answer."""
        return self._bytes

    def note(self, service_s: float, reply_bytes: int, now: float) -> None:
        """Take note of one answer."""
        before = self.service_s(now)
        self._seen += 1
        gain = max(GAIN, 1 / self._seen)
        self._service_s = before + gain * (min(service_s, MOST_RATIO * before) - before)
        self._bytes += gain * (reply_bytes - self._bytes)
        self._sampled_at = now

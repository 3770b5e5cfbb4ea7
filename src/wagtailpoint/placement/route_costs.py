"""What requests of a route take: service time and size of the answer, learned."""

from typing import Final

GAIN: Final = 0.05
FIRST_SERVICE_S: Final = 0.1
FIRST_BYTES: Final = 4096.0


class RouteCost:
    """Means of one route on one service."""

    def __init__(self) -> None:
        self._service_s = FIRST_SERVICE_S
        self._bytes = FIRST_BYTES
        self._seen = 0

    @property
    def service_s(self) -> float:
        """The time at the backend server, without queue, in seconds."""
        return self._service_s

    @property
    def reply_bytes(self) -> float:
        """The size of an answer."""
        return self._bytes

    def note(self, service_s: float, reply_bytes: int) -> None:
        """Take note of one answer."""
        self._seen += 1
        gain = max(GAIN, 1 / self._seen)
        self._service_s += gain * (service_s - self._service_s)
        self._bytes += gain * (reply_bytes - self._bytes)

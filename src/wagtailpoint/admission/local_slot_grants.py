"""Slot grants that rely only on this instance's own count of requests in flight."""

from collections import Counter
from collections.abc import Sequence

from wagtailpoint.config.model import BackendServer


class LocalSlotGrants:
    """Implements ``SlotGrants`` without coordination between instances.

    Choosing the backend server with the fewest requests in flight, as counted by this instance, is
    the best rule that needs no messages between instances. Several instances together can exceed
    the slots of a backend server.
    """

    def __init__(self) -> None:
        self._in_flight: Counter[BackendServer] = Counter()

    def slots_of(self, server: BackendServer) -> int:
        """Return the number of all slots of a backend server."""
        return server.slots

    def take(
        self, servers: Sequence[BackendServer], *, deadline: float, long: bool = False
    ) -> BackendServer | None:
        """Take a slot of the first backend server with the fewest requests in flight."""
        free = [server for server in servers if self._in_flight[server] < server.slots]
        if not free:
            return None
        server = min(free, key=lambda candidate: self._in_flight[candidate])
        self._in_flight[server] += 1
        return server

    def release(self, server: BackendServer) -> None:
        """Release a slot."""
        self._in_flight[server] -= 1
        if not self._in_flight[server]:
            del self._in_flight[server]

"""All slots of all backend servers, by this instance's own count of what it has in flight."""

from collections import Counter
from collections.abc import Sequence

from wagtailpoint.config.model import BackendServer


class OwnCount:
    """Implements ``SlotGrants`` without any word from other instances.

    The rule "least in flight of all, by the instance's own count" is the best of those that need
    no message between instances. Several instances together can exceed a backend server's slots.
    """

    def __init__(self) -> None:
        self._in_flight: Counter[BackendServer] = Counter()

    def slots_of(self, server: BackendServer) -> int:
        """All of them."""
        return server.slots

    def take(
        self, servers: Sequence[BackendServer], *, deadline: float, long: bool = False
    ) -> BackendServer | None:
        """Take a slot of the backend server with the fewest in flight; of equals the first."""
        free = [server for server in servers if self._in_flight[server] < server.slots]
        if not free:
            return None
        server = min(free, key=lambda each: self._in_flight[each])
        self._in_flight[server] += 1
        return server

    def give_back(self, server: BackendServer) -> None:
        """Give a slot back."""
        self._in_flight[server] -= 1
        if not self._in_flight[server]:
            del self._in_flight[server]

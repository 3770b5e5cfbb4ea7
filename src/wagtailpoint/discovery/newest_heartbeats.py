"""Selects the newest of the entries received for each backend server."""

from collections import OrderedDict
from typing import Final

from wagtailpoint.discovery.entries import RegisteredServer, ServerEntry

MAX_SERVERS: Final = 4096
"""Number of backend servers whose newest heartbeat is kept, including removed ones; about 400 bytes
each. It is many times the number that starts in a deployment while a call may be delayed."""


class NewestHeartbeats:
    """Keeps the newest heartbeat of each backend server, so that a delayed one can't undo it.

    A write that the store executes late replaces a newer heartbeat by an older one. A heartbeat of
    an earlier start would make this instance assume requests in progress that the later start does
    not have; one from before the drain would make it send requests to the backend server again.
    """

    def __init__(self) -> None:
        self._newest: OrderedDict[str, RegisteredServer] = OrderedDict()

    def newest(self, registered: RegisteredServer) -> ServerEntry:
        """Return the newest entry of a backend server, given the entry that was received now."""
        server_id = registered.entry.server_id
        known = self._newest.get(server_id)
        if known is not None and _heartbeat_order(known) > _heartbeat_order(registered):
            return known.entry
        self._newest[server_id] = registered
        self._newest.move_to_end(server_id)
        if len(self._newest) > MAX_SERVERS:
            self._newest.popitem(last=False)
        return registered.entry


def _heartbeat_order(registered: RegisteredServer) -> tuple[int, int]:
    """Return the sort key of a heartbeat; their numbers restart with each start."""
    return (registered.entry.started_ms, registered.sequence)

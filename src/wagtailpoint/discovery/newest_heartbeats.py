"""Which of the entries that come for one backend server is the newest."""

from collections import OrderedDict
from typing import Final

from wagtailpoint.discovery.entries import RegisteredServer, ServerEntry

MAX_SERVERS: Final = 4096
"""Backend servers whose newest heartbeat is remembered, those that are gone included; about 400
bytes each, and many times what a deployment starts within the time that a call may be delayed."""


class NewestHeartbeats:
    """Keeps what a delayed heartbeat must not undo.

    A write that the store executes late puts an older heartbeat over a newer one: one of an earlier
    start of the backend server, which would have requests expected there that the later start does
    not know, or one from before it began to drain, which would have it used again.
    """

    def __init__(self) -> None:
        self._newest: OrderedDict[str, RegisteredServer] = OrderedDict()

    def newest(self, registered: RegisteredServer) -> ServerEntry:
        """The newest entry of a backend server, given what was found for it now."""
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
    """Counts of heartbeats begin anew with each start."""
    return (registered.entry.started_ms, registered.sequence)

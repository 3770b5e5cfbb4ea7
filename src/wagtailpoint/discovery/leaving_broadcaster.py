"""Broadcasts which backend servers have announced in their responses that they leave.

The entry of such a server may say so later, or never. An instance that is told by another one stops
sending requests there before it would have lost one.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

import trio

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message

BROADCAST_INTERVAL_S: Final = 0.1
"""Minimum interval of broadcasts. When many backend servers leave at the same time, each instance
sends a few messages for all of them."""


class ServersLeaving(NamedTuple):
    """States which backend servers have announced to the sender that they leave.

    Attributes:
        starts: The starts of the backend servers.
    """

    starts: Sequence[ServerStart]


register_message("servers-leaving", ServersLeaving)


class LeavingBroadcaster:
    """Tells the other instances which backend servers leave, and applies what they tell.

    What was received is not forwarded: each instance that is told by a server sends to all others.
    """

    def __init__(
        self,
        *,
        peers: Peers,
        others: Callable[[], Sequence[PeerAddress]],
        record_leaving: Callable[[ServerStart, str], bool],
    ) -> None:
        """Initialise the broadcaster.

        Args:
            peers: Links to the other instances.
            others: Returns the addresses of the other instances that are not known to be dead.
            record_leaving: Records that a backend server leaves, given its start and who said so;
                returns whether that was not known.
        """
        self._peers = peers
        self._others = others
        self._record_leaving = record_leaving
        self._unsent: list[ServerStart] = []
        self._has_unsent = trio.Event()
        peers.handle(ServersLeaving, self._on_message)

    def record_announcement(self, start: ServerStart) -> None:
        """Record that a response of a backend server announces its leaving."""
        if self._record_leaving(start, "answer"):
            self._unsent.append(start)
            self._has_unsent.set()

    async def run(self) -> None:
        """Send broadcasts until cancelled."""
        while True:
            await self._has_unsent.wait()
            self._has_unsent = trio.Event()
            message = ServersLeaving(tuple(self._unsent))
            self._unsent.clear()
            for peer in self._others():
                self._peers.send(peer, message)
            await trio.sleep(BROADCAST_INTERVAL_S)

    def _on_message(self, received: Received) -> None:
        message: ServersLeaving = received.message
        for start in message.starts:
            self._record_leaving(start, "peer")

"""Broadcasts which backend servers refuse requests because they are draining.

Without a declared drain, the only reliable sign of draining is a refusal, because load reports may
lag or be wrong. An instance in another region may send a backend server nothing for minutes and
then, when its own region is full, send it a request while it drains. Therefore an instance whose
request is refused informs all others at once with one small message each. Received messages are
not forwarded, so that a drain costs each instance few messages.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from wagtailpoint.health.board import HealthBoard
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message


class ServerDraining(NamedTuple):
    """States that a backend server refused a request of the sender because it is draining.

    Attributes:
        server: Address of the backend server.
    """

    server: BackendAddress


register_message("server-draining", ServerDraining)


class DrainBroadcaster:
    """Broadcasts drain refusals of this instance, and applies those received from peers.

    Args:
        peers: Links to other instances, over which messages are sent.
        health: Reports the refusals of this instance, and records those of its peers.
        others: Returns the addresses of the other instances that are not known to be dead.
    """

    def __init__(
        self, *, peers: Peers, health: HealthBoard, others: Callable[[], Sequence[PeerAddress]]
    ) -> None:
        self._peers = peers
        self._health = health
        self._others = others
        health.on_draining(self._broadcast)
        peers.handle(ServerDraining, self._handle_message)

    def _broadcast(self, server: BackendAddress) -> None:
        log_event("server-draining", server=server, source="answer")
        for peer in self._others():
            self._peers.send(peer, ServerDraining(server))

    def _handle_message(self, received: Received) -> None:
        server: BackendAddress = received.message.server
        log_event("server-draining", server=server, source=received.sender)
        self._health.apply_peer_draining(server)

"""Tells the other instances which backend servers refuse work because they are draining.

A backend server that drains without a declared drain says so only in its refusals, for its load
reports lag or lie. An instance in another region may send it nothing for minutes, and then, when
its own region is full, send a request to a backend server that should have been left alone. So
whoever is refused tells all others at once: one small message each, and those who were told do not
tell it on, which keeps the cost of a drain to a few messages for each instance.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from wagtailpoint.health.board import HealthBoard
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message


class ServerDraining(NamedTuple):
    """A backend server refused a request of the sender, because it is draining."""

    server: BackendAddress


register_message("server-draining", ServerDraining)


class DrainBroadcaster:
    """Passes what this instance's refusals say to its peers, and takes in what theirs say.

    Args:
        peers: Carry the news.
        health: Hears of the refusals, and takes the news in.
        others: Where the other instances that are not known to be dead are heard.
    """

    def __init__(
        self, *, peers: Peers, health: HealthBoard, others: Callable[[], Sequence[PeerAddress]]
    ) -> None:
        self._peers = peers
        self._health = health
        self._others = others
        health.on_draining(self._tell)
        peers.handle(ServerDraining, self._on_news)

    def _tell(self, server: BackendAddress) -> None:
        log_event("server-draining", server=server, source="answer")
        for peer in self._others():
            self._peers.send(peer, ServerDraining(server))

    def _on_news(self, received: Received) -> None:
        server: BackendAddress = received.message.server
        log_event("server-draining", server=server, source=received.sender)
        self._health.learn_draining(server)

"""Backoffs that concern an instance and those that use its relayed connections.

A backend server that requests a backoff means the instance whose connection it sees. That of a
relayed connection is the relay's, while the instance that uses it reads the response.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.membership import Membership
from wagtailpoint.ports.peers import Peers, Received, register_message


class BackoffRequested(NamedTuple):
    """States that a backend server wants no requests for some time.

    Attributes:
        server: The start of the backend server.
        seconds: The duration from when the message was sent.
    """

    server: str
    seconds: float


register_message("backoff-requested", BackoffRequested)


class BackoffExchange:
    """Tells relays and the instances that use them about backoffs."""

    def __init__(
        self, *, backoffs: RequestedBackoffs, peers: Peers, membership: Membership
    ) -> None:
        """Initialise the exchange.

        Args:
            backoffs: The backoffs that this instance keeps; receives those of others.
            peers: Links to the other instances.
            membership: The known instances.
        """
        self._backoffs = backoffs
        self._peers = peers
        self._membership = membership
        self._users_of_relay: Callable[[str], Collection[str]] = lambda server: ()
        backoffs.on_requested(self._tell_users)
        peers.handle(BackoffRequested, self._on_message)

    def tell_users(self, users_of_relay: Callable[[str], Collection[str]]) -> None:
        """Set the function that returns who uses this instance as a relay.

        Args:
            users_of_relay: Returns the addresses of the instances with a relayed connection, given
                the start of a backend server.
        """
        self._users_of_relay = users_of_relay

    def tell_relay(self, relay: str, server: str) -> None:
        """Tell a relay about the backoff that was requested on one of its connections.

        Args:
            relay: The relay as in ``OpenedStream.relay``.
            server: The start of the backend server.
        """
        self._send(relay.partition("#")[0], server, self._backoffs.remaining_s(server))

    def _tell_users(self, server: str, seconds: float) -> None:
        for address in self._users_of_relay(server):
            self._send(address, server, seconds)

    def _send(self, address: str, server: str, seconds: float) -> None:
        member = self._membership.member(address)
        if member is not None:
            self._peers.send(member.peer_address, BackoffRequested(server, seconds))

    def _on_message(self, received: Received) -> None:
        message: BackoffRequested = received.message
        self._backoffs.record(message.server, message.seconds, source="peer")

"""Opens connections to backend servers, directly or through other instances."""

from typing import Final

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.proxy.backend_connection import BackendConnection, ExchangeFailed
from wagtailpoint.proxy.backend_dialer import BackendDialer, OpenedStream
from wagtailpoint.proxy.headers import HeaderNames
from wagtailpoint.relay.client import RelayClient
from wagtailpoint.relay.reachability import Path, Reachability

PURPOSES_WITH_DETOUR: Final = ("request", "crash-check")
"""The purposes for which other instances are asked before it is known that this one is cut off:
somebody waits, or a request would be blamed. Probes of dead backend servers are not passed on."""


class BackendConnector:
    """Opens connections over the path by which backend servers can be reached."""

    def __init__(
        self,
        *,
        names: HeaderNames,
        dialer: BackendDialer,
        relays: RelayClient,
        reachability: Reachability,
    ) -> None:
        """Initialise the connector.

        Args:
            names: The deployment's header names.
            dialer: Opens direct connections.
            relays: Opens connections through other instances.
            reachability: Says by which path backend servers can be reached.
        """
        self._names = names
        self._dialer = dialer
        self._relays = relays
        self._reachability = reachability

    @property
    def heard_at(self) -> float:
        """The last time when a byte arrived on a direct connection."""
        return self._reachability.heard_at

    def is_usable(self, connection: BackendConnection) -> bool:
        """Return whether a request may be sent on a connection, by the path that it takes."""
        if self._reachability.path is Path.RELAYED:
            return bool(connection.relay) and self._relays.is_usable(connection.relay)
        return not connection.relay

    def record_reset(self, start: ServerStart, connection: BackendConnection) -> None:
        """Record that an exchange on a connection was reset."""
        if not connection.relay and not connection.has_heard:
            self._reachability.record_failure(start)

    async def open(self, entry: ServerEntry, purpose: str) -> BackendConnection:
        """Open a connection.

        Raises:
            ExchangeFailed: The backend server refused the connection or can't be reached.
        """
        if self._reachability.path is Path.RELAYED:
            return self._connection(await self._relays.open(entry))
        try:
            return self._connection(OpenedStream(await self._dialer.dial(entry, purpose)))
        except ExchangeFailed as error:
            if purpose not in PURPOSES_WITH_DETOUR or not self._reachability.is_suspect():
                raise
            try:
                return self._connection(await self._relays.open(entry))
            except ExchangeFailed:
                raise error from None

    def _connection(self, opened: OpenedStream) -> BackendConnection:
        if opened.relay:
            return BackendConnection(stream=opened.stream, names=self._names, relay=opened.relay)
        return BackendConnection(
            stream=opened.stream, names=self._names, on_heard=self._reachability.record_heard
        )

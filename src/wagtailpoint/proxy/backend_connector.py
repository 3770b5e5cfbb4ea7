"""Opens connections to backend servers, directly or through other instances."""

from typing import Final

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.proxy.backend_connection import BackendConnection, ExchangeFailed
from wagtailpoint.proxy.backend_dialer import BackendDialer
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

    def is_usable(self, connection: BackendConnection, *, ends_by: float | None = None) -> bool:
        """Return whether a request may be sent on a connection, by the path that it takes.

        Args:
            connection: The connection.
            ends_by: The deadline of a request, by trio's clock; None to keep an idle connection.
        """
        if self._reachability.path is Path.RELAYED:
            relay = connection.relay
            return bool(relay) and self._relays.is_usable(relay, ends_by=ends_by)
        return not connection.relay

    def record_reset(self, start: ServerStart, connection: BackendConnection) -> None:
        """Record that an exchange on a connection was reset."""
        if not connection.relay and not connection.has_heard:
            self._reachability.record_failure(start)

    async def open(
        self, entry: ServerEntry, purpose: str, *, may_leave_region: bool = True
    ) -> BackendConnection:
        """Open a connection.

        Args:
            entry: The backend server.
            purpose: Why it is opened, for metrics.
            may_leave_region: Whether it may pass instances outside the backend server's region.

        Raises:
            ExchangeFailed: The backend server refused the connection or can't be reached.
        """
        if self._reachability.path is Path.RELAYED:
            return await self._open_relayed(entry, may_leave_region)
        try:
            return await self._open_direct(entry, purpose)
        except ExchangeFailed as error:
            if purpose not in PURPOSES_WITH_DETOUR or not self._reachability.is_suspect():
                raise
            try:
                return await self._open_relayed(entry, may_leave_region)
            except ExchangeFailed:
                raise error from None

    async def _open_relayed(self, entry: ServerEntry, may_leave_region: bool) -> BackendConnection:
        opened = await self._relays.open(entry, may_leave_region=may_leave_region)
        return BackendConnection(
            stream=opened.stream,
            names=self._names,
            relay=opened.relay,
            leaves_region=opened.leaves_region,
        )

    async def _open_direct(self, entry: ServerEntry, purpose: str) -> BackendConnection:
        return BackendConnection(
            stream=await self._dialer.dial(entry, purpose),
            names=self._names,
            on_heard=self._reachability.record_heard,
        )

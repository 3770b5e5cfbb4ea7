"""What the store says, in force on this instance: routes, backend servers, evacuations."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from result import Err

from wagtailpoint.discovery.entries import RegisteredServer, ServerStart
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.discovery.newest_heartbeats import NewestHeartbeats
from wagtailpoint.observe.log import log_event
from wagtailpoint.platform.documents import CONFIG_NAME, decode_config, decode_server
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.routing.table import RouteTable


class StoreState:
    """Puts what the followers learn in force."""

    def __init__(self, *, fleet: Fleet, on_gone: Callable[[ServerStart], None]) -> None:
        """Make it without any configuration.

        Args:
            fleet: The backend servers.
            on_gone: Called with each backend server that is gone, or has started again.
        """
        self._fleet = fleet
        self._on_gone = on_gone
        self._table: RouteTable | None = None
        self._decoded: dict[str, _Decoded] = {}
        self._heartbeats = NewestHeartbeats()

    @property
    def table(self) -> RouteTable | None:
        """The routes in force; None before the first configuration."""
        return self._table

    def apply_config(self, objects: Mapping[str, StoredObject]) -> None:
        """Put a newer configuration in force; an older or an unreadable one changes nothing."""
        stored = objects.get(CONFIG_NAME)
        if stored is None:
            return
        decoded = decode_config(stored)
        if isinstance(decoded, Err):
            log_event("config-unreadable", level="ERROR", error=decoded.err_value)
            return
        table = decoded.ok_value
        if self._table is not None and table.version <= self._table.version:
            return
        self._table = table
        log_event(
            "config-in-force",
            version=table.version,
            revision=stored.version,
            routes=sum(map(len, table.hosts.values())),
        )

    @property
    def unusable_entries(self) -> int:
        """Entries that name no backend server, as they can't be read."""
        return sum(each.found is None for each in self._decoded.values())

    def apply_servers(self, objects: Mapping[str, StoredObject]) -> None:
        """Take in the entries of all backend servers; those that can't be read name none."""
        self._decoded = {name: self._decode(stored) for name, stored in objects.items()}
        entries = [
            self._heartbeats.newest(each.found)
            for each in self._decoded.values()
            if each.found is not None
        ]
        for start in self._fleet.update(entries):
            self._on_gone(start)

    def apply_evacuations(self, objects: Mapping[str, StoredObject]) -> None:
        """Send nothing to the failure domains that are named."""
        services = self._table.services if self._table is not None else {}
        self._fleet.evacuate(frozenset(objects), services)

    def _decode(self, stored: StoredObject) -> "_Decoded":
        known = self._decoded.get(stored.name)
        if known is not None and known.version == stored.version:
            return known
        decoded = decode_server(stored, failure_domains=self._fleet.known_domains)
        if isinstance(decoded, Err):
            log_event("server-unreadable", level="WARNING", error=decoded.err_value)
            return _Decoded(stored.version, None)
        return _Decoded(stored.version, decoded.ok_value)


class _Decoded(NamedTuple):
    """What an entry says at a version; nothing if it can't be read."""

    version: int
    found: RegisteredServer | None

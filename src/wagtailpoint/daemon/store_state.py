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

    def __init__(self, *, fleet: Fleet, on_removed: Callable[[ServerStart], None]) -> None:
        """Make it without any configuration.

        Args:
            fleet: The backend servers.
            on_removed: Called with each backend server that is gone, or has started again.
        """
        self._fleet = fleet
        self._on_removed = on_removed
        self._table: RouteTable | None = None
        self._is_config_readable = True
        self._decoded: dict[str, _Decoded] = {}
        self._heartbeats = NewestHeartbeats()

    @property
    def table(self) -> RouteTable | None:
        """The routes in force; None before the first configuration."""
        return self._table

    @property
    def is_config_readable(self) -> bool:
        """Whether the newest configuration could be read, and so is the one in force."""
        return self._is_config_readable

    def apply_config(self, objects: Mapping[str, StoredObject]) -> None:
        """Put a newer configuration in force; an older or an unreadable one changes nothing."""
        stored = objects.get(CONFIG_NAME)
        if stored is None:
            return
        decoded = decode_config(stored)
        self._is_config_readable = not isinstance(decoded, Err)
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
        return sum(decoded.server is None for decoded in self._decoded.values())

    def apply_servers(self, objects: Mapping[str, StoredObject]) -> None:
        """Take in the entries of all backend servers; those that can't be read name none.

        Only what has changed is looked at: one of hundreds does many times a second, and each time
        all instances hear of it.
        """
        removed = self._decoded.keys() - objects.keys()
        changed = [stored for stored in objects.values() if self._has_changed(stored)]
        for name in removed:
            del self._decoded[name]
        entries = []
        for stored in changed:
            server = self._decode(stored)
            self._decoded[stored.name] = _Decoded(stored.version, server)
            if server is None:
                removed.add(stored.name)
            else:
                entries.append(self._heartbeats.newest(server))
        known = self._fleet.entries
        for start in self._fleet.apply_changes(
            entries, gone=[name for name in removed if name in known]
        ):
            self._on_removed(start)

    def apply_evacuations(self, objects: Mapping[str, StoredObject]) -> None:
        """Send nothing to the failure domains that are named."""
        services = self._table.services if self._table is not None else {}
        self._fleet.evacuate(frozenset(objects), services)

    def _has_changed(self, stored: StoredObject) -> bool:
        known = self._decoded.get(stored.name)
        return known is None or known.version != stored.version

    def _decode(self, stored: StoredObject) -> RegisteredServer | None:
        decoded = decode_server(stored, failure_domains=self._fleet.known_domains)
        if isinstance(decoded, Err):
            log_event("server-unreadable", level="WARNING", error=decoded.err_value)
            return None
        return decoded.ok_value


class _Decoded(NamedTuple):
    """What an entry says at a version; nothing if it can't be read."""

    version: int
    server: RegisteredServer | None

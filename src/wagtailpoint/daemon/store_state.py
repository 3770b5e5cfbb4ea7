"""Applies routes, backend servers and evacuations from the store on this instance."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from result import Err

from wagtailpoint.discovery.entries import RegisteredServer, ServerStart
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.discovery.newest_heartbeats import NewestHeartbeats
from wagtailpoint.observe.log import log_event
from wagtailpoint.platform.documents import CONFIG_NAME, decode_config, decode_server
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.revision import Revision
from wagtailpoint.routing.table import DEFAULT_CALLER_BOUNDS, CallerBounds, RouteTable

STORE_TIMEOUT_S = 1.2
"""Time-out of calls to the store, which answers in 4 ms and up to 100 times slower under overload.
Short, so that calls lost in an outage end soon after the store has recovered."""


class StoreState:
    """Decodes the objects that followers read, and puts them in force."""

    def __init__(self, *, fleet: Fleet, on_removed: Callable[[ServerStart], None]) -> None:
        """Initialise without a configuration.

        Args:
            fleet: The backend servers known to this instance.
            on_removed: Called with each start of a backend server that ended, because the entry was
                removed or the backend server restarted.
        """
        self._fleet = fleet
        self._on_removed = on_removed
        self._table: RouteTable | None = None
        self._is_config_readable = True
        self._decoded: dict[str, _Decoded] = {}
        self._heartbeats = NewestHeartbeats()

    @property
    def table(self) -> RouteTable | None:
        """The route table in force; None before the first configuration."""
        return self._table

    @property
    def is_config_readable(self) -> bool:
        """Whether the newest configuration could be decoded and therefore is in force."""
        return self._is_config_readable

    def caller_bounds(self) -> CallerBounds:
        """Return the limits on callers' requests that are in force."""
        return self._table.bounds if self._table is not None else DEFAULT_CALLER_BOUNDS

    def apply_config(self, objects: Mapping[str, StoredObject]) -> None:
        """Put a newer configuration in force; ignore an older or unreadable one."""
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
        """The number of entries that can't be decoded, and so stand for no backend server."""
        return sum(decoded.server is None for decoded in self._decoded.values())

    def apply_servers(self, objects: Mapping[str, StoredObject]) -> None:
        """Apply the entries of all backend servers; unreadable ones stand for no backend server.

        Decodes only the entries that changed. One of hundreds changes many times a second, and
        every change reaches all instances.
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
        """Send no requests to the failure domains that are to be evacuated."""
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
    """An entry decoded at a version; without a server if it is unreadable."""

    version: Revision
    server: RegisteredServer | None

"""What the store says, in force on this instance: routes, backend servers, evacuations."""

from collections.abc import Callable, Mapping

from result import Err

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.observe.log import log_event
from wagtailpoint.platform.documents import CONFIG_NAME, decode_config, decode_server
from wagtailpoint.ports.platform import StoredObject
from wagtailpoint.routing.table import RouteTable


class StoreState:
    """Puts what the followers learn in force."""

    def __init__(self, *, fleet: Fleet, on_gone: Callable[[str], None]) -> None:
        """Make it without any configuration.

        Args:
            fleet: The backend servers.
            on_gone: Called with the id of each backend server that is gone.
        """
        self._fleet = fleet
        self._on_gone = on_gone
        self._table: RouteTable | None = None
        self._decoded: dict[str, tuple[int, ServerEntry]] = {}

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

    def apply_servers(self, objects: Mapping[str, StoredObject]) -> None:
        """Take in the entries of all backend servers."""
        entries = []
        for stored in objects.values():
            entry = self._entry(stored)
            if entry is not None:
                entries.append(entry)
        self._decoded = {name: self._decoded[name] for name in objects if name in self._decoded}
        for server_id in self._fleet.update(entries):
            self._on_gone(server_id)

    def apply_evacuations(self, objects: Mapping[str, StoredObject]) -> None:
        """Send nothing to the failure domains that are named."""
        services = self._table.services if self._table is not None else {}
        self._fleet.evacuate(frozenset(objects), services)

    def _entry(self, stored: StoredObject) -> ServerEntry | None:
        known = self._decoded.get(stored.name)
        if known is not None and known[0] == stored.version:
            return known[1]
        decoded = decode_server(stored)
        if isinstance(decoded, Err):
            # The last good entry stays in use: a backend server is not lost by a broken document.
            log_event("server-unreadable", level="ERROR", error=decoded.err_value)
            return known[1] if known is not None else None
        self._decoded[stored.name] = (stored.version, decoded.ok_value)
        return decoded.ok_value

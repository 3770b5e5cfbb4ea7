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
        self._config_read = True
        self._decoded: dict[str, _Decoded] = {}
        self._heartbeats = NewestHeartbeats()

    @property
    def table(self) -> RouteTable | None:
        """The routes in force; None before the first configuration."""
        return self._table

    @property
    def config_read(self) -> bool:
        """Whether the newest configuration could be read, and so is the one in force."""
        return self._config_read

    def apply_config(self, objects: Mapping[str, StoredObject]) -> None:
        """Put a newer configuration in force; an older or an unreadable one changes nothing."""
        stored = objects.get(CONFIG_NAME)
        if stored is None:
            return
        decoded = decode_config(stored)
        self._config_read = not isinstance(decoded, Err)
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
        """Take in the entries of all backend servers; those that can't be read name none.

        Only what has changed is looked at: one of hundreds does many times a second, and each time
        all instances hear of it.
        """
        gone = self._decoded.keys() - objects.keys()
        changed = [stored for stored in objects.values() if self._is_news(stored)]
        for name in gone:
            del self._decoded[name]
        entries = []
        for stored in changed:
            found = self._decode(stored)
            self._decoded[stored.name] = _Decoded(stored.version, found)
            if found is None:
                gone.add(stored.name)
            else:
                entries.append(self._heartbeats.newest(found))
        known = self._fleet.entries
        for start in self._fleet.apply_changes(
            entries, gone=[name for name in gone if name in known]
        ):
            self._on_gone(start)

    def apply_evacuations(self, objects: Mapping[str, StoredObject]) -> None:
        """Send nothing to the failure domains that are named."""
        services = self._table.services if self._table is not None else {}
        self._fleet.evacuate(frozenset(objects), services)

    def _is_news(self, stored: StoredObject) -> bool:
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
    found: RegisteredServer | None

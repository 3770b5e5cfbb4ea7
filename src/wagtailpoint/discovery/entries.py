"""What the store says of one backend server, and of one instance of the system."""

from typing import NamedTuple

from wagtailpoint.ports.backend import BackendAddress


class ServerStart(NamedTuple):
    """One start of a backend server: what was learned of an earlier one says nothing of it.

    Attributes:
        server_id: Its id, which it may keep when it starts again.
        started_ms: When it started, in milliseconds since 1970; 0 if it did not say.
    """

    server_id: str
    started_ms: int


class ServerEntry(NamedTuple):
    """A backend server, as it registered itself.

    Attributes:
        server_id: Usually new at each start of the backend server.
        service: The service that it belongs to.
        address: Where it listens; another backend server may get the same address later.
        failure_domain: Where it runs.
        slots: Requests that it serves at the same time.
        draining: It is leaving and must get no new work.
        cold_left_s: How much longer it stays cold, in seconds, when the entry was written.
        started_ms: When it started, in milliseconds since 1970; 0 if it did not say.
    """

    server_id: str
    service: str
    address: BackendAddress
    failure_domain: str
    slots: int
    draining: bool
    cold_left_s: float
    started_ms: int = 0

    @property
    def start(self) -> ServerStart:
        """Which start of the backend server it is."""
        return ServerStart(self.server_id, self.started_ms)


class RegisteredServer(NamedTuple):
    """An entry, and which of the heartbeats of its backend server wrote it.

    Attributes:
        entry: The entry.
        sequence: Rises with each heartbeat since the start; 0 if it did not say.
    """

    entry: ServerEntry
    sequence: int

"""The entries of backend servers, as decoded from the store."""

from typing import Final, NamedTuple

from wagtailpoint.ports.backend import BackendAddress

MAX_COLD_S: Final = 24 * 3600.0
"""A longer cold time was not stated by a backend server."""


class ServerStart(NamedTuple):
    """One start of a backend server; measurements of an earlier start do not apply to it.

    Attributes:
        server_id: Id of the backend server, which may stay the same over restarts.
        started_ms: Time of the start, in milliseconds since 1970; 0 if not reported.
    """

    server_id: str
    started_ms: int

    @property
    def key(self) -> str:
        """The start as one word, the same on all instances."""
        return f"{self.server_id}/{self.started_ms}"


class ServerEntry(NamedTuple):
    """A backend server as described by its registration.

    Attributes:
        server_id: Id of the backend server; usually new at each start.
        service: Name of the service that it belongs to.
        address: Address that it listens on; another backend server may get it later.
        failure_domain: The failure domain that it runs in.
        slots: Number of requests that it serves at the same time.
        draining: Whether it is leaving and must get no new requests.
        cold_left_s: Remaining cold time when the entry was written, in seconds.
        started_ms: Time of the start, in milliseconds since 1970; 0 if not reported.
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
        """The start of the backend server that the entry describes."""
        return ServerStart(self.server_id, self.started_ms)


class RegisteredServer(NamedTuple):
    """An entry with the number of the heartbeat that wrote it.

    Attributes:
        entry: The entry.
        sequence: Number of the heartbeat, counted from the start; 0 if not reported.
    """

    entry: ServerEntry
    sequence: int

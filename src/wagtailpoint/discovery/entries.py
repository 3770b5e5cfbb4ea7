"""What the store says of one backend server, and of one instance of the system."""

from typing import NamedTuple

from wagtailpoint.ports.backend import BackendAddress


class ServerEntry(NamedTuple):
    """A backend server, as it registered itself.

    Attributes:
        server_id: New at each start of the backend server.
        service: The service that it belongs to.
        address: Where it listens; another backend server may get the same address later.
        failure_domain: Where it runs.
        slots: Requests that it serves at the same time.
        draining: It is leaving and must get no new work.
        cold_left_s: How much longer it stays cold, in seconds, when the entry was written.
    """

    server_id: str
    service: str
    address: BackendAddress
    failure_domain: str
    slots: int
    draining: bool
    cold_left_s: float

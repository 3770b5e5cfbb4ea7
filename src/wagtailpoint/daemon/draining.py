"""Progress of each drain, as this instance sees it."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailpoint.config.model import BackendServer, EffectiveConfig
from wagtailpoint.daemon.servers import is_drained


class DrainStatus(NamedTuple):
    """Progress of a drain, as the status page shows it.

    Attributes:
        name: Name of the drain.
        backend_servers: Addresses of the backend servers that it covers.
        in_flight: Requests from this instance that are open at them, downloads included.
    """

    name: str
    backend_servers: list[str]
    in_flight: int


def drain_status(
    config: EffectiveConfig, count_held: Callable[[BackendServer], int]
) -> list[DrainStatus]:
    """Return the progress of all drains.

    Args:
        config: The configuration in force.
        count_held: Returns how many slots of a backend server this instance holds.
    """
    servers = {
        server
        for service in config.services.values()
        for group in service.groups.values()
        for server in group
    }
    statuses = []
    for drain in config.drains.values():
        covered = sorted(server for server in servers if is_drained(server, [drain]))
        statuses.append(
            DrainStatus(
                name=drain.name,
                backend_servers=[str(server.address) for server in covered],
                in_flight=sum(count_held(server) for server in covered),
            )
        )
    return statuses

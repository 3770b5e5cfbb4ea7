"""What is left to do of each drain, as this instance sees it."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailpoint.config.model import BackendServer, EffectiveConfig
from wagtailpoint.daemon.servers import is_drained


class DrainStatus(NamedTuple):
    """A drain on the status page.

    Attributes:
        name: Its name.
        backend_servers: What it covers.
        in_flight: Requests that this instance still has there, downloads included.
    """

    name: str
    backend_servers: list[str]
    in_flight: int


def drain_status(
    config: EffectiveConfig, held_of: Callable[[BackendServer], int]
) -> list[DrainStatus]:
    """All drains.

    Args:
        config: The configuration in force.
        held_of: Counts the slots of a backend server that this instance holds.
    """
    servers = {
        server
        for service in config.services.values()
        for group in service.groups.values()
        for server in group
    }
    found = []
    for drain in config.drains.values():
        covered = sorted(server for server in servers if is_drained(server, [drain]))
        found.append(
            DrainStatus(
                name=drain.name,
                backend_servers=[str(server.address) for server in covered],
                in_flight=sum(held_of(server) for server in covered),
            )
        )
    return found

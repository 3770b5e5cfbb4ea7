"""The routes in force: found by host and longest path prefix."""

import re
from collections.abc import Mapping
from enum import Enum
from typing import Final, NamedTuple

from wagtailpoint.routing.workspaces import WorkspacePolicy, WorkspacesByKey

_PORT: Final = re.compile(r":[0-9]*$")


class RouteKind(Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"
    """Idempotent, with long answers."""


class SplitPart(NamedTuple):
    """A service that gets a part of a route's requests.

    Attributes:
        service: The service.
        weight: Its part, relative to the others' weights.
    """

    service: str
    weight: float


class HostRoute(NamedTuple):
    """A route of a virtual host.

    Attributes:
        name: Its name.
        prefix: The path begins with it.
        kind: What may be repeated.
        timeout_s: The longest that a caller is kept waiting, in seconds.
        objective_s: An answer within this time has its full value, in seconds.
        priority: 0 is the most urgent.
        max_attempts: The most backend servers that one request may be sent to.
        sticky: Backend servers that handled the same affinity key lately are faster.
        home_regions: The regions that may serve it; None for all.
        parts: The services, one or more.
        public: Callers need no key.
    """

    name: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    sticky: bool
    home_regions: frozenset[str] | None
    parts: tuple[SplitPart, ...]
    public: bool = False

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT

    def for_workspace(self, workspace: WorkspacePolicy) -> "HostRoute":
        """The route as it holds for a workspace: its priority goes first, both their homes bind."""
        home_regions = self.home_regions
        if workspace.home_regions is not None:
            home_regions = (
                workspace.home_regions
                if home_regions is None
                else home_regions & workspace.home_regions
            )
        priority = self.priority if workspace.priority is None else workspace.priority
        if home_regions == self.home_regions and priority == self.priority:
            return self
        return self._replace(priority=priority, home_regions=home_regions)


class ServicePolicy(NamedTuple):
    """What the configuration says of a service.

    Attributes:
        name: The service.
        health_path: Where its backend servers answer a health check.
        max_connections: A backend server takes so many connections from all callers together.
        cold_s: A backend server stays cold for so long after its start, in seconds.
        cold_per_s: Requests a second that a cold backend server bears.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_per_s: float


class CallerBounds(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: The longest head of a request.
        body_bytes: The longest body.
        header_timeout_s: The longest time from the first byte of a head to its end, in seconds.
        idle_timeout_s: How long a connection may rest between two requests, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


DEFAULT_CALLER_BOUNDS = CallerBounds(
    header_bytes=16 * 1024, body_bytes=64 * 1024 * 1024, header_timeout_s=3.0, idle_timeout_s=15.0
)
"""In force until the first configuration is known."""


class RouteTable(NamedTuple):
    """All routes of one version of the configuration.

    Attributes:
        version: Rises with each configuration.
        hosts: The routes of each host, its name in lower case; the longest prefix first.
        services: By name.
        bounds: What callers may send.
        workspaces: By the digests of their keys; None if callers need no keys.
    """

    version: int
    hosts: Mapping[str, tuple[HostRoute, ...]]
    services: Mapping[str, ServicePolicy]
    bounds: CallerBounds
    workspaces: WorkspacesByKey | None = None

    def find(self, host: str, path: str) -> HostRoute | None:
        """Find the route with the longest prefix that begins the path.

        Args:
            host: The name in the request's head, with or without a port.
            path: Without the query.
        """
        name = _PORT.sub("", host.lower())
        for route in self.hosts.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

"""Route table: lookup of a route by host and longest path prefix."""

import re
from collections.abc import Mapping
from enum import Enum
from typing import Final, NamedTuple

from wagtailpoint.routing.workspaces import WorkspacePolicy, WorkspacesByKey

_PORT: Final = re.compile(r":[0-9]*$")


class RouteKind(Enum):
    """The kind of a route, which determines whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    DOWNLOAD = "download"
    """Idempotent, with large answers."""


class SplitPart(NamedTuple):
    """A service that gets a part of a route's requests.

    Attributes:
        service: The name of the service.
        weight: The weight of the part, relative to the weights of the other parts.
    """

    service: str
    weight: float


class HostRoute(NamedTuple):
    """A route of a virtual host.

    Attributes:
        name: The name of the route.
        prefix: The path prefix of its requests.
        kind: Determines whether its requests may be retried.
        timeout_s: The maximum time until an answer, in seconds.
        objective_s: The latency objective in seconds; an answer within it has its full value.
        priority: The priority, of which 0 is the most urgent.
        max_attempts: The maximum number of backend servers that one request is sent to.
        sticky: Whether requests have an affinity key, and are faster at a backend server that
            served the same key lately.
        home_regions: The regions that may serve the route; None for all.
        parts: One or more services with their weights.
        public: Whether callers need no key.
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
        """Whether a request may run more than once."""
        return self.kind is not RouteKind.NON_IDEMPOTENT

    def for_workspace(self, workspace: WorkspacePolicy) -> "HostRoute":
        """Return the route with a workspace's priority, limited to the home regions of both."""
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
    """The configuration of a service.

    Attributes:
        name: The name of the service.
        health_path: The path at which its backend servers answer health checks.
        max_connections: The maximum number of connections to one backend server from all callers.
        cold_s: The duration of a backend server's slow start, in seconds.
        cold_per_s: The requests a second that a backend server can serve during slow start.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float
    cold_per_s: float


class CallerBounds(NamedTuple):
    """Limits on the size and the duration of callers' requests.

    Attributes:
        header_bytes: The maximum size of a request's head.
        body_bytes: The maximum size of a request's body.
        header_timeout_s: The maximum time from the first byte of a head to its end, in seconds.
        idle_timeout_s: The maximum time that a connection is idle between requests, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


DEFAULT_CALLER_BOUNDS = CallerBounds(
    header_bytes=16 * 1024, body_bytes=64 * 1024 * 1024, header_timeout_s=3.0, idle_timeout_s=15.0
)
"""Limits in force until the first configuration is received."""


class RouteTable(NamedTuple):
    """All routes of one version of the configuration.

    Attributes:
        version: The version, which rises with each configuration.
        hosts: The routes by host name in lower case, those with the longest prefix first.
        services: The services by name.
        bounds: The limits on callers' requests.
        workspaces: The workspaces by the digests of their keys; None if callers need no keys.
    """

    version: int
    hosts: Mapping[str, tuple[HostRoute, ...]]
    services: Mapping[str, ServicePolicy]
    bounds: CallerBounds
    workspaces: WorkspacesByKey | None = None

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route with the longest prefix of the path; None if there is none.

        Args:
            host: The host name of the request, with or without a port.
            path: The path without the query.
        """
        name = _PORT.sub("", host.lower())
        for route in self.hosts.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

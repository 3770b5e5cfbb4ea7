"""The effective configuration, which is compiled from the objects and enforced by every instance.

It is immutable. An instance replaces its whole configuration in one assignment, so no request sees
parts of two versions.
"""

from collections.abc import Mapping, Sequence
from typing import Literal, NamedTuple

from wagtailpoint.ports.backend import BackendAddress


class Region(NamedTuple):
    """A region with its failure domains.

    Attributes:
        name: For example ``kolkata``.
        failure_domains: The names of its failure domains.
        latency_ms: One-way latency to each other region, in milliseconds.
        capacity_rps: Maximum requests per second that the system may send into this region; None
            if unlimited. Checked and stored, but not enforced.
        failure_domain_latency_ms: One-way latency between its failure domains, in milliseconds; not
            used by any decision.
        client_latency_ms: One-way latency from its clients to its instances, in milliseconds; not
            used by any decision.
        seats_per_failure_domain: Number of instances that may run in each of its failure domains;
            every limit is split evenly over the seats of all regions.
    """

    name: str
    failure_domains: tuple[str, ...]
    latency_ms: Mapping[str, float]
    capacity_rps: float | None
    failure_domain_latency_ms: float = 1.0
    client_latency_ms: float = 1.0
    seats_per_failure_domain: int = 2


class BackendServer(NamedTuple):
    """A backend server of one group of a service.

    Attributes:
        address: The address and port on which it listens.
        failure_domain: The failure domain in which it runs.
        slots: Number of requests that it serves concurrently.
    """

    address: BackendAddress
    failure_domain: str
    slots: int


class ClassPolicy(NamedTuple):
    """The priority and the slot ceiling of one request class of a service.

    Attributes:
        name: For example ``tonight``.
        priority: 0 is the most urgent.
        ceiling: The fraction of all slots (0 to 1) that this class and all less urgent classes
            together may hold; the rest stays free for bursts of more urgent requests.
    """

    name: str
    priority: int
    ceiling: float


class Service(NamedTuple):
    """A service and its backend servers.

    Attributes:
        name: For example ``deposit-desk``.
        groups: Named sets of backend servers; a workspace uses one group of each service.
        classes: The request classes, by name.
        retry_ratio: Retries allowed, as a fraction of first attempts (0 to 1).
        report_path: The path at which a backend server reports its health and load.
        echoes_request_id: Whether its backend servers echo ``Wagtailpoint-Request-Id``; if so, a
            response without it is dropped.
    """

    name: str
    groups: Mapping[str, tuple[BackendServer, ...]]
    classes: Mapping[str, ClassPolicy]
    retry_ratio: float
    report_path: str
    echoes_request_id: bool


class Route(NamedTuple):
    """The requests that go to a service, and the rules for them.

    Attributes:
        method: An HTTP method, or None for any.
        prefix: The prefix of matching paths; the longest match wins, then the route with a method.
        service: The name of the service.
        request_class: The name of one of the service's classes.
        idempotent: Whether the request may be retried after it may have run.
        timeout_s: Maximum time that the caller waits for the response headers, in seconds.
        bulk: Whether this is a long download, for which ``timeout_s`` bounds the headers but not
            the whole body.
    """

    method: str | None
    prefix: str
    service: str
    request_class: str
    idempotent: bool
    timeout_s: float
    bulk: bool


class Workspace(NamedTuple):
    """A workspace after the substitution of its template's parameters.

    Attributes:
        name: For example ``surakkha``.
        template: The name of its template.
        routes: Its routes.
        groups: The group that serves it, by service, before any move.
        max_rps: Maximum requests per second that it may send in total; None if unlimited.
    """

    name: str
    template: str
    routes: tuple[Route, ...]
    groups: Mapping[str, str]
    max_rps: float | None


class Move(NamedTuple):
    """A planned shift of a workspace's traffic for one service from one group to another.

    Attributes:
        name: Its name.
        workspace: The workspace that is moved.
        service: The service whose backend servers change.
        from_group: The group that serves the workspace before the move.
        to_group: The group that serves the workspace after the move.
        cap_rps: Maximum requests per second that the move may send to ``to_group`` at any time.
        steps: The increasing fractions of the traffic (0 to 1) that go to ``to_group``, in order.
        hold_s: How long a step is observed before the next, in seconds.
        state: The state requested by the operator; ``abort`` sends all traffic back at once.
    """

    name: str
    workspace: str
    service: str
    from_group: str
    to_group: str
    cap_rps: float
    steps: tuple[float, ...]
    hold_s: float
    state: Literal["run", "pause", "abort"]


class Drain(NamedTuple):
    """A backend server or a failure domain that receives no new requests.

    Attributes:
        name: Its name.
        backend_server: The backend server, or None.
        failure_domain: The failure domain, or None; exactly one of the two is set.
    """

    name: str
    backend_server: BackendAddress | None
    failure_domain: str | None


class ClientBlock(NamedTuple):
    """A block of client addresses and the region nearest to it."""

    network: str
    region: str


class EffectiveConfig(NamedTuple):
    """Everything that an instance enforces.

    Attributes:
        version: The position of the newest change in the total order of changes; starts at 1.
        regions: The regions, by name.
        services: The services, by name.
        workspaces: The workspaces, by name.
        moves: The moves, by name.
        drains: The drains, by name.
        client_blocks: The nearest region of each block of client addresses.
    """

    version: int
    regions: Mapping[str, Region]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    moves: Mapping[str, Move]
    drains: Mapping[str, Drain]
    client_blocks: Sequence[ClientBlock]

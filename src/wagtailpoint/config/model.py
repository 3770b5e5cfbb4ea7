"""The effective configuration: what every instance enforces, compiled from the objects.

All of it is immutable. An instance swaps its whole configuration in one assignment, so no request
sees half of an old and half of a new one.
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
        capacity_rps: The most requests a second that the system may decide to send into this
            region; None if not limited. Checked and kept, but not enforced yet.
        failure_domain_latency_ms: One-way latency between its failure domains, in milliseconds; no
            decision uses it yet.
        client_latency_ms: One-way latency from its clients to its instances, in milliseconds; no
            decision uses it yet.
        seats_per_failure_domain: How many instances may run in each of its failure domains; every
            limit is split evenly over all of all regions.
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
        address: Where it listens.
        failure_domain: Where it runs.
        slots: Requests that it serves at the same time.
    """

    address: BackendAddress
    failure_domain: str
    slots: int


class ClassPolicy(NamedTuple):
    """How one class of requests shares a service with the others.

    Attributes:
        name: For example ``tonight``.
        priority: 0 is the most urgent.
        ceiling: The part of all slots (0 to 1) that this class and all lower ones together may
            hold; what is left stays free for an arriving burst of more urgent requests.
    """

    name: str
    priority: int
    ceiling: float


class Service(NamedTuple):
    """A service and its backend servers.

    Attributes:
        name: For example ``deposit-desk``.
        groups: Named sets of backend servers; a workspace uses one group of each service.
        classes: By name.
        retry_ratio: Retries allowed as a part of fresh requests (0 to 1).
        report_path: Where a backend server answers with its health and load.
        echoes_request_id: Its backend servers repeat ``Wagtailpoint-Request-Id``; a response
            without it is then dropped.
    """

    name: str
    groups: Mapping[str, tuple[BackendServer, ...]]
    classes: Mapping[str, ClassPolicy]
    retry_ratio: float
    report_path: str
    echoes_request_id: bool


class Route(NamedTuple):
    """Which service a request goes to, and under which rules.

    Attributes:
        method: An HTTP method, or None for any.
        prefix: The path must start with it; the longest match wins, then the one with a method.
        service: The service.
        request_class: The class, one of the service's.
        idempotent: The request may be repeated.
        timeout_s: The longest that the caller is kept waiting for the response's headers, in
            seconds.
        bulk: A long download: ``timeout_s`` bounds its headers, not its whole body.
    """

    method: str | None
    prefix: str
    service: str
    request_class: str
    idempotent: bool
    timeout_s: float
    bulk: bool


class Workspace(NamedTuple):
    """A workspace, after its template's parameters were filled in.

    Attributes:
        name: For example ``surakkha``.
        template: The template that it was made from.
        routes: Its routes.
        groups: The group of each service that serves it, before any move.
        max_rps: The most requests a second that it may send in all; None if not limited.
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
        from_group: The group that serves it now.
        to_group: The group that shall serve it.
        cap_rps: The most requests a second that the move may send to ``to_group``, at any moment.
        steps: The parts of the traffic (0 to 1, rising) that go to ``to_group``, one after the
            other.
        hold_s: How long a step is watched before the next, in seconds.
        state: What the operator wants: ``abort`` sends all traffic back at once.
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
    """A backend server or a failure domain that gets no new work.

    Attributes:
        name: Its name.
        backend_server: The backend server, or None.
        failure_domain: The failure domain, or None; exactly one of the two is given.
    """

    name: str
    backend_server: BackendAddress | None
    failure_domain: str | None


class ClientBlock(NamedTuple):
    """A block of client addresses and the region that is nearest to it."""

    network: str
    region: str


class EffectiveConfig(NamedTuple):
    """Everything that an instance enforces.

    Attributes:
        version: The place of the newest change in the one order of changes; starts at 1.
        regions: By name.
        services: By name.
        workspaces: By name.
        moves: By name.
        drains: By name.
        client_blocks: Which region is nearest to which clients.
    """

    version: int
    regions: Mapping[str, Region]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    moves: Mapping[str, Move]
    drains: Mapping[str, Drain]
    client_blocks: Sequence[ClientBlock]

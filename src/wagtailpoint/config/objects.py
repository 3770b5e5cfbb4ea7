"""Reads the objects that operators write and checks each on its own.

References between objects (a route's service, a move's groups) are checked in ``compile``.
"""

from collections.abc import Mapping
from typing import Any, Final, Literal, NamedTuple, cast

from wagtailpoint.checking import ObjectReader
from wagtailpoint.config.model import (
    BackendServer,
    ClassPolicy,
    Drain,
    Move,
    Region,
    Route,
    Service,
    Workspace,
)
from wagtailpoint.ports.backend import BackendAddress

KINDS: Final = ("region", "service", "template", "workspace", "move", "drain", "blocks")
MOVE_STATES: Final = ("run", "pause", "abort")
METHODS: Final = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
RESERVED_PATHS: Final = ("/v1/lookup", "/v1/status", "/v1/metrics", "/v1/timeline")
"""Paths that an instance serves itself; a route for one of them would never match."""

MAX_SLOTS: Final = 10_000
MAX_SEATS: Final = 100
MAX_PRIORITY: Final = 100
MAX_TIMEOUT_MS: Final = 600_000
MILLISECONDS_PER_SECOND: Final = 1000.0

_SERVER_FIELDS = '{"address", "port", "failure_domain", "slots"}'
_ROUTE_FIELDS = '{"prefix", "service", "class", "idempotent", "timeout_ms"}'


class WorkspaceSource(NamedTuple):
    """A workspace as written by operators: a template and its parameters."""

    name: str
    template: str
    parameters: Mapping[str, Any]


def read_region(name: str, reader: ObjectReader) -> Region:
    """Read a ``region`` object."""
    latencies = reader.child("latency_ms", default={})
    others = list(latencies.names())
    region = Region(
        name=name,
        failure_domains=reader.texts("failure_domains", expected="failure domains"),
        latency_ms={
            other: latencies.number(other, unit="milliseconds, one way", minimum=0)
            for other in others
        },
        capacity_rps=reader.optional_number("capacity_rps", unit="requests a second", above=0),
        failure_domain_latency_ms=reader.number(
            "failure_domain_latency_ms", unit="milliseconds, one way", minimum=0, default=1.0
        ),
        client_latency_ms=reader.number(
            "client_latency_ms", unit="milliseconds, one way", minimum=0, default=1.0
        ),
        seats_per_failure_domain=reader.integer(
            "seats_per_failure_domain", unit="seats", minimum=1, maximum=MAX_SEATS, default=2
        ),
    )
    if reader.has("failure_domains") and not region.failure_domains:
        reader.mistake("failure_domains", [], "at least one failure domain")
    reader.finish()
    return region


def read_service(name: str, reader: ObjectReader) -> Service:
    """Read a ``service`` object."""
    service = Service(
        name=name,
        groups={
            group: _read_servers(item)
            for group, item in reader.lists("groups", expected=_SERVER_FIELDS).items()
        },
        classes={
            key: _read_class(key, item) for key, item in reader.named_objects("classes").items()
        },
        retry_ratio=reader.number(
            "retry_ratio", unit="fraction of first attempts", minimum=0, maximum=1, default=0.1
        ),
        report_path=_read_path(reader, "report_path", default="/health"),
        echoes_request_id=reader.flag("echoes_request_id", default=True),
    )
    for field, given in (("groups", service.groups), ("classes", service.classes)):
        if reader.has(field) and not given:
            reader.mistake(field, reader.raw(field), "at least one")
    for group, servers in service.groups.items():
        if not servers:
            reader.mistake(f"groups.{group}", [], f"at least one {_SERVER_FIELDS}")
    _check_classes(service, reader)
    reader.finish()
    return service


def read_workspace_source(name: str, reader: ObjectReader) -> WorkspaceSource:
    """Read a ``workspace`` object, without expanding its template."""
    source = WorkspaceSource(
        name, reader.name("template"), reader.mapping("parameters", default={})
    )
    reader.finish()
    return source


def read_workspace(name: str, template: str, reader: ObjectReader) -> Workspace:
    """Read the body of a workspace after the substitution of its template's parameters."""
    routes = reader.objects("routes", expected=_ROUTE_FIELDS)
    groups = reader.mapping("groups")
    for service, group in groups.items():
        if not isinstance(group, str) or not group:
            reader.mistake(f"groups.{service}", group, "the name of a group of this service")
    workspace = Workspace(
        name=name,
        template=template,
        routes=tuple(_read_route(route) for route in routes),
        groups={key: group for key, group in groups.items() if isinstance(group, str)},
        max_rps=reader.optional_number("max_rps", unit="requests a second", above=0),
    )
    if reader.has("routes") and not routes:
        reader.mistake("routes", [], f"at least one {_ROUTE_FIELDS}")
    _check_duplicate_routes(workspace.routes, reader)
    reader.finish()
    return workspace


def read_move(name: str, reader: ObjectReader) -> Move:
    """Read a ``move`` object."""
    state = reader.text("state", choices=MOVE_STATES, default="run")
    move = Move(
        name=name,
        workspace=reader.text("workspace"),
        service=reader.text("service"),
        from_group=reader.text("from_group"),
        to_group=reader.text("to_group"),
        cap_rps=reader.number("cap_rps", unit="requests a second", above=0),
        steps=_read_steps(reader),
        hold_s=reader.number("hold_s", unit="seconds", above=0),
        state=cast(Literal["run", "pause", "abort"], state),
    )
    if move.from_group and move.from_group == move.to_group:
        reader.mistake("to_group", move.to_group, "another group than from_group")
    reader.finish()
    return move


def read_drain(name: str, reader: ObjectReader) -> Drain:
    """Read a ``drain`` object."""
    server = None
    if reader.has("backend_server"):
        item = reader.child("backend_server")
        server = BackendAddress(item.ip_number("address"), item.port("port"))
        item.finish()
    domain = reader.text("failure_domain") if reader.has("failure_domain") else None
    if (server is None) == (domain is None):
        given = "both" if server else "neither"
        reader.mistake(None, given, "exactly one of backend_server and failure_domain")
    reader.mark_known("backend_server", "failure_domain")
    reader.finish()
    return Drain(name, server, domain)


def _read_servers(items: list[ObjectReader]) -> tuple[BackendServer, ...]:
    servers = []
    for item in items:
        server = BackendServer(
            address=BackendAddress(item.ip_number("address"), item.port("port")),
            failure_domain=item.text("failure_domain"),
            slots=item.integer("slots", unit="concurrent requests", minimum=1, maximum=MAX_SLOTS),
        )
        item.finish()
        servers.append(server)
    return tuple(servers)


def _read_class(name: str, reader: ObjectReader) -> ClassPolicy:
    policy = ClassPolicy(
        name=name,
        priority=reader.integer(
            "priority", unit="0 is most urgent", minimum=0, maximum=MAX_PRIORITY
        ),
        ceiling=reader.number("ceiling", unit="fraction of all slots", above=0, maximum=1),
    )
    reader.finish()
    return policy


def _check_classes(service: Service, reader: ObjectReader) -> None:
    """Check that priorities are unique and that ceilings don't rise as urgency falls.

    A ceiling limits the slots of its class and of all less urgent classes together. A less urgent
    class with a higher ceiling could never reach it, although the configuration says that it can.
    """
    ordered = sorted(service.classes.values(), key=lambda policy: policy.priority)
    for higher, lower in zip(ordered, ordered[1:], strict=False):
        if higher.priority == lower.priority:
            expected = f"a priority of its own; {higher.name!r} has it too"
            reader.mistake(f"classes.{lower.name}.priority", lower.priority, expected)
        if lower.ceiling > higher.ceiling:
            expected = f"at most {higher.ceiling:g}, the ceiling of the more urgent {higher.name!r}"
            reader.mistake(f"classes.{lower.name}.ceiling", lower.ceiling, expected)


def _read_route(reader: ObjectReader) -> Route:
    method = reader.text("method", choices=METHODS) if reader.has("method") else None
    timeout_ms = reader.number("timeout_ms", unit="milliseconds", above=0, maximum=MAX_TIMEOUT_MS)
    route = Route(
        method=method,
        prefix=_read_path(reader, "prefix"),
        service=reader.text("service"),
        request_class=reader.text("class"),
        idempotent=reader.flag("idempotent"),
        timeout_s=timeout_ms / MILLISECONDS_PER_SECOND,
        bulk=reader.flag("bulk", default=False),
    )
    if route.prefix.startswith(RESERVED_PATHS):
        expected = "a path that instances don't serve themselves, so it may not start with: "
        reader.mistake("prefix", route.prefix, expected + ", ".join(RESERVED_PATHS))
    reader.mark_known("method")
    reader.finish()
    return route


def _check_duplicate_routes(routes: tuple[Route, ...], reader: ObjectReader) -> None:
    first: dict[tuple[str | None, str], int] = {}
    for index, route in enumerate(routes):
        key = (route.method, route.prefix)
        if route.prefix and first.setdefault(key, index) != index:
            expected = f"a unique method and prefix; routes[{first[key]}] has the same"
            reader.mistake(f"routes[{index}].prefix", route.prefix, expected)


def _read_path(reader: ObjectReader, name: str, **default: str) -> str:
    expected = 'a path that starts with "/"'
    path = reader.text(name, expected=expected, **default)
    if path and not path.startswith("/"):
        reader.mistake(name, path, expected)
    return path


def _read_steps(reader: ObjectReader) -> tuple[float, ...]:
    expected = "rising fractions of the traffic, above 0 and up to 1"
    steps = reader.numbers("steps", expected=expected)
    rising = all(low < high for low, high in zip(steps, steps[1:], strict=False))
    in_bounds = bool(steps) and steps[0] > 0 and steps[-1] <= 1
    if reader.has("steps") and not (rising and in_bounds):
        reader.mistake("steps", reader.raw("steps"), f"a list of {expected}")
    return steps

"""The services and routes of a soak."""

from collections.abc import Iterable
from typing import Any, Final

SERVICE: Final = "desk"
LONG_SERVICE: Final = "vault"
"""The service of requests that take long. Its backend servers state no limits, ask for no rest,
don't drain and don't crash, so that they have room when an instance stops."""

READ_TIMEOUT_S: Final = 0.8
WRITE_TIMEOUT_S: Final = 1.0
LONG_TIMEOUT_S: Final = 4.0
LONG_TARGET_LATENCY_S: Final = 1.2
"""The timeouts of the routes, and the latency objective of those whose requests take long."""


def make_routes(
    read: dict[str, Any], write: dict[str, Any], *, versions: Iterable[int]
) -> list[dict[str, Any]]:
    """Return the routes of a configuration, made from two templates.

    Args:
        read: The template of routes for idempotent requests.
        write: The template of routes for requests that may run once.
        versions: The versions of the configuration, each of which has added a route.
    """
    return [
        _route(read, "read", "/read/"),
        _route(write, "write", "/write/"),
        _long_route(read, "long-read", "/long-read/"),
        _long_route(write, "long-write", "/long-write/"),
        *(_route(read, f"added-{version}", f"/added-{version}/") for version in versions),
    ]


def _route(template: dict[str, Any], name: str, prefix: str) -> dict[str, Any]:
    """Return a route made from a template."""
    return {**template, "Name": name, "PathPrefix": prefix, "HomeRegions": []}


def _long_route(template: dict[str, Any], name: str, prefix: str) -> dict[str, Any]:
    """Return a route whose requests take long."""
    return {
        **_route(template, name, prefix),
        "Service": LONG_SERVICE,
        "TimeoutS": LONG_TIMEOUT_S,
        "TargetLatencyS": LONG_TARGET_LATENCY_S,
    }

"""The services and routes of a soak."""

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


def route(template: dict[str, Any], name: str, prefix: str) -> dict[str, Any]:
    """Return a route made from a template."""
    return {**template, "Name": name, "PathPrefix": prefix, "HomeRegions": []}


def long_route(template: dict[str, Any], name: str, prefix: str) -> dict[str, Any]:
    """Return a route whose requests take long."""
    return {
        **route(template, name, prefix),
        "Service": LONG_SERVICE,
        "TimeoutS": LONG_TIMEOUT_S,
        "TargetLatencyS": LONG_TARGET_LATENCY_S,
    }

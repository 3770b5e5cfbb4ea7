"""Settings, configuration and server entries in the formats of the users' platform."""

import copy
from typing import Any

from wagtailpoint.node_settings import Endpoint

_BOUNDS: dict[str, Any] = {
    "GraceS": 6,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 58,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "MaxShift": 0.15,
    "ttl_max_s": 5,
    "RevokeS": 5,
    "RevokeStrict": True,
    "QuotaSlack": 20,
}


def node_settings_document(
    *,
    address: str = "127.1.1.1",
    name: str = "entry-1",
    store: Endpoint,
    seeds: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Return the settings document of an instance that listens on ``address``."""
    return copy.deepcopy(
        {
            "Self": {
                "NodeName": name,
                "Zone": "a-1",
                "Region": "a",
                "Ip": address,
                "Limits": {"MaxFds": 1024},
                "Unknown": 1,
            },
            "Network": {
                "ListenAddrs": {
                    "FrontAddr": f"{address}:8144",
                    "ReadyAddr": f"{address}:8140",
                    "ControlAddr": f"{address}:8146",
                    "DirectoryAddr": f"{address}:8143",
                },
                "InnerPortRange": [7660, 7675],
                "SeedAddrs": list(seeds),
                "Zones": {"a-1": "a", "a-2": "a", "b-1": "b"},
            },
            "Platform": {"Platform": {"Address": str(store), "form": "objects"}},
            "Terms": {"Bounds": _BOUNDS},
        }
    )


def config_document(version: str = "00000007", **changes: Any) -> dict[str, Any]:
    """Return a configuration with two routes of one host."""
    route = {
        "Name": "r-1",
        "PathPrefix": "/look/",
        "Kind": "idempotent",
        "TimeoutS": 0.8,
        "TargetLatencyS": 0.3,
        "Priority": 2,
        "Split": [{"Service": "desk", "Weight": 90}, {"Service": "vault", "Weight": 10}],
        "Attempts": 2,
        "Sticky": True,
        "HomeRegions": [],
    }
    release = {
        "Name": "r-2",
        "PathPrefix": "/look/release/",
        "Kind": "non_idempotent",
        "TimeoutS": 1,
        "TargetLatencyS": 0.3,
        "Priority": 1,
        "Service": "desk",
        "Attempts": 2,
        "Sticky": True,
        "HomeRegions": ["a"],
    }
    service = {"HealthPath": "/health", "MaxConns": 330, "ColdS": 3.0, "ColdPerS": 10.0}
    document = {
        "Version": version,
        "Services": [{"Name": "desk", **service}, {"Name": "vault", **service}],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 67108864,
            "HeaderTimeoutS": 3,
            "IdleTimeoutS": 15,
        },
        "VirtualHosts": [{"Host": "Ficu95.example", "PathRoutes": [route, release]}],
    }
    return {**document, **changes}


def unsplit_config_document(version: str = "00000007", **changes: Any) -> dict[str, Any]:
    """Return the same configuration with both routes to the service ``desk`` only."""
    document = config_document(version, **changes)
    for host in document["VirtualHosts"]:
        for route in host["PathRoutes"]:
            route.pop("Split", None)
            route["Service"] = "desk"
    return document


def server_document(address: str, **changes: Any) -> dict[str, Any]:
    """Return the store entry of a backend server."""
    document = {
        "Service": "desk",
        "Address": address,
        "Zone": "a-1",
        "Version": "v1",
        "MaxConcurrency": 3,
        "State": "ready",
        "ColdLeftS": 0,
        "Sequence": 4,
    }
    return {**document, **changes}

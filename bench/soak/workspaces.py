"""The workspaces of a soak: their keys and allowances, and which caller belongs to which."""

from typing import Any, Final
from zlib import crc32

FLOODING: Final = "flooding"
"""The name of the workspace that floods instances, and the beginning of its callers' names."""

WORKSPACES: Final = ("first", "second", "third")
"""The names of the workspaces of all other callers."""

RATE_PER_S: Final = 300.0
FLOODING_RATE_PER_S: Final = 60.0
"""The allowances; the callers send less than the first in total, and far more than the second."""


def tenants() -> list[dict[str, Any]]:
    """Return the workspaces as they stand in a configuration."""
    rates = dict.fromkeys(WORKSPACES, RATE_PER_S) | {FLOODING: FLOODING_RATE_PER_S}
    return [
        {
            "Name": name,
            "ApiKeys": [f"key-{name}"],
            "HomeRegions": [],
            "RatePerS": rate,
            "Burst": rate / 2,
        }
        for name, rate in rates.items()
    ]


def authorization(request_id: str) -> str:
    """Return the header value with the key of a caller, which is the same for all its requests."""
    caller = request_id.rpartition("-")[0]
    if caller.startswith(FLOODING):
        return f"Bearer key-{FLOODING}"
    return f"Bearer key-{WORKSPACES[crc32(caller.encode()) % len(WORKSPACES)]}"

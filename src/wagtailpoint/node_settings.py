"""What one instance of a deployment on an object store is told at its start."""

import math
import re
from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import NamedTuple, Self


class Endpoint(NamedTuple):
    """An IP number and a TCP port."""

    address: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Read ``ADDRESS:PORT``.

        Raises:
            ValueError: The text has another form, or names no IPv4 address or port.
        """
        address, colon, port = text.rpartition(":")
        if not colon or not re.fullmatch("[0-9]{1,5}", port) or not 0 < int(port) < 65536:
            raise ValueError(f"given {text!r}, expected ADDRESS:PORT")
        return cls(str(IPv4Address(address)), int(port))

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class ServiceBounds(NamedTuple):
    """What the operators of the deployment demand of all instances together.

    Attributes:
        grace_s: Seconds from SIGTERM until the process is killed.
        repeat_ratio: Repeated sends allowed for each request of a service, over a window.
        repeat_window_s: That window, in seconds.
        repeat_slack: Repeated sends allowed in a window beside the ratio.
        cold_overage: A cold backend server may get so many times its own rate,
        cold_slack: and so many requests a second more.
        region_shift_max: The part of a region's requests, 0 to 1, that may change the region in
            which they run from one two seconds to the next.
        lookup_ttl_max_s: Callers keep the answer to a lookup no longer than this, in seconds.
        key_lag_max_s: A key that was taken away lets nothing run after so many seconds, on any
            instance; infinite if instances that are cut off may go on.
        allowance_slack: Requests that a workspace may send beyond its allowance in a window.
    """

    grace_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_slack: float
    cold_overage: float
    cold_slack: float
    region_shift_max: float
    lookup_ttl_max_s: float
    key_lag_max_s: float = math.inf
    allowance_slack: float = 0.0


class NodeSettings(NamedTuple):
    """Where one instance is, what it listens on, and what it may spend.

    Attributes:
        name: Its name; unique in the deployment, kept by a process that replaces it there.
        region: Its region.
        failure_domain: Its failure domain.
        region_of: The region of every failure domain.
        callers: Where callers send requests.
        readiness: Where the platform asks whether the instance is ready.
        lookups: Where callers ask which instances to use.
        peers: Where the other instances reach it.
        metrics: Where metrics and status are served.
        seeds: Peers that may be known at the start; they may be out of date.
        store: The platform's object store.
        most_descriptors: File descriptors that the process may have.
        capacity: What it can do beside other instances, in processor cores.
        bounds: What the operators demand.
    """

    name: str
    region: str
    failure_domain: str
    region_of: Mapping[str, str]
    callers: Endpoint
    readiness: Endpoint
    lookups: Endpoint
    peers: Endpoint
    metrics: Endpoint
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    most_descriptors: int
    capacity: float
    bounds: ServiceBounds

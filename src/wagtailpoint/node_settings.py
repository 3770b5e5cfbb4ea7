"""The settings of an instance in a deployment on an object store, given when it starts."""

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
        """Parse ``ADDRESS:PORT``.

        Raises:
            ValueError: The text has another form, or the IPv4 address or the port is invalid.
        """
        address, colon, port = text.rpartition(":")
        if not colon or not re.fullmatch("[0-9]{1,5}", port) or not 0 < int(port) < 65536:
            raise ValueError(f"given {text!r}, expected ADDRESS:PORT with a port from 1 to 65535")
        return cls(str(IPv4Address(address)), int(port))

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class ServiceBounds(NamedTuple):
    """Bounds that all instances of a deployment together have to meet.

    Attributes:
        grace_s: Seconds from SIGTERM until the process is killed.
        retry_ratio: Retries allowed per request of a service within a window.
        retry_window_s: The length of that window, in seconds.
        retry_slack: Retries allowed in a window in addition to the ratio.
        cold_overage: Maximum rate of a cold backend server, as a multiple of its own rate.
        cold_slack: Requests per second allowed in addition to ``cold_overage``.
        region_shift_max: Maximum fraction of a region's requests, 0 to 1, whose serving region may
            change between two consecutive periods of two seconds.
        lookup_ttl_max_s: Maximum time that callers keep the answer to a lookup, in seconds.
        key_lag_max_s: Seconds after the removal of a key from which no instance runs a request with
            it; infinite if instances without a connection to the store may continue to.
        allowance_slack: Requests that a workspace may send beyond its allowance in a window.
        queues_requests: Requests for which no backend server has room wait at the instance.
    """

    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    cold_overage: float
    cold_slack: float
    region_shift_max: float
    lookup_ttl_max_s: float
    key_lag_max_s: float = math.inf
    allowance_slack: float = 0.0
    queues_requests: bool = False


class NodeSettings(NamedTuple):
    """The location, endpoints and resources of one instance.

    Attributes:
        name: Its name, unique in the deployment; a process that replaces it has the same name.
        region: Its region.
        failure_domain: Its failure domain.
        region_of: The region of every failure domain.
        callers: The endpoint for requests of callers.
        readiness: The endpoint at which the platform checks whether the instance is ready.
        lookups: The endpoint for lookups of callers.
        peers: The endpoint for messages of the other instances.
        metrics: The endpoint for metrics and status.
        relay: The endpoint at which other instances that are cut off from backend servers open
            connections to them; its port is the same on all instances.
        seeds: Peers known at the start; the list may be outdated.
        store: The endpoint of the platform's object store.
        most_descriptors: Maximum number of open file descriptors.
        capacity: Its capacity relative to other instances, in processor cores.
        link_mbps: Capacity of its link, in Mbit/s; infinite if it is unknown.
        bounds: Bounds that all instances have to meet.
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
    relay: Endpoint
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    most_descriptors: int
    capacity: float
    link_mbps: float
    bounds: ServiceBounds

"""A simulated deployment: failure domains, backend servers, classes of requests, and faults."""

import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

MAX_SHIFT_FRACTION = 0.15
SWING_PERIOD_S = 36.0
HEADER_BYTES = 900
"""Bytes of headers of a request and its reply together."""


class RequestClass(NamedTuple):
    """A class of requests.

    Attributes:
        name: The name in tables.
        service: The service that serves the requests.
        rate: Requests per second from the callers of each failure domain.
        work_s: Mean service time in seconds for an object that is not cached.
        objective_s: Latency in seconds up to which an answer has its full value.
        deadline_s: Time in seconds after which callers give up.
        value: The value of an answer in time.
        keys: The number of different objects.
        reply_bytes: The size of an answer in bytes.
        priority: The priority; 0 is the most urgent.
    """

    name: str
    service: str
    rate: float
    work_s: float
    objective_s: float
    deadline_s: float
    value: float
    keys: int
    reply_bytes: int
    priority: int


class Deployment(NamedTuple):
    """The failure domains, backend servers and load of a deployment.

    Attributes:
        region_of: The region of each failure domain.
        instances: The number of instances in each failure domain.
        servers: The number of backend servers of each service in each failure domain.
        cache_size: The number of objects that a backend server of each service caches.
        slots: The slots of a backend server of each service.
        in_region_s: Round-trip time between failure domains of a region, in seconds.
        between_regions_s: Round-trip time between regions, in seconds.
        domain_price: Price of a gigabyte between failure domains of a region, where an answer is
            worth 1.
        region_price: Price of a gigabyte between regions, likewise.
        classes: The classes of requests that callers send.
        load: The factor by which the rates of all classes are multiplied.
        swing: The amplitude, as a fraction, by which each region's rate oscillates; the phases of
            the regions differ.
        keys_per_region: Whether the callers of each region request separate objects.
    """

    region_of: Mapping[str, str]
    instances: Mapping[str, int]
    servers: Mapping[str, Mapping[str, int]]
    cache_size: Mapping[str, int]
    slots: Mapping[str, int]
    in_region_s: float
    between_regions_s: float
    domain_price: float
    region_price: float
    classes: Sequence[RequestClass]
    load: float = 1.0
    swing: float = 0.0
    keys_per_region: bool = False

    def rate(self, request_class: RequestClass, domain: str, now: float) -> float:
        """Return the requests/s of one class from a failure domain at a time in seconds."""
        regions = sorted(set(self.region_of.values()))
        phase = regions.index(self.region_of[domain]) / len(regions)
        wave = 1.0 + self.swing * math.sin(2 * math.pi * (now / SWING_PERIOD_S + phase))
        return request_class.rate * self.load * wave

    def price(self, origin: str, destination: str, reply_bytes: float) -> float:
        """Return the price of the bytes of a request and its reply between two failure domains."""
        if origin == destination:
            return 0.0
        same = self.region_of[origin] == self.region_of[destination]
        per_gb = self.domain_price if same else self.region_price
        return per_gb * (reply_bytes + HEADER_BYTES) / 1e9

    def round_trip_s(self, origin: str, destination: str) -> float:
        """Return the round-trip time between two failure domains, in seconds."""
        if origin == destination:
            return 0.0004
        same = self.region_of[origin] == self.region_of[destination]
        return self.in_region_s if same else self.between_regions_s


class Fault(NamedTuple):
    """A fault during a run.

    Attributes:
        at_s: The time of the fault, in seconds from the start.
        duration_s: How long the backend servers are lost, in seconds; 0 for a restart of instances.
        domain: The failure domain whose backend servers are lost and return with empty caches;
            empty for a restart of all instances, which then have learned nothing.
    """

    at_s: float
    duration_s: float = 0.0
    domain: str = ""

"""The format of the lookup's answer, and the view of the instances that it is made from."""

from typing import NamedTuple, TypedDict


class LookupEntry(TypedDict):
    """One entry instance that the caller may use.

    Attributes:
        address: IP address.
        port: TCP port.
        failure_domain: The failure domain that it runs in, so that a retry can go to another one.
        binding: Value that the caller sends with the key of a non-idempotent request, see
            ``wagtailpoint.idempotency.binding``.
    """

    address: str
    port: int
    failure_domain: str
    binding: str


class LookupAnswer(TypedDict):
    """The body of ``GET /v1/lookup``.

    Attributes:
        config_version: The version of the configuration that the answering instance enforces.
        ttl_s: How long the answer may be cached, in seconds.
        entries: The entries, best first.
    """

    config_version: int
    ttl_s: float
    entries: list[LookupEntry]


class EntryView(NamedTuple):
    """This instance's view of an entry instance, which lags behind the entry's real state.

    Attributes:
        address: IP address.
        port: TCP port for callers.
        region: The region that it runs in.
        failure_domain: The failure domain that it runs in.
        incarnation: Identifies its process.
        epoch: Its newest epoch known to this instance.
        leaving: Whether it is leaving and must get no new callers.
        alive: Whether membership takes it for alive.
        load: Load from 0 (idle) to 1 (no headroom).
    """

    address: str
    port: int
    region: str
    failure_domain: str
    incarnation: str
    epoch: int
    leaving: bool
    alive: bool
    load: float

"""The lookup's answer on the wire, and what it is made from."""

from typing import NamedTuple, TypedDict


class LookupEntry(TypedDict):
    """One entry instance that the caller may use.

    Attributes:
        address: IP number.
        port: TCP port.
        failure_domain: Where it runs, so that a retry can go to another one.
        binding: To be sent with the key of a non-idempotent request, see
            ``wagtailpoint.idempotency.binding``.
    """

    address: str
    port: int
    failure_domain: str
    binding: str


class LookupAnswer(TypedDict):
    """The body of ``GET /v1/lookup``.

    Attributes:
        config_version: The version that the answering instance enforces.
        ttl_s: How long the answer may be cached, in seconds.
        entries: Best first.
    """

    config_version: int
    ttl_s: float
    entries: list[LookupEntry]


class EntryView(NamedTuple):
    """What this instance knows of one entry instance; it lags.

    Attributes:
        address: IP number.
        port: TCP port towards callers.
        region: Its region.
        failure_domain: Its failure domain.
        incarnation: Its process life.
        epoch: Its newest epoch that this instance has heard of.
        leaving: It gets no new callers.
        alive: It is believed to be alive.
        load: 0 (idle) to 1 (no headroom).
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

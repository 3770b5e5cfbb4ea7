"""The calls that the platform and its callers make besides requests: readiness and lookups."""

from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from wagtailpoint.node_settings import Endpoint

READY_PATH = "/api/ready"
RESOLVE_PATH = "/api/resolve"


class LookupQuestion(NamedTuple):
    """Who asks where to connect.

    Attributes:
        region: The caller's region.
        failure_domain: The caller's failure domain.
    """

    region: str
    failure_domain: str


class _Resolved(msgspec.Struct):
    Addresses: list[str]
    TtlS: float


def parse_lookup(target: str) -> LookupQuestion | None:
    """Read a lookup; None if the target is none."""
    parts = urlsplit(target)
    if parts.path != RESOLVE_PATH:
        return None
    query = parse_qs(parts.query)
    return LookupQuestion(query.get("Region", [""])[0], query.get("Zone", [""])[0])


def encode_lookup(entries: Sequence[Endpoint], ttl_s: float) -> bytes:
    """Write the answer to a lookup."""
    return msgspec.json.encode(_Resolved([str(each) for each in entries], ttl_s))


def is_readiness(target: str) -> bool:
    """Whether the platform asks for readiness."""
    return urlsplit(target).path == READY_PATH

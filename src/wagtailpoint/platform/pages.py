"""Calls of the platform and of callers other than requests: readiness checks and lookups."""

from collections.abc import Sequence
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from wagtailpoint.node_settings import Endpoint

READY_PATH = "/api/ready"
RESOLVE_PATH = "/api/resolve"


class CallerLocation(NamedTuple):
    """The location of a caller that looks up entries.

    Attributes:
        region: The caller's region.
        failure_domain: The caller's failure domain.
    """

    region: str
    failure_domain: str


class _Resolved(msgspec.Struct):
    Addresses: list[str]
    TtlS: float


def parse_lookup(target: str) -> CallerLocation | None:
    """Parse the target of a lookup; return None if it is no lookup."""
    parts = urlsplit(target)
    if parts.path != RESOLVE_PATH:
        return None
    query = parse_qs(parts.query)
    return CallerLocation(query.get("Region", [""])[0], query.get("Zone", [""])[0])


def encode_lookup(entries: Sequence[Endpoint], ttl_s: float) -> bytes:
    """Encode the answer to a lookup; the TTL is in seconds."""
    return msgspec.json.encode(_Resolved([str(entry) for entry in entries], ttl_s))


def is_readiness_check(target: str) -> bool:
    """Return whether the target is the platform's readiness check."""
    return urlsplit(target).path == READY_PATH

"""Workspaces by the keys that their callers send, and what they may do."""

from collections.abc import Mapping
from hashlib import blake2b
from typing import Final, NamedTuple

from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.ports.backend import Headers

AUTHORIZATION: Final = b"authorization"
_SCHEME: Final = b"bearer"
_DIGEST_BYTES: Final = 16
_LOGGED_DIGITS: Final = 8


class WorkspacePolicy(NamedTuple):
    """What the configuration says of a workspace.

    Attributes:
        name: Unique in the deployment; backend servers are told it.
        priority: Goes before that of the route; 0 is the most urgent, None if it has none.
        home_regions: The regions that may serve it; None for all.
        allowance: What it may send; None if not limited.
    """

    name: str
    priority: int | None = None
    home_regions: frozenset[str] | None = None
    allowance: Allowance | None = None


WorkspacesByKey = Mapping[bytes, WorkspacePolicy]
"""Workspaces by the digests of their keys; the keys themselves are not kept."""


def key_digest(key: bytes) -> bytes:
    """The digest that stands for a key."""
    return blake2b(key, digest_size=_DIGEST_BYTES).digest()


def abbreviate_digest(digest: bytes | None) -> str:
    """Enough of a digest to find a key's log lines; empty if there is no key."""
    return digest.hex()[:_LOGGED_DIGITS] if digest is not None else ""


def parse_key_digest(headers: Headers) -> bytes | None:
    """The digest of the key that a request carries; None if it carries none, or more than one.

    The scheme may be written in any case (RFC 9110, section 11.1).
    """
    given = [value for name, value in headers if name == AUTHORIZATION]
    if len(given) != 1:
        return None
    scheme, _, key = given[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != _SCHEME or not key:
        return None
    return key_digest(key)

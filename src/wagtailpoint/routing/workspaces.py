"""Workspaces, identified by the keys that their callers send, and their policies."""

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
    """The configuration of a workspace.

    Attributes:
        name: The name, unique in the deployment; it is sent to backend servers.
        priority: Overrides the priority of the route; 0 is the most urgent, None if not set.
        home_regions: The regions that may serve the workspace; None for all.
        allowance: The rate limit of its requests; None if not limited.
    """

    name: str
    priority: int | None = None
    home_regions: frozenset[str] | None = None
    allowance: Allowance | None = None


WorkspacesByKey = Mapping[bytes, WorkspacePolicy]
"""Workspaces by the digests of their keys; the keys themselves are not stored."""


def key_digest(key: bytes) -> bytes:
    """Return the digest under which a key is stored."""
    return blake2b(key, digest_size=_DIGEST_BYTES).digest()


def abbreviate_digest(digest: bytes | None) -> str:
    """Return the first digits of a digest, for the log; empty if there is no key."""
    return digest.hex()[:_LOGGED_DIGITS] if digest is not None else ""


def parse_key_digest(headers: Headers) -> bytes | None:
    """Return the digest of the key that a request carries; None without exactly one key.

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

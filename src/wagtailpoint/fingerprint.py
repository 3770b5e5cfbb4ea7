"""Fingerprints that identify equal requests, regardless of their ids and senders."""

from hashlib import blake2b
from typing import Final

DIGEST_BYTES: Final = 10
"""Short enough for log lines; 80 bits make collisions among a day's requests negligible."""


def fingerprint(
    *, method: str, host: str, target: str, body: bytes, credentials: bytes = b""
) -> str:
    """Return a digest of the parts of a request that can affect a backend server.

    The id and the deadline are excluded because they differ between attempts, and the caller's
    address because a backend server doesn't receive it.

    Args:
        method: The HTTP method, for example ``GET``.
        host: The requested host or workspace; case doesn't matter.
        target: The path and query as received.
        body: The body; of a long body, the part that was read.
        credentials: The credentials of the caller; empty if there are none.
    """
    # Fields before the body contain no line breaks, so the separators are unambiguous.
    prefix = f"{method}\n{host.lower()}\n{target}\n{len(credentials)}\n".encode()
    digest = blake2b(prefix + credentials, digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()

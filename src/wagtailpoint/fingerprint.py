"""Which requests are the same, whatever their ids and whoever sends them."""

from hashlib import blake2b
from typing import Final

DIGEST_BYTES: Final = 10
"""Short enough for log lines; 80 bits, so that no two requests of a day share one by chance."""


def fingerprint(
    *, method: str, host: str, target: str, body: bytes, credentials: bytes = b""
) -> str:
    """Tell a request by all that a backend server's code can depend on.

    The id and the deadline are left out, as they differ from send to send, and so is the caller's
    address, which a backend server does not see.

    Args:
        method: For example ``GET``.
        host: The host or the workspace that was asked for, in any case.
        target: Path and query, as they were written.
        body: The body, or what was read of a long one.
        credentials: What the caller proves its identity by; empty if it does not.
    """
    # No line break can stand in what comes before the body, so no part can pass for the next one.
    prefix = f"{method}\n{host.lower()}\n{target}\n{len(credentials)}\n".encode()
    digest = blake2b(prefix + credentials, digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()

"""Rendezvous hashing (Thaler and Ravishankar 1998), which gives all instances the same choice.

When a candidate is added or removed, only the keys assigned to it are reassigned.
"""

from hashlib import blake2b


def rendezvous_score(key: str, candidate: str) -> int:
    """Return a uniformly distributed 64-bit hash of a key and a candidate."""
    digest = blake2b(f"{key}|{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")

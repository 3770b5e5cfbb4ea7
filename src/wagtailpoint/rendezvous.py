"""Rendezvous hashing (Thaler and Ravishankar 1998): the same choice on every instance.

When a candidate comes or goes, only the keys that it gets or had change hands.
"""

from hashlib import blake2b


def rendezvous_score(key: str, candidate: str) -> int:
    """A number of 64 bits that is as good as random for each pair of key and candidate."""
    digest = blake2b(f"{key}|{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")

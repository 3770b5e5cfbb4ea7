"""Objects that were replaced or removed lately, by which a copy of the store is recognised."""

from collections import OrderedDict
from hashlib import blake2b
from typing import Final, NamedTuple

import msgspec

from wagtailpoint.ports.platform import StoredObject

MAX_AGE_S: Final = 120.0
MAX_OBJECTS: Final = 2048
"""Limits of what is remembered, about 200 bytes each; the store returns to a copy that is some
seconds old."""


class _Past(NamedTuple):
    digest: bytes
    ended_at: float


class PastObjects:
    """Contents of objects that were valid some time ago."""

    def __init__(self) -> None:
        self._past: OrderedDict[tuple[str, int], _Past] = OrderedDict()

    def record(self, stored: StoredObject, now: float) -> None:
        """Record that a content was replaced or removed."""
        key = (stored.name, stored.version.number)
        self._past[key] = _Past(_digest(stored), now)
        self._past.move_to_end(key)
        while len(self._past) > MAX_OBJECTS or self._oldest_at() < now - MAX_AGE_S:
            self._past.popitem(last=False)

    def contains(self, stored: StoredObject) -> bool:
        """Return whether an object has a content of the past, in whatever era it is read."""
        past = self._past.get((stored.name, stored.version.number))
        return past is not None and past.digest == _digest(stored)

    def _oldest_at(self) -> float:
        return next(iter(self._past.values())).ended_at


def _digest(stored: StoredObject) -> bytes:
    return blake2b(msgspec.json.encode(stored.value), digest_size=16).digest()

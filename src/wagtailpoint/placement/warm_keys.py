"""Affinity keys whose objects a backend server probably caches."""

from collections import OrderedDict
from typing import Final

WARM_TTL_S: Final = 20.0
"""Time without use after which requests of other instances may have evicted the object."""

MAX_KEYS: Final = 200
"""Maximum number of keys for each backend server; the caches hold fewer objects."""


class WarmKeys:
    """The affinity keys that one backend server has answered for this instance lately."""

    def __init__(self) -> None:
        self._used_at: OrderedDict[str, float] = OrderedDict()

    def record(self, key: str, now: float) -> None:
        """Record that the backend server has answered a request for a key."""
        self._used_at[key] = now
        self._used_at.move_to_end(key)
        if len(self._used_at) > MAX_KEYS:
            self._used_at.popitem(last=False)

    def is_warm(self, key: str, now: float) -> bool:
        """Return whether the object of a key is probably still cached."""
        used_at = self._used_at.get(key)
        return used_at is not None and now - used_at < WARM_TTL_S

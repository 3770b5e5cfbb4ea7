"""Which objects a backend server has handled lately, as far as this instance knows."""

from collections import OrderedDict
from typing import Final

WARM_TTL_S: Final = 20.0
"""After so long without use another instance's requests have pushed the object out, perhaps."""

MAX_KEYS: Final = 200
"""Remembered for each backend server; their caches hold fewer."""


class WarmKeys:
    """The affinity keys that one backend server was sent by this instance."""

    def __init__(self) -> None:
        self._used_at: OrderedDict[str, float] = OrderedDict()

    def record(self, key: str, now: float) -> None:
        """It has answered a request for the key."""
        self._used_at[key] = now
        self._used_at.move_to_end(key)
        if len(self._used_at) > MAX_KEYS:
            self._used_at.popitem(last=False)

    def is_warm(self, key: str, now: float) -> bool:
        """Whether it has most likely still cached the object."""
        used_at = self._used_at.get(key)
        return used_at is not None and now - used_at < WARM_TTL_S

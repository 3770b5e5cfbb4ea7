"""Recent admissions of each workspace, as counts that decay with time."""

from math import exp
from typing import Final

TIME_CONSTANT_S: Final = 2.0
"""Counts decay exponentially with this time constant: bursts of a few seconds are to be shared, and
a workspace that sent much before is not held back for long."""

MAX_COUNTED: Final = 2048
"""Number of services and workspaces with a count, about 200 bytes each. Beyond it, those with less
than one recent admission are forgotten, which leaves their order unchanged."""


class RecentAdmissions:
    """Counts the recent admissions by service and workspace."""

    def __init__(self) -> None:
        """Initialise without admissions."""
        self._counts: dict[tuple[str, str], tuple[float, float]] = {}

    def record(self, service: str, workspace: str, now: float) -> None:
        """Count an admission at ``now``, in seconds."""
        if len(self._counts) >= MAX_COUNTED:
            self._counts = {
                key: counted for key, counted in self._counts.items() if _decayed(counted, now) >= 1
            }
        counted = self._counts.get((service, workspace), (0.0, now))
        self._counts[service, workspace] = (_decayed(counted, now) + 1, now)

    def level(self, service: str, workspace: str, now: float) -> int:
        """Return the logarithm to base 2 of the recent admissions, rounded; 0 for less than one.

        Workspaces whose counts differ little have the same level, so that the deadlines of their
        callers decide the order and not the last admission.
        """
        counted = self._counts.get((service, workspace))
        return int(_decayed(counted, now)).bit_length() if counted is not None else 0


def _decayed(counted: tuple[float, float], now: float) -> float:
    count, counted_at = counted
    return count * exp((counted_at - now) / TIME_CONSTANT_S)

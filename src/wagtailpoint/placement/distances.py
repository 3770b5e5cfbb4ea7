"""How far each failure domain is, learned from the time that connections take to open."""

from collections.abc import Mapping
from typing import Final

GAIN: Final = 0.2
OWN_DOMAIN_S: Final = 0.001
OWN_REGION_S: Final = 0.003
OTHER_REGION_S: Final = 0.1
"""Round trips assumed until one was measured, in seconds."""


class Distances:
    """Round trips from this instance, in seconds."""

    def __init__(self, *, failure_domain: str, region: str, region_of: Mapping[str, str]) -> None:
        """Make it with assumed round trips."""
        self._failure_domain = failure_domain
        self._region = region
        self._region_of = region_of
        self._measured: dict[str, float] = {}

    @property
    def failure_domain(self) -> str:
        """This instance's own failure domain."""
        return self._failure_domain

    @property
    def region(self) -> str:
        """This instance's own region."""
        return self._region

    def round_trip_s(self, failure_domain: str) -> float:
        """The round trip to a failure domain, in seconds."""
        measured = self._measured.get(failure_domain)
        if measured is not None:
            return measured
        if failure_domain == self._failure_domain:
            return OWN_DOMAIN_S
        return OWN_REGION_S if self.is_own_region(failure_domain) else OTHER_REGION_S

    def is_own_domain(self, failure_domain: str) -> bool:
        """Whether it is this instance's own failure domain."""
        return failure_domain == self._failure_domain

    def is_own_region(self, failure_domain: str) -> bool:
        """Whether it lies in this instance's own region."""
        return self._region_of.get(failure_domain) == self._region

    def note_round_trip(self, failure_domain: str, seconds: float) -> None:
        """A connection took so long to open; far outliers are delays, not distance."""
        before = self._measured.get(failure_domain)
        if before is None:
            self._measured[failure_domain] = min(seconds, self.round_trip_s(failure_domain) * 2)
        else:
            self._measured[failure_domain] += GAIN * (min(seconds, 2 * before) - before)

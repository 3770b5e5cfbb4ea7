"""Round-trip times to the failure domains, measured when connections open."""

from collections.abc import Mapping
from typing import Final

INITIAL_OWN_DOMAIN_ROUND_TRIP_S: Final = 0.001
INITIAL_OWN_REGION_ROUND_TRIP_S: Final = 0.003
INITIAL_OTHER_REGION_ROUND_TRIP_S: Final = 0.1
"""Round-trip times used before any was measured. One-way latency is about 1 ms between failure
domains and 20 to 55 ms between regions. A value that is too high is safer than one that is too low:
a region that seems too near gets requests that cannot be answered in time."""

SHORTER_WEIGHT: Final = 0.5
LONGER_WEIGHT: Final = 0.05
"""Weights of a measurement that is shorter or longer than the estimate. Opening a connection takes
at least one round trip, plus any delay, so the estimate follows the short measurements."""

MAX_SAMPLE_RATIO: Final = 2.0
"""Measurements are capped at this multiple of the estimate: a lost packet is retransmitted after a
second, which says nothing about the distance."""


class Distances:
    """Estimates the round-trip times from this instance to all failure domains."""

    def __init__(self, *, failure_domain: str, region: str, region_of: Mapping[str, str]) -> None:
        """Initialise the estimates; ``region_of`` maps each failure domain to its region."""
        self._failure_domain = failure_domain
        self._region = region
        self._region_of = region_of
        self._measured: dict[str, float] = {}

    @property
    def failure_domain(self) -> str:
        """The failure domain of this instance."""
        return self._failure_domain

    @property
    def region(self) -> str:
        """The region of this instance."""
        return self._region

    def round_trip_s(self, failure_domain: str) -> float:
        """Return the round-trip time to a failure domain, in seconds."""
        measured = self._measured.get(failure_domain)
        return self._initial_s(failure_domain) if measured is None else measured

    def is_measured(self, failure_domain: str) -> bool:
        """Return whether a connection to the failure domain was ever opened."""
        return failure_domain in self._measured

    def record_connect_time(self, failure_domain: str, seconds: float) -> None:
        """Record how many seconds a connection to a backend server there took to open."""
        estimate = self.round_trip_s(failure_domain)
        if failure_domain not in self._measured:
            self._measured[failure_domain] = min(seconds, MAX_SAMPLE_RATIO * estimate)
            return
        weight = SHORTER_WEIGHT if seconds < estimate else LONGER_WEIGHT
        seconds = min(seconds, MAX_SAMPLE_RATIO * estimate)
        self._measured[failure_domain] = estimate + weight * (seconds - estimate)

    def is_own_domain(self, failure_domain: str) -> bool:
        """Return whether a failure domain is the one of this instance."""
        return failure_domain == self._failure_domain

    def is_own_region(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in the region of this instance."""
        return self._region_of.get(failure_domain) == self._region

    def _initial_s(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return INITIAL_OWN_DOMAIN_ROUND_TRIP_S
        return (
            INITIAL_OWN_REGION_ROUND_TRIP_S
            if self.is_own_region(failure_domain)
            else INITIAL_OTHER_REGION_ROUND_TRIP_S
        )

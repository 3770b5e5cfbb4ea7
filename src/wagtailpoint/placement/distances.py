"""How far each failure domain is: measured when connections open, assumed before that."""

from collections.abc import Mapping
from typing import Final

INITIAL_OWN_DOMAIN_ROUND_TRIP_S: Final = 0.001
INITIAL_OWN_REGION_ROUND_TRIP_S: Final = 0.003
INITIAL_OTHER_REGION_ROUND_TRIP_S: Final = 0.1
"""Round trips that are assumed before any was measured, in seconds: failure domains are about 1 ms
apart one way, regions 20 to 55 ms. Too long is safer than too short: a region that looks too near
gets requests that can't be answered in time."""

SHORTER_WEIGHT: Final = 0.5
LONGER_WEIGHT: Final = 0.05
"""Weights of a measurement that is shorter or longer than what is believed. Opening a connection
takes a round trip and whatever delays it, never less, so the belief follows the short ones."""

MAX_SAMPLE_RATIO: Final = 2.0
"""A measurement counts as no more than so many times what is believed: a lost packet is sent again
after a second, which says nothing of the distance."""


class Distances:
    """Round trips from this instance, in seconds."""

    def __init__(self, *, failure_domain: str, region: str, region_of: Mapping[str, str]) -> None:
        """Make it with the places of all failure domains."""
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
        return self._initial_s(failure_domain) if measured is None else measured

    def is_measured(self, failure_domain: str) -> bool:
        """Whether a connection was ever opened to a backend server there."""
        return failure_domain in self._measured

    def record_connect_time(self, failure_domain: str, seconds: float) -> None:
        """A connection to a backend server there took so long to open."""
        estimate = self.round_trip_s(failure_domain)
        if failure_domain not in self._measured:
            self._measured[failure_domain] = min(seconds, MAX_SAMPLE_RATIO * estimate)
            return
        weight = SHORTER_WEIGHT if seconds < estimate else LONGER_WEIGHT
        seconds = min(seconds, MAX_SAMPLE_RATIO * estimate)
        self._measured[failure_domain] = estimate + weight * (seconds - estimate)

    def is_own_domain(self, failure_domain: str) -> bool:
        """Whether it is this instance's own failure domain."""
        return failure_domain == self._failure_domain

    def is_own_region(self, failure_domain: str) -> bool:
        """Whether it lies in this instance's own region."""
        return self._region_of.get(failure_domain) == self._region

    def _initial_s(self, failure_domain: str) -> float:
        if failure_domain == self._failure_domain:
            return INITIAL_OWN_DOMAIN_ROUND_TRIP_S
        return (
            INITIAL_OWN_REGION_ROUND_TRIP_S
            if self.is_own_region(failure_domain)
            else INITIAL_OTHER_REGION_ROUND_TRIP_S
        )

"""How far each failure domain is, as assumed from where it lies."""

from collections.abc import Mapping
from typing import Final

OWN_DOMAIN_S: Final = 0.001
OWN_REGION_S: Final = 0.003
OTHER_REGION_S: Final = 0.1
"""Round trips, in seconds. Failure domains are 1 ms apart one way, regions 20 to 55 ms; the larger
figure stands for all, so a region that is nearer is used less than it could be."""


class Distances:
    """Round trips from this instance, in seconds."""

    def __init__(self, *, failure_domain: str, region: str, region_of: Mapping[str, str]) -> None:
        """Make it with the places of all failure domains."""
        self._failure_domain = failure_domain
        self._region = region
        self._region_of = region_of

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
        if failure_domain == self._failure_domain:
            return OWN_DOMAIN_S
        return OWN_REGION_S if self.is_own_region(failure_domain) else OTHER_REGION_S

    def is_own_domain(self, failure_domain: str) -> bool:
        """Whether it is this instance's own failure domain."""
        return failure_domain == self._failure_domain

    def is_own_region(self, failure_domain: str) -> bool:
        """Whether it lies in this instance's own region."""
        return self._region_of.get(failure_domain) == self._region

"""The demand of a region's callers, as the instances that lookups name tell each other."""

import math
from typing import Final, NamedTuple

from wagtailpoint.ports.peers import PeerAddress

MAX_AGE_S: Final = 5.0
"""Age after which the demand of an instance that is no longer heard of does not count."""

MAX_SLOTS: Final = 1_000_000.0
"""Larger values are implausible: they would decide alone how many keys a region keeps."""

MAX_SERVICES: Final = 1024


class _ToldDemand(NamedTuple):
    """The demand of an instance's callers.

    Attributes:
        slots: The number of slots in use.
        told_at: The time when the instance told it, in seconds.
        in_domain: The instance is in this instance's failure domain.
    """

    slots: float
    told_at: float
    in_domain: bool


class RegionDemand:
    """The mean demand of the named instances of a region or failure domain, by service.

    The requests of one instance in a few seconds are a small sample, so its estimate varies by
    several percent, and the estimates of two instances differ. The mean of all named instances
    varies less, and is nearly the same on each of them.
    """

    def __init__(self) -> None:
        """Initialise without any known demand of others."""
        self._services: dict[str, dict[PeerAddress, _ToldDemand]] = {}

    def record(
        self, peer: PeerAddress, service: str, slots: float, now: float, *, in_domain: bool
    ) -> bool:
        """Record the demand of another named instance of this region.

        Args:
            peer: The instance.
            service: The service.
            slots: The number of slots that its callers use.
            now: The current time in seconds.
            in_domain: The instance is in this instance's failure domain.

        Returns:
            Whether the value is plausible and was recorded.
        """
        if not (math.isfinite(slots) and 0.0 <= slots <= MAX_SLOTS):
            return False
        if service not in self._services and len(self._services) >= MAX_SERVICES:
            return False
        self._services.setdefault(service, {})[peer] = _ToldDemand(slots, now, in_domain)
        return True

    def remove(self, peer: PeerAddress) -> None:
        """Remove the demand of an instance that is dead or no longer named."""
        for told in self._services.values():
            told.pop(peer, None)

    def region_mean(self, service: str, own_slots: float, now: float) -> float:
        """Return the mean demand of an instance of this region, in slots, this one included."""
        return self._mean(service, own_slots, now, domain_only=False)

    def domain_mean(self, service: str, own_slots: float, now: float) -> float:
        """Return the mean demand of an instance of this failure domain, this one included."""
        return self._mean(service, own_slots, now, domain_only=True)

    def _mean(self, service: str, own_slots: float, now: float, *, domain_only: bool) -> float:
        values = [own_slots]
        told = self._services.get(service, {})
        for peer in [peer for peer, each in told.items() if now - each.told_at > MAX_AGE_S]:
            del told[peer]
        values += [each.slots for each in told.values() if each.in_domain or not domain_only]
        return sum(values) / len(values)

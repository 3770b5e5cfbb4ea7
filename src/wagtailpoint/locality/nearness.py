"""Locality tiers of one group's backend servers, as seen from one entry."""

from collections.abc import Mapping, Sequence
from math import inf
from typing import Final

from wagtailpoint.config.model import BackendServer, Region

MIN_USABLE_FRACTION: Final = 0.5
"""If less than this fraction of the nearest region's backend servers is usable, the next region
joins the nearest tier. Otherwise the few usable ones would be filled to the last slot before
requests spill over, and a further failure would hit them at full load."""


class Nearness:
    """Assigns the backend servers of one group to tiers, as seen from one failure domain.

    The backend servers of the entry's region are tier 0, those of the next region by latency tier
    1, and so on; regions of equal latency share a tier. Failure domains of one region share a tier
    as well: the latency of about 1 ms between them is shorter than the wait for a slot.
    """

    def __init__(
        self,
        *,
        servers: Sequence[BackendServer],
        regions: Mapping[str, Region],
        failure_domain: str,
    ) -> None:
        """Compute the tiers of a group's backend servers.

        Args:
            servers: All backend servers of the group, drained ones included.
            regions: All regions by name.
            failure_domain: The failure domain where the entry runs.
        """
        latencies = _latencies(regions, failure_domain)
        distances = [latencies.get(server.failure_domain, inf) for server in servers]
        ranks = {latency: rank for rank, latency in enumerate(sorted(set(distances)))}
        self._tiers = {
            server: ranks[distance] for server, distance in zip(servers, distances, strict=True)
        }
        self._nearest_count = sum(tier == 0 for tier in self._tiers.values())
        self._failure_domain = failure_domain

    def assign_tiers(self, usable: Sequence[BackendServer]) -> dict[BackendServer, int]:
        """Return the tier of each usable backend server, 0 the nearest, in order of preference.

        Args:
            usable: The backend servers of the group that may get new work. Their order is preserved
                among those that are equally near.
        """
        nearest = sum(self._tiers[server] == 0 for server in usable)
        tier_offset = nearest < MIN_USABLE_FRACTION * self._nearest_count
        tiers = {server: max(0, self._tiers[server] - tier_offset) for server in usable}
        order = sorted(
            usable, key=lambda server: (tiers[server], not self._is_in_own_domain(server))
        )
        return {server: tiers[server] for server in order}

    def _is_in_own_domain(self, server: BackendServer) -> bool:
        return server.failure_domain == self._failure_domain


def _latencies(regions: Mapping[str, Region], failure_domain: str) -> dict[str, float]:
    """Return the one-way latency to each failure domain in ms, 0 within the own region."""
    own = next(
        (region for region in regions.values() if failure_domain in region.failure_domains), None
    )
    if own is None:
        return {}
    return {
        domain: 0.0 if region.name == own.name else own.latency_ms.get(region.name, inf)
        for region in regions.values()
        for domain in region.failure_domains
    }

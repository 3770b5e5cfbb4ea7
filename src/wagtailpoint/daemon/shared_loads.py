"""What the named instances of a region tell each other of loads and demand, and what uses it."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

import trio

from wagtailpoint.admission.start_ramp import StartRamp
from wagtailpoint.daemon.entry_role import EntryRole
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.membership import Membership
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.cached_fraction import CachedFraction
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.estimates import Estimates
from wagtailpoint.placement.load_exchange import LoadExchange
from wagtailpoint.placement.region_demand import RegionDemand
from wagtailpoint.ports.peers import Peers

MOVES_LOG_INTERVAL_S: Final = 10.0
MOVED_PREFIX: Final = "placement.moved."


class SharedLoads:
    """The exchange of load reports and demand, and the fractions of keys that follow them."""

    def __init__(
        self,
        *,
        role: EntryRole,
        peers: Peers,
        membership: Membership,
        fleet: Fleet,
        distances: Distances,
        is_enabled: Callable[[str], bool],
        metrics: Metrics,
        random: Random,
    ) -> None:
        """Initialise the parts.

        Args:
            role: The instances that lookups name.
            peers: Links to the other instances.
            membership: The known instances.
            fleet: The backend servers.
            distances: The place of this instance, and round-trip times to backend servers.
            is_enabled: Returns whether loads of a service are exchanged.
            metrics: Receives counts.
            random: The source of jitter.
        """
        self._fleet = fleet
        self._distances = distances
        self._is_enabled = is_enabled
        self._metrics = metrics
        self._membership = membership
        self._ramp = StartRamp(
            is_enabled=is_enabled, count_servers=lambda service: len(fleet.candidates(service))
        )
        membership.on_change(self._begin_ramp)
        demand = RegionDemand()
        self._fraction = CachedFraction(
            fleet=fleet, entries=role.nearby_counts, demand=demand, is_shared=is_enabled
        )
        self._exchange = LoadExchange(
            entries=role.choice,
            own_address=membership.own.address,
            peers=peers,
            fleet=fleet,
            distances=distances,
            demand=demand,
            is_enabled=is_enabled,
            metrics=metrics,
            random=random,
        )

    @property
    def cached_fraction(self) -> CachedFraction:
        """The fractions of keys that failure domains and regions keep for their callers."""
        return self._fraction

    @property
    def ramp(self) -> StartRamp:
        """The bound on the requests to a backend server after a loss of all instances."""
        return self._ramp

    @property
    def gauges(self) -> dict[str, float]:
        """The smallest fraction of a service's keys that this region keeps; 1 without sharing."""
        region, services = self._distances.region, self._shared_services()
        fractions = [self._fraction.region_fraction(service, region) for service in services]
        return {
            "min_region_fraction": min(fractions, default=1.0),
            "bounded_services": sum(self.is_bounded(service) for service in services),
        }

    def is_bounded(self, service: str) -> bool:
        """Return whether the requests to a service's servers are bounded after a start."""
        return self._ramp.is_active(service, trio.current_time())

    def set_estimates(self, estimates: Estimates) -> None:
        """Set the estimates that receive the reports of others."""
        self._exchange.set_estimates(estimates, self._fraction.own_slots)
        estimates.on_report(self._ramp.record_report)
        estimates.on_peer_report(self._ramp.record_peer_report)

    def _begin_ramp(self) -> None:
        """Begin the bound once this instance is ready."""
        if not self._ramp.has_begun and self._membership.own.state != "starting":
            self._ramp.begin(trio.current_time())

    async def run(self) -> None:
        """Exchange loads, and log how many keys moved, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange.run)
            nursery.start_soon(self._log_moves)

    def _shared_services(self) -> list[str]:
        """Return the services whose loads are exchanged."""
        services = {entry.service for entry in self._fleet.entries.values()}
        return [service for service in services if self._is_enabled(service)]

    async def _log_moves(self) -> None:
        logged: dict[str, int] = {}
        while True:
            await trio.sleep(MOVES_LOG_INTERVAL_S)
            counts = {
                name.removeprefix(MOVED_PREFIX): count
                for name, count in self._metrics.counts.items()
                if name.startswith(MOVED_PREFIX)
            }
            moved: dict[str, Any] = {
                reason: count - logged.get(reason, 0)
                for reason, count in sorted(counts.items())
                if count > logged.get(reason, 0)
            }
            if moved and self._shared_services():
                log_event("keys-moved", **moved)
            logged = counts

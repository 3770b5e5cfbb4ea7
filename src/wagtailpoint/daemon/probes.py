"""Tasks that contact backend servers independently of callers' requests."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.placement import Placement
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.connection_warm_up import ConnectionWarmUp
from wagtailpoint.proxy.reachability_probe import ReachabilityProbe
from wagtailpoint.proxy.round_trip_probe import RoundTripProbe


def make_probes(
    *,
    fleet: Fleet,
    placement: Placement,
    pool: BackendPool,
    distances: Distances,
    is_entry: Callable[[], bool],
    random: Random,
) -> Sequence[Callable[[], Awaitable[None]]]:
    """Return the tasks that measure round trips, warm up connections and probe reachability.

    Args:
        fleet: The backend servers.
        placement: Knows the backend servers that could not be reached.
        pool: The connections to the backend servers.
        distances: Records the round-trip times.
        is_entry: Whether lookups name this instance as an entry.
        random: Source of the jitter.
    """

    def entries() -> Iterable[ServerEntry]:
        return fleet.entries.values()

    round_trip_probe = RoundTripProbe(
        entries=entries, pool=pool, distances=distances, is_entry=is_entry, random=random
    )
    connection_warm_up = ConnectionWarmUp(
        entries=entries, pool=pool, distances=distances, is_entry=is_entry, random=random
    )
    reachability_probe = ReachabilityProbe(placement=placement, pool=pool, random=random)
    return [round_trip_probe.run, connection_warm_up.run, reachability_probe.run]

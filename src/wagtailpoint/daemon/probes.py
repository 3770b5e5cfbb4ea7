"""What an instance tries by itself at backend servers, beside callers' requests."""

from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.placement import Placement
from wagtailpoint.proxy.backend_pool import BackendPool
from wagtailpoint.proxy.distance_probe import DistanceProbe
from wagtailpoint.proxy.reach_probe import ReachProbe
from wagtailpoint.proxy.warm_up import WarmUp


def make_probes(
    *,
    fleet: Fleet,
    placement: Placement,
    pool: BackendPool,
    distances: Distances,
    is_entry: Callable[[], bool],
    random: Random,
) -> Sequence[Callable[[], Awaitable[None]]]:
    """The tasks that measure distances, open connections ahead, and try who could not be reached.

    Args:
        fleet: The backend servers.
        placement: Knows who could not be reached.
        pool: The connections to them.
        distances: Told of the round trips.
        is_entry: Whether callers are told to use this instance.
        random: For the jitter.
    """

    def entries() -> Iterable[ServerEntry]:
        return fleet.entries.values()

    distance_probe = DistanceProbe(
        entries=entries, pool=pool, distances=distances, is_entry=is_entry, random=random
    )
    warm_up = WarmUp(
        entries=entries, pool=pool, distances=distances, is_entry=is_entry, random=random
    )
    reach_probe = ReachProbe(placement=placement, pool=pool, random=random)
    return [distance_probe.run, warm_up.run, reach_probe.run]

"""Construction of the placement of an instance on the platform."""

from random import Random

from wagtailpoint.daemon.entry_role import EntryRole
from wagtailpoint.daemon.settings_file import SettingsFile
from wagtailpoint.daemon.shared_loads import SharedLoads
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.limits.bound_senders import BoundSenders
from wagtailpoint.limits.limit_pacing import LimitPacing
from wagtailpoint.limits.requested_backoff import RequestedBackoffs
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.cold_pacing import ColdPacing
from wagtailpoint.placement.distances import Distances
from wagtailpoint.placement.placement import Placement
from wagtailpoint.placement.region_mix import RegionMix


def make_placement(
    *,
    fleet: Fleet,
    distances: Distances,
    settings_file: SettingsFile,
    senders: BoundSenders,
    limits: LimitPacing,
    backoffs: RequestedBackoffs,
    loads: SharedLoads,
    role: EntryRole,
    metrics: Metrics,
    random: Random,
) -> Placement:
    """Return a placement by the bounds in force, whose estimates receive the reports of others.

    Args:
        fleet: The backend servers.
        distances: The round-trip times to them.
        settings_file: The operators' bounds.
        senders: Counts the instances that send to a backend server.
        limits: Limits the requests to backend servers that state a limit.
        backoffs: The backend servers that want no requests for some time.
        loads: The exchange of loads with the other instances.
        role: The instances that lookups name.
        metrics: Receives counts.
        random: The source of randomness.
    """
    placement = Placement(
        fleet=fleet,
        distances=distances,
        cold=ColdPacing(bound=settings_file.cold_bound, count_senders=senders.count_senders),
        limits=limits,
        backoffs=backoffs,
        cached_fraction=loads.cached_fraction,
        mix=RegionMix(max_shift=lambda: settings_file.bounds.region_shift_max, random=random),
        entries=role.nearby_counts,
        metrics=metrics,
        ramp=loads.ramp,
    )
    loads.set_estimates(placement.estimates)
    return placement

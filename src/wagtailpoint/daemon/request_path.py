"""Construction of the request path of an instance on the platform."""

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from wagtailpoint.daemon.backend_paths import BackendPaths
from wagtailpoint.daemon.entry_role import EntryRole
from wagtailpoint.daemon.overload_protection import OverloadProtection
from wagtailpoint.daemon.queueing_switch import QueueingSwitch
from wagtailpoint.daemon.server_limits import ServerLimits
from wagtailpoint.daemon.settings_file import SettingsFile
from wagtailpoint.daemon.shared_announcements import SharedAnnouncements
from wagtailpoint.daemon.shared_quarantine import SharedQuarantine
from wagtailpoint.daemon.steering_stop import SteeringStop
from wagtailpoint.daemon.store_state import StoreState
from wagtailpoint.daemon.workspace_rules import WorkspaceRules
from wagtailpoint.discovery.fleet import Fleet
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.placement import Placement
from wagtailpoint.platform.header_names import HEADER_NAMES
from wagtailpoint.proxy.dispatcher import Dispatcher
from wagtailpoint.proxy.room_waiting import RoomWaiting
from wagtailpoint.proxy.sender import Sender
from wagtailpoint.proxy.shared_retry_budget import SharedRetryBudget


class RequestPath(NamedTuple):
    """The parts that serve callers' requests.

    Attributes:
        dispatcher: Serves the requests.
        room: Holds requests without room.
        protection: Refuses requests while the instance is short of processor time.
    """

    dispatcher: Dispatcher
    room: RoomWaiting
    protection: OverloadProtection


def make_request_path(
    *,
    state: StoreState,
    fleet: Fleet,
    placement: Placement,
    paths: BackendPaths,
    workspaces: WorkspaceRules,
    limits: ServerLimits,
    announcements: SharedAnnouncements,
    quarantine: SharedQuarantine,
    settings_file: SettingsFile,
    role: EntryRole,
    stop: SteeringStop,
    queueing: QueueingSwitch,
    is_bounded: Callable[[str], bool],
    metrics: Metrics,
    random: Random,
) -> RequestPath:
    """Return the parts that serve callers' requests.

    Args:
        state: The route table in force.
        fleet: The backend servers.
        placement: Chooses backend servers.
        paths: Connections to backend servers.
        workspaces: Keys and allowances.
        limits: The limits that backend servers state.
        announcements: Backoffs and leaving backend servers.
        quarantine: Requests that crash backend servers.
        settings_file: The operators' bounds.
        role: The instances that lookups name.
        stop: The graceful stop.
        queueing: For which services requests may wait, and are refused by an overloaded instance.
        is_bounded: Returns whether requests to a service's servers are bounded after a start.
        metrics: Receives counts and latencies.
        random: The source of jitter.
    """
    sender = Sender(
        takes_work=fleet.takes_work,
        placement=placement,
        pool=paths.pool,
        budget=SharedRetryBudget(bound=settings_file.retry_bound, divisor=role.bound_divisor),
        quarantine=quarantine.local,
        key_check=workspaces.key_check,
        limits=limits.stated,
        backoffs=announcements.backoffs,
        announcements=announcements.local,
        reachability=paths.reachability,
        stop_admission=stop.admission,
        names=HEADER_NAMES,
    )
    room = RoomWaiting(
        sender=sender,
        is_enabled=queueing.is_on,
        is_bounded=is_bounded,
        stop_admission=stop.admission,
        metrics=metrics,
        random=random,
    )
    protection = OverloadProtection(
        table=lambda: state.table,
        is_enabled=queueing.is_on,
        has_alternative=role.has_alternative,
        random=random,
    )
    dispatcher = Dispatcher(
        table=lambda: state.table,
        sender=sender,
        room=room,
        quarantine=quarantine.local,
        key_check=workspaces.key_check,
        allowances=workspaces.allowances,
        stop_clock=stop.clock,
        stop_admission=stop.admission,
        answer_times=stop.times,
        overload=protection.gate,
        names=HEADER_NAMES,
        metrics=metrics,
        random=random,
    )
    return RequestPath(dispatcher, room, protection)

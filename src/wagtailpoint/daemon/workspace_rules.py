"""Enforcement of workspace rules on an instance: API keys and rate allowances."""

from collections.abc import Callable, Mapping
from random import Random

import trio

from wagtailpoint.daemon.store_state import StoreState
from wagtailpoint.discovery.confirmation import Confirmation, ReceivingPlatform
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.freshness import Freshness
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.limits.allowance import Allowance
from wagtailpoint.limits.allowance_sharing import AllowanceSharing
from wagtailpoint.limits.allowance_slots import AllowanceSlots
from wagtailpoint.limits.lease import Holder
from wagtailpoint.membership import Membership
from wagtailpoint.node_settings import ServiceBounds
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import Peers
from wagtailpoint.proxy.key_check import KeyCheck
from wagtailpoint.revision import NO_REVISION, Revision
from wagtailpoint.routing.table import RouteTable


class WorkspaceRules:
    """Combines the freshness proof of the configuration, the key check and the allowances."""

    def __init__(
        self,
        *,
        state: StoreState,
        bounds: Callable[[], ServiceBounds],
        region_of: Mapping[str, str],
        platform: ReceivingPlatform,
        peers: Peers,
        membership: Membership,
        era: StoreEra,
        is_entry: Callable[[], bool],
        clock: Clock,
        random: Random,
    ) -> None:
        """Construct the parts.

        Args:
            state: Holds the configuration in force.
            bounds: Returns the operators' bounds.
            region_of: The region of every failure domain.
            platform: The object store.
            peers: Links to the other instances.
            membership: The instances that are known.
            era: The newest era of the store.
            is_entry: Whether lookups name this instance as an entry.
            clock: Its monotonic time has to advance while the machine is suspended.
            random: Source of the jitter.
        """
        self._state = state
        self._bounds = bounds
        self._platform = platform
        self._random = random
        self._follower: KindFollower | None = None
        self._confirmation: Confirmation | None = None
        self._is_watcher: Callable[[], bool] = lambda: True
        self.freshness = Freshness(
            clock=clock, version=self._version, bound_s=lambda: bounds().key_lag_max_s
        )
        self.key_check = KeyCheck(
            table=lambda: state.table, is_proved=lambda: self.freshness.is_proved
        )
        self._slots = AllowanceSlots(
            platform=platform,
            clock=clock,
            membership=membership,
            own=Holder(*peers.address),
            era=era,
            is_needed=self._has_allowances,
            random=random,
        )
        self.allowances = AllowanceSharing(
            slots=self._slots,
            peers=peers,
            clock=clock,
            own_region=membership.own.region,
            regions=frozenset(region_of.values()),
            allowances=self._allowances,
            slack=lambda: bounds().allowance_slack,
            is_entry=is_entry,
            random=random,
        )
        self._allowances_table: RouteTable | None = None
        self._known_allowances: Mapping[str, Allowance | None] = {}

    def set_follower(self, follower: KindFollower, *, is_watcher: Callable[[], bool]) -> None:
        """Set what ``run`` needs to prove that the configuration is fresh.

        Args:
            follower: Follows the configuration.
            is_watcher: Whether this instance watches the store for its region.
        """
        self._follower = follower
        self._is_watcher = is_watcher

    @property
    def gauges(self) -> dict[str, float]:
        """The current values of the gauges."""
        return {
            "config_age_seconds": min(self.freshness.age_s, 1e6),
            "workspaces": len(self._allowances()),
            "allowance_slots_held": self._slots.held_count,
        }

    async def run(self) -> None:
        """Renew the freshness proof and the allowance slots until cancelled.

        Raises:
            ValueError: ``set_follower`` was not called.
        """
        if self._follower is None:
            raise ValueError("follower: given None, expected one from `set_follower`")
        confirmation = self._confirmation = Confirmation(
            follower=self._follower,
            platform=self._platform,
            freshness=self.freshness,
            is_needed=self._needs_proof,
            is_watcher=self._is_watcher,
            random=self._random,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirmation.run)
            nursery.start_soon(self._slots.run)
            nursery.start_soon(self.allowances.run)

    def record_change(self) -> None:
        """Record that objects in the store have changed."""
        self._slots.record_config_change()
        if self._confirmation is not None:
            self._confirmation.on_config_change()

    async def release_slots(self) -> None:
        """Release the allowance slots to other instances before this instance leaves."""
        await self._slots.release()

    def _version(self) -> Revision:
        """Return the version in force; ``NO_REVISION`` if the newest one could not be decoded."""
        if self._follower is None or not self._state.is_config_readable:
            return NO_REVISION
        return self._follower.version

    def _needs_proof(self) -> bool:
        table = self._state.table
        strict = self._bounds().key_lag_max_s < float("inf")
        return strict and table is not None and table.workspaces is not None

    def _allowances(self) -> Mapping[str, Allowance | None]:
        table = self._state.table
        if table is not self._allowances_table:
            self._allowances_table = table
            workspaces = (table.workspaces or {}).values() if table is not None else ()
            self._known_allowances = {
                workspace.name: workspace.allowance for workspace in workspaces
            }
        return self._known_allowances

    def _has_allowances(self) -> bool:
        return any(workspace is not None for workspace in self._allowances().values())

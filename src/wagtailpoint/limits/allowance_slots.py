"""Slots that assign fractions of allowances to instances, each protected by a lease.

Every region has the same number of slots. A workspace belongs to one slot of each region, whose
holder grants the region's fraction of the allowance. A lease has at most one holder, regardless of
network partitions, killed processes and new instances. The fractions therefore never add up to
more than the allowance, whichever holder an instance asks.
"""

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import Final, NamedTuple

import trio
from result import Ok

from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.limits.lease import (
    LEASE_KIND,
    Holder,
    Lease,
    read_lease,
)
from wagtailpoint.membership import Membership
from wagtailpoint.membership.member import Member, capacity_sort_key
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import Platform
from wagtailpoint.rendezvous import rendezvous_score
from wagtailpoint.revision import Revision

SLOTS_PER_REGION: Final = 2
"""Must be the same on all instances and in all versions, because it determines to which slots the
workspaces belong."""

LEASE_S: Final = 20.0
"""Slots stay held during an outage of the store shorter than this, less a tenth and one renewal
interval. When a holder fails, its fraction cannot be spent for the same time, but those of other
regions can."""

RENEW_INTERVAL_S: Final = 5.0
"""Interval between two renewals of a held lease."""

RETRY_INTERVAL_S: Final = 1.0
"""Interval between two attempts to take a lease that this instance should hold."""

SETTLE_S: Final = 3.0
"""Time after its start in which an instance may not know all others. Until then it only takes slots
that an earlier process held at its address."""


class Slot(NamedTuple):
    """A slot of a region."""

    region: str
    number: int

    @property
    def name(self) -> str:
        """Name of the lease of the slot."""
        return f"allowance-{self.region}-{self.number}"


class _Acquisition(NamedTuple):
    """The acquisition of a slot: the fence of its lease and the time on this instance's clock."""

    fence: Revision
    taken_at: float


def slots_for_workspace(workspace: str, regions: Collection[str]) -> Sequence[Slot]:
    """Return the slots that a workspace belongs to, one for each region."""
    numbers = range(SLOTS_PER_REGION)
    number = max(numbers, key=lambda candidate: rendezvous_score(workspace, str(candidate)))
    return [Slot(region, number) for region in sorted(regions)]


def all_slots(regions: Collection[str]) -> Sequence[Slot]:
    """Return the slots of all regions."""
    return [Slot(region, number) for region in regions for number in range(SLOTS_PER_REGION)]


class AllowanceSlots:
    """Keeps the leases of this instance's slots, and locates the holders of the others."""

    def __init__(
        self,
        *,
        platform: Platform,
        clock: Clock,
        membership: Membership,
        own: Holder,
        era: StoreEra,
        is_needed: Callable[[], bool],
        random: Random,
    ) -> None:
        """Initialise without holding any slot.

        Args:
            platform: Store of the leases.
            clock: Clock that also advances while the machine is suspended.
            membership: The known instances.
            own: This process as a holder.
            era: The newest era of the store, which loses leases when it returns to a copy.
            is_needed: Returns whether any workspace has an allowance.
            random: Source of randomness for intervals.
        """
        self._platform = platform
        self._clock = clock
        self._membership = membership
        self._own = own
        self._is_needed = is_needed
        self._random = random
        region = membership.own.region
        self._leases = {
            slot: Lease(
                platform=platform,
                clock=clock,
                name=slot.name,
                own=own,
                lease_s=LEASE_S,
                era=era,
            )
            for slot in (Slot(region, number) for number in range(SLOTS_PER_REGION))
        }
        self._taken: dict[Slot, _Acquisition] = {}
        self._previous_holders: dict[str, PeerAddress] = {}
        self._settled = False
        self._changed = trio.Event()
        self._returned = trio.Event()
        era.on_return(self._record_return)
        self._members_seen: Sequence[Member] = ()
        self._candidates: dict[Slot, PeerAddress | None] = {}

    def held(self, slot: Slot) -> bool:
        """Return whether this instance certainly holds a slot now."""
        lease = self._leases.get(slot)
        return lease is not None and slot in self._taken and lease.held()

    @property
    def held_count(self) -> int:
        """Number of slots that this instance holds."""
        return sum(map(self.held, self._leases))

    def taken_at(self, slot: Slot) -> float:
        """Return when a held slot was taken, by the clock of this instance."""
        return self._taken[slot].taken_at

    def holder(self, slot: Slot) -> PeerAddress | None:
        """Return the presumed holder of a slot; None if no known instance can hold it."""
        members = self._membership.members()
        if members is not self._members_seen:
            self._members_seen = members
            self._candidates = {}
        if slot not in self._candidates:
            self._candidates[slot] = self._choose_candidate(slot, members)
        return self._candidates[slot]

    def _choose_candidate(self, slot: Slot, members: Sequence[Member]) -> PeerAddress | None:
        if not self._settled and slot.name in self._previous_holders:
            # Other instances may not be known yet. After a restart of all instances the previous
            # holder is expected at the same address.
            return self._previous_holders[slot.name]
        in_region = (item for item in members if item.is_serving and item.region == slot.region)
        best = min(in_region, key=lambda item: capacity_sort_key(item, slot.name), default=None)
        return best.peer_address if best is not None else None

    async def run(self) -> None:
        """Take and renew leases until cancelled."""
        while not self._is_needed():
            await self._changed.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._settle)
            await self._read_previous_holders()
            for slot, lease in self._leases.items():
                nursery.start_soon(self._keep, slot, lease)

    def record_config_change(self) -> None:
        """Record that the configuration has changed."""
        self._changed.set()
        self._changed = trio.Event()

    def _record_return(self) -> None:
        self._returned.set()
        self._returned = trio.Event()

    async def release(self) -> None:
        """Release all slots, so that others can take them at once."""
        for slot, lease in self._leases.items():
            if lease.held():
                log_event("allowance-slot", slot=slot.name, held=False, reason="leaving")
                await lease.release()

    async def _settle(self) -> None:
        await trio.sleep(SETTLE_S)
        self._settled = True
        self._candidates = {}

    async def _read_previous_holders(self) -> None:
        """Read the latest holders of all slots, possibly some seconds old, as a hint."""
        listing = await self._platform.list(kind=LEASE_KIND, may_be_stale=True)
        if not isinstance(listing, Ok):
            log_event("allowance-slots-unread", level="WARNING", error=listing.err_value)
            return
        for stored in listing.ok_value.objects:
            holder = read_lease(stored).holder
            if holder is not None:
                self._previous_holders[stored.name] = PeerAddress(holder.address, holder.port)
        self._candidates = {}

    async def _keep(self, slot: Slot, lease: Lease) -> None:
        was_held = False
        while True:
            if self._should_hold(slot):
                await lease.step()
                self._record_taken(slot, lease)
            elif lease.held():
                await lease.release()
            held = lease.held()
            if held != was_held:
                log_event("allowance-slot", slot=slot.name, held=held, fence=lease.fence)
                was_held = held
            interval_s = RENEW_INTERVAL_S if held else RETRY_INTERVAL_S
            with trio.move_on_after(interval_s * self._random.uniform(0.9, 1.1)):
                # A holder writes what the store has lost again.
                await self._returned.wait()

    def _record_taken(self, slot: Slot, lease: Lease) -> None:
        taken = self._taken.get(slot)
        if lease.held() and (taken is None or taken.fence != lease.fence):
            self._taken[slot] = _Acquisition(lease.fence, self._clock.monotonic())

    def _should_hold(self, slot: Slot) -> bool:
        # An instance that is starting may hold slots too, so that the slots of an earlier process
        # at its address are held before it is ready.
        leaves = self._membership.own.state in ("leaving", "dead")
        if leaves or not self._is_needed():
            return False
        if not self._settled and slot.name in self._previous_holders:
            return self._previous_holders[slot.name].address == self._own.address
        holder = self.holder(slot)
        return holder is not None and holder.address == self._own.address and self._settled

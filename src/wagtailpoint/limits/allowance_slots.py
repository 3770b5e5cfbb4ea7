"""Which instance spends which part of the allowances: a few slots, each under a lease.

Every region has the same number of slots. A workspace belongs to one slot of each region, and the
holder of that has the region's part of its allowance. A lease has one holder at most, whatever is
cut, killed or added, so the parts never add up to more than the whole; who asks which holder is
of no matter for that.
"""

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import Final, NamedTuple

import trio
from result import Ok

from wagtailpoint.limits.lease import (
    LEASE_KIND,
    Holder,
    Lease,
    holder_from_value,
)
from wagtailpoint.membership import Membership
from wagtailpoint.membership.member import Member, capacity_sort_key
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import Platform
from wagtailpoint.rendezvous import rendezvous_score

SLOTS_OF_A_REGION: Final = 2
"""The same on all instances of all versions: another number would deal each allowance anew."""

LEASE_S: Final = 20.0
"""An outage of the store shorter than this, less a tenth and an interval, is ridden out. A holder
that is lost for good is missed for as long; the other regions have their parts meanwhile."""

RENEW_INTERVAL_S: Final = 5.0
TRY_INTERVAL_S: Final = 1.0
"""Between two looks at a lease that this instance shall hold and does not."""

SETTLE_S: Final = 3.0
"""After its start an instance does not know all others. It only takes again what a process before
it held at its place."""


class Slot(NamedTuple):
    """One of the slots of a region."""

    region: str
    number: int

    @property
    def name(self) -> str:
        """The name of its lease."""
        return f"allowance-{self.region}-{self.number}"


class _Taken(NamedTuple):
    """Which taking of a slot this is, and when it was."""

    fence: int
    at: float


def slots_of(workspace: str, regions: Collection[str]) -> Sequence[Slot]:
    """The slots that a workspace belongs to, one for each region."""
    numbers = range(SLOTS_OF_A_REGION)
    number = max(numbers, key=lambda each: rendezvous_score(workspace, str(each)))
    return [Slot(region, number) for region in sorted(regions)]


def all_slots(regions: Collection[str]) -> Sequence[Slot]:
    """The slots of all regions."""
    return [Slot(region, number) for region in regions for number in range(SLOTS_OF_A_REGION)]


class AllowanceSlots:
    """The leases of one instance, and whom the others are believed to be held by."""

    def __init__(
        self,
        *,
        platform: Platform,
        clock: Clock,
        membership: Membership,
        own: Holder,
        is_needed: Callable[[], bool],
        random: Random,
    ) -> None:
        """Make it without holding any slot.

        Args:
            platform: Keeps the leases.
            clock: Must count suspension.
            membership: Who is there.
            own: This process.
            is_needed: Whether any workspace has an allowance.
            random: For the jitter.
        """
        self._platform = platform
        self._clock = clock
        self._membership = membership
        self._own = own
        self._is_needed = is_needed
        self._random = random
        region = membership.own.region
        self._leases = {
            slot: Lease(platform=platform, clock=clock, name=slot.name, own=own, lease_s=LEASE_S)
            for slot in (Slot(region, number) for number in range(SLOTS_OF_A_REGION))
        }
        self._taken: dict[Slot, _Taken] = {}
        self._held_before: dict[str, PeerAddress] = {}
        self._settled = False
        self._changed = trio.Event()
        self._members_seen: Sequence[Member] = ()
        self._candidates: dict[Slot, PeerAddress | None] = {}

    def held(self, slot: Slot) -> bool:
        """Whether this instance surely holds a slot now."""
        lease = self._leases.get(slot)
        return lease is not None and slot in self._taken and lease.held()

    @property
    def held_count(self) -> int:
        """How many slots this instance holds."""
        return sum(map(self.held, self._leases))

    def taken_at(self, slot: Slot) -> float:
        """When a slot that is held was taken, by the clock of this instance."""
        return self._taken[slot].at

    def holder(self, slot: Slot) -> PeerAddress | None:
        """Who holds a slot, as far as is known here; None if nobody can."""
        members = self._membership.members()
        if members is not self._members_seen:
            self._members_seen = members
            self._candidates = {}
        if slot not in self._candidates:
            self._candidates[slot] = self._candidate(slot, members)
        return self._candidates[slot]

    def _candidate(self, slot: Slot, members: Sequence[Member]) -> PeerAddress | None:
        if not self._settled and slot.name in self._held_before:
            # Asked before the others are known: after a restart of all it is back about now.
            return self._held_before[slot.name]
        in_region = (each for each in members if each.is_serving and each.region == slot.region)
        best = min(in_region, key=lambda each: capacity_sort_key(each, slot.name), default=None)
        return best.peer_address if best is not None else None

    async def run(self) -> None:
        """Keep the leases until cancelled."""
        while not self._is_needed():
            await self._changed.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._settle)
            await self._read_held_before()
            for slot, lease in self._leases.items():
                nursery.start_soon(self._keep, slot, lease)

    def record_config_change(self) -> None:
        """The configuration has changed."""
        self._changed.set()
        self._changed = trio.Event()

    async def release(self) -> None:
        """Let others have the slots at once."""
        for slot, lease in self._leases.items():
            if lease.held():
                log_event("allowance-slot", slot=slot.name, held=False, reason="leaving")
                await lease.release()

    async def _settle(self) -> None:
        await trio.sleep(SETTLE_S)
        self._settled = True
        self._candidates = {}

    async def _read_held_before(self) -> None:
        """Read who held what: a hint, which may be some seconds old."""
        listing = await self._platform.list(kind=LEASE_KIND, may_be_stale=True)
        if not isinstance(listing, Ok):
            log_event("allowance-slots-unread", level="WARNING", error=listing.err_value)
            return
        for stored in listing.ok_value.objects:
            holder = holder_from_value(stored.value["holder"])
            if holder is not None:
                self._held_before[stored.name] = PeerAddress(holder.address, holder.port)
        self._candidates = {}

    async def _keep(self, slot: Slot, lease: Lease) -> None:
        was_held = False
        while True:
            if self._shall_hold(slot):
                await lease.step()
                self._note_taken(slot, lease)
            elif lease.held():
                await lease.release()
            held = lease.held()
            if held != was_held:
                log_event("allowance-slot", slot=slot.name, held=held, fence=lease.fence)
                was_held = held
            interval_s = RENEW_INTERVAL_S if held else TRY_INTERVAL_S
            await trio.sleep(interval_s * self._random.uniform(0.9, 1.1))

    def _note_taken(self, slot: Slot, lease: Lease) -> None:
        taken = self._taken.get(slot)
        if lease.held() and (taken is None or taken.fence != lease.fence):
            self._taken[slot] = _Taken(lease.fence, self._clock.monotonic())

    def _shall_hold(self, slot: Slot) -> bool:
        # Also while it starts: what a process before it held must not wait until it is ready.
        leaves = self._membership.own.state in ("leaving", "dead")
        if leaves or not self._is_needed():
            return False
        if not self._settled and slot.name in self._held_before:
            return self._held_before[slot.name].address == self._own.address
        holder = self.holder(slot)
        return holder is not None and holder.address == self._own.address and self._settled

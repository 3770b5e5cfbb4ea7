"""Leases on objects of the platform that do not depend on synchronised clocks.

A holder counts its lease from *before* it sent the renewal and ends it slightly early; a successor
counts a whole lease from *after* it first saw the object unchanged. Each uses only its own clock,
which also advances during suspension. The clocks need not agree, but must run at nearly the same
rate.
"""

import itertools
import math
from collections import deque
from typing import Any, Final, NamedTuple, TypedDict

from result import Err, Ok, Result

from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable
from wagtailpoint.limits.conditional import PutResult, put_settled
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject
from wagtailpoint.revision import NO_REVISION, Revision
from wagtailpoint.untrusted_input import read_value

LEASE_KIND: Final = "lease"
LAPSE_FRACTION: Final = 0.9
"""A holder ends its lease after this fraction of it, so that clock rates may differ by a tenth."""

_MAX_SENT_WRITES = 16


class HolderValue(TypedDict):
    """Stored form of a holder; see ``Holder``."""

    address: str
    port: int
    incarnation: int


class Holder(NamedTuple):
    """A process that may hold leases.

    Attributes:
        address: IP number at which it receives messages of peers.
        port: Its peer port.
        incarnation: Random number of its start, which distinguishes processes that were started
            one after the other at the same address.
    """

    address: str
    port: int
    incarnation: int

    @property
    def place(self) -> tuple[str, int]:
        """Address and port for peers; an earlier process may have had the same."""
        return (self.address, self.port)


def holder_to_value(holder: Holder | None) -> HolderValue | None:
    """Return the stored form of a holder."""
    if holder is None:
        return None
    return HolderValue(address=holder.address, port=holder.port, incarnation=holder.incarnation)


def holder_from_value(value: HolderValue | None) -> Holder | None:
    """Return the holder of a stored form."""
    if value is None:
        return None
    return Holder(value["address"], value["port"], value["incarnation"])


class Sightings:
    """Tracks how long each object of a kind has been unchanged, by this process's clock."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, tuple[Revision, float]] = {}

    def record(self, name: str, version: Revision) -> bool:
        """Record a version that was just read.

        Returns:
            False if a newer version is known: a lagging replica may return a stale object.
        """
        known = self._seen.get(name)
        if known is None or version > known[0]:
            # The time is taken after the answer, so it is never before the write took effect.
            self._seen[name] = (version, self._clock.monotonic())
        return known is None or version >= known[0]

    def unchanged_s(self, name: str) -> float:
        """Return for how many seconds the newest version has been known and unchanged."""
        if name not in self._seen:
            return 0.0
        return self._clock.monotonic() - self._seen[name][1]


class SentWrites:
    """Records when the latest writes of this process were sent.

    A lease is counted from then, even if the answer to the write was lost.
    """

    def __init__(self, *, incarnation: int) -> None:
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        self._sent: deque[tuple[str, float]] = deque(maxlen=_MAX_SENT_WRITES)

    def stamp(self, now: float) -> str:
        """Return a unique identity for a write that is sent at ``now``."""
        write = f"{self._incarnation}-{next(self._numbers)}"
        self._sent.append((write, now))
        return write

    def sent_at(self, write: str) -> float | None:
        """Return when a write was sent; None if it is of another process or no longer recorded."""
        return next((sent for known, sent in self._sent if known == write), None)


class LeaseValue(TypedDict):
    """Stored value of a lease.

    Attributes:
        holder: Holder of the lease; None after its release.
        write: Identity of the write, by which its writer recognises it.
    """

    holder: HolderValue | None
    write: str


class StoredLease(NamedTuple):
    """A lease as read from the store.

    Attributes:
        holder: Holder of the lease; None if it is vacant, or unknown.
        write: Identity of the write; empty if it is unknown.
        is_readable: Whether the value is that of a lease.
    """

    holder: Holder | None
    write: str
    is_readable: bool = True


def read_lease(stored: StoredObject) -> StoredLease:
    """Read a stored lease; log a warning if its value is not that of a lease."""
    read = read_value(stored.value, LeaseValue)
    if isinstance(read, Err):
        log_event("lease-unreadable", level="WARNING", name=stored.name, error=read.err_value)
        return StoredLease(None, "", is_readable=False)
    value = read.ok_value
    return StoredLease(holder_from_value(value["holder"]), value["write"])


class NotHeld(NamedTuple):
    """A protected write was not sent because the lease is not held.

    Attributes:
        lease: Name of the lease.
    """

    lease: str


class Lease:
    """A lease that makes one process the only writer, for example of a move.

    Check ``held`` without a checkpoint before each protected action. A write may be delayed in
    transit beyond the end of the lease. Protected objects must therefore be written through
    ``put``, which writes conditionally and adds the ``fence``, so that a delayed write of a former
    holder fails because of a newer version.

    A store that returns to a copy may lose a lease. Whoever takes it in the new era waits a whole
    lease after hearing of that era, in which the lease of any holder ends. Only the holder itself
    may write it again before.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        clock: Clock,
        name: str,
        own: Holder,
        lease_s: float,
        era: StoreEra | None = None,
    ) -> None:
        """Initialise a lease that is not held.

        Args:
            platform: Store of the lease.
            clock: Clock that also advances while the machine is suspended.
            name: Name of the stored object.
            own: This process as a holder.
            lease_s: Duration of the lease in seconds; the same for all competing processes.
            era: The newest era of the store; None if the store never returns to a copy.
        """
        self._platform = platform
        self._clock = clock
        self._name = name
        self._own = own
        self._lease_s = lease_s
        self._sightings = Sightings(clock=clock)
        self._writes = SentWrites(incarnation=own.incarnation)
        self._counted_from: float | None = None
        self._version = ABSENT
        self._fence = NO_REVISION
        self._era = era
        self._returned_at = -math.inf
        self._past_writes: deque[str] = deque(maxlen=_MAX_SENT_WRITES)
        if era is not None:
            era.on_return(self._record_return)

    @property
    def fence(self) -> Revision:
        """Version of the write that took the lease; it increases with each new holder."""
        return self._fence

    def held(self) -> bool:
        """Return whether this process is certainly the only holder now."""
        if self._counted_from is None:
            return False
        return self._clock.monotonic() - self._counted_from < self._lease_s * LAPSE_FRACTION

    async def step(self) -> bool:
        """Take or renew the lease if possible; to be called several times per lease duration.

        Returns:
            Whether the lease is held.
        """
        is_current = self._era is None or self._version.era == self._era.number
        if self.held() and is_current and await self._write(self._own, self._version):
            # The write succeeds only if no other process has written, so that no read is needed.
            return True
        match await self._platform.get(kind=LEASE_KIND, name=self._name):
            case Ok(StoredObject() as stored):
                await self._evaluate(stored)
            case Ok(None) if self._may_create():
                await self._write(self._own, ABSENT)
        return self.held()

    async def release(self) -> None:
        """Stop holding the lease at once, and write that it is vacant.

        If the write fails, others can take the lease after its duration.
        """
        if self._fence == NO_REVISION:
            return
        # The write below may take effect long after its answer has timed out, and others may then
        # hold the lease. Without the fence, the lease is not adopted from an earlier write.
        self._counted_from, self._fence = None, NO_REVISION
        await self._write(None, self._version)

    async def put(
        self, *, kind: str, name: str, value: dict[str, Any], if_version: Revision
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable | NotHeld]:
        """Write a protected object with the field ``fence`` added, if the lease is held.

        ``value`` needs a field that makes it different from any value written before.
        """
        if not self.held():
            return Err(NotHeld(self._name))
        fenced = {**value, "fence": self._fence.number}
        return await put_settled(
            self._platform, kind=kind, name=name, value=fenced, if_version=if_version
        )

    def _record_return(self) -> None:
        self._returned_at = self._clock.monotonic()

    def _may_be_lost_to_another(self) -> bool:
        """Return whether another process may hold a lease that the store has lost."""
        waited_s = self._clock.monotonic() - self._returned_at
        return waited_s < self._lease_s and not self.held()

    def _may_create(self) -> bool:
        """Return whether the lease may be created that the store does not have."""
        if self._returned_at > -math.inf:
            return not self._may_be_lost_to_another()
        return self._sightings.record(self._name, ABSENT)

    async def _evaluate(self, stored: StoredObject) -> None:
        if not self._sightings.record(self._name, stored.version):
            return
        lease = read_lease(stored)
        holder = lease.holder
        if self._may_be_lost_to_another():
            return
        if holder == self._own and self._fence != NO_REVISION:
            self._adopt(stored)
            await self._write(self._own, stored.version)
            return
        if self.held() and lease.write in self._past_writes:
            # A copy, which has what this process replaced.
            await self._write(self._own, stored.version)
            return
        if lease.is_readable:
            self._past_writes.append(lease.write)
        self._counted_from = None
        # Two processes cannot listen at the same address and port, so an earlier holder there has
        # ended. An unreadable lease may be that of a newer version, and is waited for.
        vacant = lease.is_readable and (holder is None or holder.place == self._own.place)
        if vacant or self._sightings.unchanged_s(self._name) >= self._lease_s:
            self._fence = NO_REVISION
            await self._write(self._own, stored.version)

    async def _write(self, holder: Holder | None, if_version: Revision) -> bool:
        """Write the lease if it has version ``if_version``; return whether it was written."""
        write = self._writes.stamp(self._clock.monotonic())
        value = LeaseValue(holder=holder_to_value(holder), write=write)
        written: PutResult = await put_settled(
            self._platform, kind=LEASE_KIND, name=self._name, value=value, if_version=if_version
        )
        if isinstance(written, Ok):
            self._past_writes.append(write)
            self._sightings.record(self._name, written.ok_value.version)
            if holder is not None:
                if self._fence == NO_REVISION:
                    self._fence = written.ok_value.version
                self._adopt(written.ok_value)
        return isinstance(written, Ok)

    def _adopt(self, stored: StoredObject) -> None:
        self._version = stored.version
        sent = self._writes.sent_at(read_lease(stored).write)
        if sent is not None:
            self._counted_from = max(sent, self._counted_from or sent)

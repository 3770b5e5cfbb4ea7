"""Leases: who holds an object of the platform, judged by clocks that are never compared.

A holder counts its lease from *before* it sent the renewal, and ends it a little early; a successor
counts a whole lease from *after* it first saw the object unchanged. Each uses only its own clock,
which counts on through a suspension, so the clocks need not agree, only run at nearly one rate.
"""

import itertools
from collections import deque
from typing import Any, Final, NamedTuple, TypedDict

from result import Err, Ok, Result

from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable
from wagtailpoint.limits.conditional import PutResult, put_settled
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject

LEASE_KIND: Final = "lease"
LAPSE_PART: Final = 0.9
"""A holder's lease ends after this part of it; clock rates may then differ by a tenth."""

_MOST_UNSETTLED = 16


class HolderValue(TypedDict):
    """A holder as it is stored."""

    address: str
    port: int
    incarnation: int


class Holder(NamedTuple):
    """One process that may hold leases.

    Attributes:
        address: IP number where it hears its peers.
        port: Its peer port.
        incarnation: Random at each start: a process restarted at the same address is another.
    """

    address: str
    port: int
    incarnation: int

    @property
    def place(self) -> tuple[str, int]:
        """Where it hears its peers; processes started one after the other share it."""
        return (self.address, self.port)


def holder_to_value(holder: Holder | None) -> HolderValue | None:
    """Return what is stored of a holder."""
    if holder is None:
        return None
    return HolderValue(address=holder.address, port=holder.port, incarnation=holder.incarnation)


def holder_from_value(value: HolderValue | None) -> Holder | None:
    """Return the holder that is stored."""
    if value is None:
        return None
    return Holder(value["address"], value["port"], value["incarnation"])


class Sightings:
    """How long each object of a kind was seen unchanged, by this process's own clock."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}

    def see(self, name: str, version: int) -> bool:
        """Note a version that was just read; False if a newer one was seen before.

        A lagging replica may answer with an object older than one known already.
        """
        known, _ = self._seen.get(name, (ABSENT - 1, 0.0))
        if version > known:
            # Counted from after the answer, so never from before the write took effect.
            self._seen[name] = (version, self._clock.monotonic())
        return version >= known

    def unchanged_s(self, name: str) -> float:
        """Seconds for which the newest version was seen unchanged."""
        if name not in self._seen:
            return 0.0
        return self._clock.monotonic() - self._seen[name][1]


class SentWrites:
    """When each write of this process was sent, so that a lost answer is counted from there."""

    def __init__(self, *, incarnation: int) -> None:
        self._incarnation = incarnation
        self._numbers = itertools.count(1)
        self._sent: deque[tuple[str, float]] = deque(maxlen=_MOST_UNSETTLED)

    def stamp(self, now: float) -> str:
        """Return the identity of a write that is sent now."""
        write = f"{self._incarnation}-{next(self._numbers)}"
        self._sent.append((write, now))
        return write

    def sent_at(self, write: str) -> float | None:
        """When a write was sent; None if it was not ours, or is forgotten."""
        return next((sent for known, sent in self._sent if known == write), None)


class LeaseValue(TypedDict):
    """What a lease's object holds.

    Attributes:
        holder: Who holds it; None after it was given up.
        write: Identity of the write, so that its writer knows it again.
    """

    holder: HolderValue | None
    write: str


class NotHeld(NamedTuple):
    """A protected act was not done, because the lease is not held now."""

    lease: str


class Lease:
    """A lease that makes one process the only writer, for example of a move.

    Check ``held`` in the same step as each protected act. A write may be delayed on its way
    beyond the lease, so protected objects are written only through ``put``: conditionally, and
    stamped with the ``fence``. A former holder's late write then meets a newer version.
    """

    def __init__(
        self, *, platform: Platform, clock: Clock, name: str, own: Holder, lease_s: float
    ) -> None:
        """Make it without holding it.

        Args:
            platform: Where the lease is kept.
            clock: Must count suspension.
            name: Name of the lease's object.
            own: This process.
            lease_s: Seconds; the same for all that compete.
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
        self._fence = 0

    @property
    def fence(self) -> int:
        """Version of the write that took the lease: grows from holder to holder."""
        return self._fence

    def held(self) -> bool:
        """Whether this process is surely the only holder now."""
        if self._counted_from is None:
            return False
        return self._clock.monotonic() - self._counted_from < self._lease_s * LAPSE_PART

    async def step(self) -> bool:
        """Take or renew it if possible; call a few times within each lease.

        Returns:
            Whether it is held.
        """
        if self.held() and await self._write(self._own, self._version):
            # Nobody else has written since: one call renews what two would.
            return True
        match await self._platform.get(kind=LEASE_KIND, name=self._name):
            case Ok(StoredObject() as stored):
                await self._judge(stored)
            case Ok(None) if self._sightings.see(self._name, ABSENT):
                await self._write(self._own, ABSENT)
        return self.held()

    async def release(self) -> None:
        """Stop at once, then let others know; if that fails they wait a lease."""
        if not self._fence:
            return
        # With the fence gone, nothing of this holding is ever adopted again: the write below may
        # take effect long after its answer was given up, and others may then hold the lease.
        self._counted_from, self._fence = None, 0
        await self._write(None, self._version)

    async def put(
        self, *, kind: str, name: str, value: dict[str, Any], if_version: int
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable | NotHeld]:
        """Write a protected object, stamped with ``fence``, if the lease is held.

        ``value`` needs a field that makes it unlike any other value written before.
        """
        if not self.held():
            return Err(NotHeld(self._name))
        fenced = {**value, "fence": self._fence}
        return await put_settled(
            self._platform, kind=kind, name=name, value=fenced, if_version=if_version
        )

    async def _judge(self, stored: StoredObject) -> None:
        if not self._sightings.see(self._name, stored.version):
            return
        value: LeaseValue = stored.value
        holder = holder_from_value(value["holder"])
        if holder == self._own and self._fence:
            self._adopt(stored)
            await self._write(self._own, stored.version)
            return
        self._counted_from = None
        # Two processes can't listen at one place: whoever held it there is gone.
        vacant = holder is None or holder.place == self._own.place
        if vacant or self._sightings.unchanged_s(self._name) >= self._lease_s:
            self._fence = 0
            await self._write(self._own, stored.version)

    async def _write(self, holder: Holder | None, if_version: int) -> bool:
        """Write it if it is at a version; whether that was done."""
        write = self._writes.stamp(self._clock.monotonic())
        value = LeaseValue(holder=holder_to_value(holder), write=write)
        written: PutResult = await put_settled(
            self._platform, kind=LEASE_KIND, name=self._name, value=value, if_version=if_version
        )
        if isinstance(written, Ok):
            self._sightings.see(self._name, written.ok_value.version)
            if holder is not None:
                self._fence = self._fence or written.ok_value.version
                self._adopt(written.ok_value)
        return isinstance(written, Ok)

    def _adopt(self, stored: StoredObject) -> None:
        self._version = stored.version
        sent = self._writes.sent_at(stored.value["write"])
        if sent is not None:
            self._counted_from = max(sent, self._counted_from or sent)

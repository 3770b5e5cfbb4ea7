"""Takes, renews and gives up the seats of this process."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import NamedTuple
from zlib import crc32

import trio
from result import Err, Ok

from wagtailpoint.limits.conditional import put_settled
from wagtailpoint.limits.evidence import HolderCheck
from wagtailpoint.limits.lease import Holder, SentWrites, Sightings
from wagtailpoint.limits.pulse import Pulse
from wagtailpoint.limits.seat import SEAT_KIND, Seat, SeatState, is_seat_of, read_seat
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject

STEPS_PER_LEASE = 4
STEPS_WHILE_STOPPING = 40
BEATS_PER_PAUSE = 10
PAUSE_PART = 0.5
"""The longest pause of a process that does not count as a freeze, as a part of the lease."""


class KeeperPlace(NamedTuple):
    """Where a keeper runs.

    Attributes:
        own: This process.
        failure_domain: Its seats are taken first.
    """

    own: Holder
    failure_domain: str


class SeatKeeper:
    """Keeps this process's seats; ``seats`` say at any moment what may be spent."""

    def __init__(
        self,
        *,
        platform: Platform,
        clock: Clock,
        check: HolderCheck,
        place: KeeperPlace,
        names: Callable[[], Sequence[str]],
        lease_s: float,
        loan_s: float,
        drained: Callable[[str], bool],
    ) -> None:
        """Make it without any seat.

        Args:
            platform: Where the seats are.
            clock: Must count suspension.
            check: Looks whether a former holder is gone.
            place: Where this process runs.
            names: All seats there are, see ``seat_names``.
            lease_s: The lease in seconds; the same everywhere.
            loan_s: The longest loan of a part of a seat, in seconds; the same everywhere.
            drained: Whether nothing in flight spends a seat any more. Asked after the seat's
                spendable fraction has become zero, before others are let in.
        """
        self._platform = platform
        self._clock = clock
        self._check = check
        self._own = place.own
        self._failure_domain = place.failure_domain
        self._names = names
        self._lease_s = lease_s
        self._loan_s = loan_s
        self._drained = drained
        self._pulse = Pulse(clock=clock, longest_pause_s=lease_s * PAUSE_PART)
        self._sightings = Sightings(clock=clock)
        self._writes = SentWrites(incarnation=place.own.incarnation)
        self._seats: dict[str, Seat] = {}
        self._known: dict[str, SeatState] = {}
        self._stopping = False
        self._woken = trio.Event()
        self._stopped = trio.Event()

    @property
    def seats(self) -> Mapping[str, Seat]:
        """The seats by name, those that are being given up among them."""
        return self._seats

    def spendable_share(self) -> float:
        """The part of every limit (0 to 1) that this process may spend at this moment."""
        names = self._names()
        if not names:
            return 0.0
        return sum(seat.spendable_fraction() for seat in self._seats.values()) / len(names)

    def lendable_share(self) -> float:
        """The part of every limit that this process may lend at this moment."""
        names = self._names()
        if not names:
            return 0.0
        return sum(seat.lendable_fraction() for seat in self._seats.values()) / len(names)

    async def run(self) -> None:
        """Keep the seats until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._beat)
            while True:
                await self.step()
                if self._stopping and not self._seats:
                    self._stopped.set()
                if self._stopping:
                    await trio.sleep(self._lease_s / STEPS_WHILE_STOPPING)
                else:
                    with trio.move_on_after(self._lease_s / STEPS_PER_LEASE):
                        await self._woken.wait()
                    self._woken = trio.Event()

    async def stop(self) -> None:
        """Give up all seats; returns when the platform has it. Cancel ``run`` only then."""
        self.give_up_all()
        await self._stopped.wait()

    def give_up_all(self) -> None:
        """Spend nothing from now on and take no seat; the next steps tell the platform."""
        self._stopping = True
        for seat in self._seats.values():
            seat.give_up()
        self._woken.set()

    def look_now(self) -> None:
        """Take the next step at once, because the names of the seats may have changed."""
        self._woken.set()

    async def step(self) -> None:
        """Read all seats, renew the own ones, and take or ask for more if that is due."""
        self._pulse.beat()
        listing = await self._platform.list(kind=SEAT_KIND)
        if isinstance(listing, Err):
            return
        current = [stored for stored in listing.ok_value.objects if self._take_in(stored)]
        states = {stored.name: read_seat(stored) for stored in current}
        for name in self._names():
            self._sightings.see(name, ABSENT)
        for state in states.values():
            await self._keep(state)
        if not self._stopping:
            await self._take_some(states)

    def beat(self) -> None:
        """Note that this process runs; ``run`` does it often enough."""
        self._pulse.beat()

    async def _beat(self) -> None:
        while True:
            self.beat()
            await trio.sleep(self._lease_s * PAUSE_PART / BEATS_PER_PAUSE)

    def _take_in(self, stored: StoredObject) -> bool:
        """Learn how a seat stands; False if something newer is known already."""
        if not self._sightings.see(stored.name, stored.version):
            return False
        state = read_seat(stored)
        before = self._known.get(state.name)
        self._known[state.name] = state
        seat = self._seats.get(state.name)
        if state.holder == self._own:
            if seat is None:
                seat = self._seats[state.name] = self._make_seat(state, before)
                log_event("seat-taken", seat=state.name, doubt=seat.in_doubt)
            elif seat.in_doubt and state.former is None:
                seat.await_loans(self._loan_s, doubt_part=False)
            seat.confirm(state, self._writes.sent_at(state.write))
            if self._stopping:
                # A write that took it was still on its way when the stop was asked for.
                seat.give_up()
        elif seat is not None:
            if not seat.given_up:
                log_event("seat-lost", level="WARNING", seat=state.name, holder=state.holder)
            seat.give_up()
            seat.confirm(state, None)
            if self._own != state.former and self._drained(state.name):
                del self._seats[state.name]
        return True

    def _make_seat(self, state: SeatState, before: SeatState | None) -> Seat:
        seat = Seat(clock=self._clock, pulse=self._pulse, lease_s=self._lease_s, state=state)
        vacant = before is None or (before.holder is None and before.former is None)
        # Who may still run does not lend its doubt part beyond its lease, which is over.
        may_still_run = before is not None and state.former == before.holder is not None
        if not vacant and not may_still_run:
            seat.await_loans(self._loan_s, doubt_part=True)
        return seat

    async def _keep(self, state: SeatState) -> None:
        """Renew, settle or give up a seat that this process holds or held."""
        if state.holder == self._own:
            seat = self._seats[state.name]
            if state.wanted and self._live_seats() > 1:
                seat.give_up()
            if not seat.given_up:
                # A wish that cannot be met is cleared, or it would keep others from wishing.
                former = await self._still_there(state.former)
                await self._write(state._replace(former=former, wanted=False))
            elif self._drained(state.name):
                await self._write(state._replace(holder=None, wanted=False))
        elif state.former == self._own and self._drained(state.name):
            # Spends nothing of it since it learnt of its loss, so the successor may have it all.
            await self._write(state._replace(former=None))

    def _live_seats(self) -> int:
        return sum(not seat.given_up for seat in self._seats.values())

    async def _still_there(self, former: Holder | None) -> Holder | None:
        if former is None or await self._is_gone(former):
            return None
        return former

    async def _is_gone(self, holder: Holder) -> bool:
        if holder[:2] == self._own[:2]:
            # This process listens at that address now, so the one that did before is dead.
            return holder != self._own
        evidence = await self._check.evidence(holder)
        if evidence is not None:
            log_event("holder-gone", holder=holder, evidence=evidence.value)
        return evidence is not None

    async def _take_some(self, states: Mapping[str, SeatState]) -> None:
        # A dead holder's seats count for nobody: the living, having as many as it left, would each
        # wait for it to take more.
        alive = (name for name in states if self._sightings.unchanged_s(name) < self._lease_s)
        holders = (states[name].holder for name in alive)
        held = Counter(holder for holder in holders if holder not in (None, self._own))
        for state in self._others(states):
            await self._try_to_take(state, held)
        if not self._live_seats():
            await self._ask_for_one(states, held)

    def _others(self, states: Mapping[str, SeatState]) -> Iterator[SeatState]:
        """All seats of others, the own failure domain's first, each process in another order."""
        names = [name for name in self._names() if name not in self._seats]
        names.sort(key=lambda name: crc32(f"{name}{self._own}".encode()))
        names.sort(key=lambda name: not is_seat_of(name, self._failure_domain))
        absent = SeatState("", ABSENT, None, None, False, "")
        return (states.get(name, absent._replace(name=name)) for name in names)

    async def _try_to_take(self, state: SeatState, held: Counter[Holder]) -> None:
        own_address = state.holder is not None and state.holder[:2] == self._own[:2]
        first = not self._live_seats()
        quiet = self._sightings.unchanged_s(state.name) >= self._lease_s
        if not (quiet or own_address or (first and state.holder is None)):
            return
        # Who has fewer seats shall have it; loans even out the rest.
        fewest = all(self._live_seats() <= count for count in held.values())
        if not (first or fewest):
            return
        former = await self._former_of_a_successor(state)
        if former is not _NOT_TAKEABLE:
            await self._write(state._replace(holder=self._own, former=former, wanted=False))

    async def _former_of_a_successor(self, state: SeatState) -> Holder | None:
        """Who may still spend a seat if it is taken now; ``_NOT_TAKEABLE`` if two might."""
        former = await self._still_there(state.former)
        if state.holder is None or await self._is_gone(state.holder):
            return former
        return state.holder if former is None else _NOT_TAKEABLE

    async def _ask_for_one(self, states: Mapping[str, SeatState], held: Counter[Holder]) -> None:
        if any(state.wanted for state in states.values()):
            return
        askable = [
            state
            for state in self._others(states)
            if state.holder is not None
            and held[state.holder] > 1
            and self._sightings.unchanged_s(state.name) < self._lease_s
        ]
        if askable:
            most = max(askable, key=lambda state: held[state.holder] if state.holder else 0)
            await self._write(most._replace(wanted=True))

    async def _write(self, state: SeatState) -> bool:
        """Write a seat over the version in ``state``; whatever comes of it is taken in."""
        write = self._writes.stamp(self._clock.monotonic())
        written = await put_settled(
            self._platform,
            kind=SEAT_KIND,
            name=state.name,
            value=state._replace(write=write).to_value(),
            if_version=state.version,
        )
        match written:
            case Ok(stored):
                self._take_in(stored)
                return True
            case Err(Conflict(StoredObject() as current)):
                self._take_in(current)
        return False


_NOT_TAKEABLE = Holder("", 0, 0)

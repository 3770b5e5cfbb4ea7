"""A seat: a fixed part of every limit, held by one process, and never spent twice.

Each limit is split evenly over all seats. A seat is an object of the platform. What its holder may
spend is decided here, without any call, at the moment of each spend:

* its last renewal is fresh: all of the seat;
* its last renewal is old: all but the doubt part, for a successor may have that by now;
* it took the seat from somebody who may still run: the doubt part alone.
"""

from collections.abc import Mapping
from math import inf
from typing import Final, NamedTuple, TypedDict

from wagtailpoint.config.model import Region
from wagtailpoint.limits.lease import (
    LAPSE_PART,
    Holder,
    HolderValue,
    holder_from_value,
    holder_to_value,
)
from wagtailpoint.limits.pulse import NEVER, Pulse
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.platform import StoredObject

SEAT_KIND: Final = "seat"
DOUBT_PART: Final = 1 / 8
REST_PART: Final = 1 - DOUBT_PART


class SeatValue(TypedDict):
    """What a seat's object holds.

    Attributes:
        holder: Who holds it; None if nobody.
        former: The holder before, if it may still run: then the seat is in doubt.
        wanted: A process without any seat asks for this one.
        write: Identity of the write, so that its writer knows it again.
    """

    holder: HolderValue | None
    former: HolderValue | None
    wanted: bool
    write: str


class SeatState(NamedTuple):
    """A seat as it was read.

    Attributes:
        name: The seat.
        version: Its version; ``ABSENT`` if it was never held.
        holder: Who holds it.
        former: Who held it and may still run.
        wanted: A process without any seat asks for it.
        write: Identity of the last write.
    """

    name: str
    version: int
    holder: Holder | None
    former: Holder | None
    wanted: bool
    write: str

    def to_value(self) -> SeatValue:
        """Return what is stored."""
        return SeatValue(
            holder=holder_to_value(self.holder),
            former=holder_to_value(self.former),
            wanted=self.wanted,
            write=self.write,
        )


def read_seat(stored: StoredObject) -> SeatState:
    """Read a stored seat."""
    value: SeatValue = stored.value
    return SeatState(
        name=stored.name,
        version=stored.version,
        holder=holder_from_value(value["holder"]),
        former=holder_from_value(value["former"]),
        wanted=value["wanted"],
        write=value["write"],
    )


def seat_names(regions: Mapping[str, Region]) -> tuple[str, ...]:
    """Return the names of all seats, in the order that all instances agree on."""
    return tuple(
        f"{failure_domain}-{index}"
        for region in sorted(regions)
        for failure_domain in sorted(regions[region].failure_domains)
        for index in range(regions[region].seats_per_failure_domain)
    )


def is_seat_of(name: str, failure_domain: str) -> bool:
    """Whether a seat belongs to a failure domain."""
    return name.rpartition("-")[0] == failure_domain


class Seat:
    """A seat that this process holds or held, and what it may spend of it now."""

    def __init__(self, *, clock: Clock, pulse: Pulse, lease_s: float, state: SeatState) -> None:
        """Make it as read; ``confirm`` makes it fresh.

        Args:
            clock: Must count suspension.
            pulse: Tells whether this process was frozen.
            lease_s: The lease, in seconds; the same everywhere.
            state: The seat with this process as its holder.
        """
        self._clock = clock
        self._pulse = pulse
        self._lapse_s = lease_s * LAPSE_PART
        self._state = state
        self._counted_from = NEVER
        self._given_up = False
        self._loans_over_at = NEVER
        self._rest_loans_over_at = NEVER

    @property
    def name(self) -> str:
        """Its name."""
        return self._state.name

    @property
    def state(self) -> SeatState:
        """How it was read or written last."""
        return self._state

    @property
    def given_up(self) -> bool:
        """It was lost or is being given up; nothing of it may be spent any more."""
        return self._given_up

    @property
    def in_doubt(self) -> bool:
        """Its former holder may still run."""
        return self._state.former is not None

    @property
    def fresh_until(self) -> float:
        """By the clock, until when all of it may be spent without another renewal.

        What holds a slot beyond this moment must not be started on the doubt part.
        """
        return self._counted_from + self._lapse_s

    def spendable_fraction(self) -> float:
        """The part of the seat (0 to 1) that may be spent at this moment.

        Call it in the same step as the spend, with no await between: a process that wakes from a
        freeze between the two would spend by what it knew before.
        """
        if self._given_up or self._counted_from < self._pulse.woke_at:
            return 0.0
        now = self._clock.monotonic()
        doubt_part = DOUBT_PART if now >= self._loans_over_at else 0.0
        if self.in_doubt:
            return doubt_part
        rest_part = REST_PART if now >= self._rest_loans_over_at else 0.0
        return rest_part + (doubt_part if now < self.fresh_until else 0.0)

    def lendable_fraction(self) -> float:
        """The part of the seat that may be lent beyond its lease.

        Never the doubt part: the loan could outlast the lease, and a successor spends that part.
        """
        fraction = self.spendable_fraction()
        return 0.0 if self.in_doubt else min(fraction, REST_PART)

    def spendable_until(self, *, in_doubt_part: bool) -> float:
        """Until when something that is started at this moment may go on spending.

        For shares that are *held* for a while, such as a slot of a backend server: what was
        started on the doubt part must be over when the lease ends, because a successor may hold
        that part from then on.

        Args:
            in_doubt_part: Whether what is spent belongs to the doubt part or to the rest.

        Returns:
            A moment by the clock; minus infinity if nothing may be started now.
        """
        if self._given_up or self._counted_from < self._pulse.woke_at:
            return -inf
        over_at = self._loans_over_at if in_doubt_part else self._rest_loans_over_at
        if self._clock.monotonic() < over_at:
            return -inf
        if self.in_doubt:
            return inf if in_doubt_part else -inf
        return self.fresh_until if in_doubt_part else inf

    def await_loans(self, seconds: float, *, doubt_part: bool) -> None:
        """Let loans of the former holder come to their end before anything is held.

        It is gone, but whom it lent a part of the seat uses that until the loan ends.

        Args:
            seconds: The length of a loan.
            doubt_part: The doubt part too may still be lent; else only the rest.
        """
        self._rest_loans_over_at = self._clock.monotonic() + seconds
        if doubt_part:
            self._loans_over_at = self._rest_loans_over_at

    def confirm(self, state: SeatState, sent_at: float | None) -> None:
        """Take in that the platform has this process as the holder.

        Args:
            state: The seat as the platform has it.
            sent_at: When the write that made this state was *sent*; None if it was not ours.
        """
        self._state = state
        if sent_at is not None:
            self._counted_from = max(self._counted_from, sent_at)

    def give_up(self) -> None:
        """Spend nothing of it from now on. There is no way back but to take it again."""
        self._given_up = True

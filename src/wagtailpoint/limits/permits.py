"""Permits: one permit is one slot of one backend server, held by one instance at a time.

Each permit has a home seat, computed from the configuration alone. Who holds the seat may use its
permits, or lend them. A loan ends by itself: the borrower counts its length from before it asked,
the lender from when it granted, so the borrower's use is over before the lender's begins, without
any agreement of clocks. A lost message, a cut, a freeze or a kill wastes the permit until then, and
no more.

What runs on a permit must end while the permit is held: a request is started on a loan only if its
deadline lies within it, and a long download only on a permit that has no end.
"""

import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence
from math import inf
from typing import NamedTuple

from wagtailpoint.config.model import BackendServer
from wagtailpoint.limits.homes import HomePermit, Permit
from wagtailpoint.limits.lease import LAPSE_PART
from wagtailpoint.limits.loans import Collection, LoanedPermit, PermitAsk, PermitLoan
from wagtailpoint.limits.seat import Seat
from wagtailpoint.ports.backend import BackendAddress
from wagtailpoint.ports.clock import Clock


class _Lent(NamedTuple):
    loan: int
    until: float


class _Borrowed(NamedTuple):
    lender: str
    loan: int
    until: float


class Permits:
    """The permits of one pool that this instance may use, and its loans.

    An instance without any seat and without a loan has no permit, and its requests wait or are
    refused: what it might otherwise send is not its to send. A lone instance takes all seats.
    """

    def __init__(
        self,
        *,
        pool: str,
        clock: Clock,
        homes: Callable[[], Mapping[Permit, HomePermit]],
        seats: Callable[[], Mapping[str, Seat]],
        usable: Callable[[BackendAddress], bool],
        loan_s: float,
    ) -> None:
        """Make it without any loan.

        Args:
            pool: The name of the pool, the same in all instances.
            clock: Must count suspension.
            homes: Of all permits of the pool; returns the same mapping until it changes.
            seats: Those of this instance.
            usable: Whether a backend server takes work now; permits of the others are neither
                counted as free nor lent, or an instance full of them would ask for no more.
            loan_s: How long a loan lasts, in seconds; the same in all instances.
        """
        self._pool = pool
        self._clock = clock
        self._homes = homes
        self._seats = seats
        self._usable = usable
        self._loan_s = loan_s
        self._numbers = itertools.count(1)
        self._used: set[Permit] = set()
        self._finished = 0
        self._own_homes: Mapping[Permit, HomePermit] | None = None
        self._own_seats: tuple[str, ...] = ()
        self._own: list[Permit] = []
        self._lent: dict[Permit, _Lent] = {}
        self._borrowed: dict[Permit, _Borrowed] = {}
        self._collections: list[Collection] = []
        self._newest_loan: dict[str, int] = {}
        self._to_return: dict[str, list[LoanedPermit]] = {}

    @property
    def used(self) -> int:
        """Permits on which something runs."""
        return len(self._used)

    @property
    def in_use(self) -> frozenset[Permit]:
        """The permits on which something runs."""
        return frozenset(self._used)

    @property
    def finished(self) -> int:
        """How often a permit was given back since the start."""
        return self._finished

    @property
    def borrowed(self) -> int:
        """Permits that were lent to this instance."""
        return len(self._borrowed)

    def lenders(self) -> Mapping[str, float]:
        """Whose loans this instance has, and when the first of each ends."""
        ends: dict[str, float] = {}
        for loan in self._borrowed.values():
            ends[loan.lender] = min(loan.until, ends.get(loan.lender, inf))
        return ends

    def free(self, *, until: float) -> list[Permit]:
        """Return the permits on which something that ends by ``until`` may be started now."""
        return [permit for permit in self._candidates() if self._usable_until(permit) >= until]

    def take(
        self, servers: Sequence[BackendServer], *, deadline: float, long: bool = False
    ) -> BackendServer | None:
        """Use a permit of one of these backend servers.

        Args:
            servers: The candidates, best first.
            deadline: When what is started will be over, by the clock.
            long: It may run on after the deadline, as a download does.

        Returns:
            The backend server; None if there is no free permit now. Between this and the dispatch
            there must be no await.
        """
        by_address = {server.address: server for server in servers}
        free = [
            permit
            for permit in self.free(until=inf if long else deadline)
            if permit.server in by_address
        ]
        if not free:
            return None
        in_use = self._in_use_by_server()
        order = {server.address: place for place, server in enumerate(servers)}
        # Of one backend server's permits the one that ends first: loans before one's own.
        chosen = min(
            free,
            key=lambda permit: (
                in_use.get(permit.server, 0),
                order[permit.server],
                self._usable_until(permit),
            ),
        )
        self._used.add(chosen)
        return by_address[chosen.server]

    def give_back(self, server: BackendServer) -> None:
        """Note that something on this backend server is over.

        Frees the permit that ends first, whichever it was taken for: what still runs is then
        covered by permits that last at least as long as those it was started on.
        """
        used = [permit for permit in self._used if permit.server == server.address]
        if used:
            freed = min(used, key=self._end_of)
            self._used.remove(freed)
            self._finished += 1
            self._set_aside(freed)

    def is_drained(self, seat: str) -> bool:
        """Whether nothing runs on a seat's permits and none of them is lent."""
        now = self._clock.monotonic()
        homes = self._homes()
        busy = itertools.chain(
            (permit for permit in self._used if permit not in self._borrowed),
            (permit for permit, lent in self._lent.items() if lent.until > now),
        )
        return not any(permit in homes and homes[permit].seat == seat for permit in busy)

    def ask(self, lender: str, *, need: float) -> PermitAsk:
        """Compose what is sent to ``lender``; note the time *before* composing it."""
        loans = [
            LoanedPermit(permit, loan.loan)
            for permit, loan in self._borrowed.items()
            if loan.lender == lender
        ]
        return PermitAsk(
            pool=self._pool,
            held=self.held(),
            need=need,
            keep=tuple(loans),
            returned=tuple(self._to_return.pop(lender, ())),
        )

    def held(self) -> int:
        """How many permits this instance has now, those in use among them."""
        return len(self._candidates()) + len(self._used)

    def held_of(self, server: BackendAddress) -> int:
        """How many permits of one backend server this instance has now, used ones included."""
        free = sum(permit.server == server for permit in self._candidates())
        return free + sum(permit.server == server for permit in self._used)

    def collect(self, asker: str, *, most: int) -> Collection:
        """Set permits aside for an asker, now and as they become free, until ``lend``."""
        collection = Collection(asker=asker, wanted=max(0, most))
        idle = self._candidates()
        self._collections.append(collection)
        for permit in idle:
            self._set_aside(permit)
        return collection

    def lend(
        self, ask: PermitAsk, collection: Collection, *, prolong: int, need: float
    ) -> PermitLoan:
        """Answer an ask.

        Args:
            ask: What was asked.
            collection: What was set aside for it.
            prolong: How many loans may be prolonged.
            need: How many permits this instance needs itself.
        """
        self._collections.remove(collection)
        self._claim(ask.returned)
        until = self._clock.monotonic() + self._loan_s
        kept = [loan for loan in ask.keep[:prolong] if self._prolong(loan, until)]
        fresh = []
        for permit in collection.permits:
            if permit in self._borrowed:
                self._stop_using(permit)
            elif self._home_end_of(permit) >= until:
                fresh.append(LoanedPermit(permit, next(self._numbers)))
                self._lent[permit] = _Lent(fresh[-1].loan, until)
        returned = tuple(self._to_return.pop(collection.asker, ()))
        return PermitLoan(self.held(), need, (*kept, *fresh), returned, self._loan_s)

    def receive(self, lender: str, loan: PermitLoan, *, asked_at: float) -> None:
        """Take in a loan.

        Args:
            lender: Who lent.
            loan: The answer.
            asked_at: When the ask was sent, or any earlier moment, by this process's clock.
        """
        # A little less than lent, as for a lease: the clocks' rates may differ.
        until = asked_at + loan.loan_s * LAPSE_PART
        self._claim(loan.returned)
        for permit, number in loan.permits:
            held = self._borrowed.get(permit)
            prolonged = held is not None and (held.lender, held.loan) == (lender, number)
            # An answer that crossed with the loan's return must not bring it back.
            if until > self._clock.monotonic() and (
                prolonged or number > self._newest_loan.get(lender, 0)
            ):
                self._borrowed[permit] = _Borrowed(lender, number, until)
        newest = max((number for _, number in loan.permits), default=0)
        self._newest_loan[lender] = max(newest, self._newest_loan.get(lender, 0))

    def give_up_loans_ending(self, *, by: float) -> None:
        """Return idle loans that end before ``by``: too short to start anything on them."""
        for permit in self._candidates():
            if permit in self._borrowed and self._borrowed[permit].until <= by:
                self._stop_using(permit)

    def to_return(self) -> Mapping[str, Sequence[LoanedPermit]]:
        """Loans that are over, by lender, as long as the lender was not told."""
        return self._to_return

    def _stop_using(self, permit: Permit) -> None:
        loan = self._borrowed.pop(permit)
        self._to_return.setdefault(loan.lender, []).append(LoanedPermit(permit, loan.loan))

    def _set_aside(self, permit: Permit) -> None:
        loan = self._borrowed.get(permit)
        until = self._clock.monotonic() + self._loan_s
        for collection in self._collections:
            if collection.is_full:
                continue
            # To whom it belongs it goes back; to others only one's own is lent.
            suits = (
                loan.lender == collection.asker
                if loan is not None
                else self._home_end_of(permit) >= until
            )
            if suits:
                collection.permits.append(permit)
                return

    def _claim(self, returned: Iterable[LoanedPermit]) -> None:
        for permit, loan in returned:
            lent = self._lent.get(permit)
            # A return that was under way for long may name an earlier loan of the same permit,
            # which is lent again by now.
            if lent is not None and lent.loan == loan:
                del self._lent[permit]

    def _forget_loan(self, permit: Permit) -> None:
        del self._borrowed[permit]
        for collection in self._collections:
            if permit in collection.permits:
                collection.permits.remove(permit)

    def _prolong(self, loan: LoanedPermit, until: float) -> bool:
        lent = self._lent.get(loan.permit)
        if lent is None or lent.loan != loan.loan or lent.until <= self._clock.monotonic():
            return False
        if self._home_end_of(loan.permit) < until:
            return False
        self._lent[loan.permit] = _Lent(loan.loan, until)
        return True

    def _candidates(self) -> list[Permit]:
        """The permits at home here or borrowed on which nothing runs."""
        now = self._clock.monotonic()
        for permit in [each for each, lent in self._lent.items() if lent.until <= now]:
            del self._lent[permit]
        for permit in [each for each, loan in self._borrowed.items() if loan.until <= now]:
            if permit not in self._used:
                self._forget_loan(permit)
        aside = {permit for each in self._collections for permit in each.permits}
        home = [
            permit
            for permit in self._own_permits()
            if permit not in self._lent and permit not in self._borrowed
        ]
        return [
            permit
            for permit in (*self._borrowed, *home)
            if permit not in self._used and permit not in aside and self._usable(permit.server)
        ]

    def _own_permits(self) -> list[Permit]:
        """The permits of the seats of this instance, lent ones among them."""
        homes, seats = self._homes(), tuple(self._seats())
        if homes is not self._own_homes or seats != self._own_seats:
            # Kept, because it is asked for with each request.
            self._own_homes, self._own_seats = homes, seats
            self._own = [permit for permit, place in homes.items() if place.seat in seats]
        return self._own

    def _usable_until(self, permit: Permit) -> float:
        loan = self._borrowed.get(permit)
        return loan.until if loan is not None else self._home_end_of(permit)

    def _home_end_of(self, permit: Permit) -> float:
        place = self._homes().get(permit)
        seat = self._seats().get(place.seat) if place is not None else None
        if place is None or seat is None:
            return -inf
        return seat.spendable_until(in_doubt_part=place.in_doubt_part)

    def _end_of(self, permit: Permit) -> float:
        """When a permit in use ends; no earlier than it was when it was taken."""
        loan = self._borrowed.get(permit)
        if loan is not None:
            return loan.until
        place = self._homes().get(permit)
        seat = self._seats().get(place.seat) if place is not None else None
        if place is not None and place.in_doubt_part and seat is not None and not seat.in_doubt:
            return seat.fresh_until
        return inf

    def _in_use_by_server(self) -> dict[BackendAddress, int]:
        counts: dict[BackendAddress, int] = {}
        for permit in self._used:
            counts[permit.server] = counts.get(permit.server, 0) + 1
        return counts

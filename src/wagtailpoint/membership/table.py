"""The view of one instance: the newest fact on each address, and pending updates."""

import math
from collections.abc import Iterable
from zlib import crc32

from wagtailpoint.membership.change import (
    Change,
    News,
    apply_change,
    extract_change,
    unpack_address,
)
from wagtailpoint.membership.member import Fact, Member, make_member
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock

BUCKET_COUNT = 32
MAX_MEMBERS = 2000


class MemberTable:
    """Merges facts, independently of the order in which they arrive.

    Deaths are not gossiped: each instance declares a member dead itself if a suspicion is not
    refuted in time. Otherwise, after a network partition heals, each side would for a moment
    learn from the other that all its own members are dead.

    Args:
        own: The fact of this instance.
        clock: Measures the age of suspicions and deaths.
        gossip_copies: The maximum number of times that this instance sends an update.
        report_copies: Likewise for an update that does not change the state.
        urgent_load_step: The minimum change of the load that makes an update urgent.
    """

    def __init__(
        self,
        *,
        own: Fact,
        clock: Clock,
        gossip_copies: int,
        report_copies: int | None = None,
        urgent_load_step: float = math.inf,
    ) -> None:
        self._own = own
        self._monotonic = clock.monotonic
        self._gossip_copies = gossip_copies
        self._report_copies = gossip_copies if report_copies is None else report_copies
        self._urgent_load_step = urgent_load_step
        self._facts: dict[str, Fact] = {own.address: own}
        self._suspect_since: dict[str, float] = {}
        self._dead_since: dict[str, float] = {}
        self._remaining_copies: dict[str, int] = {}
        self._urgent: set[str] = set()
        self._new_processes: set[str] = set()
        self._buckets = [0] * BUCKET_COUNT
        self._members: tuple[Member, ...] | None = None
        self._toggle_hash(own)

    @property
    def own(self) -> Fact:
        """The fact of this instance."""
        return self._own

    @property
    def buckets(self) -> tuple[int, ...]:
        """The hash of each bucket of addresses, without dead members."""
        return tuple(self._buckets)

    @property
    def view_hash(self) -> int:
        """A hash of the whole view, without dead members."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    @property
    def has_news(self) -> bool:
        """Whether there are updates still to be gossiped."""
        return bool(self._remaining_copies)

    @property
    def has_urgent_news(self) -> bool:
        """Whether updates other than of epochs and small changes of load are to be gossiped."""
        return bool(self._urgent)

    @property
    def members(self) -> tuple[Member, ...]:
        """All members sorted by address, including this instance and dead ones."""
        if self._members is None:
            self._members = tuple(
                make_member(fact, dead=self.is_dead(address))
                for address, fact in sorted(self._facts.items())
            )
        return self._members

    def fact(self, address: str) -> Fact | None:
        """Return the newest fact on an address; None if there is none."""
        return self._facts.get(address)

    def is_dead(self, address: str) -> bool:
        """Return whether this instance considers the member at an address dead."""
        return address in self._dead_since or self._facts[address].state == "dead"

    def reachable(self) -> list[Fact]:
        """Return the facts of all other members that are not dead."""
        return [
            fact
            for address, fact in self._facts.items()
            if address != self._own.address and not self.is_dead(address)
        ]

    def dead(self) -> list[Fact]:
        """Return the facts of dead members."""
        return [fact for address, fact in self._facts.items() if self.is_dead(address)]

    def publish(self, own: Fact) -> None:
        """Replace the fact of this instance, with a higher sequence."""
        self._own = own._replace(sequence=self._own.sequence + 1, suspect=False)
        self._store(self._own)

    def apply(self, fact: Fact) -> bool:
        """Merge a received fact; return whether it changed the view."""
        if not fact.is_valid:
            log_event("fact-impossible", level="WARNING", address=fact.address, fact=fact)
            return False
        known = self._facts.get(fact.address)
        if fact.address == self._own.address:
            return self._refute(fact)
        if known is None and len(self._facts) >= MAX_MEMBERS:
            return False
        if known is not None and fact.recency <= known.recency:
            return False
        self._store(fact)
        return True

    def apply_news(self, news: News) -> bool:
        """Merge received updates; return whether they changed the view."""
        applied = [self.apply(fact) for fact in news.facts]
        applied += [self._apply_change(change) for change in news.changes]
        return any(applied)

    def suspect(self, fact: Fact) -> None:
        """Mark a member as suspect, unless a newer fact on it has arrived meanwhile."""
        if self._facts.get(fact.address) == fact and not fact.suspect:
            self._store(fact._replace(suspect=True))

    def declare_deaths(self, *, suspicion_s: float) -> list[Fact]:
        """Declare members dead that have not refuted a suspicion for ``suspicion_s`` seconds."""
        cutoff = self._monotonic() - suspicion_s
        newly_dead = [
            self._facts[address]
            for address, since in self._suspect_since.items()
            if since <= cutoff and not self.is_dead(address)
        ]
        for fact in newly_dead:
            self._toggle_hash(fact)
            self._dead_since[fact.address] = self._monotonic()
            self._members = None
        return newly_dead

    def expire_dead(self, *, retention_s: float) -> None:
        """Remove members that have been dead for ``retention_s`` seconds."""
        cutoff = self._monotonic() - retention_s
        for address, since in list(self._dead_since.items()):
            if since <= cutoff:
                self._remove(address)

    def collect_news(self, max_count: int) -> News:
        """Return up to ``max_count`` updates, least often sent first, and count them as sent."""
        addresses = sorted(
            self._remaining_copies, key=lambda address: -self._remaining_copies[address]
        )
        facts: list[Fact] = []
        changes: list[Change] = []
        for address in addresses[:max_count]:
            if address in self._new_processes:
                facts.append(self._facts[address])
            else:
                changes.append(extract_change(self._facts[address]))
            self._count_copy(address)
        return News(tuple(facts), tuple(changes))

    def facts_in_differing_buckets(self, buckets: Iterable[int]) -> list[Fact]:
        """Return the facts in all buckets whose hash differs.

        Members that this instance declared dead are included, marked as suspect.
        """
        differing = {
            index
            for index, (own, other) in enumerate(zip(self._buckets, buckets, strict=False))
            if own != other
        }
        return [
            fact for address, fact in self._facts.items() if _bucket_index(address) in differing
        ]

    def _refute(self, fact: Fact) -> bool:
        # Another instance suspects this one, or still knows the former process at this address.
        # Only a fact with a higher sequence overrides that; without it all instances would
        # consider this one dead.
        is_other_process = fact.incarnation != self._own.incarnation
        if fact.recency <= self._own.recency and not (
            is_other_process and fact.sequence >= self._own.sequence
        ):
            return False
        self._own = self._own._replace(sequence=fact.sequence)
        self.publish(self._own)
        if is_other_process:
            self._new_processes.add(self._own.address)
        return True

    def _apply_change(self, change: Change) -> bool:
        try:
            known = self._facts.get(unpack_address(change.packed_address))
        except ValueError:
            return False
        fact = apply_change(known, change) if known is not None else None
        return fact is not None and self.apply(fact)

    def _count_copy(self, address: str) -> None:
        self._remaining_copies[address] -= 1
        if self._remaining_copies[address] <= 0:
            del self._remaining_copies[address]
            self._urgent.discard(address)
            self._new_processes.discard(address)

    def _store(self, fact: Fact) -> None:
        known = self._facts.get(fact.address)
        if known is not None and not self.is_dead(fact.address):
            self._toggle_hash(known)
        if known is None or known.incarnation != fact.incarnation:
            self._new_processes.add(fact.address)
        self._facts[fact.address] = fact
        self._dead_since.pop(fact.address, None)
        if fact.suspect:
            self._suspect_since.setdefault(fact.address, self._monotonic())
        else:
            self._suspect_since.pop(fact.address, None)
        if fact.state == "dead":
            self._dead_since[fact.address] = self._monotonic()
        else:
            self._toggle_hash(fact)
        if known is None or self._is_urgent(fact, known):
            self._urgent.add(fact.address)
        # An update of the load must not reduce the copies of a leave that is still being gossiped.
        remaining_copies = self._remaining_copies.get(fact.address, 0)
        self._remaining_copies[fact.address] = max(remaining_copies, self._max_copies(fact, known))
        self._members = None

    def _is_urgent(self, fact: Fact, known: Fact) -> bool:
        if abs(fact.load - known.load) >= self._urgent_load_step:
            return True
        return known != fact._replace(sequence=known.sequence, epoch=known.epoch, load=known.load)

    def _max_copies(self, fact: Fact, known: Fact | None) -> int:
        is_same_state = known is not None and (known.incarnation, known.state, known.suspect) == (
            fact.incarnation,
            fact.state,
            fact.suspect,
        )
        return self._report_copies if is_same_state else self._gossip_copies

    def _remove(self, address: str) -> None:
        del self._facts[address]
        self._dead_since.pop(address, None)
        self._suspect_since.pop(address, None)
        self._remaining_copies.pop(address, None)
        self._urgent.discard(address)
        self._new_processes.discard(address)
        self._members = None

    def _toggle_hash(self, fact: Fact) -> None:
        self._buckets[_bucket_index(fact.address)] ^= fact.hash


def _bucket_index(address: str) -> int:
    return crc32(address.encode()) % BUCKET_COUNT

"""An in-memory ``Platform`` that can be down, lose answers, answer stale data and be raced."""

import math
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio
from result import Err, Ok, Result

from tests.common.object_store import MAX_EVENTS, ObjectStore
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld
from wagtailpoint.ports.platform import (
    Conflict,
    ListedInstance,
    Listing,
    Page,
    StoredObject,
    WatchBatch,
)
from wagtailpoint.revision import Revision

WatchAnswer = Result[WatchBatch, WatchTooOld | PlatformUnavailable]


class FakePlatform:
    """The object API in memory.

    Attributes:
        store: The stored objects, for inspection by a test.
        down: Whether every call, and every waiting watch, answers ``PlatformUnavailable``.
        silent: Whether calls that arrive, and watches that wait, are never answered, not even after
            the fault ends.
        lose_answers: The number of next writes that take effect and answer ``OutcomeUnknown``.
        lose_requests: The number of next writes that answer ``OutcomeUnknown`` without effect.
        late_writes: The number of next puts that answer ``OutcomeUnknown`` and take effect, if
            their condition still holds, at ``deliver_late``.
        refuse_calls: The number of next calls that answer ``PlatformUnavailable``.
        writes_of: The kind of objects to which the faults of writes apply; None for every kind.
        before_put: Called before each put, for example to let another operator write first.
        after_put: Called after each put took effect and before its answer.
        scripted_watches: The answers to the next watches, which precede real answers.
        deaf: Whether watches that begin are never answered; other calls are answered.
        stale_reads: What reads that may be stale return; None for the current objects.
        page_size: The number of objects on a page of ``peek``.
        list_delay_s: The delay of the answer to a listing, in seconds.
        listed: The list of instances.
        is_receiving: Whether a long answer is arriving.
        received_at: When a part of a long answer arrived last.
        counts: The number of calls by (method, kind); a waiting watch counts as one call.
    """

    def __init__(self, *, max_events: int = MAX_EVENTS) -> None:
        self.store = ObjectStore(max_events=max_events)
        self.down = False
        self.silent = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.late_writes = 0
        self.refuse_calls = 0
        self.writes_of: str | None = None
        self.before_put: Callable[[str, str], Awaitable[None]] | None = None
        self.after_put: Callable[[str, str], Awaitable[None]] | None = None
        self.scripted_watches: deque[WatchAnswer] = deque()
        self.deaf = False
        self.stale_reads: ObjectStore | None = None
        self.page_size = 50
        self.list_delay_s = 0.0
        self.listed: Sequence[ListedInstance] = ()
        self.is_receiving = False
        self.received_at = -math.inf
        self.counts: Counter[tuple[str, str]] = Counter()
        self._late: list[tuple[str, str, Any, Revision]] = []
        self._stale: ObjectStore | None = None
        self._cuts = 0
        self._changed = trio.Event()

    def answer_stale(self, replica: ObjectStore | None = None) -> None:
        """Answer reads and watches from a copy, by default one of the current objects."""
        self._stale = replica or self.store.copy()

    def answer_fresh(self) -> None:
        """Answer reads and watches from the current objects again."""
        self._stale = None
        self._wake()

    def deliver_late(self) -> None:
        """Apply the late writes."""
        for write in self._late:
            self.store.put(*write)
        self._late.clear()
        self._wake()

    def set_down(self, down: bool) -> None:
        """Take the platform down or up, ending waiting watches."""
        self.down = down
        self._wake()

    def set_silent(self, silent: bool) -> None:
        """Stop or resume answering; watches that wait at this time are never answered."""
        self.silent = silent
        self._wake()

    def cut_watches(self) -> None:
        """End all watches that wait; watches that are never answered are not ended."""
        self._cuts += 1
        self._wake()

    async def peek(self, *, kind: str, after: str) -> Result[Page, PlatformUnavailable]:
        """Return a page of ``page_size`` objects; implements ``PeekingStore``."""
        refusal = await self._arrive("CHECK", kind)
        if refusal:
            return Err(refusal)
        store = self.stale_reads or self._readable
        found = [each for each in store.list(kind) if each.name > after]
        page = found[: self.page_size]
        last = page[-1].name if len(page) < len(found) else None
        return Ok(Page(store.version, page, after, last))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    @property
    def _readable(self) -> ObjectStore:
        return self._stale or self.store

    async def _arrive(self, method: str, kind: str) -> PlatformUnavailable | None:
        self.counts[method, kind] += 1
        await trio.lowlevel.checkpoint()
        if self.silent:
            await trio.sleep_forever()
        if self.refuse_calls > 0:
            self.refuse_calls -= 1
            return PlatformUnavailable("refused by the fake")
        return PlatformUnavailable("the fake is down") if self.down else None

    async def get(
        self, *, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        refusal = await self._arrive("GET", kind)
        return Err(refusal) if refusal else Ok(self._readable.get(kind, name))

    async def list(
        self, *, kind: str, may_be_stale: bool = False
    ) -> Result[Listing, PlatformUnavailable]:
        refusal = await self._arrive("LIST-STALE" if may_be_stale else "LIST", kind)
        if refusal:
            return Err(refusal)
        store = (may_be_stale and self.stale_reads) or self._readable
        listing = Listing(store.version, store.list(kind))
        await trio.sleep(self.list_delay_s)
        return Ok(listing)

    async def put(
        self, *, kind: str, name: str, value: Any, if_version: Revision
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
        if self.before_put is not None:
            await self.before_put(kind, name)
        refusal = await self._arrive("PUT", kind)
        if refusal:
            return Err(refusal)
        if self._take("lose_requests", kind):
            return Err(OutcomeUnknown("the fake lost the request"))
        if self._take("late_writes", kind):
            self._late.append((kind, name, value, if_version))
            return Err(OutcomeUnknown("the fake delays the request"))
        outcome = self.store.put(kind, name, value, if_version)
        self._wake()
        answer_is_lost = self._take("lose_answers", kind)
        if self.after_put is not None:
            await self.after_put(kind, name)
        if answer_is_lost:
            return Err(OutcomeUnknown("the fake lost the answer"))
        return Err(outcome) if isinstance(outcome, Conflict) else Ok(outcome)

    async def delete(
        self, *, kind: str, name: str, if_version: Revision
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        refusal = await self._arrive("DELETE", kind)
        if refusal:
            return Err(refusal)
        if self._take("lose_requests", kind):
            return Err(OutcomeUnknown("the fake lost the request"))
        conflict = self.store.delete(kind, name, if_version)
        self._wake()
        if self._take("lose_answers", kind):
            return Err(OutcomeUnknown("the fake lost the answer"))
        return Err(conflict) if conflict else Ok(None)

    def _take(self, fault: str, kind: str) -> bool:
        left: int = getattr(self, fault)
        if left == 0 or self.writes_of not in (None, kind):
            return False
        setattr(self, fault, left - 1)
        return True

    async def watch(
        self, *, kinds: Sequence[str], from_version: Revision, wait_s: float
    ) -> WatchAnswer:
        refusal = await self._arrive("WATCH", ",".join(kinds))
        if refusal:
            return Err(refusal)
        if self.deaf:
            await trio.sleep_forever()
        if self.scripted_watches:
            return self.scripted_watches.popleft()
        cuts = self._cuts
        with trio.move_on_after(wait_s):
            while not self.down and self._cuts == cuts:
                batch = self._readable.events_since(kinds, from_version)
                if batch is None:
                    return Err(WatchTooOld(f"no events since {from_version}"))
                if batch.events:
                    return Ok(batch)
                await self._changed.wait()
                if self.silent:
                    await trio.sleep_forever()
            return Err(PlatformUnavailable("the fake is down or has cut the watch"))
        era = self._readable.version.era
        return Ok(WatchBatch(Revision(era, from_version.number), []))

    async def instances(self) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        refusal = await self._arrive("GET", "instances")
        return Err(refusal) if refusal else Ok(self.listed)

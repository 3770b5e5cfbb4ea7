"""Reads the store periodically while watches or retries wait for its answer."""

import math
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

import trio
from result import Ok, Result

from wagtailpoint.discovery.answer_wait import Receiver, wait_for_answer
from wagtailpoint.errors import PlatformUnavailable
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import Page

CHECK_INTERVAL_S: Final = 0.4
CHECK_TIMEOUT_S: Final = 0.8
"""The store answers in 4 ms, and 60 to 80 times slower when it is failing."""

MAX_LINK_FRACTION: Final = 0.05
"""Maximum fraction of the instance's link that the pages of one kind take. Pages come with the
contents of the objects, though only names and versions are compared."""

BYTES_PER_MBIT: Final = 125_000


class PeekingStore(Receiver, Protocol):
    """A store that can be read cheaply."""

    async def peek(self, *, kind: str, after: str) -> Result[Page, PlatformUnavailable]:
        """Read a page of a kind's objects, from a name on; the page may be some seconds old.

        The values of the objects may be left out.
        """
        ...


class _KindCursor:
    """A kind that is read page by page, and the name that its next page follows."""

    def __init__(self, *, check_page: Callable[[Page], None]) -> None:
        self.check_page = check_page
        self.after = ""
        self.due_at = -math.inf


class StoreCheck:
    """Detects that the store, or only a watch, has stopped answering.

    A failing store may accept a watch and never answer it, even after it has recovered: the
    connection stays open, and the operating system answers its keep-alive probes. A watch of 20 s
    then misses every change in that time, although the store has recovered. So a watch is given up
    as soon as another call gets no answer. If no other call fell into the failure, the missed
    changes are detected by comparing the pages that other calls read.

    A follower that has lost the store waits here for its return. A call that may be answered with
    stale data costs a tenth of a watch, and one call serves all kinds.

    Nothing is read while a long answer arrives, which shows that the store answers.
    """

    def __init__(self, *, store: PeekingStore, random: Random, link_mbps: float = math.inf) -> None:
        """Initialise the check without any kind to read.

        Args:
            store: The store to read.
            random: Source of the jitter.
            link_mbps: Capacity of the instance's link, in Mbit/s.
        """
        self._bytes_per_s = MAX_LINK_FRACTION * BYTES_PER_MBIT * link_mbps
        self._store = store
        self._random = random
        self._kinds: dict[str, _KindCursor] = {}
        self._waiting = 0
        self._failed = trio.Event()
        self._answered = trio.Event()
        self._answering = True

    def add_kind(self, kind: str, check_page: Callable[[Page], None]) -> None:
        """Add a kind, which is read in turn with the others.

        Args:
            kind: The kind of object.
            check_page: Called with each page, after the time in which a watch should have delivered
                the page's changes.
        """
        self._kinds[kind] = _KindCursor(check_page=check_page)

    async def wait_failed(self) -> None:
        """Wait until a call gets no answer; the store is called only while a task waits."""
        await self._wait(self._failed)

    async def wait_answering(self) -> None:
        """Wait until the store answers a call; the store is called only while a task waits."""
        await self._wait(self._answered)

    async def _wait(self, event: trio.Event) -> None:
        self._waiting += 1
        try:
            await event.wait()
        finally:
            self._waiting -= 1

    async def run(self) -> None:
        """Read the store until cancelled.

        Raises:
            ValueError: No kind was added.
        """
        if not self._kinds:
            raise ValueError("kinds: given none, expected at least one, added by `add_kind`")
        while True:
            for name, kind in list(self._kinds.items()):
                page = await self._peek(name, kind) if self._is_due(kind) else None
                # An event may arrive some time after a page that shows its change.
                await trio.sleep(CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))
                if page is not None:
                    kind.check_page(page)

    def _is_due(self, kind: _KindCursor) -> bool:
        if not self._waiting or self._store.is_receiving:
            return False
        return trio.current_time() >= kind.due_at

    async def _peek(self, name: str, kind: _KindCursor) -> Page | None:
        async def peek() -> Result[Page, PlatformUnavailable]:
            return await self._store.peek(kind=name, after=kind.after)

        peeked = await wait_for_answer(peek, store=self._store, timeout_s=CHECK_TIMEOUT_S)
        answering = isinstance(peeked, Ok)
        self._record_answer(answering)
        if not isinstance(peeked, Ok):
            return None
        page = peeked.ok_value
        kind.after = page.last or ""
        kind.due_at = trio.current_time() + page.received_bytes / self._bytes_per_s
        return page

    def _record_answer(self, answering: bool) -> None:
        if answering:
            self._answered.set()
            self._answered = trio.Event()
        else:
            self._failed.set()
            self._failed = trio.Event()
        if answering != self._answering:
            log_event("store-check", level="INFO" if answering else "WARNING", answers=answering)
        self._answering = answering

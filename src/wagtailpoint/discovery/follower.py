"""Follows all objects of one kind in the store, or through peers while it can't be reached."""

import math
from collections.abc import Callable, Mapping
from random import Random

import trio
from result import Err, Result

from wagtailpoint.discovery.history import KindChanges
from wagtailpoint.discovery.kind_objects import KindObjects
from wagtailpoint.discovery.kind_state import (
    CarriedOver,
    KindState,
    PeerState,
    PeerStates,
    state_from_listing,
)
from wagtailpoint.discovery.store_check import StoreCheck
from wagtailpoint.discovery.store_contact import StoreContact
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.errors import PlatformUnavailable, WatchTooOld
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import Page, Platform, StoredObject, WatchBatch
from wagtailpoint.revision import NO_REVISION, Revision

WATCH_WAIT_S = 20.0
"""Longer waits cost fewer calls; keep-alive probes detect a connection that has gone silent."""

BATCH_DELAY_S = 0.25
"""Delay between an answer with events and the next watch, so that later events share one answer.
Backend servers that start or leave one after the other cause a burst of events, and each answer to
a watch is a priced call. An event after a quiet time is not delayed."""

RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 3.0
"""A failed call is retried once after the shorter delay, since single answers get lost; after that,
when the store answers a cheaper call, or after the longer delay in case only the cheaper call is
refused. Refused calls are priced, too."""

MAX_RETURN_DELAY_S = 0.3
"""Maximum delay of the listing after a return of the store."""

PEER_POLL_INTERVAL_S = 0.5
"""Interval of the questions to a peer while the store can't be reached."""


class KindFollower:
    """Keeps the objects of one kind up to date.

    During an outage of the store backend servers can't renew their entries, so the entries expire
    although the backend servers live. Removing them at once would take every backend server out of
    use at the same moment. An object whose removal is learned during an outage or just after it is
    therefore kept until ``REMOVAL_GRACE_S`` after the store's return.

    If only this instance can't reach the store, nothing expires: the state of a peer that reaches
    the store is applied at once, and so are removals learned when this instance reaches it again.

    When the store has returned to a copy, a watch from before the return would miss changes with
    numbers that were given out again, so the objects are listed anew.
    """

    def __init__(
        self,
        *,
        kind: str,
        platform: Platform,
        peers: PeerStates,
        check: StoreCheck,
        era: StoreEra,
        on_change: Callable[[], None],
        random: Random,
        can_expire: bool = False,
        carry_s: float = math.inf,
        is_checked: bool = True,
        watching: bool = True,
    ) -> None:
        """Initialise a follower without any state.

        Args:
            kind: The kind of object.
            platform: The store.
            peers: Asked while the store can't be reached.
            check: Detects a watch that will not be answered.
            era: The newest era of the store.
            on_change: Called after every change of ``objects``; must not block.
            random: Source of the jitter.
            can_expire: Whether objects of this kind are removed when they are not renewed.
            carry_s: How long what was known before a return of the store is believed without news.
            is_checked: Whether to compare the objects with cheap reads, in turn with other kinds.
            watching: Whether to watch the store after the first listing; else peers send changes.
        """
        self._kind = kind
        self._platform = platform
        self._peers = peers
        self._check = check
        self._era = era
        self._random = random
        self._objects = KindObjects(
            kind=kind, can_expire=can_expire, carry_s=carry_s, on_change=on_change
        )
        self._contact = StoreContact(kind=kind)
        self._can_expire = can_expire
        self._watching = trio.Event()
        self._watch_given_up = trio.Event()
        self._has_missed_change = False
        self.is_watching = watching
        era.on_return(self._give_up_watch)
        if is_checked:
            check.add_kind(kind, self._check_page)

    @property
    def kind(self) -> str:
        """The kind of object."""
        return self._kind

    @property
    def objects(self) -> Mapping[str, StoredObject]:
        """The objects by name, as they are believed."""
        return self._objects.objects

    @property
    def state(self) -> KindState:
        """The state of the store, and what is believed from before a return."""
        return self._objects.state

    @property
    def version(self) -> Revision:
        """The version of the state."""
        return self._objects.version

    @property
    def carried(self) -> Mapping[str, CarriedOver]:
        """What is believed from before a return of the store, by name."""
        return self._objects.carried

    @property
    def has_state(self) -> bool:
        """Whether any state of the store is known."""
        return self.version > NO_REVISION

    @property
    def lost_for_s(self) -> float:
        """How long the store has been unreachable, in seconds; 0 while it can be reached."""
        return self._contact.lost_for_s

    @property
    def is_watching(self) -> bool:
        """Whether this instance watches the store, instead of receiving changes from peers."""
        return self._watching.is_set()

    @is_watching.setter
    def is_watching(self, is_watching: bool) -> None:
        if is_watching == self._watching.is_set():
            return
        if is_watching:
            self._watch_given_up = trio.Event()
            self._watching.set()
        else:
            # A watch that waits is cancelled: while it waits, other calls have to check that the
            # store still answers, which soon costs more than another watch.
            self._watching = trio.Event()
            self._watch_given_up.set()

    @property
    def is_settled(self) -> bool:
        """Whether the store is reachable and its state is known, since its last return, too."""
        is_current = self.has_state and self.version.era == self._era.number
        return is_current and not self._contact.is_lost

    def changes_since(self, version: Revision, *, known_for_s: float = 0.0) -> KindChanges | None:
        """Return what ``ChangeHistory.changes_since`` does for this state."""
        return self._objects.changes_since(version, known_for_s=known_for_s)

    def apply_changes(self, changes: KindChanges) -> None:
        """Apply changes received from a peer that watches the store."""
        self.record_era(changes.version)
        if changes.version <= self.version:
            return
        self._doubt_removals_of_return(changes.version)
        self._objects.apply_changes(changes)

    def record_era(self, version: Revision) -> None:
        """Record that a peer knows a version, which may be of an era that is news here."""
        self._era.record(version.era, source="peer")

    def _check_page(self, page: Page) -> None:
        """List again if the watch has missed a change; a new watch might miss it, too."""
        self._era.record(page.version.era, source="store")
        if not self.is_watching or not self.is_settled or page.version <= self.version:
            return
        if self._objects.has_held_removals or not self._trusts_removals():
            return
        if page.version.era != self.version.era or self._objects.shows_same(page):
            return
        log_event(
            "watch-missed",
            level="WARNING",
            kind=self._kind,
            version=page.version,
            known=self.version,
        )
        self._has_missed_change = True
        self._give_up_watch()

    def _give_up_watch(self) -> None:
        """Give up the watch that waits, after which it is decided whether to list."""
        if self.is_watching or not self.has_state:
            given_up, self._watch_given_up = self._watch_given_up, trio.Event()
            given_up.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_peers)
            nursery.start_soon(
                self._objects.end_beliefs,
                lambda: not self._contact.is_lost and self._contact.trusts_removals,
            )
            await self._follow()

    async def _follow(self) -> None:
        failures = 0
        must_list = True
        while True:
            if self.has_state:
                await self._watching.wait()
            # A return, or a missed change, may have been noticed while nothing was awaited.
            must_list, self._has_missed_change = must_list or self._has_missed_change, False
            if self.has_state and self.version.era < self._era.number:
                must_list = True
                # Many instances notice the return at the same time.
                await trio.sleep(self._random.uniform(0.0, MAX_RETURN_DELAY_S))
            failure = await self._list() if must_list else await self._watch()
            if failure is None:
                failures = 0
                must_list = False
                continue
            if isinstance(failure, WatchTooOld):
                log_event("history-gone", kind=self._kind, version=self.version)
                must_list = True
                continue
            # A peer's state is as good as a listing, so the watch continues from its version.
            must_list = not self.has_state
            self._contact.record_lost(failure)
            failures += 1
            await trio.sleep(RETRY_DELAY_S * self._random.uniform(0.7, 1.3))
            if failures > 1:
                with trio.move_on_after(MAX_RETRY_DELAY_S):
                    await self._check.wait_answering()

    async def _list(self) -> PlatformUnavailable | None:
        # At the start a stale listing suffices: the watch, or a watching peer, adds what it lacks.
        listing = await self._platform.list(kind=self._kind, may_be_stale=not self.has_state)
        if isinstance(listing, Err):
            return listing.err_value
        self._contact.record_reached()
        found = listing.ok_value
        self._era.record(found.version.era, source="store")
        if found.version < self.version:
            # A peer sent a newer state while the answer was on its way, or the read was stale.
            log_event(
                "listing-outdated", kind=self._kind, version=found.version, known=self.version
            )
            # The next watch is probably refused, too.
            await trio.sleep(RETRY_DELAY_S * self._random.uniform(0.7, 1.3))
            return None
        self._doubt_removals_of_return(found.version)
        self._objects.apply_state(
            state_from_listing(found), trusts_removals=self._trusts_removals()
        )
        return None

    async def _watch(self) -> WatchTooOld | PlatformUnavailable | None:
        start_version = self.version
        batch = await self._watch_with_check(start_version)
        if batch is None:
            return None
        if isinstance(batch, Err):
            return batch.err_value
        self._contact.record_reached()
        events, version = batch.ok_value.events, batch.ok_value.version
        self._era.record(version.era, source="store")
        if version.era != start_version.era:
            return WatchTooOld(f"the store has returned to a copy: {version}")
        # A peer may have sent a newer state meanwhile. The events that it includes change nothing
        # when they are applied again, if the later ones follow; without later ones they would undo.
        if version > self.version or self.version == start_version:
            self._objects.apply_batch(
                batch.ok_value, start_version, trusts_removals=self._trusts_removals()
            )
        if events:
            await trio.sleep(BATCH_DELAY_S)
        return None

    async def _watch_with_check(
        self, version: Revision
    ) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable] | None:
        """Watch until events arrive or the store stops answering; return None if cancelled."""
        # No waiting after a failure: a failing store might not answer this call either.
        wait_s = WATCH_WAIT_S if not self._contact.is_lost else 0.0
        batch: Result[WatchBatch, WatchTooOld | PlatformUnavailable] | None = None
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal batch
                batch = await self._platform.watch(
                    kinds=[self._kind], from_version=version, wait_s=wait_s
                )
                nursery.cancel_scope.cancel()

            async def check() -> None:
                nonlocal batch
                await self._check.wait_failed()
                error = "another call got no answer while a watch waited"
                batch = Err(PlatformUnavailable(error))
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            nursery.start_soon(check)
            await self._watch_given_up.wait()
            nursery.cancel_scope.cancel()
        return batch

    def _trusts_removals(self) -> bool:
        return not self._can_expire or self._contact.trusts_removals

    def _doubt_removals_of_return(self, version: Revision) -> None:
        """Doubt removals if a version is the first one of an era that this instance applies."""
        if self.has_state and version.era > self.version.era:
            self._contact.doubt_removals()

    async def _poll_peers(self) -> None:
        while True:
            await self._contact.wait_lost()
            asked_at = trio.current_time()
            peer_state = await self._peers.ask(self._kind, self.version)
            if peer_state is not None and self._contact.is_lost:
                self._apply_peer_state(peer_state, asked_at)
            await trio.sleep(PEER_POLL_INTERVAL_S * self._random.uniform(0.7, 1.3))

    def _apply_peer_state(self, peer_state: PeerState, asked_at: float) -> None:
        if peer_state.reaches_store:
            self._contact.record_reached_by_peer(asked_at)
        newer = peer_state.newer
        if newer is None or newer.version <= self.version:
            return
        self.record_era(newer.version)
        log_event(
            "state-from-peer",
            kind=self._kind,
            version=newer.version,
            before=self.version,
            peer_reaches_store=peer_state.reaches_store,
        )
        self._doubt_removals_of_return(newer.version)
        # The peer keeps objects whose removal it holds back, so what it lacks was removed.
        self._objects.apply_state(newer, trusts_removals=True)

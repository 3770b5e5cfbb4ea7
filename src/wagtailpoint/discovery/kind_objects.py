"""The objects of one kind as this instance believes them, from the store and from other instances.

A removal may be held back for some time, since objects expire while the store can't be reached.
When the store returns to a copy, what it had confirmed before and lost stays in force until it has
news of the object.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Final

import trio

from wagtailpoint.discovery.carried_objects import Carried, CarriedObjects
from wagtailpoint.discovery.history import ChangeHistory, KindChanges
from wagtailpoint.discovery.kind_state import CarriedOver, KindState
from wagtailpoint.discovery.past_objects import PastObjects
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import Page, StoredObject, WatchBatch
from wagtailpoint.revision import NO_REVISION, Revision

REMOVAL_GRACE_S: Final = 2.0
"""Removals are applied only this long after the store's return: an object that expired during the
outage is written again within this time if its backend server lives."""


class KindObjects:
    """Applies what the store and other instances tell of one kind."""

    def __init__(
        self,
        *,
        kind: str,
        can_expire: bool,
        carry_s: float,
        on_change: Callable[[], None],
    ) -> None:
        """Initialise without any state.

        Args:
            kind: The kind of object.
            can_expire: Whether objects are removed when they are not renewed.
            carry_s: How long what was known before a return is believed without news of the store.
            on_change: Called after every change; must not block.
        """
        self._kind = kind
        self._can_expire = can_expire
        self._carry_s = carry_s
        self._on_change = on_change
        self._version = NO_REVISION
        self._stored: dict[str, StoredObject] = {}
        self._held_removals: dict[str, float] = {}
        self._carried = CarriedObjects()
        self._past = PastObjects()
        self._history = ChangeHistory(kind=kind, now=trio.current_time)
        self._has_due = trio.Event()

    @property
    def version(self) -> Revision:
        """The store's version of the state; ``NO_REVISION`` if none is known."""
        return self._version

    @property
    def objects(self) -> Mapping[str, StoredObject]:
        """The believed objects by name."""
        return self._carried.over(self._stored)

    @property
    def has_held_removals(self) -> bool:
        """Whether any removal is held back."""
        return bool(self._held_removals)

    @property
    def carried(self) -> Mapping[str, CarriedOver]:
        """What is believed of objects instead of what the store has, by name."""
        found = {}
        for name, carried in self._carried.items():
            copy = self._stored.get(name)
            found[name] = CarriedOver(carried.stored, copy.version.number if copy else 0)
        return found

    @property
    def state(self) -> KindState:
        """The state of the store, and what is carried over."""
        return KindState(self._version, self._stored, self.carried)

    def shows_same(self, page: Page) -> bool:
        """Return whether a page of the store has the objects that are known of it."""
        return page.shows_same(self._stored.values())

    def changes_since(self, version: Revision, *, known_for_s: float) -> KindChanges | None:
        """Return what ``ChangeHistory.changes_since`` does for this state."""
        changes = self._history.changes_since(
            version, self._version, self._stored, known_for_s=known_for_s
        )
        if changes is None:
            return None
        if changes.whole:
            return changes._replace(
                held=tuple(self._held_removals), carried=tuple(self.carried.items())
            )
        held = [name for name in changes.removed if name in self._held_removals]
        removed = [name for name in changes.removed if name not in self._held_removals]
        return changes._replace(removed=removed, held=held)

    def apply_batch(self, batch: WatchBatch, before: Revision, *, trusts_removals: bool) -> None:
        """Apply the events of a watch that began at the version ``before`` of the same era."""
        for event in batch.events:
            if event.action == "delete":
                self._remove(event.stored.name, is_trusted=trusts_removals)
            else:
                self._put(event.stored)
        self._version = max(self._version, batch.version)
        self._history.record(before=before, after=self._version, events=batch.events)
        if batch.events:
            self._on_change()

    def apply_changes(self, changes: KindChanges) -> None:
        """Apply newer changes that another instance has sent."""
        objects = {
            name: StoredObject(self._kind, name, version, value)
            for name, version, value in changes.objects
        }
        if changes.whole:
            state = KindState(changes.version, objects, dict(changes.carried))
            self.apply_state(state, trusts_removals=True)
            self._hold_removals(changes.held)
            return
        if changes.version.era != self._version.era:
            # They lead from a state that this instance does not have.
            return
        for name in changes.removed:
            self._remove(name, is_trusted=True)
        self._hold_removals(changes.held)
        for stored in objects.values():
            self._put(stored)
        self._history.record_changes(changes, before=self._version)
        self._version = changes.version
        if changes.removed or changes.held or objects:
            self._on_change()

    def apply_state(self, state: KindState, *, trusts_removals: bool) -> None:
        """Apply a whole state that is not older than the known one."""
        if self._version != NO_REVISION and state.version.era > self._version.era:
            self._begin_era(state)
        else:
            for name in list(self._stored):
                if name not in state.objects:
                    self._remove(name, is_trusted=trusts_removals)
            for stored in state.objects.values():
                self._put(stored)
        self._version = state.version
        self._history.clear()
        for name, carried in state.carried.items():
            self._adopt(name, carried)
        self._on_change()

    def _begin_era(self, state: KindState) -> None:
        """Replace the state by that of a new era, and keep what its copy of the store lacks."""
        known = dict(self.objects)
        carried_before = {name for name, _ in self._carried.items()}
        found = state.objects
        now = trio.current_time()
        copied_up_to = self._copied_up_to(known, found)
        self._stored = dict(found)
        self._held_removals.clear()
        self._carried.clear()
        for name in known.keys() | found.keys():
            before, copy = known.get(name), found.get(name)
            if copy is None:
                assert before is not None
                was_copied = name not in carried_before and before.version.number <= copied_up_to
                if self._can_expire:
                    self._stored[name] = before
                    self._hold_removal(name)
                elif not was_copied:
                    self._carry(name, before)
            elif before is not None and _is_same(before, copy):
                continue
            elif self._past.contains(copy):
                self._carry(name, before)
            if before is not None:
                self._past.record(before, now)
        log_event(
            "era-begins",
            level="WARNING",
            kind=self._kind,
            version=state.version,
            before=self._version,
            kept=sum(each.stored is not None for each in self.carried.values()),
            undone=sum(each.stored is None for each in self.carried.values()),
            held=len(self._held_removals),
        )

    def _copied_up_to(
        self, known: Mapping[str, StoredObject], found: Mapping[str, StoredObject]
    ) -> int:
        """Return a number that the copy includes: the highest of an object from before."""
        return max(
            (
                copy.version.number
                for name, copy in found.items()
                if self._past.contains(copy) or _is_same(known.get(name), copy)
            ),
            default=0,
        )

    def _adopt(self, name: str, carried: CarriedOver) -> None:
        """Carry an object over as another instance does, unless there is news of it here."""
        copy = self._stored.get(name)
        own = self._carried.get(name)
        if carried.copy_number != (copy.version.number if copy is not None else 0):
            return
        if carried.stored is None:
            if copy is not None and own is None:
                self._carry(name, None)
            return
        if self._past.contains(carried.stored):
            return
        if own is None or (own.stored is not None and own.stored.version < carried.stored.version):
            self._carry(name, carried.stored)

    async def end_beliefs(self, is_removal_trusted: Callable[[], bool]) -> None:
        """End held removals and what is carried over when their times have come, until cancelled.

        Args:
            is_removal_trusted: Whether the store has been back for long enough.
        """
        while True:
            if not self._held_removals and not len(self._carried):
                self._has_due = trio.Event()
                await self._has_due.wait()
            await trio.sleep(REMOVAL_GRACE_S / 20)
            now = trio.current_time()
            gone = [
                name
                for name, since in self._held_removals.items()
                if is_removal_trusted() and now - since > REMOVAL_GRACE_S
            ]
            for name in gone:
                self._remove(name, is_trusted=True)
                log_event("removal-believed", kind=self._kind, name=name)
            expired = self._carried.expired(now)
            for name in expired:
                self._carried.drop(name)
                log_event("carried-over-ends", kind=self._kind, name=name)
            if gone or expired:
                self._on_change()

    def _carry(self, name: str, stored: StoredObject | None) -> None:
        self._carried.set(name, Carried(stored, trio.current_time() + self._carry_s))
        self._has_due.set()

    def _put(self, stored: StoredObject) -> None:
        self._held_removals.pop(stored.name, None)
        known = self._stored.get(stored.name)
        if known is not None and known.version != stored.version:
            self._past.record(known, trio.current_time())
        if known is None or known.version != stored.version:
            self._carried.drop(stored.name)
        self._stored[stored.name] = stored

    def _remove(self, name: str, *, is_trusted: bool) -> None:
        if name not in self._stored:
            return
        if not is_trusted:
            self._hold_removal(name)
            return
        self._past.record(self._stored.pop(name), trio.current_time())
        self._held_removals.pop(name, None)
        self._carried.drop(name)

    def _hold_removals(self, names: Iterable[str]) -> None:
        for name in names:
            if name in self._stored:
                self._hold_removal(name)

    def _hold_removal(self, name: str) -> None:
        self._held_removals.setdefault(name, trio.current_time())
        self._has_due.set()
        log_event("removal-doubted", kind=self._kind, name=name)


def _is_same(known: StoredObject | None, copy: StoredObject) -> bool:
    """Return whether an object of the copy is the one known from before the return."""
    if known is None:
        return False
    return known.version.number == copy.version.number and known.value == copy.value

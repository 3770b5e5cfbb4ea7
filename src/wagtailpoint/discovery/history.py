"""The latest changes of a kind of object, for instances that have an older state."""

import math
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

from wagtailpoint.discovery.kind_state import CarriedOver
from wagtailpoint.ports.platform import StoredObject, WatchEvent
from wagtailpoint.revision import Revision

MAX_BATCHES: Final = 64
"""Number of batches kept. An instance asks once a second, and at most four batches arrive in a
second; an instance that was suspended for longer is sent the whole state."""


class KindChanges(NamedTuple):
    """The changes from an older state of a kind to a newer one; travels between instances.

    Attributes:
        kind: The kind of object.
        version: The store's version of the newer state.
        whole: Whether ``objects`` is the whole state; all other objects were removed.
        objects: Name, version and value of each object that changed.
        removed: Names of the objects that were removed.
        held: Names of objects that the store lacks, and whose removal the sender holds back.
        carried: With a whole state, what is believed from before a return of the store, by name.
    """

    kind: str
    version: Revision
    whole: bool
    objects: Sequence[tuple[str, Revision, Any]]
    removed: Sequence[str]
    held: Sequence[str] = ()
    carried: Sequence[tuple[str, CarriedOver]] = ()


class _Batch(NamedTuple):
    """Events that led from one version to another, and when they were recorded."""

    before: Revision
    after: Revision
    events: Sequence[WatchEvent]
    recorded_at: float


class ChangeHistory:
    """Keeps the latest batches of events, without gaps between their versions."""

    def __init__(self, *, kind: str, now: Callable[[], float]) -> None:
        """Initialise an empty history.

        Args:
            kind: The kind of object.
            now: Returns the current time in seconds.
        """
        self._kind = kind
        self._now = now
        self._batches: deque[_Batch] = deque(maxlen=MAX_BATCHES)
        self._cleared_at = -math.inf

    def record(self, *, before: Revision, after: Revision, events: Sequence[WatchEvent]) -> None:
        """Record the events that led from version ``before`` to ``after``.

        They may begin earlier than the last batch ends, since a peer may have sent some of them.
        """
        if self._batches and self._batches[-1].after < before:
            self.clear()
        self._batches.append(_Batch(before, after, tuple(events), self._now()))

    def record_changes(self, changes: KindChanges, *, before: Revision) -> None:
        """Record the changes that a peer has sent, which led from version ``before`` on."""
        put = [StoredObject(changes.kind, *stored) for stored in changes.objects]
        names = (*changes.removed, *changes.held)
        gone = [StoredObject(changes.kind, name, changes.version, None) for name in names]
        events = [WatchEvent("put", stored) for stored in put]
        events += [WatchEvent("delete", stored) for stored in gone]
        self.record(before=before, after=changes.version, events=events)

    def clear(self) -> None:
        """Discard all batches: the state was replaced, and the events in between are unknown."""
        self._batches.clear()
        self._cleared_at = self._now()

    def newer_since(self, version: Revision) -> float:
        """Return when the first change after ``version`` was recorded.

        Of a change that is in no batch any more this is the time of the last ``clear``.
        """
        if not self._batches or version < self._batches[0].before:
            return self._cleared_at
        return next(
            (batch.recorded_at for batch in self._batches if batch.after > version), math.inf
        )

    def changes_since(
        self,
        version: Revision,
        newest: Revision,
        objects: Mapping[str, StoredObject],
        *,
        known_for_s: float = 0.0,
    ) -> KindChanges | None:
        """Return the changes from ``version`` to ``newest``; None if nothing is newer.

        ``version`` need not be the end of a batch: the state at ``version`` was made from the same
        events, in batches of another watch, and applying an event again changes nothing if all
        events after it are applied, too.

        Args:
            version: The version of the older state.
            newest: The version of the newest state.
            objects: All objects of the newest state, by name.
            known_for_s: Nothing is returned until the first of the changes has been known for this
                many seconds.
        """
        if version >= newest:
            return None
        if known_for_s and self._now() < self.newer_since(version) + known_for_s:
            return None
        if not self._batches or version < self._batches[0].before:
            known = [(stored.name, stored.version, stored.value) for stored in objects.values()]
            return KindChanges(self._kind, newest, True, known, ())
        put: dict[str, StoredObject] = {}
        removed: set[str] = set()
        for batch in self._batches:
            for event in batch.events if batch.after > version else ():
                _apply_event(event, put, removed)
        changed = [(stored.name, stored.version, stored.value) for stored in put.values()]
        return KindChanges(self._kind, newest, False, changed, sorted(removed))


def _apply_event(event: WatchEvent, put: dict[str, StoredObject], removed: set[str]) -> None:
    name = event.stored.name
    if event.action == "delete":
        put.pop(name, None)
        removed.add(name)
    else:
        put[name] = event.stored
        removed.discard(name)

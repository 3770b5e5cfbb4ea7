"""The object store of both platform stand-ins: the process and the in-memory fake."""

import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Literal, NamedTuple

from wagtailpoint.ports.platform import Conflict, StoredObject, WatchBatch, WatchEvent

MAX_EVENTS = 1000


class _Record(NamedTuple):
    """A change and its time."""

    time_s: float
    event: WatchEvent


class ObjectStore:
    """Objects with one store-wide version counter and a bounded history of events."""

    def __init__(
        self,
        *,
        max_events: int = MAX_EVENTS,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._history: deque[_Record] = deque()
        self._max_events = max_events
        self._monotonic = monotonic
        self._last_discarded_version = 0
        self._version = 0

    @property
    def version(self) -> int:
        """The version of the last write."""
        return self._version

    def copy(self) -> "ObjectStore":
        """Return an independent copy, which serves as a lagging replica."""
        copy = ObjectStore(max_events=self._max_events, monotonic=self._monotonic)
        copy._objects = dict(self._objects)
        copy._history = deque(self._history)
        copy._last_discarded_version = self._last_discarded_version
        copy._version = self._version
        return copy

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        return self._objects.get((kind, name))

    def list(self, kind: str) -> Sequence[StoredObject]:
        """Return all objects of a kind, sorted by name."""
        return [self._objects[key] for key in sorted(self._objects) if key[0] == kind]

    def put(self, kind: str, name: str, value: Any, if_version: int) -> StoredObject | Conflict:
        """Write an object if it is at ``if_version``; 0 means that it must not exist."""
        current = self.get(kind, name)
        if (current.version if current else 0) != if_version:
            return Conflict(current)
        self._version += 1
        stored = StoredObject(kind, name, self._version, value)
        self._objects[kind, name] = stored
        self._append_event("put", stored)
        return stored

    def delete(self, kind: str, name: str, if_version: int) -> Conflict | None:
        """Delete an object if it is at ``if_version``."""
        current = self.get(kind, name)
        if current is None or current.version != if_version:
            return Conflict(current)
        self._version += 1
        del self._objects[kind, name]
        self._append_event("delete", current._replace(version=self._version))
        return None

    def forget_events(self) -> None:
        """Discard the whole history."""
        self._history.clear()
        self._last_discarded_version = self._version

    def _append_event(self, action: Literal["put", "delete"], stored: StoredObject) -> None:
        self._history.append(_Record(self._monotonic(), WatchEvent(action, stored)))
        if len(self._history) > self._max_events:
            self._last_discarded_version = self._history.popleft().event.stored.version

    def events_since(
        self, kinds: Sequence[str], from_version: int, *, lag_s: float = 0.0
    ) -> WatchBatch | None:
        """Return the events after ``from_version`` that are at least ``lag_s`` seconds old.

        Returns None if the history does not reach back to ``from_version``, or if that version
        does not exist yet.
        """
        if from_version < self._last_discarded_version or from_version > self._version:
            return None
        visible_until_s = self._monotonic() - lag_s
        visible = [
            record.event
            for record in self._history
            if record.event.stored.version > from_version and record.time_s <= visible_until_s
        ]
        version = visible[-1].stored.version if visible else from_version
        return WatchBatch(version, [event for event in visible if event.stored.kind in kinds])

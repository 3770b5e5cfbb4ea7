"""The last changes of a kind of object, for those who know an older state."""

from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from wagtailpoint.ports.platform import StoredObject, WatchEvent

MAX_BATCHES: Final = 64
"""Batches that are remembered. Whoever asks does so once a second, and there are at most four in a
second; an instance that was frozen for longer is told the whole state."""


class KindChanges(NamedTuple):
    """What leads from an older state of a kind to a newer one; travels between instances.

    Attributes:
        kind: The kind.
        version: The store's version of the newer state.
        whole: ``objects`` are all there are; whatever else is known is gone.
        objects: Name, version and value of each object that changed.
        removed: The names of those that are gone.
    """

    kind: str
    version: int
    whole: bool
    objects: Sequence[tuple[str, int, Any]]
    removed: Sequence[str]


class _Batch(NamedTuple):
    """Events that led from one version to another."""

    before: int
    after: int
    events: Sequence[WatchEvent]


class ChangeHistory:
    """The last batches of events, without gaps."""

    def __init__(self, *, kind: str) -> None:
        self._kind = kind
        self._batches: deque[_Batch] = deque(maxlen=MAX_BATCHES)

    def record(self, *, before: int, after: int, events: Sequence[WatchEvent]) -> None:
        """Remember events that led from version ``before`` to ``after``."""
        if self._batches and self._batches[-1].after != before:
            self.clear()
        self._batches.append(_Batch(before, after, tuple(events)))

    def clear(self) -> None:
        """Forget all: the state was replaced, and what lies between is not known."""
        self._batches.clear()

    def changes_since(
        self, version: int, newest: int, objects: Mapping[str, StoredObject]
    ) -> KindChanges | None:
        """What leads from ``version`` to ``newest``, the state with these objects; None if nothing.

        The versions need not be those of a batch here: the state at ``version`` was made from the
        same events, in batches of another watch, and applying an event again changes nothing as
        long as all that follow it are applied too.
        """
        if version >= newest:
            return None
        if not self._batches or version < self._batches[0].before:
            known = [(each.name, each.version, each.value) for each in objects.values()]
            return KindChanges(self._kind, newest, True, known, ())
        put: dict[str, StoredObject] = {}
        removed: set[str] = set()
        for batch in self._batches:
            for event in batch.events if batch.after > version else ():
                _apply_event(event, put, removed)
        changed = [(each.name, each.version, each.value) for each in put.values()]
        return KindChanges(self._kind, newest, False, changed, sorted(removed))


def _apply_event(event: WatchEvent, put: dict[str, StoredObject], removed: set[str]) -> None:
    name = event.stored.name
    if event.action == "delete":
        put.pop(name, None)
        removed.add(name)
    else:
        put[name] = event.stored
        removed.discard(name)

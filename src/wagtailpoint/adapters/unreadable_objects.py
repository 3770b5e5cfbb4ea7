"""Counts and logs the objects of a store that can't be read."""

from collections import OrderedDict
from typing import Final

from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.revision import Revision

MAX_REMEMBERED: Final = 1024
"""Number of objects of which it is remembered that they were counted, about 200 bytes each."""

MAX_NAME_CHARACTERS: Final = 100


class UnreadableObjects:
    """Counts and logs each object that can't be read, once for each of its revisions.

    An object stays in the store until its writer changes it, and is read several times a second.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        """Initialise without objects.

        Args:
            metrics: Counts the objects by kind.
        """
        self._metrics = metrics
        self._counted: OrderedDict[tuple[str, str], Revision | int] = OrderedDict()

    def record(self, kind: str, name: str, revision: Revision | int, reason: str) -> None:
        """Record an object that can't be read.

        Args:
            kind: The kind of object.
            name: The name; empty if it can't be read either.
            revision: The revision; of an object without a name, a hash of its content.
            reason: Why it can't be read.
        """
        if self._counted.get((kind, name)) == revision:
            return
        self._counted[kind, name] = revision
        self._counted.move_to_end((kind, name))
        if len(self._counted) > MAX_REMEMBERED:
            self._counted.popitem(last=False)
        self._metrics.count(f"store.unreadable.{kind}")
        log_event(
            "object-unreadable",
            level="WARNING",
            kind=kind,
            name=name[:MAX_NAME_CHARACTERS],
            revision=revision,
            error=reason,
        )

"""The platform's object API: versioned objects, conditional writes and watches."""

from collections.abc import Iterable, Sequence
from typing import Any, Literal, NamedTuple, Protocol

from result import Result

from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld
from wagtailpoint.revision import NO_REVISION, Revision

ABSENT = NO_REVISION
"""The version of an object that does not exist, for a conditional create."""


class StoredObject(NamedTuple):
    """An object of the platform.

    Attributes:
        kind: The kind, for example ``config-head``.
        name: The name, unique within the kind.
        version: The store's revision after the write that created this content; never ``ABSENT``.
        value: Any JSON value under one megabyte.
    """

    kind: str
    name: str
    version: Revision
    value: Any


class Conflict(NamedTuple):
    """A conditional write that was refused because the object has another version.

    Attributes:
        current: The current object; None if it doesn't exist.
    """

    current: StoredObject | None


class WatchEvent(NamedTuple):
    """A change reported by a watch.

    Attributes:
        action: The kind of change.
        stored: The object after a ``put``, or with its last value after a ``delete``.
    """

    action: Literal["put", "delete"]
    stored: StoredObject


class WatchBatch(NamedTuple):
    """The answer to one watch call.

    Attributes:
        version: The version from which to continue the watch.
        events: The changes in order; empty if there were none within the wait.
    """

    version: Revision
    events: Sequence[WatchEvent]


class Listing(NamedTuple):
    """All objects of a kind.

    Attributes:
        version: The store-wide version of the listing, from which to start a watch.
        objects: The objects, by name.
    """

    version: Revision
    objects: Sequence[StoredObject]


class Page(NamedTuple):
    """The objects of a kind in a range of names.

    Attributes:
        version: The store-wide version of the page.
        objects: The objects, by name.
        after: The exclusive lower bound of the range of names.
        last: The inclusive upper bound of the range; None if it is unbounded.
        received_bytes: The length of the answer that contained the page; 0 if unknown.
    """

    version: Revision
    objects: Sequence[StoredObject]
    after: str
    last: str | None
    received_bytes: int = 0

    def covers(self, name: str) -> bool:
        """Return whether a name is in the page's range."""
        return name > self.after and (self.last is None or name <= self.last)

    def shows_same(self, known: Iterable[StoredObject]) -> bool:
        """Return whether the known objects in the page's range are those of the page."""
        versions = {stored.name: stored.version for stored in known if self.covers(stored.name)}
        return versions == {stored.name: stored.version for stored in self.objects}


class ListedInstance(NamedTuple):
    """An entry of the platform's list of instances, which lags and is only a hint."""

    address: str
    failure_domain: str
    state: Literal["live", "leaving"]


class Platform(Protocol):
    """The object API. Any call may fail, and a write may fail after it has taken effect."""

    async def get(
        self, *, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        """Read an object; None if it doesn't exist."""
        ...

    async def list(
        self, *, kind: str, may_be_stale: bool = False
    ) -> Result[Listing, PlatformUnavailable]:
        """Read all objects of a kind.

        Args:
            kind: The kind.
            may_be_stale: Whether to accept a cheaper listing that is a few seconds old, if the
                store has one. A watch from the listing's version returns all later changes.
        """
        ...

    async def put(
        self, *, kind: str, name: str, value: Any, if_version: Revision
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Write an object if its version is ``if_version`` (``ABSENT``: if it doesn't exist)."""
        ...

    async def delete(
        self, *, kind: str, name: str, if_version: Revision
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Delete an object if its version is ``if_version``."""
        ...

    async def watch(
        self, *, kinds: Sequence[str], from_version: Revision, wait_s: float
    ) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable]:
        """Wait up to ``wait_s`` seconds for changes after ``from_version``."""
        ...

    async def instances(self) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        """Read the platform's list of live and leaving instances."""
        ...

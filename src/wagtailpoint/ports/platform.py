"""The platform's object API as wagtailpoint sees it: versions, conditional updates, watches."""

from collections.abc import Sequence
from typing import Any, Literal, NamedTuple, Protocol

from result import Result

from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld

ABSENT = 0
"""The version of an object that does not exist, for a conditional create."""


class StoredObject(NamedTuple):
    """One object of the platform.

    Attributes:
        kind: The kind, for example ``config-head``.
        name: The name, unique within the kind.
        version: The store-wide number of the write that made this content; never 0.
        value: Any JSON value under one megabyte.
    """

    kind: str
    name: str
    version: int
    value: Any


class Conflict(NamedTuple):
    """A conditional write that was refused: the object is not at the version it expected.

    Attributes:
        current: The object as it is now, or None if it does not exist.
    """

    current: StoredObject | None


class WatchEvent(NamedTuple):
    """One change seen by a watch.

    Attributes:
        action: What happened; for a ``delete`` the stored object carries the last value.
        stored: The object after a ``put``.
    """

    action: Literal["put", "delete"]
    stored: StoredObject


class WatchBatch(NamedTuple):
    """What one waiting watch answered.

    Attributes:
        version: Watch again from here.
        events: The changes in order, empty when the wait passed without any.
    """

    version: int
    events: Sequence[WatchEvent]


class Listing(NamedTuple):
    """All objects of a kind.

    Attributes:
        version: Store-wide version at which the listing was made; watch from here.
        objects: The objects, by name.
    """

    version: int
    objects: Sequence[StoredObject]


class Page(NamedTuple):
    """The objects of a kind in a range of names.

    Attributes:
        version: Store-wide version at which the page was made.
        objects: The objects, by name.
        after: The names in the range are greater than this.
        last: The greatest name in the range; None if it has no end.
    """

    version: int
    objects: Sequence[StoredObject]
    after: str
    last: str | None

    def covers(self, name: str) -> bool:
        """Whether an object of that name would be on the page."""
        return name > self.after and (self.last is None or name <= self.last)


class ListedInstance(NamedTuple):
    """One line of the platform's list of instances. The list lags: it is a hint."""

    address: str
    failure_domain: str
    state: Literal["live", "leaving"]


class Platform(Protocol):
    """The object API. Every call may fail, and a write may fail after it has taken effect."""

    async def get(
        self, *, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        """Read one object; None if there is none."""
        ...

    async def list(
        self, *, kind: str, may_be_stale: bool = False
    ) -> Result[Listing, PlatformUnavailable]:
        """Read all objects of a kind.

        Args:
            kind: The kind.
            may_be_stale: A state of some seconds ago will do, if the store has one that costs less.
                The listing's version is that of the state: a watch from there tells the rest.
        """
        ...

    async def put(
        self, *, kind: str, name: str, value: Any, if_version: int
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Write an object if it is at ``if_version`` (``ABSENT``: if it does not exist)."""
        ...

    async def delete(
        self, *, kind: str, name: str, if_version: int
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Delete an object if it is at ``if_version``."""
        ...

    async def watch(
        self, *, kinds: Sequence[str], from_version: int, wait_s: float
    ) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable]:
        """Wait up to ``wait_s`` seconds for changes after ``from_version``."""
        ...

    async def instances(self) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        """Read the platform's list of live and leaving instances."""
        ...

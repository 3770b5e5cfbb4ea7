"""All objects of a kind at a version of the store, and the interface that asks peers for them."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple, Protocol

from wagtailpoint.ports.platform import Listing, StoredObject
from wagtailpoint.revision import Revision


class CarriedOver(NamedTuple):
    """What is believed of one object instead of what a copy of the store has.

    Attributes:
        stored: The object from before the store returned to the copy; None if it was removed.
        copy_number: The number of the copy's object; 0 if the copy has none.
    """

    stored: StoredObject | None
    copy_number: int


class KindState(NamedTuple):
    """All objects of a kind at a version of the store.

    Attributes:
        version: The store's version; ``NO_REVISION`` if no state is known.
        objects: The objects of the store, by name.
        carried: What is believed of objects from before a return of the store, by name.
    """

    version: Revision
    objects: Mapping[str, StoredObject]
    carried: Mapping[str, CarriedOver] = MappingProxyType({})


class PeerState(NamedTuple):
    """A peer's answer about a kind.

    Attributes:
        reaches_store: Whether the peer itself reaches the store.
        newer: The peer's state; None unless it is newer than the version in the question.
    """

    reaches_store: bool
    newer: KindState | None


class PeerStates(Protocol):
    """Gives access to the states that other instances know."""

    async def ask(self, kind: str, newer_than: Revision) -> PeerState | None:
        """Ask a peer for a newer state of a kind; None if the peer does not answer."""
        ...


def state_from_listing(listing: Listing) -> KindState:
    """Return the state in a listing of the store."""
    return KindState(listing.version, {stored.name: stored for stored in listing.objects})

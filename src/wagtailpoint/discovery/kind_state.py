"""All objects of a kind at a version of the store, and what peers say of them."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from wagtailpoint.ports.platform import Listing, StoredObject


class KindState(NamedTuple):
    """All objects of a kind at a version of the store.

    Attributes:
        version: The store's version; 0 if nothing is known.
        objects: By name.
    """

    version: int
    objects: Mapping[str, StoredObject]


class PeerState(NamedTuple):
    """What a peer says of a kind.

    Attributes:
        reaches_store: The peer itself reaches the store.
        newer: Its state, if that is newer than the one asked about.
    """

    reaches_store: bool
    newer: KindState | None


class PeerStates(Protocol):
    """What other instances know of a kind."""

    async def ask(self, kind: str, newer_than: int) -> PeerState | None:
        """Ask a peer; None if it does not answer."""
        ...


def state_from_listing(listing: Listing) -> KindState:
    """The state that a listing of the store tells."""
    return KindState(listing.version, {each.name: each for each in listing.objects})

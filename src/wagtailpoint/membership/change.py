"""News on a member without what never changes while its process lives: a quarter of the bytes."""

from functools import lru_cache
from ipaddress import ip_address
from typing import NamedTuple, get_args

from wagtailpoint.membership.member import Fact, MemberState

_STATES: tuple[MemberState, ...] = get_args(MemberState)
_TAG_MASK = 0xFFFF


class Change(NamedTuple):
    """The changeable part of a fact.

    Attributes:
        packed_address: The address in binary.
        tag: The lowest bits of the incarnation; who knows another one under this address ignores
            the change, and compares views instead.
        sequence: As in the fact.
        epoch: As in the fact.
        state: The index of the state.
        suspect: As in the fact.
        config_version: As in the fact.
        load_percent: The load in hundredths.
    """

    packed_address: bytes
    tag: int
    sequence: int
    epoch: int
    state: int
    suspect: bool
    config_version: int
    load_percent: int


class News(NamedTuple):
    """What is told on in one message: whole facts on new processes, else only changes."""

    facts: tuple[Fact, ...]
    changes: tuple[Change, ...]


@lru_cache(maxsize=4096)
def pack_address(address: str) -> bytes:
    """Return an address in binary."""
    return ip_address(address).packed


@lru_cache(maxsize=4096)
def unpack_address(packed: bytes) -> str:
    """Return an address as text.

    Raises:
        ValueError: It is no IP number.
    """
    return str(ip_address(packed))


def extract_change(fact: Fact) -> Change:
    """Return the changeable part of a fact."""
    return Change(
        packed_address=pack_address(fact.address),
        tag=fact.incarnation & _TAG_MASK,
        sequence=fact.sequence,
        epoch=fact.epoch,
        state=_STATES.index(fact.state),
        suspect=fact.suspect,
        config_version=fact.config_version,
        load_percent=round(fact.load * 100),
    )


def apply_change(known: Fact, change: Change) -> Fact | None:
    """Return the fact that a change makes of the known one; None if it is about another process."""
    if change.tag != known.incarnation & _TAG_MASK or not 0 <= change.state < len(_STATES):
        return None
    return known._replace(
        sequence=change.sequence,
        epoch=change.epoch,
        state=_STATES[change.state],
        suspect=change.suspect,
        config_version=change.config_version,
        load=change.load_percent / 100,
    )

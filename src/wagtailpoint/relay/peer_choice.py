"""Chooses the instances through which a connection to a backend server is opened."""

from collections.abc import Collection, Iterable, Iterator
from random import Random

from wagtailpoint.lookup.entry_choice import OVERLOADED_LOAD
from wagtailpoint.membership.member import Member


def order_relays(
    members: Iterable[Member],
    *,
    failure_domain: str,
    region: str,
    avoided: Collection[str],
    may_leave_region: bool,
    random: Random,
) -> list[Member]:
    """Return the instances that may relay, the best first.

    All are in the region of the backend server if one is, and one in its failure domain adds no
    bytes between failure domains. The second is of another failure domain if there is one: all
    instances of a failure domain may be cut off.

    Args:
        members: The other instances.
        failure_domain: The failure domain of the backend server.
        region: The region of the backend server.
        avoided: Addresses of instances that failed to relay of late.
        may_leave_region: Whether instances of other regions may relay if none of this one can.
            Requests with home regions must not pass them.
        random: Spreads connections over equal instances.
    """
    everywhere = [
        member
        for member in members
        if member.is_serving and not member.is_isolated and member.address not in avoided
    ]
    usable = [member for member in everywhere if member.region == region]
    if not usable and may_leave_region:
        usable = everywhere
    usable.sort(
        key=lambda member: (
            member.load >= OVERLOADED_LOAD,
            member.failure_domain != failure_domain,
            random.random() / member.capacity,
        )
    )
    return list(_alternate_domains(usable))


def _alternate_domains(members: list[Member]) -> Iterator[Member]:
    if not members:
        return
    first = members[0]
    second = next(
        (member for member in members if member.failure_domain != first.failure_domain), None
    )
    yield first
    if second is not None:
        yield second
    yield from (member for member in members if member is not first and member is not second)

"""Where each permit is at home."""

from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from wagtailpoint.config.model import BackendServer
from wagtailpoint.ports.backend import BackendAddress

DOUBT_EVERY: Final = 8
"""One permit in so many belongs to the doubt part of its seat."""


class Permit(NamedTuple):
    """One slot of one backend server.

    Attributes:
        address: Where the backend server listens.
        port: Where the backend server listens.
        slot: Which of its slots, from 0.
    """

    address: str
    port: int
    slot: int

    @property
    def server(self) -> BackendAddress:
        """The backend server."""
        return BackendAddress(self.address, self.port)


class HomePermit(NamedTuple):
    """Where a permit is at home.

    Attributes:
        seat: The seat's name.
        in_doubt_part: Who took the seat from somebody who may still run, may use it; its former
            holder may not, once its lease has ended.
    """

    seat: str
    in_doubt_part: bool


def home_permits(
    servers: Iterable[BackendServer], seats: Sequence[str]
) -> dict[Permit, HomePermit]:
    """Spread the slots of backend servers over seats, the same way in every instance.

    Args:
        servers: The backend servers of one pool; none of them in another pool too.
        seats: The names of all seats, in the order of ``seat_names``.
    """
    ordered = sorted(set(servers), key=lambda server: server.address)
    most_slots = max((server.slots for server in ordered), default=0)
    # Each round of slots starts elsewhere. Otherwise a seat would have all slots of a few backend
    # servers, and its holder would lose most of them at once when one of these dies.
    step = max(1, len(seats) // max(1, most_slots))
    permits = []
    for slot in range(most_slots):
        start = slot * step % len(ordered)
        for server in (*ordered[start:], *ordered[:start]):
            if slot < server.slots:
                permits.append(Permit(server.address.address, server.address.port, slot))
    homes = {}
    for number, permit in enumerate(permits):
        place, seat = divmod(number, len(seats))
        # Shifted from seat to seat, so that small seats too lose one in eight on the whole.
        homes[permit] = HomePermit(seats[seat], (place + seat) % DOUBT_EVERY == 0)
    return homes

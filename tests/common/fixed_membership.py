"""A membership with a fixed set of live instances in one region."""

from wagtailpoint.membership.member import Member
from wagtailpoint.ports.peers import PeerAddress


class FixedMembership:
    """Stands in for ``Membership``: all instances of one region, always live."""

    def __init__(self, *, addresses: list[PeerAddress], own: PeerAddress) -> None:
        self._members = tuple(
            Member(
                address=peer.address,
                port=80,
                peer_port=peer.port,
                region="a",
                failure_domain="a-1",
                incarnation=peer.incarnation,
                epoch=1,
                state="live",
                suspect=False,
                config_version=1,
                load=0.0,
            )
            for peer in addresses
        )
        self.own = next(member for member in self._members if member.address == own.address)

    def members(self) -> tuple[Member, ...]:
        return self._members

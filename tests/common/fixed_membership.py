"""A membership that knows all instances of one region from the start."""

from wagtailpoint.membership.member import Member
from wagtailpoint.ports.peers import PeerAddress


class FixedMembership:
    """All instances of one region, alive, as all of them see it."""

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
        self.own = next(each for each in self._members if each.address == own.address)

    def members(self) -> tuple[Member, ...]:
        return self._members

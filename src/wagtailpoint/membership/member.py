"""What is known of one instance."""

from hashlib import blake2b
from typing import Final, Literal, NamedTuple

from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.rendezvous import rendezvous_score

MemberState = Literal["starting", "live", "leaving", "dead"]

MAX_CAPACITY: Final = 10_000.0
"""In processor cores; no instance has more."""


class Fact(NamedTuple):
    """What an instance says of itself, and whether others doubt that it lives.

    Attributes:
        address: Its IP number; names the instance.
        port: Where it hears callers.
        peer_port: Where it hears its peers.
        region: Its region.
        failure_domain: Its failure domain.
        incarnation: Random at the start of its process.
        sequence: Rises with each change of what it says. Starts at the wall clock, and above
            whatever a former process at this address had said.
        epoch: The epoch of its binding.
        state: ``dead`` here is its own farewell; a death noticed by others is never told on.
        suspect: Somebody got no answer from it.
        config_version: The configuration that it enforces; 0 before the first.
        load: 0 (idle) to 1.
        capacity: How much it can do beside others; never changes while its process lives.
    """

    address: str
    port: int
    peer_port: int
    region: str
    failure_domain: str
    incarnation: int
    sequence: int
    epoch: int = 0
    state: MemberState = "starting"
    suspect: bool = False
    config_version: int = 0
    load: float = 0.0
    capacity: float = 1.0

    @property
    def recency(self) -> tuple[int, int, bool]:
        """Of two facts on the same address, the greater is the newer one."""
        return (self.sequence, self.incarnation, self.suspect)

    @property
    def is_valid(self) -> bool:
        """Whether its figures can be true; others would spoil every decision made by them."""
        return 0.0 <= self.load <= 1.0 and 0.0 < self.capacity <= MAX_CAPACITY

    @property
    def peer_address(self) -> PeerAddress:
        """Where to send it messages."""
        return PeerAddress(self.address, self.peer_port, self.incarnation)

    @property
    def hash(self) -> int:
        """64 bits that differ, in all likelihood, when the facts do."""
        text = f"{self.address} {self.incarnation} {self.sequence} {self.suspect}"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Member(NamedTuple):
    """An instance as this instance sees it.

    Attributes:
        address: Its IP number.
        port: Where it hears callers.
        peer_port: Where it hears its peers.
        region: Its region.
        failure_domain: Its failure domain.
        incarnation: Random at the start of its process.
        epoch: The epoch of its binding.
        state: ``dead`` when it said farewell or was not heard of for too long.
        suspect: It may be dead; nobody has heard from it since somebody asked.
        config_version: The configuration that it enforces; 0 before the first.
        load: 0 (idle) to 1, coarse and late.
        capacity: How much it can do beside others.
    """

    address: str
    port: int
    peer_port: int
    region: str
    failure_domain: str
    incarnation: int
    epoch: int
    state: MemberState
    suspect: bool
    config_version: int
    load: float
    capacity: float = 1.0

    @property
    def is_serving(self) -> bool:
        """Whether it takes requests, and nobody doubts that it lives."""
        return self.state == "live" and not self.suspect

    @property
    def peer_address(self) -> PeerAddress:
        """Where to send it messages."""
        return PeerAddress(self.address, self.peer_port, self.incarnation)


def capacity_sort_key(member: Member, purpose: str) -> tuple[float, int]:
    """Orders members: the most capable first, equal ones by a hash for the purpose."""
    return (-member.capacity, rendezvous_score(purpose, member.address))


def make_member(fact: Fact, *, dead: bool) -> Member:
    """Combine what an instance said with this instance's own conclusion."""
    return Member(
        address=fact.address,
        port=fact.port,
        peer_port=fact.peer_port,
        region=fact.region,
        failure_domain=fact.failure_domain,
        incarnation=fact.incarnation,
        epoch=fact.epoch,
        state="dead" if dead else fact.state,
        suspect=fact.suspect,
        config_version=fact.config_version,
        load=fact.load,
        capacity=fact.capacity,
    )

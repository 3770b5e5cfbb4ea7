"""The state of one instance, as it reports it and as other instances see it."""

from hashlib import blake2b
from typing import Final, Literal, NamedTuple

from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.rendezvous import rendezvous_score

MemberState = Literal["starting", "live", "leaving", "dead", "isolated"]
"""``isolated`` is a live instance that reaches backend servers only through other instances."""

MAX_CAPACITY: Final = 10_000.0
"""In processor cores; larger than any instance has, so greater values are invalid."""


class Fact(NamedTuple):
    """The state that an instance reports of itself, and whether it is suspected to be dead.

    Attributes:
        address: Its IP address, which identifies the instance.
        port: The port on which it accepts callers.
        peer_port: The port on which it accepts its peers.
        region: Its region.
        failure_domain: Its failure domain.
        incarnation: A random number that identifies its process.
        sequence: Increases with each change of the fact. Starts at the wall clock in milliseconds,
            and is raised above the sequence of a former process at this address.
        epoch: The epoch of its binding.
        state: ``dead`` only if the instance itself announced its exit; deaths concluded by other
            instances are not gossiped.
        suspect: Whether a probe of it failed.
        config_version: The configuration that it enforces; 0 before the first.
        load: 0 (idle) to 1.
        capacity: Its capacity relative to other instances; constant while its process lives.
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
        """The sort key of facts on the same address: the newer fact has the greater one."""
        return (self.sequence, self.incarnation, self.suspect)

    @property
    def is_valid(self) -> bool:
        """Whether load and capacity are in range; others would distort decisions based on them."""
        return 0.0 <= self.load <= 1.0 and 0.0 < self.capacity <= MAX_CAPACITY

    @property
    def peer_address(self) -> PeerAddress:
        """The address for messages to this process."""
        return PeerAddress(self.address, self.peer_port, self.incarnation)

    @property
    def hash(self) -> int:
        """A 64-bit hash; facts that differ have different hashes with high probability."""
        text = f"{self.address} {self.incarnation} {self.sequence} {self.suspect}"
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Member(NamedTuple):
    """An instance as this instance sees it.

    Attributes:
        address: Its IP address.
        port: The port on which it accepts callers.
        peer_port: The port on which it accepts its peers.
        region: Its region.
        failure_domain: Its failure domain.
        incarnation: A random number that identifies its process.
        epoch: The epoch of its binding.
        state: ``dead`` if it announced its exit or did not refute a suspicion in time.
        suspect: Whether it may be dead: a probe failed, and it has not refuted that since.
        config_version: The configuration that it enforces; 0 before the first.
        load: 0 (idle) to 1; published in coarse steps and with delay.
        capacity: Its capacity relative to other instances.
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
        """Whether it accepts requests and is not suspected to be dead."""
        return self.state in ("live", "isolated") and not self.suspect

    @property
    def is_isolated(self) -> bool:
        """Whether it reaches backend servers only through other instances."""
        return self.state == "isolated"

    @property
    def peer_address(self) -> PeerAddress:
        """The address for messages to this process."""
        return PeerAddress(self.address, self.peer_port, self.incarnation)


def capacity_sort_key(member: Member, purpose: str) -> tuple[float, int]:
    """Return a sort key: greatest capacity first, ties broken by a hash for the purpose."""
    return (-member.capacity, rendezvous_score(purpose, member.address))


def make_member(fact: Fact, *, dead: bool) -> Member:
    """Return a member from its fact and from whether this instance considers it dead."""
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

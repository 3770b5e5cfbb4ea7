"""The messages of the membership protocol."""

from typing import NamedTuple

from wagtailpoint.membership.change import News
from wagtailpoint.membership.member import Fact
from wagtailpoint.ports.peers import register_message


class Ping(NamedTuple):
    """Probes an instance: asks whether it is alive.

    Attributes:
        news: The sender's own state, the receiver's state as the sender sees it if it suspects
            the receiver to be dead, and other updates.
        view_hash: The hash of the sender's view.
    """

    news: News
    view_hash: int


class Ack(NamedTuple):
    """The answer to a ``Ping``."""

    news: News
    view_hash: int


class IndirectPing(NamedTuple):
    """Asks an instance to ping another one that did not answer the sender's ping."""

    address: str
    peer_port: int
    incarnation: int


class IndirectPingResult(NamedTuple):
    """Whether the target of an ``IndirectPing`` answered."""

    answered: bool


class Gossip(NamedTuple):
    """Updates on members, sent apart from probes."""

    news: News


class SyncRequest(NamedTuple):
    """Requests the facts in all buckets whose hash differs from the sender's.

    Attributes:
        own: The fact of the sender itself.
        buckets: The hash of each bucket of addresses in the sender's view.
    """

    own: Fact
    buckets: tuple[int, ...]


class SyncReply(NamedTuple):
    """The facts in the buckets that differ, up to the limit of one message.

    Attributes:
        facts: The facts in those buckets.
        buckets: The hash of each bucket of addresses in the replier's view.
        complete: Whether ``facts`` holds all facts of those buckets.
    """

    facts: tuple[Fact, ...]
    buckets: tuple[int, ...]
    complete: bool


register_message("member-ping", Ping)
register_message("member-ack", Ack)
register_message("member-ping-for", IndirectPing)
register_message("member-ping-for-result", IndirectPingResult)
register_message("member-gossip", Gossip)
register_message("member-sync", SyncRequest)
register_message("member-sync-reply", SyncReply)

"""The messages of the membership."""

from typing import NamedTuple

from wagtailpoint.membership.change import News
from wagtailpoint.membership.member import Fact
from wagtailpoint.ports.peers import register_message


class Ping(NamedTuple):
    """Asks an instance whether it lives.

    Attributes:
        news: The sender's own state, what the sender believes of the one asked if it doubts that
            it lives, and news.
        view_hash: The hash of the sender's view.
    """

    news: News
    view_hash: int


class Ack(NamedTuple):
    """The answer to a ``Ping``."""

    news: News
    view_hash: int


class IndirectPing(NamedTuple):
    """Asks an instance to ping another one that the sender gets no answer from."""

    address: str
    peer_port: int
    incarnation: int


class IndirectPingResult(NamedTuple):
    """Whether the other one answered."""

    answered: bool


class Gossip(NamedTuple):
    """News, sent on at once."""

    news: News


class SyncRequest(NamedTuple):
    """Asks for the facts in all buckets whose hash differs from the sender's.

    Attributes:
        own: The sender's fact.
        buckets: The hashes of the sender's view, by bucket of addresses.
    """

    own: Fact
    buckets: tuple[int, ...]


class SyncReply(NamedTuple):
    """The facts in the buckets that differ, or as many as go into a message.

    Attributes:
        facts: The facts.
        buckets: The hashes of the replier's view.
        complete: False if there were more.
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

"""Exchange of stated limits between instances: news at once, and comparisons with peers."""

from collections.abc import Sequence
from hashlib import blake2b
from random import Random
from typing import Final, NamedTuple

import trio
from result import Ok

from wagtailpoint.limits.stated_limit import StatedLimit, StatedLimits
from wagtailpoint.membership import Membership
from wagtailpoint.ports.peers import PeerAddress, Peers, Received, register_message

NEWS_INTERVAL_S: Final = 0.1
"""Minimum interval of the news to all others. When many backend servers begin to state limits at
the same time, each instance sends a few messages for all of them."""

COMPARE_INTERVAL_S: Final = 1.0
"""Interval of the comparisons with a peer, which bring news to instances that have started, or were
cut off, since it was sent. Instances that know no statement compare only when they start, and with
peers that turn out to know one."""

FIRST_COMPARE_INTERVAL_S: Final = 0.1
"""Interval of the attempts of an instance that has not compared with any peer yet."""

COMPARE_TIMEOUT_S: Final = 0.5


class LimitNews(NamedTuple):
    """States limits.

    Attributes:
        limits: The newest statements that the sender knows.
    """

    limits: Sequence[StatedLimit]


class LimitQuestion(NamedTuple):
    """Asks for all statements if they differ from those of the asking instance.

    Attributes:
        digest: The digest of the statements that the asking instance knows.
    """

    digest: str


register_message("limit-news", LimitNews)
register_message("limit-question", LimitQuestion)

NO_NEWS: Final = LimitNews(())


class LimitExchange:
    """Tells the other instances what backend servers state to this one, and learns from them."""

    def __init__(
        self, *, limits: StatedLimits, peers: Peers, membership: Membership, random: Random
    ) -> None:
        """Initialise the exchange, and make it the announcer of the limits.

        Args:
            limits: The statements that this instance knows.
            peers: Links to the other instances.
            membership: The known instances.
            random: Chooses the peers to compare with.
        """
        self._limits = limits
        self._peers = peers
        self._membership = membership
        self._random = random
        self._news: set[str] = set()
        self._has_news = trio.Event()
        self._differing_peer: PeerAddress | None = None
        self._may_differ = trio.Event()
        peers.handle(LimitNews, self._on_news)
        peers.handle(LimitQuestion, self._on_question)
        limits.announce_to(self)

    def announce(self, server: str) -> None:
        """Send what is known of a backend server to all other instances."""
        self._news.add(server)
        self._has_news.set()
        self._may_differ.set()

    async def run(self) -> None:
        """Send news, and compare with peers, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_news)
            nursery.start_soon(self._compare)

    async def _send_news(self) -> None:
        while True:
            await self._has_news.wait()
            self._has_news = trio.Event()
            servers, self._news = self._news, set()
            known = [self._limits.statement(server) for server in sorted(servers)]
            news = LimitNews([limit for limit in known if limit is not None])
            if news.limits:
                for peer in self._membership.others():
                    self._peers.send(peer, news)
            await trio.sleep(NEWS_INTERVAL_S)

    async def _compare(self) -> None:
        has_compared = False
        while True:
            if has_compared and not self._limits.has_any and self._differing_peer is None:
                self._may_differ = trio.Event()
                await self._may_differ.wait()
            peer = self._choose_peer()
            if peer is not None:
                question = LimitQuestion(self._digest())
                answered = await self._peers.request(peer, question, timeout_s=COMPARE_TIMEOUT_S)
                if isinstance(answered, Ok) and isinstance(answered.ok_value, LimitNews):
                    has_compared = True
                    self._limits.apply(answered.ok_value.limits)
            interval_s = COMPARE_INTERVAL_S if has_compared else FIRST_COMPARE_INTERVAL_S
            await trio.sleep(interval_s * self._random.uniform(0.8, 1.2))

    def _choose_peer(self) -> PeerAddress | None:
        """Return the peer to compare with: one that is known to differ, else a random one."""
        if self._differing_peer is not None:
            peer, self._differing_peer = self._differing_peer, None
            return peer
        others = self._membership.others()
        return self._random.choice(others) if others else None

    def _digest(self) -> str:
        text = "".join(map(repr, self._limits.all))
        return blake2b(text.encode(), digest_size=8).hexdigest() if text else ""

    def _on_news(self, received: Received) -> None:
        self._limits.apply(received.message.limits)
        self._may_differ.set()

    def _on_question(self, received: Received) -> LimitNews:
        question: LimitQuestion = received.message
        if question.digest == self._digest():
            return NO_NEWS
        # What the asking instance knows may be newer.
        self._differing_peer = received.sender
        self._may_differ.set()
        return LimitNews(self._limits.all)

"""Gossip of updates: pushed to a few random members, and piggybacked on every probe."""

from collections.abc import Callable
from random import Random

import trio

from wagtailpoint.membership.change import News, extract_change, unpack_address
from wagtailpoint.membership.messages import Gossip
from wagtailpoint.membership.settings import MembershipSettings
from wagtailpoint.membership.table import MemberTable
from wagtailpoint.ports.peers import Peers, Received

MAX_PIGGYBACKED_NEWS = 6
MAX_PUSHED_NEWS = 60
NO_NEWS = News((), ())


class Gossiper:
    """Applies and gossips updates, and notifies those that wait for changes of the view.

    Args:
        table: The view of this instance.
        peers: The links to the other instances.
        random: Chooses the receivers and varies the delays.
        settings: Delays and limits.
    """

    def __init__(
        self, *, table: MemberTable, peers: Peers, random: Random, settings: MembershipSettings
    ) -> None:
        self._table = table
        self._peers = peers
        self._random = random
        self._settings = settings
        self._arrived = trio.Event()
        self._urgent = trio.Event()
        self._changed = trio.Event()
        self._callbacks: list[Callable[[], None]] = []
        peers.handle(Gossip, self._on_gossip)

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback``, which must not block, after every change of the view."""
        self._callbacks.append(callback)

    async def wait_changed(self) -> None:
        """Wait for the next change of the view."""
        await self._changed.wait()

    def apply(self, news: News) -> None:
        """Merge received updates into the view."""
        if self._table.apply_news(news):
            self.notify_change()

    def notify_change(self) -> None:
        """Schedule gossip, wake waiting tasks and run callbacks after a change of the view."""
        if self._table.has_news:
            self._arrived.set()
        if self._table.has_urgent_news:
            self._urgent.set()
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        for callback in self._callbacks:
            callback()

    def piggyback(self, to: str) -> News:
        """Return the updates to send along with a probe of ``to``, or with an answer to it."""
        receiver = self._table.fact(to)
        news = self._table.collect_news(MAX_PIGGYBACKED_NEWS)
        changes = [extract_change(self._table.own)]
        if receiver is not None and receiver.suspect:
            changes.append(extract_change(receiver))
        return news._replace(changes=(*changes, *news.changes))

    async def run(self) -> None:
        """Push updates until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = trio.Event()
            while self._table.has_news:
                await self._wait_to_batch()
                await trio.sleep(self._settings.push_delay_s * self._random.uniform(0.8, 1.2))
                if not self.push(self._settings.push_fanout):
                    break

    async def _wait_to_batch(self) -> None:
        self._urgent = trio.Event()
        if not self._table.has_urgent_news:
            with trio.move_on_after(self._settings.report_delay_s * self._random.uniform(0.8, 1.2)):
                await self._urgent.wait()

    def push(self, fanout: int) -> bool:
        """Send updates to ``fanout`` random members, and notify suspects.

        Returns:
            False if there is no member to send to.
        """
        others = self._table.reachable()
        chosen = self._random.sample(others, min(fanout, len(others)))
        for fact in chosen:
            news = self._table.collect_news(MAX_PUSHED_NEWS)
            if news == NO_NEWS:
                break
            self._peers.send(fact.peer_address, Gossip(news))
            self._notify_suspects(news, exclude=fact.address)
        return bool(chosen)

    def _notify_suspects(self, news: News, *, exclude: str) -> None:
        """Notify suspects of the suspicion, so that they can refute it in time."""
        for change in news.changes:
            fact = self._table.fact(unpack_address(change.packed_address))
            if change.suspect and fact is not None and fact.address != exclude:
                self._peers.send(fact.peer_address, Gossip(News((), (change,))))

    def _on_gossip(self, received: Received) -> None:
        self.apply(received.message.news)

"""Distribution of the progress of moves: some instances watch the platform, and gossip it on."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import trio
from result import Err, Ok

from wagtailpoint.moves.board import MoveBoard
from wagtailpoint.moves.messages import MoveNews, MoveReport
from wagtailpoint.moves.progress import PROGRESS_KIND, read_progress
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import PeerAddress, Peers, Received
from wagtailpoint.ports.platform import Platform, StoredObject
from wagtailpoint.revision import Revision

FANOUT: Final = 3
"""The number of peers to which a changed progress is sent."""

GOSSIP_INTERVAL_S: Final = 1.0
"""Between two messages of all progress to a random peer, and between two reports to writers, in
seconds."""

POLL_INTERVAL_S: Final = 0.25
"""Between two checks whether there are moves to watch, in seconds."""

RETRY_DELAY_S: Final = 1.0


class MoveGossip:
    """Watches the progress of moves, gossips it, and sends reports to the writers."""

    def __init__(
        self,
        *,
        platform: Platform,
        peers: Peers,
        board: MoveBoard,
        others: Callable[[], Sequence[PeerAddress]],
        is_watching: Callable[[], bool],
        wait_s: float,
        random: Random,
    ) -> None:
        """Initialise the gossip of one instance.

        Args:
            platform: The platform to watch.
            peers: The links to the other instances.
            board: Applies the progress and the reports.
            others: Returns the addresses of the other instances that are not known to be dead.
            is_watching: Returns whether this instance watches the platform; a few instances of
                each failure domain do.
            wait_s: The maximum duration of one watch call, in seconds.
            random: Chooses the peers to send to, and varies intervals.
        """
        self._platform = platform
        self._peers = peers
        self._board = board
        self._others = others
        self._is_watching = is_watching
        self._wait_s = wait_s
        self._random = random
        peers.handle(MoveNews, self._on_news)
        peers.handle(MoveReport, self._on_report)

    async def run(self) -> None:
        """Watch and gossip until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._gossip)

    def send_progress(self, count: int) -> None:
        """Send all known progress to ``count`` random peers."""
        progresses = tuple(self._board.progresses.values())
        others = self._others()
        if not progresses:
            return
        for peer in self._random.sample(others, min(count, len(others))):
            self._peers.send(peer, MoveNews(progresses))

    async def _watch(self) -> None:
        version: Revision | None = None
        while True:
            if not self._board.moves or not self._is_watching():
                version = None
                await trio.sleep(POLL_INTERVAL_S)
                continue
            version = await (self._list() if version is None else self._watch_once(version))
            if version is None:
                await trio.sleep(RETRY_DELAY_S * self._random.uniform(0.5, 1.5))

    async def _list(self) -> Revision | None:
        listing = await self._platform.list(kind=PROGRESS_KIND)
        if isinstance(listing, Err):
            return None
        self._apply_objects(listing.ok_value.objects)
        return listing.ok_value.version

    async def _watch_once(self, version: Revision) -> Revision | None:
        batch = await self._platform.watch(
            kinds=[PROGRESS_KIND], from_version=version, wait_s=self._wait_s
        )
        if isinstance(batch, Err):
            return None
        puts = [event.stored for event in batch.ok_value.events if event.action == "put"]
        self._apply_objects(puts)
        return max(version, batch.ok_value.version)

    def _apply_objects(self, objects: Sequence[StoredObject]) -> None:
        changed = False
        for stored in objects:
            progress = read_progress(stored)
            if isinstance(progress, Ok):
                changed |= self._board.apply_progress(progress.ok_value)
            else:
                log_event(
                    "move-progress-unreadable", level="ERROR", mistake=repr(progress.err_value)
                )
        if changed:
            self.send_progress(FANOUT)

    async def _gossip(self) -> None:
        while True:
            await trio.sleep(GOSSIP_INTERVAL_S * self._random.uniform(0.8, 1.2))
            # Unchanged progress is sent too: an instance that starts during an outage of the
            # platform has no other source, and would send its callers back to the old side.
            self.send_progress(1)
            self._send_reports()

    def _send_reports(self) -> None:
        for name, progress in self._board.progresses.items():
            if progress.writer != self._peers.address:
                evidence = self._board.own_evidence(name)
                self._peers.send(progress.writer, MoveReport(name, progress.version, evidence))

    def _on_news(self, received: Received) -> None:
        news: MoveNews = received.message
        changed = [self._board.apply_progress(progress) for progress in news.progresses]
        if any(changed):
            self.send_progress(FANOUT)

    def _on_report(self, received: Received) -> None:
        report: MoveReport = received.message
        self._board.apply_report(
            sender=received.sender.address,
            move=report.move,
            version=report.version,
            evidence=report.evidence,
        )

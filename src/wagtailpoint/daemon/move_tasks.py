"""Tasks of an instance for moves: share their progress, and write it while holding the lease."""

from collections.abc import Callable
from random import Random
from typing import Final

import trio

from wagtailpoint.config.model import EffectiveConfig, Move
from wagtailpoint.daemon.servers import is_drained
from wagtailpoint.health.board import HealthBoard
from wagtailpoint.membership import Membership
from wagtailpoint.moves.board import MoveBoard
from wagtailpoint.moves.gossip import MoveGossip
from wagtailpoint.moves.writer import MoveWriter, ProgressCleaner, WriterLease
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import Peers
from wagtailpoint.ports.platform import Platform
from wagtailpoint.settings import Timings

CLEANUP_INTERVAL_S: Final = 10.0


class MoveTasks:
    """Runs the gossip, the writer and the cleaner of move progress."""

    def __init__(
        self,
        *,
        board: MoveBoard,
        platform: Platform,
        peers: Peers,
        membership: Membership,
        health: HealthBoard,
        clock: Clock,
        lease: WriterLease,
        is_watching: Callable[[], bool],
        timings: Timings,
    ) -> None:
        """Initialise the tasks.

        Args:
            board: State of the moves, as this instance knows it.
            platform: Stores the progress of moves.
            peers: Links to the peers, for gossip about progress.
            membership: The instances that are known.
            health: Holds the load reports of backend servers.
            clock: Clock of this instance.
            lease: Ensures that only one instance writes progress.
            is_watching: Whether this instance is one of those in its failure domain that watch the
                platform.
            timings: Timings from the settings.
        """
        self._membership = membership
        self._health = health
        self._interval_s = timings.move_interval_s
        self._config: EffectiveConfig | None = None
        self._board = board
        self._gossip = MoveGossip(
            platform=platform,
            peers=peers,
            board=board,
            others=self._membership.others,
            is_watching=is_watching,
            wait_s=timings.watch_wait_s,
            random=Random(),
        )
        self._writer = MoveWriter(
            platform=platform,
            clock=clock,
            board=board,
            lease=lease,
            lease_s=timings.moves_lease_s,
            own=peers.address,
            is_eligible=lambda: is_watching() and membership.own.state == "live",
            count_receiving_servers=self._count_receiving_servers,
        )
        self._cleaner = ProgressCleaner(
            platform=platform, board=board, is_writing=lambda: self._writer.is_writing
        )

    def apply(self, config: EffectiveConfig) -> None:
        """Apply a new configuration."""
        self._config = config
        self._board.apply(config)

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._gossip.run)
            nursery.start_soon(self._write)
            nursery.start_soon(self._clean)

    async def _write(self) -> None:
        await self._writer.run(interval_s=self._interval_s)

    async def _clean(self) -> None:
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            await self._cleaner.step()

    def _count_receiving_servers(self, move: Move) -> tuple[int, int]:
        config = self._config
        if config is None:
            return 0, 0
        group = config.services[move.service].groups[move.to_group]
        undrained = [server for server in group if not is_drained(server, config.drains.values())]
        reports = [self._health.report_of(server.address) for server in undrained]
        cold = sum(report is not None and not report.warm for report in reports)
        return len(undrained), cold

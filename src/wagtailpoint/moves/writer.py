"""The one writer of all moves' progress: the holder of their lease."""

import itertools
from collections.abc import Callable
from typing import Any, Final, Protocol

import trio
from result import Err, Ok, Result

from wagtailpoint.config.model import Move
from wagtailpoint.moves.board import MoveBoard
from wagtailpoint.moves.decision import Known, Receiving, next_progress
from wagtailpoint.moves.progress import PROGRESS_KIND, MoveProgress, read_progress
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import Conflict, Platform, StoredObject

MOVES_LEASE: Final = "moves"
STEPS_PER_LEASE: Final = 4


class WriterLease(Protocol):
    """What the writer needs of ``limits.lease.Lease``."""

    def held(self) -> bool:
        """Whether this process is surely the only holder now."""
        ...

    async def step(self) -> bool:
        """Take or renew it if possible."""
        ...

    async def release(self) -> None:
        """Let others have it."""
        ...

    async def put(
        self, *, kind: str, name: str, value: dict[str, Any], if_version: int
    ) -> Result[StoredObject, Any]:
        """Write an object conditionally, if the lease is held."""
        ...


class MoveWriter:
    """Takes the lease if it can, and then advances every move.

    A writer that wakes from a freeze finds its lease over by a clock that counted on, and a write
    that was already under way meets a newer version. A platform that does not answer stops the
    writing, and so freezes every move at its step: traffic goes on as it is.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        clock: Clock,
        board: MoveBoard,
        lease: WriterLease,
        lease_s: float,
        own: PeerAddress,
        is_eligible: Callable[[], bool],
        count_receiving_servers: Callable[[Move], tuple[int, int]],
    ) -> None:
        """Make it without the lease.

        Args:
            platform: Where the progress is.
            clock: Of this instance.
            board: What this instance knows of the moves.
            lease: Makes this process the only writer.
            lease_s: Its length in seconds.
            own: Where this instance hears its peers' reports.
            is_eligible: Whether this instance may try to become the writer. Only a few instances
                of each failure domain do, so that the load on the platform does not grow with the
                number of instances.
            count_receiving_servers: Counts the backend servers of a move's receiving side that
                accept new work, and how many of those report cold caches.
        """
        self._platform = platform
        self._clock = clock
        self._board = board
        self._lease = lease
        self._renew_s = lease_s / STEPS_PER_LEASE
        self._own = own
        self._is_eligible = is_eligible
        self._count_receiving_servers = count_receiving_servers
        self._asked_at = float("-inf")
        self._has_read = False
        self._writes = itertools.count(1)

    @property
    def is_writing(self) -> bool:
        """Whether this instance is the writer."""
        return self._has_read and self._lease.held()

    async def run(self, *, interval_s: float) -> None:
        """Advance the moves until cancelled."""
        while True:
            await self.step()
            await trio.sleep(interval_s)

    async def step(self) -> None:
        """Look after the lease, and advance each move that is due."""
        if not self._board.moves or not self._is_eligible():
            await self._stand_back()
            return
        now = self._clock.monotonic()
        if not self._lease.held() or now - self._asked_at >= self._renew_s:
            await self._look_after_lease(now)
        if not self._lease.held():
            self._has_read = False
            return
        if not self._has_read:
            self._has_read = await self._read_all()
            return
        for move in self._board.moves.values():
            await self._advance(move)

    async def _look_after_lease(self, now: float) -> None:
        if now - self._asked_at < self._renew_s:
            return
        self._asked_at = now
        held_before = self._lease.held()
        if await self._lease.step() and not held_before:
            log_event("moves-writer", own=self._own)

    async def _stand_back(self) -> None:
        if self._has_read or self._lease.held():
            self._has_read = False
            await self._lease.release()

    async def _read_all(self) -> bool:
        """Learn what the writer before left; the watch may not have brought all of it."""
        listing = await self._platform.list(kind=PROGRESS_KIND)
        if isinstance(listing, Err):
            return False
        for stored in listing.ok_value.objects:
            self._learn(stored)
        self._board.restart_holds()
        return True

    async def _advance(self, move: Move) -> None:
        servers, cold = self._count_receiving_servers(move)
        known = Known(
            receiving=Receiving(self._board.evidence(move.name), servers, cold),
            held_s=self._board.held_s(move.name),
            wall=self._clock.wall(),
            writer=self._own,
        )
        current = self._board.progresses.get(move.name)
        proposed = next_progress(move, current, known)
        if proposed is not None:
            await self._write(proposed)

    async def _write(self, proposed: MoveProgress) -> None:
        write = f"{self._own.incarnation}-{next(self._writes)}"
        written = await self._lease.put(
            kind=PROGRESS_KIND,
            name=proposed.move,
            value=proposed.to_value(write),
            if_version=proposed.version,
        )
        match written:
            case Ok(stored):
                self._learn(stored)
            case Err(Conflict(None)):
                self._board.forget(proposed.move)
            case Err(Conflict(StoredObject() as current)):
                self._learn(current)
            case Err(error):
                log_event("move-not-written", level="WARNING", move=proposed.move, reason=error)

    def _learn(self, stored: StoredObject) -> None:
        progress = read_progress(stored)
        if isinstance(progress, Ok):
            self._board.apply_progress(progress.ok_value)
        else:
            log_event("move-progress-unreadable", level="ERROR", mistake=repr(progress.err_value))


class ProgressCleaner:
    """Deletes the progress of moves that are no longer planned."""

    def __init__(
        self, *, platform: Platform, board: MoveBoard, is_writing: Callable[[], bool]
    ) -> None:
        self._platform = platform
        self._board = board
        self._is_writing = is_writing
        self._seen: set[tuple[str, int]] = set()

    async def step(self) -> None:
        """Delete what was without a move at the step before too.

        Twice, because the configuration of this instance may be a little older than the progress.
        """
        if not self._is_writing():
            return
        listing = await self._platform.list(kind=PROGRESS_KIND)
        if isinstance(listing, Err):
            return
        moves = self._board.moves
        orphans = {(one.name, one.version) for one in listing.ok_value.objects}
        orphans = {orphan for orphan in orphans if orphan[0] not in moves}
        for name, version in orphans & self._seen:
            await self._platform.delete(kind=PROGRESS_KIND, name=name, if_version=version)
        self._seen = orphans

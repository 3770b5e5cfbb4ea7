"""The single writer of the progress of all moves, elected by a lease."""

import itertools
from collections.abc import Callable
from typing import Any, Final, Protocol

import trio
from result import Err, Ok, Result

from wagtailpoint.config.model import Move
from wagtailpoint.moves.board import MoveBoard
from wagtailpoint.moves.decision import ReceivingSide, WriterView, next_progress
from wagtailpoint.moves.progress import PROGRESS_KIND, MoveProgress, read_progress
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.clock import Clock
from wagtailpoint.ports.peers import PeerAddress
from wagtailpoint.ports.platform import Conflict, Platform, StoredObject
from wagtailpoint.revision import Revision

MOVES_LEASE: Final = "moves"
RENEWALS_PER_LEASE: Final = 4


class WriterLease(Protocol):
    """The part of ``limits.lease.Lease`` that the writer uses."""

    def held(self) -> bool:
        """Return whether this process is certainly the only holder at present."""
        ...

    async def step(self) -> bool:
        """Acquire or renew the lease if possible; return whether it is held."""
        ...

    async def release(self) -> None:
        """Give up the lease, so that another instance can acquire it."""
        ...

    async def put(
        self, *, kind: str, name: str, value: dict[str, Any], if_version: Revision
    ) -> Result[StoredObject, Any]:
        """Write an object if its version is ``if_version`` and the lease is held."""
        ...


class MoveWriter:
    """Acquires the lease if possible, and then advances every move.

    After a freeze, the writer finds its lease expired, because its clock goes on during the freeze;
    a write that was already sent fails because the stored version is newer. While the platform
    does not answer, nothing is written, so every move stays at its step and traffic continues.
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
        """Initialise the writer; it does not hold the lease yet.

        Args:
            platform: Stores the progress.
            clock: The clock of this instance.
            board: The moves and their progress as this instance knows them.
            lease: Makes this process the only writer.
            lease_s: The duration of the lease in seconds.
            own: The address of this instance, to which its peers send reports.
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
        self._renewal_interval_s = lease_s / RENEWALS_PER_LEASE
        self._own = own
        self._is_eligible = is_eligible
        self._count_receiving_servers = count_receiving_servers
        self._lease_tried_at = float("-inf")
        self._has_read = False
        self._writes = itertools.count(1)

    @property
    def is_writing(self) -> bool:
        """Whether this instance is the writer and has read the stored progress."""
        return self._has_read and self._lease.held()

    async def run(self, *, interval_s: float) -> None:
        """Advance the moves until cancelled."""
        while True:
            await self.step()
            await trio.sleep(interval_s)

    async def step(self) -> None:
        """Acquire, renew or release the lease, and advance each move that is due."""
        if not self._board.moves or not self._is_eligible():
            await self._release_lease()
            return
        now = self._clock.monotonic()
        if not self._lease.held() or now - self._lease_tried_at >= self._renewal_interval_s:
            await self._renew_lease(now)
        if not self._lease.held():
            self._has_read = False
            return
        if not self._has_read:
            self._has_read = await self._read_all()
            return
        for move in self._board.moves.values():
            await self._advance(move)

    async def _renew_lease(self, now: float) -> None:
        if now - self._lease_tried_at < self._renewal_interval_s:
            return
        self._lease_tried_at = now
        was_held = self._lease.held()
        if await self._lease.step() and not was_held:
            log_event("moves-writer", own=self._own)

    async def _release_lease(self) -> None:
        if self._has_read or self._lease.held():
            self._has_read = False
            await self._lease.release()

    async def _read_all(self) -> bool:
        """Read what the former writer stored, as the watch may not have delivered all of it."""
        listing = await self._platform.list(kind=PROGRESS_KIND)
        if isinstance(listing, Err):
            return False
        for stored in listing.ok_value.objects:
            self._apply_stored(stored)
        self._board.restart_holds()
        return True

    async def _advance(self, move: Move) -> None:
        servers, cold = self._count_receiving_servers(move)
        view = WriterView(
            receiving=ReceivingSide(self._board.evidence(move.name), servers, cold),
            held_s=self._board.held_s(move.name),
            wall=self._clock.wall(),
            writer=self._own,
        )
        current = self._board.progresses.get(move.name)
        proposed = next_progress(move, current, view)
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
                self._apply_stored(stored)
            case Err(Conflict(None)):
                self._board.remove_progress(proposed.move)
            case Err(Conflict(StoredObject() as current)):
                self._apply_stored(current)
            case Err(error):
                log_event("move-not-written", level="WARNING", move=proposed.move, reason=error)

    def _apply_stored(self, stored: StoredObject) -> None:
        progress = read_progress(stored)
        if isinstance(progress, Ok):
            self._board.apply_progress(progress.ok_value)
        else:
            log_event("move-progress-unreadable", level="ERROR", mistake=repr(progress.err_value))


class ProgressCleaner:
    """Deletes the stored progress of moves that are not in the configuration."""

    def __init__(
        self, *, platform: Platform, board: MoveBoard, is_writing: Callable[[], bool]
    ) -> None:
        self._platform = platform
        self._board = board
        self._is_writing = is_writing
        self._seen: set[tuple[str, Revision]] = set()

    async def step(self) -> None:
        """Delete progress that has had no move at this step and at the previous one.

        One step is not enough, because the configuration of this instance may be slightly older
        than the progress.
        """
        if not self._is_writing():
            return
        listing = await self._platform.list(kind=PROGRESS_KIND)
        if isinstance(listing, Err):
            return
        moves = self._board.moves
        orphans = {(stored.name, stored.version) for stored in listing.ok_value.objects}
        orphans = {orphan for orphan in orphans if orphan[0] not in moves}
        for name, version in orphans & self._seen:
            await self._platform.delete(kind=PROGRESS_KIND, name=name, if_version=version)
        self._seen = orphans

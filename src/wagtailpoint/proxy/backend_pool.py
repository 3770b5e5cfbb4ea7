"""The pool of connections to backend servers."""

import math
from collections import deque
from itertools import chain
from typing import Final, Literal

import trio

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.observe.log import log_event
from wagtailpoint.placement.distances import Distances
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import BackendConnection, ExchangeFailed
from wagtailpoint.proxy.backend_connector import BackendConnector

SparePurpose = Literal["next-request", "after-start", "distance", "after-failure", "crash-check"]
"""Why a connection is opened that no request is waiting for."""

MAX_IDLE_CONNECTIONS: Final = 8
"""Maximum number of idle connections for each start of a backend server."""

MIN_SPARE_ROUND_TRIP_S: Final = 0.01
"""Spare connections are opened for backend servers with at least this round trip time. A request
that opens its own connection waits for one more round trip; at 110 ms that is a third to half of
the time in which an answer has its full value. An unused connection costs only as much as a
hundredth of an answer is worth."""

REUSE_WEIGHT: Final = 0.02
MIN_REUSE_FRACTION: Final = 0.4
"""The weight of one request in the average fraction of requests that find an idle connection, and
the minimum fraction at which spare connections are opened. An instance that sends 8 requests a
second to 400 backend servers reaches each of them about once a minute, so that its spare
connections would be closed unused."""

SWEEP_INTERVAL_S: Final = 2.0
"""Interval at which expired connections are closed. The backend server closes them too, but without
this the instance would keep their descriptors until its next request to that backend server."""


class BackendPool:
    """Reuses idle connections to backend servers and opens new ones.

    Idle connections are stored by the start of the backend server instead of its address: after a
    backend server has ended, its address may be assigned to another one, and a connection must not
    be used beyond that.
    """

    def __init__(self, *, connector: BackendConnector, distances: Distances) -> None:
        """Initialise an empty pool.

        Args:
            connector: Opens connections.
            distances: Gives the round trip times, by which spare connections are opened.
        """
        self._connector = connector
        self._distances = distances
        self._idle: dict[ServerStart, deque[BackendConnection]] = {}
        self._in_use_since: dict[BackendConnection, float] = {}
        self._opening_spare: set[ServerStart] = set()
        self._reuse_fraction = 1.0
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Open spare connections and close expired ones until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                await self.close_expired()

    async def acquire(
        self, entry: ServerEntry, *, may_leave_region: bool = True, ends_by: float = math.inf
    ) -> BackendConnection:
        """Take an idle connection or open one, without sending anything on it.

        Args:
            entry: The backend server.
            may_leave_region: Whether it may pass instances outside the backend server's region.
            ends_by: The deadline of the request, by trio's clock.

        Raises:
            ExchangeFailed: No connection could be opened.
        """
        connection = await self._take_idle(entry.start, may_leave_region, ends_by)
        reused = connection is not None
        if connection is None:
            connection = await self._connector.open(
                entry, "request", may_leave_region=may_leave_region
            )
        self._record_acquired(entry, reused=reused)
        self._in_use_since[connection] = trio.current_time()
        return connection

    async def _take_idle(
        self, start: ServerStart, may_leave_region: bool, ends_by: float
    ) -> BackendConnection | None:
        while (connection := self._pop_idle(start, may_leave_region)) is not None:
            if self._is_usable(connection, ends_by):
                return connection
            await connection.close()
        return None

    def _pop_idle(self, start: ServerStart, may_leave_region: bool) -> BackendConnection | None:
        """Take the last idle connection, usable or not, by the way that it may take."""
        idle = self._idle.get(start, deque())
        for connection in reversed(idle):
            if may_leave_region or not connection.leaves_region:
                idle.remove(connection)
                return connection
        return None

    def _is_usable(self, connection: BackendConnection, ends_by: float | None = None) -> bool:
        return not connection.has_expired() and self._connector.is_usable(
            connection, ends_by=ends_by
        )

    def relays(self) -> list[str]:
        """Return the relays of the connections, idle or in use, as in ``OpenedStream.relay``."""
        idle = (connection for queue in self._idle.values() for connection in queue)
        return [each.relay for each in chain(self._in_use_since, idle) if each.relay]

    def silence_s(self) -> float:
        """Return for how long direct connections in use have brought no byte, in seconds.

        The time counts from the last byte on any of them, and is 0 if only one is in use.
        """
        direct = [since for used, since in self._in_use_since.items() if not used.relay]
        if len(direct) < 2:
            return 0.0
        return trio.current_time() - max(self._connector.heard_at, sorted(direct)[1])

    async def release(self, start: ServerStart, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        self._in_use_since.pop(connection, None)
        if not connection.is_reusable() or not self._connector.is_usable(connection):
            await connection.close()
            return
        await self._add_idle(start, connection)

    def record_reset(self, start: ServerStart, connection: BackendConnection) -> None:
        """Record that an exchange on a connection was reset."""
        self._connector.record_reset(start, connection)

    async def close(self, start: ServerStart) -> None:
        """Close the idle connections to a backend server that has ended."""
        for connection in self._idle.pop(start, ()):
            await connection.close()

    def has_spare(self, entry: ServerEntry) -> bool:
        """Whether a usable connection is idle or a spare one is being opened."""
        if entry.start in self._opening_spare:
            return True
        return any(self._is_usable(candidate) for candidate in self._idle.get(entry.start, ()))

    async def open_spare(self, entry: ServerEntry, purpose: SparePurpose) -> FailureReason | None:
        """Open a spare connection; return the reason of a failure, or None on success."""
        self._opening_spare.add(entry.start)
        try:
            connection = await self._connector.open(entry, purpose)
        except ExchangeFailed as error:
            # No request waits for this connection; one that needs it opens its own and handles the
            # failure.
            log_event("spare-not-opened", server=entry.server_id, purpose=purpose, reason=error)
            return error.reason
        finally:
            self._opening_spare.discard(entry.start)
        await self._add_idle(entry.start, connection)
        return None

    def _record_acquired(self, entry: ServerEntry, *, reused: bool) -> None:
        """Record an acquired connection and open a spare one if it is likely to be useful.

        That requires a long round trip, no idle connection to this backend server, and a sufficient
        fraction of recent requests that found an idle connection.
        """
        self._reuse_fraction += REUSE_WEIGHT * (reused - self._reuse_fraction)
        if self._nursery is None or self._idle.get(entry.start):
            return
        if entry.start in self._opening_spare or self._reuse_fraction < MIN_REUSE_FRACTION:
            return
        if self._distances.round_trip_s(entry.failure_domain) >= MIN_SPARE_ROUND_TRIP_S:
            self._opening_spare.add(entry.start)
            self._nursery.start_soon(self.open_spare, entry, "next-request")

    async def _add_idle(self, start: ServerStart, connection: BackendConnection) -> None:
        connection.mark_idle()
        idle = self._idle.setdefault(start, deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE_CONNECTIONS:
            await idle.popleft().close()

    async def close_expired(self) -> None:
        """Close the idle connections that must not be used any more."""
        ended: list[BackendConnection] = []
        for start, idle in list(self._idle.items()):
            expired = [candidate for candidate in idle if not self._is_usable(candidate)]
            for connection in expired:
                # Removed in place because ``acquire`` may be iterating over the same queue.
                idle.remove(connection)
            if not idle:
                del self._idle[start]
            ended += expired
        for connection in ended:
            await connection.close()

"""The connections to all backend servers: which is used again, which is closed."""

from collections import deque
from typing import Final, Literal

import trio

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.placement.distances import Distances
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import (
    BackendConnection,
    ExchangeFailed,
    open_connection,
)
from wagtailpoint.proxy.headers import HeaderNames
from wagtailpoint.verdict import Verdict

SparePurpose = Literal["next-request", "after-start", "distance", "after-failure", "crash-check"]
"""What a connection is opened for that no request waits for."""

MAX_IDLE_CONNECTIONS: Final = 8
"""Idle connections kept for each backend server."""

CONNECT_TIMEOUT_SLACK_S: Final = 0.2
CONNECT_TIMEOUT_ROUND_TRIPS: Final = 2.0
"""How long a connection may take to open: so many round trips and the slack in seconds, for a
machine that gets no processor time for a tenth of one. One without power never answers at all,
and a lost packet is sent again after a second, too late for most requests: better another one."""

MIN_SPARE_ROUND_TRIP_S: Final = 0.01
"""From this round trip on a spare connection is opened for each one in use. A request that has to
open its own waits a round trip more, which at 110 ms is a third to half of the time in which an
answer has its full value; a connection that is never used costs a hundredth of an answer."""

REUSE_WEIGHT: Final = 0.02
MIN_REUSE_FRACTION: Final = 0.4
"""The weight of one request in the part of requests that find an idle connection, and the least
part with which spare ones are opened. An instance that sends 8 requests a second to 400 backend
servers meets each of them once a minute, and closes its spare connections unused."""

SWEEP_INTERVAL_S: Final = 2.0
"""How often connections that rested too long are closed; the backend server closes them anyway, but
its end would not be noticed, and the descriptor kept, until the next request to it."""


class BackendPool:
    """Idle connections by the start of the backend server, and new ones.

    Kept by start and not by address: an address is given to another backend server when its first
    one has ended, and a connection must not outlive that.
    """

    def __init__(self, *, names: HeaderNames, distances: Distances, metrics: Metrics) -> None:
        """Make it empty.

        Args:
            names: The deployment's header names.
            distances: Says how long a connection may take to open, and learns how long it took.
            metrics: Counts the connections by what they were opened for.
        """
        self._names = names
        self._distances = distances
        self._metrics = metrics
        self._idle: dict[ServerStart, deque[BackendConnection]] = {}
        self._opening_spare: set[ServerStart] = set()
        self._reuse_fraction = 1.0
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Open spare connections and close those that rested too long, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(SWEEP_INTERVAL_S)
                await self._close_expired()

    async def acquire(self, entry: ServerEntry) -> BackendConnection:
        """Take an idle connection, or open one. No byte of a request leaves here.

        Raises:
            ExchangeFailed: No connection could be opened.
        """
        idle = self._idle.get(entry.start)
        while idle:
            connection = idle.pop()
            if not connection.has_expired():
                self._record_acquired(entry, reused=True)
                return connection
            await connection.close()
        connection = await self._open(entry, "request")
        self._record_acquired(entry, reused=False)
        return connection

    async def release(self, start: ServerStart, connection: BackendConnection) -> None:
        """Give a connection back: it is kept if it is clean, otherwise closed."""
        if not connection.is_reusable():
            await connection.close()
            return
        await self._add_idle(start, connection)

    async def close(self, start: ServerStart) -> None:
        """Close the idle connections to a backend server that is gone."""
        for connection in self._idle.pop(start, ()):
            await connection.close()

    def has_spare(self, entry: ServerEntry) -> bool:
        """Whether a usable connection is idle, or is being opened for the next request."""
        if entry.start in self._opening_spare:
            return True
        return any(not candidate.has_expired() for candidate in self._idle.get(entry.start, ()))

    async def open_spare(self, entry: ServerEntry, purpose: SparePurpose) -> FailureReason | None:
        """Open a connection for the next request; return why that failed, None if it did not."""
        self._opening_spare.add(entry.start)
        try:
            connection = await self._open(entry, purpose)
        except ExchangeFailed as error:
            # Nobody waits for it: whoever needs a connection opens one, and learns what is wrong.
            log_event("spare-not-opened", server=entry.server_id, reason=error)
            return error.reason
        finally:
            self._opening_spare.discard(entry.start)
        await self._add_idle(entry.start, connection)
        return None

    def _record_acquired(self, entry: ServerEntry, *, reused: bool) -> None:
        """Have a spare connection opened where it takes long and none is idle, if they are used."""
        self._reuse_fraction += REUSE_WEIGHT * (reused - self._reuse_fraction)
        if self._nursery is None or self._idle.get(entry.start):
            return
        if entry.start in self._opening_spare or self._reuse_fraction < MIN_REUSE_FRACTION:
            return
        if self._distances.round_trip_s(entry.failure_domain) >= MIN_SPARE_ROUND_TRIP_S:
            self._opening_spare.add(entry.start)
            self._nursery.start_soon(self.open_spare, entry, "next-request")

    async def _open(self, entry: ServerEntry, purpose: str) -> BackendConnection:
        self._metrics.count(f"connection.opened.{purpose}")
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        began = trio.current_time()
        try:
            with trio.move_on_after(
                CONNECT_TIMEOUT_SLACK_S + CONNECT_TIMEOUT_ROUND_TRIPS * round_trip_s
            ):
                connection = await open_connection(entry.address, self._names)
                took_s = trio.current_time() - began
                self._distances.record_connect_time(entry.failure_domain, took_s)
                return connection
        except ConnectionRefusedError as error:
            raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED) from error
        except OSError as error:
            reason = FailureReason.CONNECT_FAILED
            raise ExchangeFailed(Verdict.NOT_RUN, reason, str(error)) from error
        raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_TIMEOUT)

    async def _add_idle(self, start: ServerStart, connection: BackendConnection) -> None:
        connection.mark_idle()
        idle = self._idle.setdefault(start, deque())
        idle.append(connection)
        while len(idle) > MAX_IDLE_CONNECTIONS:
            await idle.popleft().close()

    async def _close_expired(self) -> None:
        ended: list[BackendConnection] = []
        for start, idle in list(self._idle.items()):
            expired = [candidate for candidate in idle if candidate.has_expired()]
            for connection in expired:
                # In place: a request may be looking through the same queue.
                idle.remove(connection)
            if not idle:
                del self._idle[start]
            ended += expired
        for connection in ended:
            await connection.close()

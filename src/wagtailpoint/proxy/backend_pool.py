"""The connections to all backend servers: which is used again, which is closed."""

from collections import deque

import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.placement.distances import Distances
from wagtailpoint.ports.backend import FailureReason
from wagtailpoint.proxy.backend_connection import (
    BackendConnection,
    ExchangeFailed,
    open_connection,
)
from wagtailpoint.proxy.headers import HeaderNames
from wagtailpoint.verdict import Verdict

KEPT_CONNECTIONS = 8
"""Idle connections kept for each backend server."""

CONNECT_SLACK_S = 0.2
CONNECT_ROUND_TRIPS = 2.0
"""How long a connection may take to open: so many round trips and the slack in seconds, for a
machine that gets no processor time for a tenth of one. One without power never answers at all,
and a lost packet is sent again after a second, too late for most requests: better another one."""


class BackendPool:
    """Idle connections by the id of the backend server, and new ones.

    Kept by id and not by address: an address is given to another backend server when its first one
    has ended, and a connection must not outlive that.
    """

    def __init__(self, *, names: HeaderNames, distances: Distances) -> None:
        """Make it empty.

        Args:
            names: The deployment's header names.
            distances: Says how long a connection may take to open, and learns how long it took.
        """
        self._names = names
        self._distances = distances
        self._idle: dict[str, deque[BackendConnection]] = {}

    async def acquire(self, entry: ServerEntry) -> BackendConnection:
        """Take an idle connection, or open one. No byte of a request leaves here.

        Raises:
            ExchangeFailed: No connection could be opened.
        """
        idle = self._idle.get(entry.server_id)
        while idle:
            connection = idle.pop()
            if not connection.rested_too_long():
                return connection
            await connection.close()
        return await self._open(entry)

    async def _open(self, entry: ServerEntry) -> BackendConnection:
        round_trip_s = self._distances.round_trip_s(entry.failure_domain)
        began = trio.current_time()
        try:
            with trio.move_on_after(CONNECT_SLACK_S + CONNECT_ROUND_TRIPS * round_trip_s):
                connection = await open_connection(entry.address, self._names)
                took_s = trio.current_time() - began
                self._distances.note_opened(entry.failure_domain, took_s)
                return connection
        except ConnectionRefusedError as error:
            raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_REFUSED) from error
        except OSError as error:
            reason = FailureReason.CONNECT_FAILED
            raise ExchangeFailed(Verdict.NOT_RUN, reason, str(error)) from error
        raise ExchangeFailed(Verdict.NOT_RUN, FailureReason.CONNECT_TIMEOUT)

    async def release(self, server_id: str, connection: BackendConnection) -> None:
        """Give a connection back: it is kept if it is clean, otherwise closed."""
        if not connection.reusable():
            await connection.close()
            return
        connection.rest()
        idle = self._idle.setdefault(server_id, deque())
        idle.append(connection)
        while len(idle) > KEPT_CONNECTIONS:
            await idle.popleft().close()

    async def close(self, server_id: str) -> None:
        """Close the idle connections to a backend server that is gone."""
        for connection in self._idle.pop(server_id, ()):
            await connection.close()

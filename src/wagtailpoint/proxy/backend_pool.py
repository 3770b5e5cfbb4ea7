"""The connections to all backend servers: which is used again, which is closed."""

from collections import deque

import trio

from wagtailpoint.ports.backend import BackendAddress, FailureReason
from wagtailpoint.proxy.backend_connection import (
    BackendConnection,
    ExchangeFailed,
    open_connection,
)
from wagtailpoint.proxy.headers import HeaderNames
from wagtailpoint.verdict import Verdict

KEPT_CONNECTIONS = 8
"""Idle connections kept for each backend server."""

CONNECT_TIMEOUT_S = 0.4
"""A connection takes one round trip, 110 ms between the regions that are furthest apart, and
longer if a packet is lost; a backend server without power never answers."""


class BackendPool:
    """Idle connections by the id of the backend server, and new ones.

    Kept by id and not by address: an address is given to another backend server when its first one
    has ended, and a connection must not outlive that.
    """

    def __init__(self, *, names: HeaderNames) -> None:
        self._names = names
        self._idle: dict[str, deque[BackendConnection]] = {}

    async def acquire(self, server_id: str, address: BackendAddress) -> BackendConnection:
        """Take an idle connection, or open one. No byte of a request leaves here.

        Raises:
            ExchangeFailed: No connection could be opened.
        """
        idle = self._idle.get(server_id)
        while idle:
            connection = idle.pop()
            if not connection.rested_too_long():
                return connection
            await connection.close()
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                return await open_connection(address, self._names)
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

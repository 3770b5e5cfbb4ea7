"""The pool of connections to one backend server: which are reused and which are closed."""

from collections import deque

import httpcore
import trio

from wagtailpoint.adapters.backend_stream import RecordingStream, connect
from wagtailpoint.ports.backend import BackendAddress

IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection is closed, in seconds. Just under the shortest usual
keep-alive time of servers (5 s), so that usually this side closes first."""

MAX_REUSE_IDLE_S = 1.0
"""Maximum idle time of a connection that is reused for a non-idempotent request, in seconds.

A server may close an idle connection while a request is on its way. The resulting reset does not
show whether the request ran, so a release or a hold gets `may-have-run` needlessly and its caller
can't retry it. Servers keep idle connections for seconds, so one that was used within this time is
unlikely to be closed; opening a new one costs a millisecond. For a server that closes sooner the
limit is lowered (see ``ConnectionPool``).
"""


class PooledConnection:
    """One HTTP/1.1 connection.

    httpcore's own pool is not used because it returns any idle connection and can't be told to open
    a new one for a particular request.
    """

    def __init__(self, *, server: BackendAddress, stream: RecordingStream) -> None:
        self.stream = stream
        self.origin = httpcore.Origin(b"http", server.address.encode(), server.port)
        self.http = httpcore.AsyncHTTP11Connection(origin=self.origin, stream=stream)
        self.idle_since = trio.current_time()
        self.idle_before_reuse_s: float | None = None

    @property
    def idle_s(self) -> float:
        """Time since the last exchange ended, in seconds."""
        return trio.current_time() - self.idle_since

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and no bytes remain in the parser.

        Bytes after the end of a response (an unsolicited second response, or a body longer than its
        Content-Length) stay in the parser without httpcore checking for them. They would be taken
        for the response to the next request on the connection.
        """
        leftover, closed_by_peer = self.http._h11_state.trailing_data
        return self.http.is_idle() and not leftover and not closed_by_peer

    @property
    def found_closed_on_reuse(self) -> bool:
        """Whether the connection was reused and then closed before any byte of a response."""
        return self.idle_before_reuse_s is not None and self.stream.closed_before_response

    @property
    def closed_by_server(self) -> bool:
        """Whether the idle connection was closed by the server or received unsolicited bytes."""
        return self.http.has_expired()

    async def close(self) -> None:
        """Close the connection at once, even during an exchange."""
        with trio.CancelScope(shield=True):
            await self.http.aclose()


class ConnectionPool:
    """The connections to one backend server.

    The maximum idle time before reuse by a non-idempotent request adapts to the server: half of the
    idle time after which a connection was found closed by the server, and at most
    ``MAX_REUSE_IDLE_S``. It rises again when a connection works after a longer idle time.

    Attributes:
        opened: Connections opened since the start.
        reused: Exchanges since the start that reused a connection.
    """

    def __init__(self, *, server: BackendAddress, max_idle: int, max_connections: int) -> None:
        """Initialise an empty pool.

        Args:
            server: The backend server.
            max_idle: Maximum number of idle connections.
            max_connections: Maximum number of concurrent exchanges; further ones wait.
        """
        self.opened = 0
        self.reused = 0
        self._server = server
        self._max_idle = max_idle
        self._exchange_slots = trio.Semaphore(max_connections)
        # Used as a stack: the most recently used connection is reused first, so that surplus ones
        # reach the idle timeout.
        self._idle: deque[PooledConnection] = deque()
        self._max_reuse_idle_s = MAX_REUSE_IDLE_S

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    async def acquire(self, *, idempotent: bool) -> PooledConnection:
        """Take an idle connection, or open a new one.

        Args:
            idempotent: Whether the request can be retried if the connection proves to be closed.

        Raises:
            OSError: A new connection can't be opened.
        """
        await self._exchange_slots.acquire()
        try:
            return await self._take(idempotent=idempotent)
        except BaseException:
            self._exchange_slots.release()
            raise

    async def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool if it is reusable, otherwise close it."""
        self._exchange_slots.release()
        if connection.found_closed_on_reuse:
            self._record_closed(connection.idle_before_reuse_s)
        if not connection.reusable:
            await connection.close()
            return
        self._record_reused(connection.idle_before_reuse_s)
        connection.idle_since = trio.current_time()
        self._idle.append(connection)
        while len(self._idle) > self._max_idle:
            await self._idle.popleft().close()

    async def retire(self) -> None:
        """Close the idle connections at once, and the others as their exchanges end."""
        # Otherwise an exchange that outlives the configuration of its backend server would leave
        # its connection open in a pool without further use.
        self._max_idle = 0
        await self.close_idle()

    async def close_idle(self, *, min_idle_s: float = 0.0) -> None:
        """Close the connections that have been idle for at least ``min_idle_s`` seconds."""
        while self._idle and self._idle[0].idle_s >= min_idle_s:
            await self._idle.popleft().close()

    async def _take(self, *, idempotent: bool) -> PooledConnection:
        await self.close_idle(min_idle_s=IDLE_TIMEOUT_S)
        max_idle_s = IDLE_TIMEOUT_S if idempotent else self._max_reuse_idle_s
        while self._idle and self._idle[-1].idle_s <= max_idle_s:
            connection = self._idle.pop()
            if not connection.closed_by_server:
                self.reused += 1
                connection.idle_before_reuse_s = connection.idle_s
                return connection
            self._record_closed(connection.idle_s)
            max_idle_s = max_idle_s if idempotent else self._max_reuse_idle_s
            await connection.close()
        self.opened += 1
        return PooledConnection(server=self._server, stream=await connect(self._server))

    def _record_closed(self, idle_s: float | None) -> None:
        if idle_s is not None:
            self._max_reuse_idle_s = min(self._max_reuse_idle_s, idle_s / 2)

    def _record_reused(self, idle_s: float | None) -> None:
        if idle_s is not None:
            self._max_reuse_idle_s = max(self._max_reuse_idle_s, min(MAX_REUSE_IDLE_S, idle_s / 2))

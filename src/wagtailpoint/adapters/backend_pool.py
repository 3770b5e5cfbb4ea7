"""The connections to one backend server: which is used again, which is closed."""

from collections import deque

import httpcore
import trio

from wagtailpoint.adapters.backend_stream import RecordingStream, connect
from wagtailpoint.ports.backend import BackendAddress

IDLE_TIMEOUT_S = 4.0
"""The longest rest of a connection, in seconds; just under the shortest usual keep-alive time of
servers (5 s), so that mostly we close it and not they."""

SAFE_IDLE_S = 1.0
"""The longest rest of a connection that a non-idempotent request may use, in seconds.

A server may close an idle connection just while a request is on its way. The reset that comes back
does not tell whether the request ran, so a release or a hold gets `may-have-run` for nothing, and
its caller can't repeat it. Servers keep connections for seconds, so a connection that was used a
moment ago is not about to be closed; otherwise a fresh one costs a millisecond. A server found to
close sooner gets a lower limit of its own (see ``ConnectionPool``).
"""


class PooledConnection:
    """One HTTP/1.1 connection.

    httpcore's own pool is not used: it hands out whichever idle connection comes first, and can't
    be asked for a fresh one for just this request.
    """

    def __init__(self, *, server: BackendAddress, stream: RecordingStream) -> None:
        self.stream = stream
        self.origin = httpcore.Origin(b"http", server.address.encode(), server.port)
        self.http = httpcore.AsyncHTTP11Connection(origin=self.origin, stream=stream)
        self.idle_since = trio.current_time()
        self.idle_before_reuse_s: float | None = None

    @property
    def idle_s(self) -> float:
        """How long it has been idle, in seconds."""
        return trio.current_time() - self.idle_since

    @property
    def reusable(self) -> bool:
        """Whether the exchange on it ended cleanly, with nothing left over.

        Bytes behind the end of a response (an unasked second answer, or a body longer than its
        Content-Length) stay in the parser, which httpcore does not look at: the next request on
        the connection would be given them as its answer.
        """
        leftover, closed_by_peer = self.http._h11_state.trailing_data
        return self.http.is_idle() and not leftover and not closed_by_peer

    @property
    def found_closed_on_reuse(self) -> bool:
        """Whether it was used again and found closed, without any word of an answer."""
        return self.idle_before_reuse_s is not None and self.stream.closed_before_response

    @property
    def closed_by_server(self) -> bool:
        """Whether the idle connection was closed, or holds bytes that nobody asked for."""
        return self.http.has_expired()

    async def close(self) -> None:
        """Close it, at once and whatever goes on on it."""
        with trio.CancelScope(shield=True):
            await self.http.aclose()


class ConnectionPool:
    """The connections to one backend server.

    How long a connection may rest before a non-idempotent request uses it is learned: half of the
    rest after which a connection was found closed by the server, and at most ``SAFE_IDLE_S``. It
    rises again by connections that were used after a longer rest and worked.

    Attributes:
        opened: Connections opened so far.
        reused: Exchanges so far that used a connection again.
    """

    def __init__(self, *, server: BackendAddress, max_idle: int, max_connections: int) -> None:
        """Make an empty pool.

        Args:
            server: The backend server.
            kept: Idle connections kept at most.
            most: Exchanges at the same time at most; more wait for one to end.
        """
        self.opened = 0
        self.reused = 0
        self._server = server
        self._max_idle = max_idle
        self._exchange_slots = trio.Semaphore(max_connections)
        # The last one used is the first one used again, so that the others grow old and go.
        self._idle: deque[PooledConnection] = deque()
        self._max_reuse_idle_s = SAFE_IDLE_S

    @property
    def idle(self) -> int:
        """Idle connections."""
        return len(self._idle)

    async def acquire(self, *, idempotent: bool) -> PooledConnection:
        """Take an idle connection, or open one.

        Args:
            idempotent: Whether the request can be repeated should the connection turn out closed.

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
        """Give a connection back: it is kept if it is clean, otherwise closed."""
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
        """Close the idle connections, and the others as their exchanges end."""
        # Otherwise an exchange that outlives its backend server's place in the configuration would
        # leave its connection open in a pool that nobody looks at any more.
        self._max_idle = 0
        await self.close_idle()

    async def close_idle(self, *, min_idle_s: float = 0.0) -> None:
        """Close the idle connections that rested for so many seconds."""
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
            self._max_reuse_idle_s = max(self._max_reuse_idle_s, min(SAFE_IDLE_S, idle_s / 2))

"""The connection of one caller: reading, writing, and the time limits on an inactive caller."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import NamedTuple

import trio
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState
from hypercorn.utils import parse_socket_addr

from wagtailpoint.adapters.http_protocol import (
    CallerProtocol,
    QuickHandler,
    ServerConfig,
    slow_head_refusal,
)
from wagtailpoint.proxy.caller_connection import reset_on_close

LINGER_TIMEOUT_S = 2.0
MAX_LINGER_BYTES = 16 * 1024 * 1024
"""Limits for reading and discarding the rest of a request body after an early reply, before the
connection is closed. A close with unread bytes resets the connection, and the reset can overtake
the reply."""

READ_BYTES = 64 * 1024


class CallerLimits(NamedTuple):
    """Maximum times of inactivity of a caller, in seconds.

    Attributes:
        idle_s: Between two requests.
        stall_s: Within the headers or the body of a request, and for taking each chunk of a reply
            (64 KiB at most). A caller that stops reading would otherwise hold the slot of a backend
            server, its connection and the entry's memory forever, and a graceful stop would wait
            for it. A slow but steady reader gets its whole download.
    """

    idle_s: float
    stall_s: float


IdleConnections = dict["CallerConnection", float]
"""Connections without an open request, with the time since when, longest idle first."""


class CallerConnection:
    """The connection of one caller; one task reads from it, and each request has its own task."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        app: AppWrapper,
        config: ServerConfig,
        context: WorkerContext,
        limits: CallerLimits,
        idle_connections: IdleConnections,
        quick: QuickHandler | None = None,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialise the connection for an accepted socket.

        Args:
            stream: The accepted socket.
            app: The application that serves the requests.
            config: Hypercorn's configuration.
            context: Hypercorn's state of the whole server.
            limits: Maximum times of inactivity of the caller.
            idle_connections: Holds the connection while it has no open request.
            quick: Answers some requests at once.
            is_leaving: Returns whether callers are told not to reuse the connection.
        """
        self._stream = stream
        self._app = app
        self._config = config
        self._context = context
        self._limits = limits
        self._idle_connections = idle_connections
        self._quick = quick
        self._is_leaving = is_leaving
        self._reading = trio.CancelScope()
        self._request: trio.CancelScope | None = None
        self._disconnected = False
        self._closed_locally = False
        self._head_started = False
        self._head_limit_s = limits.stall_s
        self._protocol: CallerProtocol

    async def run(self) -> None:
        """Serve the connection until it ends."""
        try:
            async with TaskGroup() as group:
                self._protocol = self._make_protocol(group)
                self._mark_idle()
                with self._reading:
                    await self._read()
                if self._reading.cancelled_caught:
                    await self._refuse_slow_head()
                if not self._closed_locally:
                    self._handle_disconnect()
                elif self._request is not None:
                    # Refused in the middle of its body: the rest of the body will not arrive.
                    self._request.cancel()
        finally:
            self._idle_connections.pop(self, None)
            with trio.move_on_after(LINGER_TIMEOUT_S, shield=True):
                await self._close()

    def close_if_idle(self) -> None:
        """Close the connection, unless a request is open."""
        if self in self._idle_connections:
            self._closed_locally = True
            self._reading.cancel()

    @property
    def head_has_begun(self) -> bool:
        """Whether a part of a request's headers has arrived."""
        return self._protocol.head_is_unfinished

    def limit_idle(self, limit_s: float) -> None:
        """Close the connection after ``limit_s`` seconds, unless a request begins before.

        Headers that begin before have as long to arrive completely.
        """
        # The instance ends the connection then, not the caller: it is closed and not reset.
        self._closed_locally = True
        self._head_limit_s = min(self._head_limit_s, limit_s)
        self._reading.deadline = min(self._reading.deadline, trio.current_time() + limit_s)

    @contextmanager
    def open_request(self) -> Iterator[None]:
        """Return a context in which a request is served; cancelled when the caller disconnects."""
        with trio.CancelScope() as scope:
            self._request = scope
            if self._disconnected:
                scope.cancel()
            yield
        self._request = None

    async def send_continue(self) -> None:
        """Send `100 Continue` if the caller waits for it before sending the body."""
        await self._protocol.send_continue()

    async def flush(self) -> None:
        """Send the headers of the reply at once, without waiting for a part of its body."""
        await self._protocol.flush()

    def _make_protocol(self, group: TaskGroup) -> CallerProtocol:
        sock = self._stream.socket
        protocol = CallerProtocol(
            self._app,
            self._config,
            self._context,
            group,
            ConnectionState(LifespanState({"connection": self})),
            False,
            parse_socket_addr(sock.family, sock.getpeername()),
            parse_socket_addr(sock.family, sock.getsockname()),
            self._send,
        )
        protocol.quick = self._quick
        protocol.is_leaving = self._is_leaving
        return protocol

    async def _read(self) -> None:
        while True:
            try:
                data = bytes(await self._stream.receive_some(READ_BYTES))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            await self._protocol.handle(RawData(data))
            if not data:
                return
            if not self._head_started and self._protocol.head_is_unfinished:
                self._head_started = True
                self._reading.deadline = trio.current_time() + self._head_limit_s

    async def _send(self, event: Event) -> None:
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            self._closed_locally = True
            self._reading.cancel()
        elif isinstance(event, Updated) and event.idle:
            self._mark_idle()
        elif isinstance(event, Updated):
            self._idle_connections.pop(self, None)
            self._reading.deadline = float("inf")

    async def _write(self, data: bytes) -> None:
        if self._disconnected:
            return
        is_complete = False
        try:
            with (
                trio.move_on_after(self._limits.stall_s),
                suppress(OSError, trio.ClosedResourceError),
            ):
                await self._stream.send_all(data)
                is_complete = True
        finally:
            # After an incomplete write nothing more may be sent: the caller would read it as
            # the continuation.
            if not is_complete:
                self._handle_disconnect()

    def _mark_idle(self) -> None:
        now = trio.current_time()
        self._head_started = False
        self._idle_connections.pop(self, None)
        self._idle_connections[self] = now
        self._reading.deadline = now + self._limits.idle_s

    def _handle_disconnect(self) -> None:
        self._disconnected = True
        self._reading.cancel()
        if self._request is not None:
            self._request.cancel()

    async def _refuse_slow_head(self) -> None:
        if self._protocol.head_is_unfinished:
            await self._protocol.refuse(slow_head_refusal())

    async def _close(self) -> None:
        try:
            if self._disconnected or self._protocol.end_is_ambiguous:
                # A truncated reply must not look complete to a caller that reads until the end.
                reset_on_close(self._stream)
            elif self._protocol.has_unread_body:
                await linger(self._stream)
        finally:
            await self._stream.aclose()


async def linger(stream: trio.SocketStream) -> None:
    """Close the sending side, then read and discard what the caller sends, within limits."""
    with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_eof()
        remaining_bytes = MAX_LINGER_BYTES
        with trio.move_on_after(LINGER_TIMEOUT_S):
            while remaining_bytes > 0:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)

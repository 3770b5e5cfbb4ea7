"""One caller's connection: reading, writing, and the limits on a caller that does neither."""

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
"""The rest of a request's body that is read and dropped after an early reply, before the connection
is closed: a close with unread bytes resets the connection, and the reset can overtake the reply."""

READ_BYTES = 64 * 1024


class CallerLimits(NamedTuple):
    """How long a caller may do nothing, in seconds.

    Attributes:
        idle_s: Between two requests.
        stall_s: In the middle of the headers or the body of a request, and for each piece of a
            reply (64 KiB at most). A reader that stops would otherwise hold the slot of a backend
            server, its connection and the entry's memory forever, and a graceful stop would wait
            for it. A slow but steady reader gets its whole download.
    """

    idle_s: float
    stall_s: float


IdleConnections = dict["CallerConnection", float]
"""The connections without an open request and since when, longest first."""


class CallerConnection:
    """One caller's connection; one task reads it, and each request has one."""

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
        """Make a connection that was just accepted.

        Args:
            stream: Its socket.
            app: The application that serves its requests.
            config: Hypercorn's configuration.
            context: Hypercorn's state of the whole server.
            limits: How long the caller may do nothing.
            resting: Where it enters itself while it has no open request.
            quick: Answers some requests at once.
            is_leaving: Whether callers shall not use the connection again.
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
        self._protocol: CallerProtocol

    async def run(self) -> None:
        """Serve it to its end."""
        try:
            async with TaskGroup() as group:
                self._protocol = self._make_protocol(group)
                self._mark_idle()
                with self._reading:
                    await self._read()
                if self._reading.cancelled_caught and not self._closed_locally:
                    await self._refuse_slow_head()
                if not self._closed_locally:
                    self._handle_disconnect()
                elif self._request is not None:
                    # Refused in the middle of its body: nothing of it will come any more.
                    self._request.cancel()
        finally:
            self._idle_connections.pop(self, None)
            with trio.move_on_after(LINGER_TIMEOUT_S, shield=True):
                await self._close()

    def close_if_idle(self) -> None:
        """Close it, unless a request is open."""
        if self in self._idle_connections:
            self._closed_locally = True
            self._reading.cancel()

    def limit_idle_until(self, deadline: float) -> None:
        """Let it rest no longer than this, by trio's clock."""
        # Its end is ours then, not the caller's: it is closed and not reset.
        self._closed_locally = True
        self._reading.deadline = min(self._reading.deadline, deadline)

    @contextmanager
    def open_request(self) -> Iterator[None]:
        """Cancel what runs inside when the caller has gone."""
        with trio.CancelScope() as scope:
            self._request = scope
            if self._disconnected:
                scope.cancel()
            yield
        self._request = None

    async def send_continue(self) -> None:
        """Tell a caller that waits for it to send its body."""
        await self._protocol.send_continue()

    async def flush(self) -> None:
        """Send the headers of the reply now, without waiting for a part of its body."""
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
                self._reading.deadline = trio.current_time() + self._limits.stall_s

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
            # Whatever ended the write half-way, nothing may follow what was sent of it.
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
                # A reply that broke off must not look whole to a caller that waits for the end.
                reset_on_close(self._stream)
            elif self._protocol.has_unread_body:
                await linger(self._stream)
        finally:
            await self._stream.aclose()


async def linger(stream: trio.SocketStream) -> None:
    """End our side, and read what the caller still sends, within bounds."""
    with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        await stream.send_eof()
        remaining_bytes = MAX_LINGER_BYTES
        with trio.move_on_after(LINGER_TIMEOUT_S):
            while remaining_bytes > 0:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    return
                remaining_bytes -= len(data)

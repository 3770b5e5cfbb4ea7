"""The HTTP server for callers and operators: an ASGI application on hypercorn's protocol."""

import os
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from http import HTTPStatus
from typing import Any, NamedTuple

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ASGIReceiveCallable, ASGISendCallable, HTTPScope

from wagtailpoint import headers as names
from wagtailpoint.adapters.http_body import RequestBody
from wagtailpoint.adapters.http_connection import (
    CallerConnection,
    CallerLimits,
    IdleConnections,
    linger,
)
from wagtailpoint.adapters.http_protocol import QuickHandler, ServerConfig, refuse_unread
from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.entry.request import CallerRequest, header_value, without_headers
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import BodyBroken, Headers
from wagtailpoint.ports.clock import Clock
from wagtailpoint.verdict import Verdict

MAX_REQUESTS_PER_CONNECTION = 100_000
BACKLOG = 1024

SHUTDOWN_GRACE_S = 3.0
"""Time that replies in progress may still take after the server has stopped, in seconds."""

MAX_QUEUED_BODY_PARTS = 2
"""Parts (of 64 KiB at most) of a request's body that are queued for the application."""

MAX_COALESCED_BODY_BYTES = 64 * 1024
"""The headers of a reply with a body up to this length are sent together with the body."""

WRITE_CHUNK_BYTES = 64 * 1024
"""Replies are written in chunks of this size; the stall timeout applies to each chunk."""

MIN_IDLE_BEFORE_CLOSE_S = 1.0
"""Minimum idle time after which a connection may be closed."""

MAX_LOGGED_CHARACTERS = 200
MAX_CONCURRENT_REFUSALS = 64
CONNECTIONS_FULL_RETRY_AFTER_S = 1.0
INTERNAL_ERROR_RETRY_AFTER_S = 1.0

RequestHandler = Callable[[CallerRequest, "AsgiReply"], Awaitable[None]]


class ServerOptions(NamedTuple):
    """The address and the limits of the HTTP server.

    Attributes:
        address: IP address to listen on.
        port: TCP port to listen on.
        header_bytes: Maximum size of one request's headers.
        request_body_bytes: Maximum size of one request's body.
        connections: Maximum number of connections.
        limits: Maximum times of inactivity of a caller.
    """

    address: str
    port: int
    header_bytes: int
    request_body_bytes: int
    connections: int
    limits: CallerLimits


class AsgiReply:
    """The reply to one request; implements ``entry.request.ReplySink``."""

    def __init__(
        self, *, send: ASGISendCallable, connection: CallerConnection, request_id: bytes | None
    ) -> None:
        """Initialise the reply.

        Args:
            send: Hypercorn's send function.
            connection: The caller's connection.
            request_id: The caller's request id, which the reply echoes so that the caller can
                detect an answer that belongs to another request.
        """
        self._send = send
        self._connection = connection
        self._own_headers = [] if request_id is None else [(names.REQUEST_ID, request_id)]
        self._begun = False

    @property
    def begun(self) -> bool:
        """Whether the status has been sent."""
        return self._begun

    async def begin(self, *, status: int, headers: Headers, verdict: Verdict) -> None:
        """Send status and headers."""
        self._begun = True
        # The headers of a backend server carry the id of the entry's exchange with it.
        sent = without_headers(headers, (names.REQUEST_ID, names.VERDICT))
        sent += [(names.VERDICT, verdict.value.encode()), *self._own_headers]
        await self._send({"type": "http.response.start", "status": int(status), "headers": sent})
        length = header_value(headers, b"content-length")
        if length is None or not length.isdigit() or int(length) > MAX_COALESCED_BODY_BYTES:
            await self._connection.flush()

    async def send(self, data: bytes) -> None:
        """Send a part of the body; blocks while the caller reads slowly."""
        for start in range(0, len(data), WRITE_CHUNK_BYTES):
            chunk = data[start : start + WRITE_CHUNK_BYTES]
            await self._send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def finish(self) -> None:
        """End the body, which completes the reply."""
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def cut(self) -> None:
        """Abort a reply that has begun: the connection ends without the end of the body."""
        await self._connection.flush()

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the reply; ``finish`` has still to be called."""
        body = refusal.body()
        headers = [*refusal.headers(), (b"content-length", str(len(body)).encode())]
        await self.begin(status=refusal.status, headers=headers, verdict=refusal.verdict)
        await self.send(body)


class HttpServer:
    """Accepts connections of callers and operators and serves their requests."""

    def __init__(
        self,
        *,
        options: ServerOptions,
        clock: Clock,
        handler: RequestHandler,
        quick: QuickHandler | None = None,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialise the server; ``run`` opens the listening sockets.

        Args:
            options: The address and the limits of the server.
            clock: The instance's clock.
            handler: Serves a request, in a separate task.
            quick: Answers a request at once, or leaves it to ``handler``.
            is_leaving: Returns whether the instance is stopping. Each reply then tells the caller
                not to reuse the connection.
        """
        self._options = options
        self._clock = clock
        self._handler = handler
        self._quick = quick
        self._is_leaving = is_leaving
        self._config = _hypercorn_config(options)
        self._context = WorkerContext(None)
        self._connections = 0
        self._open_refusals = 0
        self._idle_connections: IdleConnections = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._connections

    async def run(
        self,
        *,
        stop: Callable[[], Awaitable[None]],
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``stop`` returns.

        ``stop`` has to wait for the requests in flight: requests that are open ``SHUTDOWN_GRACE_S``
        after it returned are cancelled.
        """
        listeners = await trio.open_tcp_listeners(
            self._options.port, host=self._options.address, backlog=BACKLOG
        )
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners,
                        self._serve_connection,
                        listeners,
                        handler_nursery=connections,
                    )
                )
                task_status.started()
                await stop()
                # Duplicates stay open when the listeners are closed with the accepting task.
                pending_sockets = [_duplicate(listener) for listener in listeners]
                accepting.cancel_scope.cancel()
            for pending_socket in pending_sockets:
                self._accept_pending(pending_socket, connections)
            await self._context.terminated.set()
            self._close_idle()
            connections.cancel_scope.deadline = trio.current_time() + SHUTDOWN_GRACE_S

    def _accept_pending(self, listening: socket.socket, connections: trio.Nursery) -> None:
        """Accept the connections in the kernel's queue, and close the listening socket.

        Their callers are connected already and may have sent requests. Closing the socket resets
        these connections, and the callers could not know that their requests did not run.
        """
        with listening, suppress(BlockingIOError):
            while True:
                accepted, _ = listening.accept()
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
                connections.start_soon(self._serve_connection, stream)

    def _close_idle(self) -> None:
        """Close the idle connections, those idle for less than the minimum time after it.

        A request whose headers have arrived in part has the same time for the rest of them.
        A caller sends its request right after it has connected. If the connection were closed at
        once, the request would meet a reset, and the caller could not know that it did not run.
        """
        now = trio.current_time()
        for connection, since in list(self._idle_connections.items()):
            if now - since >= MIN_IDLE_BEFORE_CLOSE_S and not connection.head_has_begun:
                connection.close_if_idle()
            else:
                connection.limit_idle(MIN_IDLE_BEFORE_CLOSE_S)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        if self._connections >= self._options.connections and not self._evict_idle():
            await self._refuse_connection(stream)
            return
        self._connections += 1
        try:
            await CallerConnection(
                stream=stream,
                app=ASGIWrapper(self._application),
                config=self._config,
                context=self._context,
                limits=self._options.limits,
                idle_connections=self._idle_connections,
                quick=self._quick,
                is_leaving=self._is_leaving,
            ).run()
        except Exception as error:  # noqa: BLE001 - one connection's fault must not end the others
            log_event("internal-error", level="ERROR", where="connection", error=repr(error))
        finally:
            self._connections -= 1

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one to close.

        Otherwise callers that open connections and send nothing would keep out all others. A
        recently used connection stays open, as its caller may be sending the next request.
        """
        connection, since = next(iter(self._idle_connections.items()), (None, 0.0))
        if connection is None or trio.current_time() - since < MIN_IDLE_BEFORE_CLOSE_S:
            return False
        connection.close_if_idle()
        return True

    async def _refuse_connection(self, stream: trio.SocketStream) -> None:
        async with stream:
            if self._open_refusals >= MAX_CONCURRENT_REFUSALS:
                return
            self._open_refusals += 1
            try:
                with trio.move_on_after(CONNECTIONS_FULL_RETRY_AFTER_S):
                    await stream.send_all(_connections_full_response(self._options.connections))
                    await linger(stream)
            except (OSError, trio.BrokenResourceError):
                pass
            finally:
                self._open_refusals -= 1

    async def _application(
        self, scope: Any, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        connection: CallerConnection = scope["state"]["connection"]
        body = RequestBody(
            receive=receive,
            connection=connection,
            max_bytes=self._options.request_body_bytes,
            stall_s=self._options.limits.stall_s,
        )
        request = _caller_request(scope, body, self._clock.monotonic())
        request_id = header_value(request.headers, names.REQUEST_ID)
        reply = AsgiReply(
            send=send,
            connection=connection,
            request_id=request_id.encode("latin-1") if request_id else None,
        )
        try:
            with connection.open_request():
                await self._serve_request(request, reply)
        except trio.Cancelled:
            # A caller that leaves cancels only the scope of its request, so the server has ended.
            self._log_cut(request)
            raise

    def _log_cut(self, request: CallerRequest) -> None:
        log_event(
            "request-cut",
            level="ERROR",
            target=request.target[:MAX_LOGGED_CHARACTERS],
            open_s=round(self._clock.monotonic() - request.arrived_at, 3),
            request_id=_logged_header(request, names.REQUEST_ID),
            key=_logged_header(request, names.IDEMPOTENCY_KEY),
        )

    async def _serve_request(self, request: CallerRequest, reply: AsgiReply) -> None:
        try:
            await self._handler(request, reply)
            with trio.CancelScope(shield=True):  # The stall timeout limits it.
                await reply.finish()
        except BodyBroken as error:
            # The reply is not finished: the connection is closed, and the caller sees an incomplete
            # body.
            log_event("reply-cut", level="WARNING", target=request.target, error=str(error))
            await reply.cut()
        except Exception as error:  # noqa: BLE001 - one request's fault must not end the others
            log_event("internal-error", level="ERROR", target=request.target, error=repr(error))
            if reply.begun:
                await reply.cut()
            else:
                await reply.refuse(_internal_error_refusal())
                await reply.finish()


def _duplicate(listener: trio.SocketListener) -> socket.socket:
    duplicate = socket.socket(fileno=os.dup(listener.socket.fileno()))
    duplicate.setblocking(False)
    return duplicate


def _hypercorn_config(options: ServerOptions) -> ServerConfig:
    config = ServerConfig()
    config.h11_max_incomplete_size = options.header_bytes
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.max_app_queue_size = MAX_QUEUED_BODY_PARTS
    config.errorlog = None
    config.accesslog = None
    return config


def _caller_request(scope: HTTPScope, body: RequestBody, arrived_at: float) -> CallerRequest:
    headers = list(scope["headers"])
    length = header_value(headers, b"content-length")
    chunked = header_value(headers, b"transfer-encoding") is not None
    has_body = chunked or (length is not None and int(length) > 0)
    target = scope["raw_path"].decode("ascii")
    if scope["query_string"]:
        target += "?" + scope["query_string"].decode("ascii")
    return CallerRequest(
        method=scope["method"],
        path=scope["path"],
        target=target,
        headers=headers,
        content_length=int(length) if length is not None else None,
        body=body.chunks() if has_body else None,
        arrived_at=arrived_at,
        client=scope["client"][0] if scope["client"] else "",
    )


def _logged_header(request: CallerRequest, name: bytes) -> str:
    return (header_value(request.headers, name) or "")[:MAX_LOGGED_CHARACTERS]


def _connections_full_response(max_connections: int) -> bytes:
    refusal = refuse_unread(
        HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalCode.CONNECTIONS_FULL,
        f"this instance has reached its limit of {max_connections} connections; use another entry",
        CONNECTIONS_FULL_RETRY_AFTER_S,
    )
    body = refusal.body()
    headers = [
        *refusal.headers(),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    lines = [b"HTTP/1.1 503 Service Unavailable", *(b": ".join(pair) for pair in headers)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _internal_error_refusal() -> Refusal:
    return Refusal(
        HTTPStatus.INTERNAL_SERVER_ERROR,
        RefusalCode.INTERNAL_ERROR,
        "internal error of this instance; see its log for details",
        Verdict.MAY_HAVE_RUN,
        INTERNAL_ERROR_RETRY_AFTER_S,
    )

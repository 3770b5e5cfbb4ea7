"""A caller's HTTP/1.1 connection: serves pipelined requests concurrently and replies in order.

Uses h11 over a trio stream instead of hypercorn: the close of a connection must be detected while a
request is at a backend server, also if further pipelined requests have arrived. Hypercorn stops
reading the connection in that state and detects the close only after the reply.
"""

import math
import select
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Final

import h11
import trio

from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import BodyBroken, Headers
from wagtailpoint.proxy.caller_exchange import (
    CallerExchange,
    IncomingRequest,
    next_event,
    send_refusal,
)
from wagtailpoint.proxy.caller_input import CallerGone, CallerInput
from wagtailpoint.proxy.headers import content_length, header_value
from wagtailpoint.routing.table import CallerBounds

LINGER_TIMEOUT_S: Final = 1.0
"""Time for which remaining input is read and discarded after the last reply. Closing a connection
with unread bytes resets it, and the caller may receive the reset before it has read the reply."""

MAX_OPEN_REQUESTS: Final = 8
"""Maximum number of requests of one connection that are served concurrently, which bounds the
memory used for one caller. Callers pipeline only a few requests; further ones wait unread."""

RequestHandler = Callable[[IncomingRequest, CallerExchange], Awaitable[None]]


class CallerConnection:
    """Serves the requests of one caller's connection.

    Pipelined requests with safe methods are served concurrently. If they were served sequentially,
    each would wait for the backend servers of all requests before it.
    """

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        handler: RequestHandler,
        bounds: Callable[[], CallerBounds],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Initialise a connection that was just accepted.

        Args:
            stream: The socket of the connection.
            handler: Serves one request; it must send a reply.
            bounds: Returns the limits on callers' requests of the configuration in force.
            is_leaving: Returns whether the instance is stopping, so that callers should not use the
                connection for further requests.
        """
        self._stream = stream
        self._handler = handler
        self._bounds = bounds
        self._is_leaving = is_leaving
        self._incoming = CallerInput()
        self._open_exchanges: dict[CallerExchange, trio.CancelScope] = {}
        self._last_exchange: CallerExchange | None = None
        self._request_ended = trio.Event()
        self._head_started = False
        self._ends_when_idle = False
        self._next_head_scope = trio.CancelScope()

    @property
    def is_idle(self) -> bool:
        """Whether no request is open on the connection."""
        return not self._open_exchanges

    def close_when_idle(self) -> None:
        """Close the connection as soon as no request is open or has begun to arrive."""
        self._ends_when_idle = True
        if self.is_idle and self._incoming.is_empty and not self._head_started:
            self._next_head_scope.deadline = self._idle_deadline()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                await self._serve_requests(nursery)
                while self._open_exchanges:
                    await self._wait_request_ended()
                await self._linger()
                nursery.cancel_scope.cancel()
        finally:
            if (
                self._last_exchange is not None
                and self._last_exchange.is_http_1_0
                and not self._last_exchange.is_replied
            ):
                # An HTTP/1.0 caller would take a regular close for the end of a truncated reply.
                reset_on_close(self._stream)
            # Closes as `trio.aclose_forcefully` does, without its cancelled checkpoint.
            self._stream.socket.close()

    async def _read(self) -> None:
        await self._incoming.read_from(self._stream)
        self._abort()

    def _abort(self) -> None:
        self._incoming.mark_closed()
        for scope in self._open_exchanges.values():
            scope.cancel()

    async def _serve_requests(self, nursery: trio.Nursery) -> None:
        """Start requests as they arrive until one of them ends the connection."""
        while not self._is_closed():
            exchange = await self._next_exchange()
            if exchange is None:
                return
            if not await self._wait_until_startable(exchange):
                return
            self._last_exchange = exchange
            scope = self._open_exchanges[exchange] = trio.CancelScope()
            nursery.start_soon(self._run_exchange, exchange, scope)
            await exchange.wait_request_read()
            if not exchange.can_be_followed:
                return

    async def _wait_until_startable(self, exchange: CallerExchange) -> bool:
        """Wait until a request may be started; return False if the connection ends first.

        Only safe requests are served concurrently. A stopping instance starts a request only if no
        other is open: the connection ends with one of the replies, and requests after that reply
        must not have run because the caller sends them again.
        """
        while self._open_exchanges:
            must_run_alone = not exchange.is_safe or not all(
                open_exchange.is_safe for open_exchange in self._open_exchanges
            )
            if (
                not must_run_alone
                and not self._is_leaving()
                and len(self._open_exchanges) < MAX_OPEN_REQUESTS
            ):
                break
            await self._wait_request_ended()
        return not self._is_ending()

    async def _run_exchange(self, exchange: CallerExchange, scope: trio.CancelScope) -> None:
        with scope:
            if self._is_closed():
                scope.cancel()
            await self._handle(exchange)
        del self._open_exchanges[exchange]
        exchange.mark_finished()
        if not exchange.is_replied:
            self._abort()
        self._request_ended.set()
        if not exchange.can_be_followed:
            self._next_head_scope.cancel()
        elif not self._open_exchanges and not self._head_started:
            self._next_head_scope.deadline = self._idle_deadline()

    async def _handle(self, exchange: CallerExchange) -> None:
        head = exchange.request
        try:
            framing_error = _framing_error(head.headers)
            if framing_error is not None:
                await exchange.refuse(HTTPStatus.BAD_REQUEST, framing_error)
            else:
                await self._run_handler(exchange)
        except CallerGone:
            self._abort()

    async def _run_handler(self, exchange: CallerExchange) -> None:
        target = exchange.request.target
        try:
            await self._handler(exchange.request, exchange)
        except BodyBroken as error:
            # The connection is closed before the end of the body, so that the caller detects it.
            log_event("reply-cut", level="WARNING", target=target, error=error)
            self._abort()
        except h11.RemoteProtocolError as error:
            await exchange.refuse(HTTPStatus(error.error_status_hint), str(error))
        except CallerGone:
            raise
        except Exception as error:  # noqa: BLE001 - an error in one request must not end the others
            log_event("internal-error", level="ERROR", target=target, error=repr(error))
            await exchange.reply_with_error(HTTPStatus.INTERNAL_SERVER_ERROR, b"internal error\n")

    def _closes_after(self, exchange: CallerExchange) -> bool:
        """Whether the reply to an exchange must announce the end of the connection."""
        ends = self._is_leaving() or exchange.wants_close
        return ends and exchange is self._last_exchange

    async def _next_exchange(self) -> CallerExchange | None:
        """Wait for the next request; return None if the connection ends first."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self._bounds().header_bytes)
        try:
            head = await self._next_head(parser)
        except CallerGone:
            return None
        except h11.RemoteProtocolError as error:
            await self._refuse_malformed(parser, HTTPStatus(error.error_status_hint), str(error))
            return None
        if head is None:
            return None
        return CallerExchange(
            request=head,
            parser=parser,
            incoming=self._incoming,
            stream=self._stream,
            bounds=self._bounds,
            closes_after=self._closes_after,
            previous=self._last_exchange,
        )

    async def _next_head(self, parser: h11.Connection) -> IncomingRequest | None:
        """Wait for the next request head; return None on a timeout or at the end of the input."""
        bounds = self._bounds()
        self._next_head_scope = trio.CancelScope(
            deadline=math.inf if self._open_exchanges else self._idle_deadline()
        )
        with self._next_head_scope:
            event = next_event(parser, self._incoming)
            while event is h11.NEED_DATA:
                if parser.trailing_data[0] and not self._head_started:
                    self._head_started = True
                    self._next_head_scope.deadline = trio.current_time() + bounds.header_timeout_s
                await self._incoming.wait_for_data()
                event = next_event(parser, self._incoming)
            self._head_started = False
            return _parsed_request(event)
        if self._head_started:
            await self._refuse_malformed(
                parser, HTTPStatus.REQUEST_TIMEOUT, "request head not received in time"
            )
        return None

    def _idle_deadline(self) -> float:
        # Bytes that have arrived and were not read yet are the beginning of a request.
        if self._ends_when_idle and not _has_unread_data(self._stream.socket):
            return trio.current_time()
        return trio.current_time() + self._bounds().idle_timeout_s

    async def _refuse_malformed(
        self, parser: h11.Connection, status: HTTPStatus, reason: str
    ) -> None:
        """Refuse a malformed request after the replies to all requests before it."""
        log_event("request-refused", status=status.value, reason=reason)
        while self._open_exchanges:
            await self._wait_request_ended()
        if self._is_ending():
            return
        try:
            await send_refusal(parser, self._stream.send_all, status, reason)
        except (CallerGone, trio.BrokenResourceError, trio.ClosedResourceError):
            self._abort()

    async def _wait_request_ended(self) -> None:
        self._request_ended = trio.Event()
        await self._request_ended.wait()

    def _is_closed(self) -> bool:
        return self._incoming.is_closed

    def _is_ending(self) -> bool:
        """Whether the connection can't carry a reply to a further request."""
        ended = self._last_exchange is not None and not self._last_exchange.can_be_followed
        return ended or self._is_closed()

    async def _linger(self) -> None:
        if self._is_closed():
            return
        with trio.move_on_after(LINGER_TIMEOUT_S):
            try:
                await self._stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            while not self._is_closed():
                self._incoming.take()
                with suppress(CallerGone):
                    await self._incoming.wait_for_data()


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make closing the stream reset the connection, discarding unsent data."""
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _has_unread_data(sock: trio.socket.SocketType) -> bool:
    """Return whether data or the end of the input waits in a socket that may be closed."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _parsed_request(event: object) -> IncomingRequest | None:
    if not isinstance(event, h11.Request):
        return None
    return IncomingRequest(
        event.method.decode("ascii"),
        event.target.decode("ascii"),
        list(event.headers),
        trio.current_time(),
    )


def _framing_error(headers: Headers) -> str | None:
    """Return why the end of the body is ambiguous, or None if it is not.

    With ambiguous framing a request could be smuggled in the body of another one.
    """
    if header_value(headers, b"transfer-encoding") is None:
        return None
    if content_length(headers) is None:
        return None
    return "given both Content-Length and Transfer-Encoding, expected one of them"

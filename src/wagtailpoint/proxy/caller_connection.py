"""One caller's connection: requests served at the same time, replies in the order of the requests.

h11 over a trio stream, not hypercorn: a caller that leaves has to be noticed while its request is
at a backend server, also when further requests wait behind it on the connection. Hypercorn stops
reading a connection in that state, so the close would be seen only after the reply.
"""

import math
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
"""After the last reply the rest of what the caller sends is read for so long: a close with unread
bytes resets the connection, and the reset can overtake the reply."""

MAX_OPEN_REQUESTS: Final = 8
"""Requests of one connection that are served at the same time; more wait unread. Callers send a few
ahead, and what an instance holds for one of them is bounded so."""

RequestHandler = Callable[[IncomingRequest, CallerExchange], Awaitable[None]]


class CallerConnection:
    """One caller's connection.

    Requests that a caller sends ahead are served at the same time, as far as they are safe. Served
    one after the other, each waited for the backend servers of all before it.
    """

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        handler: RequestHandler,
        bounds: Callable[[], CallerBounds],
        is_leaving: Callable[[], bool],
    ) -> None:
        """Make a connection that was just accepted.

        Args:
            stream: Its socket.
            handler: Serves one request; it must reply.
            bounds: What callers may send, by the configuration in force.
            is_leaving: Whether callers shall not use the connection again.
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
        self._next_head_scope = trio.CancelScope()

    @property
    def is_idle(self) -> bool:
        """Whether no request is open on it."""
        return not self._open_exchanges

    def close_if_idle(self) -> None:
        """Close it, unless a request is open or has begun to arrive."""
        if self.is_idle and self._incoming.is_empty and not self._head_started:
            self._next_head_scope.cancel()

    async def run(self) -> None:
        """Serve it to its end."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                async with trio.open_nursery() as serving:
                    await self._serve_requests(serving)
                await self._linger()
                nursery.cancel_scope.cancel()
        finally:
            if (
                self._last_exchange is not None
                and self._last_exchange.is_http_1_0
                and not self._last_exchange.is_replied
            ):
                # The end of the connection would be the regular end of a reply that broke off.
                reset_on_close(self._stream)
            await trio.aclose_forcefully(self._stream)

    async def _read(self) -> None:
        await self._incoming.read_from(self._stream)
        self._abort()

    def _abort(self) -> None:
        self._incoming.mark_closed()
        for scope in self._open_exchanges.values():
            scope.cancel()

    async def _serve_requests(self, nursery: trio.Nursery) -> None:
        """Start each request as it comes, until one of them ends the connection."""
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
        """Wait until a request may be started; False if the connection ends before it.

        Only safe requests are served at the same time. An instance that leaves starts none beside
        others: the connection ends with one of the replies, and what is behind that one must not
        have run, since its caller sends it again.
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
            # The connection ends without the rest: the caller sees a broken body.
            log_event("reply-cut", level="WARNING", target=target, error=error)
            self._abort()
        except h11.RemoteProtocolError as error:
            await exchange.refuse(HTTPStatus(error.error_status_hint), str(error))
        except CallerGone:
            raise
        except Exception as error:  # noqa: BLE001 - one request's fault must not end the others
            log_event("internal-error", level="ERROR", target=target, error=repr(error))
            await exchange.reply_with_error(HTTPStatus.INTERNAL_SERVER_ERROR, b"internal error\n")

    def _closes_after(self, exchange: CallerExchange) -> bool:
        """Whether the reply to a request says that the connection ends with it."""
        return self._is_leaving() and exchange is self._last_exchange

    async def _next_exchange(self) -> CallerExchange | None:
        """Wait for the next request; None when the connection ends before one."""
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
        """Wait for a head; None when the connection rested for long enough, or ends."""
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
                parser, HTTPStatus.REQUEST_TIMEOUT, "the head came too slowly"
            )
        return None

    def _idle_deadline(self) -> float:
        return trio.current_time() + self._bounds().idle_timeout_s

    async def _refuse_malformed(
        self, parser: h11.Connection, status: HTTPStatus, reason: str
    ) -> None:
        """Reply to what is no request, behind the replies to those before it."""
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
        """Whether no further request may be answered on the connection."""
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
    """Have the connection reset when it is closed; what the caller has not taken is dropped."""
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


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
    """What makes the end of a body ambiguous: a request could hide in another's body."""
    if header_value(headers, b"transfer-encoding") is None:
        return None
    if content_length(headers) is None:
        return None
    return "given both Content-Length and Transfer-Encoding, expected one of them"

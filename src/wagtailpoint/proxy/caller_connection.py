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
from wagtailpoint.proxy.headers import content_length, first
from wagtailpoint.routing.table import CallerBounds

LINGER_S: Final = 1.0
"""After the last reply the rest of what the caller sends is read for so long: a close with unread
bytes resets the connection, and the reset can overtake the reply."""

MOST_OPEN: Final = 8
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
        self._open: dict[CallerExchange, trio.CancelScope] = {}
        self._last: CallerExchange | None = None
        self._some_ended = trio.Event()
        self._head_begun = False
        self._next = trio.CancelScope()

    @property
    def resting(self) -> bool:
        """Whether no request is open on it."""
        return not self._open

    def end_if_resting(self) -> None:
        """Close it, unless a request is open or has begun to arrive."""
        if self.resting and self._incoming.empty and not self._head_begun:
            self._next.cancel()

    async def run(self) -> None:
        """Serve it to its end."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                async with trio.open_nursery() as serving:
                    await self._serve(serving)
                await self._linger()
                nursery.cancel_scope.cancel()
        finally:
            if self._last is not None and self._last.is_old_http and not self._last.replied:
                # The end of the connection would be the regular end of a reply that broke off.
                reset_on_close(self._stream)
            await trio.aclose_forcefully(self._stream)

    async def _read(self) -> None:
        await self._incoming.read_from(self._stream)
        self._note_gone()

    def _note_gone(self) -> None:
        self._incoming.note_gone()
        for scope in self._open.values():
            scope.cancel()

    async def _serve(self, nursery: trio.Nursery) -> None:
        """Start each request as it comes, until one of them ends the connection."""
        while not self._is_gone():
            exchange = await self._next_exchange()
            if exchange is None:
                return
            if not await self._may_start(exchange):
                return
            self._last = exchange
            scope = self._open[exchange] = trio.CancelScope()
            nursery.start_soon(self._run, exchange, scope)
            await exchange.wait_read()
            if not exchange.may_be_followed:
                return

    async def _may_start(self, exchange: CallerExchange) -> bool:
        """Wait until a request may be started; False if the connection ends before it.

        Only safe requests are served at the same time. An instance that leaves starts none beside
        others: the connection ends with one of the replies, and what is behind that one must not
        have run, since its caller sends it again.
        """
        while self._open:
            alone = not exchange.safe or not all(each.safe for each in self._open)
            if not alone and not self._is_leaving() and len(self._open) < MOST_OPEN:
                break
            await self._wait_some_ended()
        return not self._is_ending()

    async def _run(self, exchange: CallerExchange, scope: trio.CancelScope) -> None:
        with scope:
            if self._is_gone():
                scope.cancel()
            await self._handle(exchange)
        del self._open[exchange]
        exchange.end()
        if not exchange.replied:
            self._note_gone()
        self._some_ended.set()
        if not exchange.may_be_followed:
            self._next.cancel()
        elif not self._open and not self._head_begun:
            self._next.deadline = self._idle_until()

    async def _handle(self, exchange: CallerExchange) -> None:
        head = exchange.request
        try:
            wrong = _framing_mistake(head.headers)
            if wrong is not None:
                await exchange.refuse(HTTPStatus.BAD_REQUEST, wrong)
            else:
                await self._serve_one(exchange)
        except CallerGone:
            self._note_gone()

    async def _serve_one(self, exchange: CallerExchange) -> None:
        target = exchange.request.target
        try:
            await self._handler(exchange.request, exchange)
        except BodyBroken as error:
            # The connection ends without the rest: the caller sees a broken body.
            log_event("reply-cut", level="WARNING", target=target, error=error)
            self._note_gone()
        except h11.RemoteProtocolError as error:
            await exchange.refuse(HTTPStatus(error.error_status_hint), str(error))
        except CallerGone:
            raise
        except Exception as error:  # noqa: BLE001 - one request's fault must not end the others
            log_event("internal-error", level="ERROR", target=target, error=repr(error))
            await exchange.fail(HTTPStatus.INTERNAL_SERVER_ERROR, b"internal error\n")

    def _closes_with(self, exchange: CallerExchange) -> bool:
        """Whether the reply to a request says that the connection ends with it."""
        return self._is_leaving() and exchange is self._last

    async def _next_exchange(self) -> CallerExchange | None:
        """Wait for the next request; None when the connection ends before one."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self._bounds().header_bytes)
        try:
            head = await self._next_head(parser)
        except CallerGone:
            return None
        except h11.RemoteProtocolError as error:
            await self._refuse(parser, HTTPStatus(error.error_status_hint), str(error))
            return None
        if head is None:
            return None
        return CallerExchange(
            request=head,
            parser=parser,
            incoming=self._incoming,
            stream=self._stream,
            bounds=self._bounds,
            is_last=self._closes_with,
            ahead=self._last,
        )

    async def _next_head(self, parser: h11.Connection) -> IncomingRequest | None:
        """Wait for a head; None when the connection rested for long enough, or ends."""
        bounds = self._bounds()
        self._next = trio.CancelScope(deadline=math.inf if self._open else self._idle_until())
        with self._next:
            event = next_event(parser, self._incoming)
            while event is h11.NEED_DATA:
                if parser.trailing_data[0] and not self._head_begun:
                    self._head_begun = True
                    self._next.deadline = trio.current_time() + bounds.header_timeout_s
                await self._incoming.more()
                event = next_event(parser, self._incoming)
            self._head_begun = False
            return _request(event)
        if self._head_begun:
            await self._refuse(parser, HTTPStatus.REQUEST_TIMEOUT, "the head came too slowly")
        return None

    def _idle_until(self) -> float:
        return trio.current_time() + self._bounds().idle_timeout_s

    async def _refuse(self, parser: h11.Connection, status: HTTPStatus, reason: str) -> None:
        """Reply to what is no request, behind the replies to those before it."""
        log_event("request-refused", status=status.value, reason=reason)
        while self._open:
            await self._wait_some_ended()
        if self._is_ending():
            return
        try:
            await send_refusal(parser, self._stream.send_all, status, reason)
        except (CallerGone, trio.BrokenResourceError, trio.ClosedResourceError):
            self._note_gone()

    async def _wait_some_ended(self) -> None:
        self._some_ended = trio.Event()
        await self._some_ended.wait()

    def _is_gone(self) -> bool:
        return self._incoming.gone

    def _is_ending(self) -> bool:
        """Whether no further request may be answered on the connection."""
        ended = self._last is not None and not self._last.may_be_followed
        return ended or self._is_gone()

    async def _linger(self) -> None:
        if self._is_gone():
            return
        with trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            while not self._is_gone():
                self._incoming.take()
                with suppress(CallerGone):
                    await self._incoming.more()


def reset_on_close(stream: trio.SocketStream) -> None:
    """Have the connection reset when it is closed; what the caller has not taken is dropped."""
    with suppress(OSError):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _request(event: object) -> IncomingRequest | None:
    if not isinstance(event, h11.Request):
        return None
    return IncomingRequest(
        event.method.decode("ascii"),
        event.target.decode("ascii"),
        list(event.headers),
        trio.current_time(),
    )


def _framing_mistake(headers: Headers) -> str | None:
    """What makes the end of a body ambiguous: a request could hide in another's body."""
    if first(headers, b"transfer-encoding") is None:
        return None
    if content_length(headers) is None:
        return None
    return "given both Content-Length and Transfer-Encoding, expected one of them"

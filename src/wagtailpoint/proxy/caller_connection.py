"""One caller's connection: requests one after the other, replies in the order of the requests.

h11 over a trio stream, not hypercorn: a caller that leaves has to be noticed while its request is
at a backend server, also when further requests wait behind it on the connection. Hypercorn stops
reading a connection in that state, so the close would be seen only after the reply.
"""

import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import h11
import trio

from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import BodyBroken, Headers
from wagtailpoint.proxy.headers import content_length, first, has_body
from wagtailpoint.routing.table import CallerBounds

READ_BYTES = 64 * 1024
MOST_UNREAD_BYTES = 256 * 1024
"""So much of what a caller sends ahead is held; then the connection is read no further."""

WRITE_STALL_S = 20.0
"""A caller that takes nothing of a reply for so long is given up: longer than any deadline."""

LINGER_S = 1.0
"""After the last reply the rest of what the caller sends is read for so long: a close with unread
bytes resets the connection, and the reset can overtake the reply."""


BODILESS: Final = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
"""Responses that never bear a body."""


class IncomingRequest(NamedTuple):
    """The head of a request as it arrived.

    Attributes:
        method: For example ``GET``.
        target: Path and query as they were written.
        headers: All headers, names in lower case.
        arrived: When the head was complete, by trio's clock.
    """

    method: str
    target: str
    headers: Headers
    arrived: float


class ReadBody(NamedTuple):
    """A request's body.

    Attributes:
        read: What was read ahead.
        rest: The rest as it arrives; None if ``read`` is the whole body.
    """

    read: bytes
    rest: AsyncIterator[bytes] | None


class CallerGone(Exception):
    """The caller closed the connection."""


class HeadTooSlow(Exception):
    """A caller began a request and did not finish its head in time."""


RequestHandler = Callable[[IncomingRequest, "CallerConnection"], Awaitable[None]]


class CallerConnection:
    """One caller's connection, and the reply to its present request."""

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
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=bounds().header_bytes)
        self._unread = bytearray()
        self._arrived = trio.Event()
        self._room = trio.Event()
        self._gone = False
        self._resting = True
        self._method = ""
        self._may_have_body = True
        self._has_body = False
        self._body_bytes = 0
        self._request: trio.CancelScope | None = None
        self._idle = trio.CancelScope()

    @property
    def resting(self) -> bool:
        """Whether no request is open on it."""
        return self._resting

    def end_if_resting(self) -> None:
        """Close it, unless a request is open or has begun to arrive."""
        if self._resting and not self._unread and not self._parser.trailing_data[0]:
            self._idle.cancel()

    async def run(self) -> None:
        """Serve it to its end."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                await self._serve()
                await self._linger()
                nursery.cancel_scope.cancel()
        finally:
            if self._gone and self._parser.their_http_version == b"1.0":
                # The end of the connection would be the regular end of a reply that broke off.
                reset_on_close(self._stream)
            await trio.aclose_forcefully(self._stream)

    async def read_body(self, most_bytes: int) -> ReadBody:
        """Read the request's body ahead, up to a size.

        Raises:
            CallerGone: The caller closed the connection.
            BodyBroken: The body breaks HTTP.
        """
        if not self._has_body:
            return ReadBody(b"", None)
        parts = bytearray()
        if self._parser.they_are_waiting_for_100_continue:
            await self._write(
                self._parser.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
            )
        async for part in self._body_parts():
            parts += part
            if len(parts) > most_bytes:
                return ReadBody(bytes(parts), self._body_parts())
        return ReadBody(bytes(parts), None)

    async def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole reply; ``headers`` without any framing."""
        length = (b"content-length", str(len(body)).encode())
        head = self._head(status, [*headers, length])
        data = self._data(body)
        await self._write(head + data + (self._parser.send(h11.EndOfMessage()) or b""))

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a reply whose body follows in parts."""
        await self._write(self._head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._data(data))

    async def finish(self) -> None:
        """End the body: from here on the reply is whole."""
        await self._write(self._parser.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, headers: Headers) -> bytes:
        sent = list(headers)
        # What was not read of a body would stand before the next request.
        if self._is_leaving() or self._parser.their_state is h11.SEND_BODY:
            sent.append((b"connection", b"close"))
        self._may_have_body = self._method != "HEAD" and status not in BODILESS
        return self._parser.send(h11.Response(status_code=status, headers=sent)) or b""

    def _data(self, body: bytes) -> bytes:
        return self._parser.send(h11.Data(data=body)) or b"" if self._may_have_body else b""

    async def _serve(self) -> None:
        while not self._is_gone():
            try:
                head = await self._next_head()
            except (CallerGone, HeadTooSlow):
                return
            except h11.RemoteProtocolError as error:
                await self._refuse_unreadable(HTTPStatus(error.error_status_hint), str(error))
                return
            if head is None:
                return
            self._resting = False
            with trio.CancelScope() as scope:
                self._request = scope
                if self._is_gone():
                    scope.cancel()
                await self._handle(head)
            self._request = None
            self._resting = True
            if scope.cancelled_caught or not self._start_next():
                return

    async def _handle(self, head: IncomingRequest) -> None:
        self._method = head.method
        self._has_body = has_body(head.headers)
        self._body_bytes = 0
        if not self._has_body:
            # Until its end was asked for, the request counts as not read, and its connection would
            # be closed with the reply.
            self._parsed()
        wrong = _framing_mistake(head.headers)
        if wrong is not None:
            await self._refuse_unreadable(HTTPStatus.BAD_REQUEST, wrong)
            return
        try:
            await self._handler(head, self)
        except CallerGone:
            self._note_gone()
        except BodyBroken as error:
            # The connection ends without the rest: the caller sees a broken body.
            log_event("reply-cut", level="WARNING", target=head.target, error=error)
            self._note_gone()
        except h11.RemoteProtocolError as error:
            await self._refuse_unreadable(HTTPStatus(error.error_status_hint), str(error))
        except Exception as error:  # noqa: BLE001 - one request's fault must not end the others
            log_event("internal-error", level="ERROR", target=head.target, error=repr(error))
            await self._refuse_unreadable(HTTPStatus.INTERNAL_SERVER_ERROR, "internal error")

    def _start_next(self) -> bool:
        if self._parser.our_state is not h11.DONE or self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        return True

    async def _next_head(self) -> IncomingRequest | None:
        """Wait for the next request; None when the connection has rested for long enough."""
        bounds = self._bounds()
        self._idle = trio.CancelScope(deadline=trio.current_time() + bounds.idle_timeout_s)
        with self._idle:
            event = self._parsed()
            while event is h11.NEED_DATA and not self._parser.trailing_data[0]:
                await self._more()
                event = self._parsed()
            if event is not h11.NEED_DATA:
                return _request(event)
        if self._idle.cancelled_caught:
            return None
        with trio.move_on_after(bounds.header_timeout_s):
            while event is h11.NEED_DATA:
                await self._more()
                event = self._parsed()
            return _request(event)
        await self._refuse_unreadable(HTTPStatus.REQUEST_TIMEOUT, "the head came too slowly")
        raise HeadTooSlow

    async def _body_parts(self) -> AsyncIterator[bytes]:
        most_bytes = self._bounds().body_bytes
        while True:
            event = self._parsed()
            if event is h11.NEED_DATA:
                await self._more()
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > most_bytes:
                    raise h11.RemoteProtocolError(
                        f"a body of more than {most_bytes} bytes",
                        error_status_hint=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    )
                yield bytes(event.data)
            else:
                return

    def _parsed(self) -> Any:
        """The next event of the parser, fed with what has arrived."""
        event = self._parser.next_event()
        while event is h11.NEED_DATA and self._unread:
            data = bytes(self._unread)
            self._unread.clear()
            self._room.set()
            self._parser.receive_data(data)
            event = self._parser.next_event()
        return event

    async def _more(self) -> None:
        """Wait until more has arrived than was parsed."""
        while not self._unread:
            if self._is_gone():
                raise CallerGone
            self._arrived = trio.Event()
            await self._arrived.wait()

    async def _read(self) -> None:
        """Read for as long as the connection is open, also while a request is being served."""
        while True:
            while len(self._unread) >= MOST_UNREAD_BYTES:
                self._room = trio.Event()
                await self._room.wait()
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._note_gone()
                return
            self._unread += data
            self._arrived.set()

    def _is_gone(self) -> bool:
        return self._gone

    def _note_gone(self) -> None:
        self._gone = True
        self._arrived.set()
        if self._request is not None:
            self._request.cancel()

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        whole = False
        try:
            with trio.move_on_after(WRITE_STALL_S):
                await self._stream.send_all(data)
                whole = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
        finally:
            # Nothing may follow what was sent of a part, whatever ended it.
            if not whole:
                self._gone = True
        if not whole:
            raise CallerGone

    async def _refuse_unreadable(self, status: HTTPStatus, reason: str) -> None:
        log_event("request-refused", status=status.value, reason=reason)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self._note_gone()
            return
        body = reason.encode()
        response = h11.Response(
            status_code=status,
            headers=[(b"content-length", str(len(body)).encode()), (b"connection", b"close")],
        )
        try:
            await self._write(
                (self._parser.send(response) or b"")
                + (self._parser.send(h11.Data(data=body)) or b"")
                + (self._parser.send(h11.EndOfMessage()) or b"")
            )
        except CallerGone:
            return

    async def _linger(self) -> None:
        if self._is_gone():
            return
        with trio.move_on_after(LINGER_S):
            try:
                await self._stream.send_eof()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            while not self._is_gone():
                self._unread.clear()
                self._room.set()
                self._arrived = trio.Event()
                await self._arrived.wait()


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

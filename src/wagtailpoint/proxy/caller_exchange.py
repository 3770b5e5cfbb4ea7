"""One request of a caller and the reply to it, which waits for the replies to those before it."""

from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import h11
import trio

from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.backend import Headers
from wagtailpoint.proxy.caller_input import CallerGone, CallerInput
from wagtailpoint.proxy.headers import has_body
from wagtailpoint.routing.table import CallerBounds

WRITE_TIMEOUT_S: Final = 20.0
"""A caller that takes nothing of a reply for so long is given up: longer than any deadline."""

BODILESS_STATUSES: Final = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
"""Responses that never bear a body."""

SAFE_METHODS: Final = ("GET", "HEAD")


class IncomingRequest(NamedTuple):
    """The head of a request as it arrived.

    Attributes:
        method: For example ``GET``.
        target: Path and query as they were written.
        headers: All headers, names in lower case.
        arrived_at: When the head was complete, by trio's clock.
    """

    method: str
    target: str
    headers: Headers
    arrived_at: float


class ReadBody(NamedTuple):
    """A request's body.

    Attributes:
        read: What was read ahead.
        rest: The rest as it arrives; None if ``read`` is the whole body.
    """

    read: bytes
    rest: AsyncIterator[bytes] | None


class CallerExchange:
    """One request and its reply.

    It has a parser of its own: h11 parses no further request before the reply to the last one is
    out, but those that a caller sends ahead are served at the same time.
    """

    def __init__(
        self,
        *,
        request: IncomingRequest,
        parser: h11.Connection,
        incoming: CallerInput,
        stream: trio.SocketStream,
        bounds: Callable[[], CallerBounds],
        closes_after: Callable[["CallerExchange"], bool],
        previous: "CallerExchange | None",
    ) -> None:
        """Begin to serve a request whose head was read.

        Args:
            request: Its head.
            parser: Has parsed the head, and nothing behind it.
            incoming: Where its body comes from.
            stream: Where its reply goes to.
            bounds: What callers may send.
            closes_after: Whether the connection shall end with the reply to this exchange.
            previous: The request before it on the connection; None if it is the first.
        """
        self._request = request
        self._parser = parser
        self._incoming = incoming
        self._stream = stream
        self._bounds = bounds
        self._closes_after = closes_after
        self._previous = previous
        self._has_body = has_body(request.headers)
        self._body_bytes = 0
        self._reply_has_body = True
        self._request_read = trio.Event()
        self._finished = trio.Event()
        self._waited_s = 0.0
        if not self._has_body:
            # Until its end was asked for, the request counts as not read, and its connection would
            # be closed with the reply.
            self._next_event()

    @property
    def request(self) -> IncomingRequest:
        """The head of the request."""
        return self._request

    @property
    def is_safe(self) -> bool:
        """Whether it may be served while others on the connection are (RFC 9112, section 9.3.2)."""
        return self._request.method in SAFE_METHODS and not self._has_body

    @property
    def is_replied(self) -> bool:
        """Whether the whole reply is out."""
        return self._parser.our_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def can_be_followed(self) -> bool:
        """Whether another request may come behind it on the connection."""
        return self._parser.their_state is h11.DONE and self._parser.our_state is not h11.MUST_CLOSE

    @property
    def is_http_1_0(self) -> bool:
        """Whether the caller speaks HTTP/1.0, where the end of a connection may end a body."""
        return self._parser.their_http_version == b"1.0"

    @property
    def waited_s(self) -> float:
        """How long the reply waited for those before it, in seconds."""
        return self._waited_s

    async def wait_request_read(self) -> None:
        """Wait until the request was read to its end, or its reply is over."""
        await self._request_read.wait()

    async def wait_turn(self) -> None:
        """Wait until the requests before it have their replies.

        Raises:
            CallerGone: One of them broke off, so that nothing may follow.
        """
        if self._previous is None:
            return
        began = trio.current_time()
        await self._previous._finished.wait()
        self._waited_s += trio.current_time() - began
        if not self._previous.is_replied:
            raise CallerGone
        self._previous = None

    def mark_finished(self) -> None:
        """Its reply is out, or never will be."""
        self._request_read.set()
        self._finished.set()

    async def read_body(self, max_bytes: int) -> ReadBody:
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
        async for part in self._read_body_parts():
            parts += part
            if len(parts) > max_bytes:
                return ReadBody(bytes(parts), self._read_body_parts())
        return ReadBody(bytes(parts), None)

    async def reply(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole reply; ``headers`` without any framing."""
        await self.wait_turn()
        length = (b"content-length", str(len(body)).encode())
        head = self._encode_head(status, [*headers, length])
        data = self._encode_data(body)
        await self._write(head + data + (self._parser.send(h11.EndOfMessage()) or b""))

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a reply whose body follows in parts."""
        await self.wait_turn()
        await self._write(self._encode_head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._write(self._encode_data(data))

    async def finish(self) -> None:
        """End the body: from here on the reply is whole."""
        await self._write(self._parser.send(h11.EndOfMessage()) or b"")

    async def reply_with_error(self, status: HTTPStatus, body: bytes) -> None:
        """Reply with a failure of our own.

        Raises:
            CallerGone: Another reply has begun, and can only be broken off.
        """
        if self._parser.our_state is not h11.SEND_RESPONSE:
            raise CallerGone
        await self.reply(status, (), body)

    async def refuse(self, status: HTTPStatus, reason: str) -> None:
        """Reply to what can't be served as it is, and end the connection with that."""
        log_event("request-refused", status=status.value, reason=reason)
        await self.wait_turn()
        await send_refusal(self._parser, self._write, status, reason)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        sent = list(headers)
        # What was not read of a body would stand before the next request.
        if self._parser.their_state is h11.SEND_BODY or self._closes_after(self):
            sent.append((b"connection", b"close"))
        self._reply_has_body = self._request.method != "HEAD" and status not in BODILESS_STATUSES
        return self._parser.send(h11.Response(status_code=status, headers=sent)) or b""

    def _encode_data(self, body: bytes) -> bytes:
        return self._parser.send(h11.Data(data=body)) or b"" if self._reply_has_body else b""

    async def _read_body_parts(self) -> AsyncIterator[bytes]:
        max_bytes = self._bounds().body_bytes
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._incoming.wait_for_data()
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > max_bytes:
                    raise h11.RemoteProtocolError(
                        f"a body of more than {max_bytes} bytes",
                        error_status_hint=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    )
                yield bytes(event.data)
            else:
                return

    def _next_event(self) -> Any:
        event = next_event(self._parser, self._incoming)
        if isinstance(event, h11.EndOfMessage):
            # What stands behind belongs to the next request, which has a parser of its own.
            self._incoming.push_back(self._parser.trailing_data[0])
            self._request_read.set()
        return event

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        sent_whole = False
        try:
            with trio.move_on_after(WRITE_TIMEOUT_S):
                await self._stream.send_all(data)
                sent_whole = True
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGone from error
        finally:
            # Nothing may follow what was sent of a part, whatever ended it.
            if not sent_whole:
                self._incoming.mark_closed()
        if not sent_whole:
            raise CallerGone


def next_event(parser: h11.Connection, incoming: CallerInput) -> Any:
    """The next event of a parser, fed with what has arrived."""
    event = parser.next_event()
    while event is h11.NEED_DATA and not incoming.is_empty:
        parser.receive_data(incoming.take())
        event = parser.next_event()
    return event


async def send_refusal(
    parser: h11.Connection,
    write: Callable[[bytes], Awaitable[None]],
    status: HTTPStatus,
    reason: str,
) -> None:
    """Send a refusal that ends the connection, unless another reply has begun.

    Raises:
        CallerGone: It could not be sent; a reply that has begun can't be replaced.
    """
    if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        raise CallerGone
    body = reason.encode()
    response = h11.Response(
        status_code=status,
        headers=[(b"content-length", str(len(body)).encode()), (b"connection", b"close")],
    )
    await write(
        (parser.send(response) or b"")
        + (parser.send(h11.Data(data=body)) or b"")
        + (parser.send(h11.EndOfMessage()) or b"")
    )

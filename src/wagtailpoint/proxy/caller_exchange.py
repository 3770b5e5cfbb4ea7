"""A caller's request and its reply, which is sent after the replies to all earlier requests."""

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
"""The connection is closed if the caller does not accept a part of the reply within this time. No
request has a longer deadline."""

BODILESS_STATUSES: Final = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
"""Statuses of responses that never have a body."""

SAFE_METHODS: Final = ("GET", "HEAD")


class IncomingRequest(NamedTuple):
    """The head of a received request.

    Attributes:
        method: For example ``GET``.
        target: Path and query as received.
        headers: All headers, with names in lower case.
        arrived_at: Trio time at which the head was complete, in seconds.
    """

    method: str
    target: str
    headers: Headers
    arrived_at: float


class ReadBody(NamedTuple):
    """A request body that was read up to a size limit.

    Attributes:
        read: The part that has been read.
        rest: The rest as it arrives; None if ``read`` is the complete body.
    """

    read: bytes
    rest: AsyncIterator[bytes] | None


class CallerExchange:
    """Reads the body of one request and sends its reply.

    Each exchange has a separate parser, since an h11 parser accepts no further request before the
    reply to the previous one was sent, but pipelined requests are served concurrently.
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
        """Initialise the exchange of a request whose head has been parsed.

        Args:
            request: The head of the request.
            parser: The parser that has parsed the head and nothing after it.
            incoming: The input of the connection, from which the body is read.
            stream: The stream to which the reply is sent.
            bounds: Returns the limits on callers' requests.
            closes_after: Returns whether the connection must end with the reply to this exchange.
            previous: The exchange before this one on the connection; None for the first.
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
        self._wants_close = False
        if not self._has_body:
            # The parser reports the end of the request only when asked for the next event. Without
            # this the request would count as unread, and the reply would close the connection.
            self._next_event()

    @property
    def request(self) -> IncomingRequest:
        """The head of the request."""
        return self._request

    @property
    def is_safe(self) -> bool:
        """Whether the request may be served concurrently with others (RFC 9112, section 9.3.2)."""
        return self._request.method in SAFE_METHODS and not self._has_body

    @property
    def is_replied(self) -> bool:
        """Whether the complete reply was sent."""
        return self._parser.our_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def is_reply_begun(self) -> bool:
        """Whether a part of the reply may have been sent."""
        return self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def can_be_followed(self) -> bool:
        """Whether another request may follow on the connection."""
        return self._parser.their_state is h11.DONE and self._parser.our_state is not h11.MUST_CLOSE

    @property
    def is_http_1_0(self) -> bool:
        """Whether the caller uses HTTP/1.0, where the end of the connection may end a body."""
        return self._parser.their_http_version == b"1.0"

    @property
    def wants_close(self) -> bool:
        """Whether the connection should end with the reply, if no later request was started."""
        return self._wants_close

    @property
    def waited_s(self) -> float:
        """Time for which the reply waited for the replies before it, in seconds."""
        return self._waited_s

    async def wait_request_read(self) -> None:
        """Wait until the request was read to its end or the exchange has ended."""
        await self._request_read.wait()

    async def wait_turn(self) -> None:
        """Wait until all earlier requests on the connection have been replied to.

        Raises:
            CallerGone: An earlier reply was not completed, so that none may follow.
        """
        if self._previous is None:
            return
        began = trio.current_time()
        await self._previous._finished.wait()
        self._waited_s += trio.current_time() - began
        if not self._previous.is_replied:
            raise CallerGone
        self._previous = None

    def close_after_reply(self) -> None:
        """End the connection with the reply to this exchange, if no later request was started."""
        self._wants_close = True

    def mark_finished(self) -> None:
        """Mark the exchange as ended, with or without a complete reply."""
        self._request_read.set()
        self._finished.set()

    async def read_body(self, max_bytes: int) -> ReadBody:
        """Read the request body up to ``max_bytes``, leaving a longer rest to be streamed.

        Raises:
            CallerGone: The caller closed the connection.
            h11.RemoteProtocolError: The body violates HTTP or exceeds the caller bounds.
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
        """Send a complete reply; ``headers`` must not contain framing headers."""
        await self.wait_turn()
        length = (b"content-length", str(len(body)).encode())
        head = self._encode_head(status, [*headers, length])
        data = self._encode_data(body)
        await self._write(head + data + (self._parser.send(h11.EndOfMessage()) or b""))

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a reply whose body is sent with ``send`` and ``finish``."""
        await self.wait_turn()
        await self._write(self._encode_head(status, headers))

    async def send(self, data: bytes) -> None:
        """Send a part of the reply's body."""
        await self._write(self._encode_data(data))

    async def finish(self) -> None:
        """End the body, which completes the reply."""
        await self._write(self._parser.send(h11.EndOfMessage()) or b"")

    async def reply_with_error(self, status: HTTPStatus, body: bytes) -> None:
        """Reply with an error that this instance caused.

        Raises:
            CallerGone: Another reply has begun and can't be replaced.
        """
        if self._parser.our_state is not h11.SEND_RESPONSE:
            raise CallerGone
        await self.reply(status, (), body)

    async def refuse(self, status: HTTPStatus, reason: str) -> None:
        """Refuse an invalid request and end the connection after the reply."""
        log_event("request-refused", status=status.value, reason=reason)
        await self.wait_turn()
        await send_refusal(self._parser, self._write, status, reason)

    def _encode_head(self, status: int, headers: Headers) -> bytes:
        sent = list(headers)
        # The unread rest of a body would be parsed as the next request.
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
                        f"request body exceeds the limit of {max_bytes} bytes",
                        error_status_hint=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                    )
                yield bytes(event.data)
            else:
                return

    def _next_event(self) -> Any:
        event = next_event(self._parser, self._incoming)
        if isinstance(event, h11.EndOfMessage):
            # Further bytes belong to the next request, which is parsed by another parser.
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
            # After a partial write, also a cancelled one, nothing further may be sent.
            if not sent_whole:
                self._incoming.mark_closed()
        if not sent_whole:
            raise CallerGone


def next_event(parser: h11.Connection, incoming: CallerInput) -> Any:
    """Return the next event of a parser after feeding it the received data."""
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
    """Send a refusal that ends the connection.

    Raises:
        CallerGone: Another reply has begun and can't be replaced.
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

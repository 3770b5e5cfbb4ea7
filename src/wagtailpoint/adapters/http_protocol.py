"""HTTP/1.1 towards callers: hypercorn's protocol with every error answered by a refusal."""

from collections.abc import Callable
from http import HTTPStatus
from time import time
from typing import NamedTuple
from wsgiref.handlers import format_date_time

import h11
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.events import Body, EndBody, Event, Response
from hypercorn.protocol.events import Request as RequestEvent
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.typing import H11SendableEvent

from wagtailpoint.admission.refusal import Refusal, RefusalCode
from wagtailpoint.ports.backend import Headers
from wagtailpoint.verdict import Verdict

BODY_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

BAD_REQUEST_RETRY_AFTER_S = 60.0
SLOW_RETRY_AFTER_S = 1.0


def refuse_unread(status: HTTPStatus, code: RefusalCode, reason: str, retry_s: float) -> Refusal:
    """Return the refusal of a request whose headers were not read.

    Its verdict is `may-have-run`: without the idempotency key the entry can't rule out that this is
    a retry of a request that ran. A `not-run` here would let a release be paid twice.
    """
    return Refusal(status, code, reason, Verdict.MAY_HAVE_RUN, retry_s)


class QuickReply(NamedTuple):
    """A complete reply from memory, sent without a call of the application.

    Attributes:
        status: HTTP status.
        headers: All headers.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes


QuickHandler = Callable[[bytes, Headers], QuickReply | None]
"""Answers a GET by its target and headers; returns None to leave it to the application."""


class CallerProtocol(H11Protocol):
    """The HTTP/1.1 protocol on the connection of one caller.

    Differences from hypercorn's protocol: errors are refusals with a body; upgrades are ignored and
    HTTP/2 is refused; `100 Continue` is sent when the body is read, not before; the headers of a
    response are sent together with the first part of its body; the end of the connection does not
    wait for the application to notice it.
    """

    _held_head = b""
    quick: QuickHandler | None = None
    is_leaving: Callable[[], bool] = staticmethod(lambda: False)

    @property
    def head_is_unfinished(self) -> bool:
        """Whether a request's headers have arrived in part but not completely."""
        return self.connection.their_state is h11.IDLE and bool(self.connection.trailing_data[0])

    @property
    def has_unread_body(self) -> bool:
        """Whether the reply is complete but the request's body was not read to its end."""
        return self.connection.our_state in (h11.DONE, h11.MUST_CLOSE) and (
            self.connection.their_state in (h11.SEND_BODY, h11.ERROR)
        )

    @property
    def end_is_ambiguous(self) -> bool:
        """Whether closing the connection would look like the regular end of the reply.

        In HTTP/1.0 the end of the connection ends a body without a length.
        """
        connection = self.connection
        unfinished = connection.our_state is h11.SEND_BODY
        return (
            unfinished
            and isinstance(connection, h11.Connection)
            and connection.their_http_version == b"1.0"
        )

    async def refuse(self, refusal: Refusal) -> None:
        """Refuse a request before it reaches the application, and end the connection."""
        if self.connection.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = refusal.body()
            headers = [
                *refusal.headers(),
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
                *self.config.response_headers("h11"),
            ]
            await self._send_h11_event(h11.Response(status_code=refusal.status, headers=headers))
            await self._send_h11_event(h11.Data(data=body))
            await self._send_h11_event(h11.EndOfMessage())
        await self.send(Closed())

    async def send_continue(self) -> None:
        """Send `100 Continue` if the caller waits for it."""
        if self.connection.they_are_waiting_for_100_continue:
            await self._send_h11_event(h11.InformationalResponse(status_code=100, headers=[]))
            await self.flush()

    async def flush(self) -> None:
        """Send the headers of a response at once, without waiting for a part of its body."""
        held_head, self._held_head = self._held_head, b""
        if held_head:
            await self._write(held_head)

    async def stream_send(self, event: Event) -> None:
        """Send an event of the application to the caller."""
        if isinstance(event, Response):
            headers = self._with_connection_headers(event.headers)
            response = h11.Response(status_code=event.status_code, headers=headers)
            await self._send_h11_event(response)
        else:
            await super().stream_send(event)

    def _with_connection_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        complete = list(headers)
        if all(name != b"date" for name, _ in headers):
            complete += self.config.response_headers("h11")
        # The unread rest of a body would be parsed as the next request; and a leaving instance
        # closes its connections soon, possibly while the next request is being sent.
        must_close = self.connection.their_state is h11.SEND_BODY or self.is_leaving()
        if must_close or self.keep_alive_requests >= self.config.keep_alive_max_requests:
            complete.append((b"connection", b"close"))
        return complete

    async def _handle_events(self) -> None:
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                await self.refuse(_malformed_refusal(error))
                return
            if isinstance(event, h11.Request):
                refusal = _check_head(event)
                if refusal is not None:
                    await self.refuse(refusal)
                    return
                await self.send(Updated(idle=False))
                quick = self._quick_reply(event)
                if quick is None:
                    await self._create_stream(event)
                else:
                    await self._send_quick(quick)
            elif event is h11.PAUSED:
                # A pipelined request stays in the parser until the previous reply has ended.
                await self.can_read.clear()
                await self.can_read.wait()
            elif self.stream is None or not isinstance(event, h11.Data | h11.EndOfMessage):
                return
            elif isinstance(event, h11.Data):
                await self.stream.handle(Body(STREAM_ID, data=bytes(event.data)))
            else:
                await self.stream.handle(EndBody(STREAM_ID))

    async def _create_stream(self, request: h11.Request) -> None:
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        self.keep_alive_requests += 1
        event = RequestEvent(
            STREAM_ID,
            headers=list(request.headers),
            http_version=request.http_version.decode(),
            method=request.method.decode("ascii").upper(),
            raw_path=request.target,
            state=self.connection_state,
        )
        await self.stream.handle(event)

    def _quick_reply(self, request: h11.Request) -> QuickReply | None:
        if self.quick is None or request.method != b"GET":
            return None
        headers = list(request.headers)
        if any(name in BODY_HEADERS for name, _ in headers):
            return None
        return self.quick(request.target, headers)

    async def _send_quick(self, reply: QuickReply) -> None:
        """Send a reply from the reading task, without the task and queue of an application."""
        connection = self.connection
        connection.next_event()  # Consumes the end of the request, which has no body.
        response = h11.Response(
            status_code=reply.status, headers=self._with_connection_headers(reply.headers)
        )
        await self._write(
            (connection.send(response) or b"")
            + (connection.send(h11.Data(data=reply.body)) or b"")
            + (connection.send(h11.EndOfMessage()) or b"")
        )
        await self._maybe_recycle()

    async def _send_h11_event(self, event: H11SendableEvent) -> None:
        try:
            data = self.connection.send(event) or b""
        except h11.LocalProtocolError:
            # After a protocol error of the caller the refusal has been sent already; the
            # application's reply is dropped.
            if self.connection.their_state is not h11.ERROR:
                raise
            return
        if isinstance(event, h11.Response):
            self._held_head = data
        elif isinstance(event, h11.InformationalResponse):
            await self._write(data)
        elif data or self._held_head:
            held_head, self._held_head = self._held_head, b""
            await self._write(held_head + data)

    async def _write(self, data: bytes) -> None:
        await self.send(RawData(data=data))

    async def _close_stream(self) -> None:
        # Hypercorn's method puts a message into the application's queue. If the queue is full,
        # because the application stopped reading the body, it blocks forever, and the connection,
        # its tasks and its buffers are never freed. The connection cancels the request instead.
        if self.stream is not None:
            self.stream.closed = True
            self.stream = None


def _malformed_refusal(error: h11.RemoteProtocolError) -> Refusal:
    status = HTTPStatus(error.error_status_hint)
    reason = f"given bytes that are not a valid HTTP/1.1 request: {error}"
    return refuse_unread(status, RefusalCode.BAD_REQUEST, reason, BAD_REQUEST_RETRY_AFTER_S)


def _check_head(request: h11.Request) -> Refusal | None:
    if request.http_version not in (b"1.0", b"1.1"):
        # Hypercorn's HTTP/2 is not used: a DATA frame that arrives after the reply has ended raises
        # KeyError in it, and a reply that breaks off leaves its stream open, so that the caller
        # waits until its own timeout.
        return refuse_unread(
            HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            RefusalCode.BAD_REQUEST,
            f"given HTTP/{request.http_version.decode('ascii')}, expected HTTP/1.1",
            BAD_REQUEST_RETRY_AFTER_S,
        )
    names = {name for name, _ in request.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        return refuse_unread(
            HTTPStatus.BAD_REQUEST,
            RefusalCode.BAD_REQUEST,
            "given both Content-Length and Transfer-Encoding, expected one of them",
            BAD_REQUEST_RETRY_AFTER_S,
        )
    return None


def slow_head_refusal() -> Refusal:
    """Return the refusal of a request whose headers are incomplete after the timeout."""
    return refuse_unread(
        HTTPStatus.REQUEST_TIMEOUT,
        RefusalCode.HEADERS_TOO_SLOW,
        "the request's headers did not arrive in time",
        SLOW_RETRY_AFTER_S,
    )


class ServerConfig(Config):
    """Hypercorn's configuration; the `Date` header is formatted once a second, not per reply."""

    _date_s = 0
    _date: list[tuple[bytes, bytes]] = []

    def response_headers(self, protocol: str) -> list[tuple[bytes, bytes]]:
        """Return the headers that are added to every reply."""
        now = int(time())
        if now != self._date_s:
            self._date_s = now
            self._date = [(b"date", format_date_time(now).encode("ascii"))]
        return self._date

"""HTTP/1.1 connections to backend servers, each carrying one exchange at a time.

Uses h11 over a trio stream because httpcore lacks three features needed here: reading the response
while a long request is still being sent, skipping a response to another request, and not reusing a
connection that has received bytes after the end of a response.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Final, NamedTuple

import h11
import trio

from wagtailpoint.ports.backend import BodyBroken, FailureReason, Headers
from wagtailpoint.proxy.caller_input import CallerGone
from wagtailpoint.proxy.headers import HeaderNames, end_to_end_headers, header_value
from wagtailpoint.proxy.request_encoding import OutgoingRequest, encode_head
from wagtailpoint.relay.marked_end import RelayedStream
from wagtailpoint.response_head import HeadCheck, InvalidHead
from wagtailpoint.untrusted_input import parse_count
from wagtailpoint.verdict import Verdict

READ_BYTES = 64 * 1024

MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024
"""Responses up to this size are read completely before being forwarded, so that a truncated one can
be replaced by another backend server's response. Longer responses are streamed."""

MAX_INLINE_REQUEST_BYTES = 4 * 1024
"""Requests with a body up to this size are sent before the response is awaited. Longer ones are
sent while it is awaited, since a backend server may respond and stop reading the request."""

MAX_MISMATCHED_RESPONSES = 3
"""The exchange fails after this number of responses to other requests."""

MAX_INFORMATIONAL_RESPONSES = 16
MAX_SKIPPED_BYTES = 1024 * 1024
"""The exchange fails beyond this number of informational responses (RFC 9110, section 15.2), and
beyond this length of a response to another request."""

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time after which a connection is not reused if the backend server sends no ``Keep-Alive``
timeout; below the shortest common server timeout (5 s)."""

IDLE_TIMEOUT_FRACTION = 0.8
"""Fraction of the backend server's idle timeout for which a connection is reused, so that a request
is not sent while the backend server closes the connection."""

MISDIRECTED: Final = 421


def ignore_heard(*, on_new_connection: bool) -> None:
    """Ignore that a backend server was heard."""


def ignore_head(status: int, headers: Headers) -> None:
    """Ignore the head of a response."""


class BackendReply(NamedTuple):
    """A backend server's response to a request.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers, without framing headers.
        body: The body, or its beginning.
        rest: The rest of a long body; None if ``body`` is complete. Raises ``BodyBroken``.
        length: The value of ``Content-Length``; None if absent.
        not_run: Whether the backend server states that it did not run the request.
    """

    status: int
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None
    length: int | None
    not_run: bool


class ExchangeFailed(Exception):
    """An exchange ended without a usable response.

    Attributes:
        verdict: ``NOT_RUN`` only if no byte of the request can have been sent.
        reason: Why the exchange failed.
        silent: Whether the backend server has answered no request at all since this one was sent.
    """

    def __init__(
        self, verdict: Verdict, reason: FailureReason, detail: str = "", *, silent: bool = False
    ) -> None:
        super().__init__(f"{reason.value} {detail}".strip())
        self.verdict = verdict
        self.reason = reason
        self.silent = silent


class BackendConnection:
    """A connection to a backend server that carries one exchange at a time."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream | RelayedStream,
        names: HeaderNames,
        relay: str = "",
        leaves_region: bool = False,
        on_heard: Callable[..., None] = ignore_heard,
    ) -> None:
        """Initialise an open connection.

        Args:
            stream: The connection.
            names: The deployment's header names.
            relay: The instance that relays it; empty for a direct connection.
            leaves_region: Whether that instance is in another region than the backend server.
            on_heard: Called when bytes arrive, with ``on_new_connection=True`` the first time.
        """
        self._stream = stream
        self._relay = relay
        self._leaves_region = leaves_region
        self._on_heard = on_heard
        self._has_heard = False
        self._names = names
        self._parser = h11.Connection(h11.CLIENT)
        self._head_check = HeadCheck()
        self._request_sent = True
        self._is_unused = True
        self._response_complete = True
        self._end_received = False
        self._idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._idle_since = trio.current_time()

    @property
    def relay(self) -> str:
        """The instance that relays the connection; empty for a direct one."""
        return self._relay

    @property
    def leaves_region(self) -> bool:
        """Whether it is relayed by an instance outside the backend server's region."""
        return self._leaves_region

    @property
    def has_heard(self) -> bool:
        """Whether any byte of the backend server has arrived on the connection."""
        return self._has_heard

    def is_reusable(self) -> bool:
        """Whether the last exchange was completed and no further bytes have arrived.

        Bytes after the end of a response belong to no request, and would be taken for the response
        to the next request on the connection.
        """
        return (
            self._response_complete
            and self._request_sent
            and self._parser.their_state is h11.DONE
            and self._parser.trailing_data == (b"", False)
        )

    def mark_idle(self) -> None:
        """Record that the connection is idle from this moment on."""
        self._idle_since = trio.current_time()

    def has_expired(self) -> bool:
        """Whether the backend server may have closed the connection, or may soon close it."""
        if trio.current_time() - self._idle_since > self._idle_timeout_s:
            return True
        # An idle connection that is readable was closed, or has received unsolicited bytes.
        if isinstance(self._stream, RelayedStream):
            return self._stream.has_input()
        return self._stream.socket.is_readable()

    async def close(self) -> None:
        """Close the connection at once, also during an exchange."""
        # Closes as `trio.aclose_forcefully` does, without its cancelled checkpoint.
        self._stream.socket.close()

    async def exchange(
        self, request: OutgoingRequest, on_head: Callable[[int, Headers], None] = ignore_head
    ) -> BackendReply:
        """Send a request and read its response.

        A caller that cancels the exchange must close the connection and treat the request as one
        that may have run.

        Args:
            request: The request.
            on_head: Called with the status and the headers of each response that arrives, also of
                one to another request.

        Raises:
            ExchangeFailed: The backend server gave no usable response.
        """
        self._is_unused, was_unused = False, self._is_unused
        self._request_sent = self._response_complete = False
        if request.rest is None and len(request.body) <= MAX_INLINE_REQUEST_BYTES:
            await self._send_whole(request)
            outcome = await self._receive(request, was_unused, on_head)
        else:
            self._reset_parser(request)
            # Sent by this task, which has just checked that the request may be sent.
            encoder = await self._send_head(request)
            # The failure is returned because a nursery would wrap an exception in a group.
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_body, request, encoder)
                outcome = await self._receive(request, was_unused, on_head)
                nursery.cancel_scope.cancel()
        if isinstance(outcome, ExchangeFailed):
            raise outcome
        return outcome

    def _reset_parser(self, request: OutgoingRequest) -> None:
        """Create a parser for a further response, or for one to a request that is sent meanwhile.

        The parser is given the request without its body, so that it accepts a response before the
        body has been sent.
        """
        self._head_check = HeadCheck()
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(
            h11.Request(method=request.method, target="/", headers=[(b"host", b"backend")])
        )
        self._parser.send(h11.EndOfMessage())

    async def _send_whole(self, request: OutgoingRequest) -> None:
        # The encoder also parses the response, as the request is complete before that is read.
        self._head_check = HeadCheck()
        self._parser, head = encode_head(request)
        body = self._parser.send(h11.Data(data=request.body)) or b""
        end = self._parser.send(h11.EndOfMessage()) or b""
        # The response may have arrived before the connection was reset.
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_all(head + body + end)
            self._request_sent = True

    async def _send_head(self, request: OutgoingRequest) -> h11.Connection:
        """Send the head of a request; return the encoder of its body."""
        encoder, head = encode_head(request)
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self._stream.send_all(head)
        return encoder

    async def _send_body(self, request: OutgoingRequest, encoder: h11.Connection) -> None:
        try:
            await self._stream.send_all(encoder.send(h11.Data(data=request.body)) or b"")
            if request.rest is not None:
                async for part in request.rest:
                    await self._stream.send_all(encoder.send(h11.Data(data=part)) or b"")
            await self._stream.send_all(encoder.send(h11.EndOfMessage()) or b"")
            self._request_sent = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The response may have arrived before the connection was reset.
            return
        except (CallerGone, h11.ProtocolError):
            # The caller aborted its request; the backend server must not take it as complete.
            await self.close()

    async def _receive(
        self,
        request: OutgoingRequest,
        was_unused: bool,
        on_head: Callable[[int, Headers], None],
    ) -> BackendReply | ExchangeFailed:
        try:
            for _ in range(MAX_MISMATCHED_RESPONSES):
                response = await self._read_response_head()
                on_head(response.status_code, list(response.headers))
                if self._is_response_to(response.headers, request, was_unused):
                    return await self._read_reply(response)
                await self._skip_response(request)
        except h11.RemoteProtocolError as error:
            if self._end_received:
                return _may_have_run(
                    FailureReason.RESET, "connection closed before the end of the response"
                )
            return _may_have_run(FailureReason.BAD_RESPONSE, str(error))
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            return _may_have_run(FailureReason.RESET, str(error))
        except InvalidHead as error:
            return _may_have_run(FailureReason.BAD_RESPONSE, str(error))
        except ExchangeFailed as error:
            return error
        return _may_have_run(FailureReason.CROSSED_ANSWER)

    def _is_response_to(self, headers: Headers, request: OutgoingRequest, was_unused: bool) -> bool:
        """Whether a response belongs to the request.

        A response without a request id is accepted only on a connection that was not used before.
        """
        echoed = header_value(headers, self._names.request_id)
        return echoed == request.request_id if echoed is not None else was_unused

    async def _read_response_head(self) -> h11.Response:
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise _may_have_run(FailureReason.RESET, "connection closed before the response")
        raise _may_have_run(FailureReason.BAD_RESPONSE, "too many informational responses")

    async def _skip_response(self, request: OutgoingRequest) -> None:
        """Discard a response to another request and prepare to parse the next response."""
        skipped_bytes = 0
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            skipped_bytes += len(event.data) if isinstance(event, h11.Data) else 0
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise _may_have_run(FailureReason.CROSSED_ANSWER, "too long to skip")
        left, ended = self._parser.trailing_data
        if ended or self._parser.their_state is not h11.DONE:
            raise _may_have_run(FailureReason.CROSSED_ANSWER)
        self._reset_parser(request)
        if left:
            self._head_check.feed(left)
            self._parser.receive_data(left)

    async def _read_reply(self, response: h11.Response) -> BackendReply:
        headers = list(response.headers)
        self._update_idle_timeout(headers)
        body = bytearray()
        rest: AsyncIterator[bytes] | None = None
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self._response_complete = True
                break
            if not isinstance(event, h11.Data):
                raise _may_have_run(
                    FailureReason.RESET, "connection closed before the end of the body"
                )
            body += event.data
            if len(body) > MAX_BUFFERED_RESPONSE_BYTES:
                rest = self._stream_body()
                break
        length = header_value(headers, b"content-length")
        return BackendReply(
            status=response.status_code,
            headers=end_to_end_headers(headers),
            body=bytes(body),
            rest=rest,
            length=int(length) if length is not None else None,
            not_run=response.status_code == MISDIRECTED
            or header_value(headers, self._names.not_run) is not None,
        )

    async def _stream_body(self) -> AsyncIterator[bytes]:
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    self._response_complete = True
                    return
                if not isinstance(event, h11.Data):
                    raise BodyBroken("connection closed before the end of the body")
                yield bytes(event.data)
        except (h11.RemoteProtocolError, trio.BrokenResourceError) as error:
            raise BodyBroken(str(error)) from error

    async def _next_event(self) -> object:
        event: object = self._parser.next_event()
        while event is h11.NEED_DATA:
            data = await self._stream.receive_some(READ_BYTES)
            if not data and not self._request_sent:
                # The kernel reports a reset once. If a send met it, the read says end of input.
                raise trio.BrokenResourceError("connection ended before the request was sent")
            self._end_received = not data
            if data:
                self._on_heard(on_new_connection=not self._has_heard)
                self._has_heard = True
            self._head_check.feed(data)
            self._parser.receive_data(data)
            event = self._parser.next_event()
        return event

    def _update_idle_timeout(self, headers: Headers) -> None:
        for field in (header_value(headers, b"keep-alive") or b"").split(b","):
            name, _, value = field.strip().partition(b"=")
            timeout_s = parse_count(value) if name.lower() == b"timeout" else None
            if timeout_s is not None:
                self._idle_timeout_s = IDLE_TIMEOUT_FRACTION * timeout_s


def _may_have_run(reason: FailureReason, detail: str = "") -> ExchangeFailed:
    return ExchangeFailed(Verdict.MAY_HAVE_RUN, reason, detail)

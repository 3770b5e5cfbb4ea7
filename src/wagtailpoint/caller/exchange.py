"""HTTP exchanges between the caller and entry instances, with httpcore."""

import math
import secrets
from collections.abc import AsyncIterator, Sequence
from typing import Any, NamedTuple

import httpcore
import trio

from wagtailpoint import headers
from wagtailpoint.adapters.checked_network import CheckedNetwork
from wagtailpoint.response_head import has_delimited_body
from wagtailpoint.tcp_options import LIVENESS_OPTIONS

Headers = Sequence[tuple[bytes, bytes]]

_MIN_REFUSAL_STATUS = 400
_MS_PER_S = 1000
# Hypercorn closes an idle connection after 5 s; a request sent at that moment would be lost.
_KEEPALIVE_TIMEOUT_S = 4.0
ANSWER_MARGIN_S = 0.25
ANSWER_MARGIN_FRACTION = 0.15
"""The deadline sent to the entry is earlier than the caller's timeout by this many seconds, and at
most by this fraction of the remaining time."""

_HTTP_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class EntryAddress(NamedTuple):
    """The address on which an entry instance listens for callers."""

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class Outgoing(NamedTuple):
    """A request of the application, with the headers that all its copies share."""

    method: str
    target: str
    headers: Headers
    body: bytes


class Reply(NamedTuple):
    """A complete response."""

    status: int
    headers: Headers
    body: bytes


class FailedExchange(NamedTuple):
    """An exchange without a complete response.

    Attributes:
        sent: Whether a byte of the request may have been sent.
        reason: What failed, in one word.
    """

    sent: bool
    reason: str


class BrokenReply(Exception):
    """A response is incomplete or belongs to another request."""


class OpenReply:
    """A response whose body has not been read; ``aclose`` must be called in any case."""

    def __init__(self, *, response: httpcore.Response) -> None:
        self._response = response

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Headers:
        """All response headers."""
        return self._response.headers

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body.

        Raises:
            BrokenReply: The body is incomplete.
        """
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except _HTTP_ERRORS as error:
            raise BrokenReply(type(error).__name__) from error

    async def read(self) -> Reply:
        """Read the whole body and close the response."""
        try:
            body = b"".join([chunk async for chunk in self.chunks()])
        finally:
            await self.aclose()
        return Reply(self.status, self.headers, body)

    async def aclose(self) -> None:
        """Release the connection, which is closed unless the body was read to its end."""
        await self._response.aclose()


class _SendTracker:
    """Records, by httpcore's trace, whether a byte of the request may have been sent."""

    def __init__(self) -> None:
        self._sent = False

    @property
    def sent(self) -> bool:
        return self._sent

    async def trace(self, event: str, _info: Any) -> None:
        # `started` precedes the write: from then on the entry may have the request.
        if event.endswith("send_request_headers.started"):
            self._sent = True


class Exchanges:
    """Sends requests to entries over pooled connections."""

    def __init__(self, *, connect_timeout_s: float, idle_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            keepalive_expiry=_KEEPALIVE_TIMEOUT_S,
            retries=0,
            network_backend=CheckedNetwork(),
            socket_options=LIVENESS_OPTIONS,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def exchange(
        self,
        entry: EntryAddress,
        outgoing: Outgoing,
        *,
        until: float,
        deadline: float | None = None,
    ) -> Reply | FailedExchange:
        """Send one copy of a request and read the whole answer, without retries.

        Args:
            entry: The receiving entry.
            outgoing: The request.
            until: End of the wait for the answer, by ``trio.current_time``.
            deadline: Deadline sent to the entry; ``until`` if None. It is later than ``until`` if
                the request may go on after the wait for this copy has ended.
        """
        # `open` enforces the deadline itself: a cancel scope around it would discard its result,
        # and with it whether a byte was sent.
        opened = await self.open(entry, outgoing, until=until, deadline=deadline)
        if not isinstance(opened, OpenReply):
            return opened
        with trio.move_on_at(until):
            try:
                return await opened.read()
            except BrokenReply as broken:
                return FailedExchange(True, str(broken))
        return FailedExchange(True, "deadline")

    async def open(
        self,
        entry: EntryAddress,
        outgoing: Outgoing,
        *,
        until: float,
        deadline: float | None = None,
    ) -> OpenReply | Reply | FailedExchange:
        """Send one copy and wait for the response's headers; the body of a refusal is read too."""
        sent = _SendTracker()
        with trio.move_on_at(until):
            try:
                return await self._open(entry, outgoing, sent, until, deadline or until)
            except _HTTP_ERRORS as error:
                return FailedExchange(sent.sent, type(error).__name__)
            except BrokenReply as broken:
                return FailedExchange(True, str(broken))
        return FailedExchange(sent.sent, "deadline")

    async def _open(
        self,
        entry: EntryAddress,
        outgoing: Outgoing,
        sent: _SendTracker,
        until: float,
        deadline: float,
    ) -> OpenReply | Reply:
        request_id = secrets.token_hex(8).encode()
        now = trio.current_time()
        remaining_s = max(0.0, until - now)
        entry_deadline_s = _subtract_answer_margin(max(0.0, deadline - now))
        request = httpcore.Request(
            method=outgoing.method,
            url=httpcore.URL(
                scheme=b"http",
                host=entry.address.encode(),
                port=entry.port,
                target=outgoing.target.encode(),
            ),
            headers=_wire_headers(entry, outgoing, request_id, entry_deadline_s),
            content=outgoing.body,
            extensions={"trace": sent.trace, "timeout": self._timeouts(remaining_s)},
        )
        response = await self._pool.handle_async_request(request)
        opened = OpenReply(response=response)
        try:
            _check_request_id(response, request_id)
            if not has_delimited_body(outgoing.method, response.status, response.headers):
                # httpcore passes over a failed send; a reset then looks like the end of the body.
                raise BrokenReply("no-length")
            if response.status >= _MIN_REFUSAL_STATUS:
                return await opened.read()
        except BaseException:
            await opened.aclose()
            raise
        return opened

    def _timeouts(self, remaining_s: float) -> dict[str, float]:
        return {
            "connect": min(self._connect_timeout_s, remaining_s),
            "read": max(self._idle_timeout_s, remaining_s),
            "write": max(self._idle_timeout_s, remaining_s),
        }


def _subtract_answer_margin(remaining_s: float) -> float:
    # A refusal that is decided at the deadline would arrive after the end of the caller's wait, and
    # the caller would have to assume that the request may have run.
    return remaining_s - min(ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION * remaining_s)


def _wire_headers(
    entry: EntryAddress, outgoing: Outgoing, request_id: bytes, remaining_s: float
) -> list[tuple[bytes, bytes]]:
    # Rounded up: a deadline of 0 would be refused.
    deadline_ms = str(math.ceil(remaining_s * _MS_PER_S)).encode()
    wire_headers = [
        (b"host", str(entry).encode()),
        (headers.DEADLINE_MS, deadline_ms),
        (headers.REQUEST_ID, request_id),
        *outgoing.headers,
    ]
    if outgoing.body:
        wire_headers.append((b"content-length", str(len(outgoing.body)).encode()))
    return wire_headers


def _check_request_id(response: httpcore.Response, expected_id: bytes) -> None:
    # An answer to another request on this connection (crossed, or late after a timeout) would be
    # taken for this one's: a workspace could read another's data.
    response_id = find_header(response.headers, headers.REQUEST_ID)
    if response_id is not None and response_id != expected_id:
        raise BrokenReply("crossed-answer")


def find_header(header_fields: Headers, name: bytes) -> bytes | None:
    """Return a header's value; ``name`` in lower case."""
    return next((value for key, value in header_fields if key.lower() == name), None)

"""Calls of an object API over HTTP, with httpcore.

The outcome of a write without an answer has to be reported correctly. httpcore's trace shows when
the first byte of a request is written to the socket. Before that, nothing can have changed
(``PlatformUnavailable``); after it, only an answer of the platform itself shows the outcome, and
without one the outcome is unknown (``OutcomeUnknown``).

The time-out of a call applies to the beginning of its answer. From then on it limits the time
without a byte, and the body has to arrive at ``MIN_BYTES_PER_S`` on average: a body of 1 MB takes
1.7 s on a link of 5 Mbit/s, and longer beside other traffic.
"""

import math
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar, cast

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from wagtailpoint.adapters.checked_network import CheckedNetwork
from wagtailpoint.adapters.json_parts import decode_parts
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable
from wagtailpoint.tcp_options import LIVENESS_OPTIONS
from wagtailpoint.untrusted_input import parse_count

_MAX_CONNECTIONS = 32

# A write sent on an idle connection while the platform closes it has an unknown outcome. Servers
# close idle connections after 5 s and more, so they are closed here well before.
_IDLE_TIMEOUT_S = 2.0

MIN_BYTES_PER_S = 64 * 1024
"""Minimum average rate at which the body of an answer arrives; a tenth of a link of 5 Mbit/s."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""A longer answer is given up, so that an endless one does not take the instance's memory."""

_FIRST_BYTE_EVENT = "send_request_headers.started"

# With these statuses the platform itself states that it did not execute the call. No other failure
# proves that: a 500 or 504 may follow a write that took effect.
UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
REFUSALS = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        UNAVAILABLE,
    }
)


_Struct = TypeVar("_Struct", bound=msgspec.Struct)


class Call(NamedTuple):
    """One call of the object API; calls that write are never sent twice.

    Attributes:
        method: For example ``GET``.
        target: Path and query.
        body: The body of the request.
        wait_s: Time for which the platform may hold the call, in seconds.
        max_bytes: Maximum length of the answer's body.
    """

    method: str
    target: str
    body: bytes = b""
    wait_s: float = 0.0
    max_bytes: int = MAX_ANSWER_BYTES

    @property
    def writes(self) -> bool:
        """Whether the call may change something."""
        return self.method != "GET"


class Answer(NamedTuple):
    """The response to a call."""

    status: int
    body: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()

    @property
    def retry_after_s(self) -> float | None:
        """The value of ``Retry-After`` in seconds; None if it is absent or a date."""
        return parse_count(self.header(b"retry-after") or b"")

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given its name in lower case."""
        return _header(self.headers, name)


CallError = OutcomeUnknown | PlatformUnavailable


class AnswerTooLong(PlatformUnavailable):
    """The body of an answer is longer than the call accepts."""


class ObjectCalls:
    """Makes calls of an object API at several addresses; tries the next when one is down."""

    def __init__(self, *, addresses: Sequence[tuple[str, int]], timeout_s: float) -> None:
        """Initialise the client without opening a connection.

        Args:
            addresses: The addresses on which the platform listens, as (address, port).
            timeout_s: Maximum time to the beginning of an answer over all addresses, in seconds; a
                watch may take its waiting time in addition.
        """
        if not addresses:
            raise ValueError("addresses: given none, expected at least one (address, port)")
        self._addresses = tuple(addresses)
        self._timeout_s = timeout_s
        self._preferred = 0
        self._bodies_in_progress = 0
        self._received_at = -math.inf
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_IDLE_TIMEOUT_S,
            network_backend=CheckedNetwork(),
            # A connection can fail without a reset; a watch on it would wait for its whole time and
            # miss every change.
            socket_options=LIVENESS_OPTIONS,
        )

    @property
    def is_receiving(self) -> bool:
        """Whether a body of several parts is arriving."""
        return self._bodies_in_progress > 0

    @property
    def received_at(self) -> float:
        """When a part of a body of several parts arrived last, by trio's clock."""
        return self._received_at

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def read(self, call: Call) -> Result[Answer, PlatformUnavailable]:
        """Make a call that changes nothing, so that a missing answer is no unknown outcome."""
        outcome = await self.send(call)
        if isinstance(outcome, Err) and isinstance(outcome.err_value, OutcomeUnknown):
            return Err(PlatformUnavailable(str(outcome.err_value)))
        return cast("Result[Answer, PlatformUnavailable]", outcome)

    async def write(self, call: Call) -> Result[Answer, CallError]:
        """Make a call that may change something; the answer may be a conflict."""
        outcome = await self.send(call)
        if isinstance(outcome, Ok) and outcome.ok_value.status in REFUSALS:
            return Err(refusal_error(outcome.ok_value))
        return outcome

    async def send(self, call: Call) -> Result[Answer, CallError]:
        """Make a call at one address after another, starting with the last that answered."""
        error: CallError = PlatformUnavailable("no request was sent to the platform")
        count = len(self._addresses)
        deadline = trio.current_time() + self._timeout_s
        for attempt in range(count):
            index = (self._preferred + attempt) % count
            attempt_share_s = (deadline - trio.current_time()) / (count - attempt)
            # A write waits for its answer until the deadline: trying the next address after it was
            # sent would only turn a late answer into an unknown outcome.
            limit_s = deadline - trio.current_time() if call.writes else attempt_share_s
            outcome = await self._attempt(call, self._addresses[index], attempt_share_s, limit_s)
            if isinstance(outcome, Ok) and outcome.ok_value.status != UNAVAILABLE:
                self._preferred = index
                return outcome
            error = (
                outcome.err_value if isinstance(outcome, Err) else refusal_error(outcome.ok_value)
            )
            if isinstance(error, OutcomeUnknown) and call.writes:
                return outcome
        return Err(error)

    async def _attempt(
        self, call: Call, address: tuple[str, int], connect_s: float, limit_s: float
    ) -> Result[Answer, CallError]:
        may_have_sent = False

        async def trace(event: str, _: Any) -> None:
            nonlocal may_have_sent
            may_have_sent = may_have_sent or event.endswith(_FIRST_BYTE_EVENT)

        location = f"{address[0]}:{address[1]}"
        problem = "no answer within the timeout"
        upload_s = len(call.body) / MIN_BYTES_PER_S
        with trio.move_on_after(limit_s + upload_s + call.wait_s) as scope:
            try:
                async with self._pool.stream(
                    call.method,
                    f"http://{location}{call.target}",
                    headers=[("Host", location), ("Content-Type", "application/json")],
                    content=call.body,
                    extensions={
                        "trace": trace,
                        "timeout": {"connect": connect_s, "pool": connect_s},
                    },
                ) as response:
                    body = await self._read_body(response, call, scope, limit_s)
                    return Ok(Answer(response.status, body, response.headers))
            except AnswerTooLong as error:
                if not call.writes:
                    return Err(error)
                problem = str(error)
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as e:
                problem = repr(e)
        message = f"{call.method} {call.target} at {location}: {problem}"
        return Err(OutcomeUnknown(message) if may_have_sent else PlatformUnavailable(message))

    async def _read_body(
        self, response: httpcore.Response, call: Call, scope: trio.CancelScope, stall_s: float
    ) -> bytes:
        """Read the body of an answer; cancel ``scope`` when it arrives too slowly.

        Raises:
            AnswerTooLong: It is longer than the call accepts.
        """
        length = parse_count(_header(response.headers, b"content-length") or b"") or 0
        _check_length(length, call)
        body = bytearray()
        began_at = trio.current_time()
        scope.deadline = began_at + stall_s
        is_long = False
        try:
            async for part in response.aiter_stream():
                body += part
                _check_length(len(body), call)
                now = trio.current_time()
                slow_at = began_at + stall_s + len(body) / MIN_BYTES_PER_S
                scope.deadline = min(now + stall_s, slow_at)
                if len(body) > len(part) or len(body) < length:
                    self._bodies_in_progress += not is_long
                    is_long = True
                    self._received_at = now
        finally:
            self._bodies_in_progress -= is_long
        return bytes(body)


def _header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    return next((value for key, value in headers if key.lower() == name), None)


def _check_length(length: int, call: Call) -> None:
    if length > call.max_bytes:
        raise AnswerTooLong(
            f"{call.method} {call.target}: given {length} bytes, expected {call.max_bytes} at most"
        )


def decode_answer(answer: Answer, wire_type: type[_Struct]) -> Result[_Struct, PlatformUnavailable]:
    """Decode the body of a successful answer; parts of type ``Raw`` are left undecoded."""
    return read_body(answer).and_then(
        lambda body: decode_parts(body, wire_type).map_err(unreadable_error)
    )


def read_body(answer: Answer) -> Result[str, PlatformUnavailable]:
    """Return the body of a successful answer.

    Invalid UTF-8 is replaced, so that it makes only the object that contains it unreadable.
    """
    if answer.status // 100 != 2:
        return Err(refusal_error(answer))
    return Ok(answer.body.decode(errors="replace"))


def unreadable_error(reason: str) -> PlatformUnavailable:
    """Return the error for an answer that can't be decoded."""
    return PlatformUnavailable(f"the platform's answer can't be decoded: {reason}")


def refusal_error(answer: Answer) -> PlatformUnavailable:
    """Return the error for an answer that refuses the call."""
    return PlatformUnavailable(
        f"the platform answered with status {answer.status}", retry_after_s=answer.retry_after_s
    )

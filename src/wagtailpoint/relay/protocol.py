"""The opening of a relayed connection: an HTTP ``CONNECT`` request (RFC 9110, section 9.3.6).

After a 200 the connection carries the bytes of the backend server's connection. Any other status
states that nothing was sent to the backend server.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, NamedTuple

import h11
import trio

from wagtailpoint.discovery.entries import ServerEntry
from wagtailpoint.limits.requested_backoff import RETRY_AFTER, read_backoff
from wagtailpoint.ports.backend import BackendAddress, FailureReason, Headers
from wagtailpoint.proxy.headers import header_value
from wagtailpoint.response_head import HeadCheck, InvalidHead
from wagtailpoint.untrusted_input import parse_count

SENDER: Final = b"relay-sender"
SERVER: Final = b"relay-server"
NUMBER: Final = b"relay-number"
FRAMES: Final = b"relay-frames"
"""Present in a request whose sender expects frames behind the answer, and in the answer of a relay
that sends them; see ``wagtailpoint.relay.marked_end``."""

MAX_HEAD_BYTES: Final = 2048
READ_BYTES: Final = 1024

FAILURE_OF_STATUS: Final[Mapping[int, FailureReason]] = {
    HTTPStatus.BAD_GATEWAY: FailureReason.CONNECT_REFUSED,
    HTTPStatus.GATEWAY_TIMEOUT: FailureReason.CONNECT_TIMEOUT,
}
"""The statuses by which a relay says that it could not reach the backend server, either. All others
concern the relay itself."""


class InvalidOpening(Exception):
    """What arrived is no request, or no answer, that opens a relayed connection."""


class RelayRequest(NamedTuple):
    """A request to relay a connection to a backend server.

    Attributes:
        sender: The incarnation of the instance that asks.
        server_id: The id of the backend server.
        address: Its address as the sender knows it.
        wants_frames: Whether the sender expects frames behind the answer.
    """

    sender: int
    server_id: str
    address: BackendAddress
    wants_frames: bool = False


class RelayAnswer(NamedTuple):
    """The answer to a ``RelayRequest``.

    Attributes:
        status: 200 if the connection is open.
        number: The number of the connection at the relay; 0 if it is not open.
        backoff_s: Seconds for which the backend server wants no requests from the relay, with
            status 429.
        has_frames: Whether the relay sends frames behind the answer.
    """

    status: int
    number: int
    backoff_s: float = 0.0
    has_frames: bool = False


def encode_request(sender: int, entry: ServerEntry) -> bytes:
    """Encode a request for a connection to a backend server."""
    authority = str(entry.address).encode()
    request = h11.Request(
        method="CONNECT",
        target=authority,
        headers=[
            (b"host", authority),
            (SENDER, str(sender).encode()),
            (SERVER, entry.server_id.encode()),
            (FRAMES, b"1"),
        ],
    )
    return h11.Connection(h11.CLIENT).send(request) or b""


def encode_answer(
    status: HTTPStatus, number: int = 0, backoff_s: float = 0.0, *, has_frames: bool = False
) -> bytes:
    """Encode an answer; see ``RelayAnswer`` for the arguments."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    if status is HTTPStatus.OK:
        lines.append(f"{NUMBER.decode()}: {number}")
        lines += [f"{FRAMES.decode()}: 1"] if has_frames else []
    else:
        lines += ["content-length: 0", "connection: close"]
    if backoff_s:
        lines.append(f"{RETRY_AFTER.decode()}: {backoff_s:.3f}")
    return "\r\n".join([*lines, "", ""]).encode()


async def read_request(stream: trio.SocketStream) -> tuple[RelayRequest, bytes] | None:
    """Read a request; return it with the bytes behind it.

    Returns:
        None if the connection ended before any byte: its opener has changed its mind.

    Raises:
        InvalidOpening: What arrived is no such request.
        trio.BrokenResourceError: The connection was reset.
    """
    parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
    head = await _read_head(stream, parser)
    if not isinstance(head, h11.Request):
        return None
    if head.method != b"CONNECT":
        raise InvalidOpening(f"given method {head.method!r}, expected CONNECT")
    headers = list(head.headers)
    return (
        RelayRequest(
            sender=_parse_number(headers, SENDER),
            server_id=_value(headers, SERVER).decode("latin-1"),
            address=_parse_address(head.target.decode("latin-1")),
            wants_frames=header_value(headers, FRAMES) is not None,
        ),
        parser.trailing_data[0],
    )


async def read_answer(stream: trio.SocketStream) -> RelayAnswer:
    """Read the answer of a relay.

    Raises:
        InvalidOpening: What arrived is no such answer.
        trio.BrokenResourceError: The connection was reset.
    """
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    parser.send(h11.Request(method="CONNECT", target="relay:0", headers=[(b"host", b"relay")]))
    parser.send(h11.EndOfMessage())
    head = await _read_head(stream, parser)
    if not isinstance(head, h11.Response):
        raise InvalidOpening("the connection ended before an answer")
    if head.status_code != HTTPStatus.OK:
        backoff_s = read_backoff(list(head.headers)).unwrap_or(None) or 0.0
        return RelayAnswer(head.status_code, 0, backoff_s)
    if parser.trailing_data[0]:
        raise InvalidOpening("the backend server sent bytes before a request")
    headers = list(head.headers)
    return RelayAnswer(
        head.status_code,
        _parse_number(headers, NUMBER),
        has_frames=header_value(headers, FRAMES) is not None,
    )


async def _read_head(
    stream: trio.SocketStream, parser: h11.Connection
) -> h11.Request | h11.Response | None:
    check = HeadCheck() if parser.our_role is h11.CLIENT else None
    try:
        event = parser.next_event()
        while event is h11.NEED_DATA:
            data = await stream.receive_some(READ_BYTES)
            if check is not None:
                check.feed(data)
            parser.receive_data(data)
            event = parser.next_event()
    except (h11.RemoteProtocolError, InvalidHead) as error:
        raise InvalidOpening(str(error)) from error
    return event if isinstance(event, h11.Request | h11.Response) else None


def _value(headers: Headers, name: bytes) -> bytes:
    value = header_value(headers, name)
    if value is None:
        raise InvalidOpening(f"given no header {name.decode()}, expected one")
    return value


def _parse_number(headers: Headers, name: bytes) -> int:
    value = _value(headers, name)
    number = parse_count(value)
    if number is None:
        raise InvalidOpening(f"{name.decode()}: given {value[:40]!r}, expected a whole number")
    return number


def _parse_address(text: str) -> BackendAddress:
    address, colon, port_text = text.rpartition(":")
    port = parse_count(port_text)
    if not colon or port is None:
        raise InvalidOpening(f"given target {text[:80]!r}, expected ADDRESS:PORT")
    return BackendAddress(address, port)

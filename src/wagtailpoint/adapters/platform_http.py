"""The platform's object API over HTTP, by httpcore and msgspec.

The one thing this module must never get wrong is what it says of a write whose answer did not
come. httpcore's trace tells when the first byte of a request is handed to the socket: before it,
nothing can have changed (``PlatformUnavailable``); after it, only an answer of the platform itself
settles the matter, and without one the outcome is unknown (``OutcomeUnknown``).
"""

from collections.abc import Sequence
from http import HTTPStatus
from types import TracebackType
from typing import Any, Literal, NamedTuple, Self, TypedDict, TypeVar, cast
from urllib.parse import quote, urlencode

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld
from wagtailpoint.ports.platform import (
    Conflict,
    ListedInstance,
    Listing,
    StoredObject,
    WatchBatch,
    WatchEvent,
)

_MOST_CONNECTIONS = 32

# A write that leaves on an idle connection just as the platform closes it has an unknown outcome.
# Servers close idle connections after 5 s and more, so ours are dropped well before.
_IDLE_CONNECTION_S = 2.0

_FIRST_BYTE_EVENT = "send_request_headers.started"

# With these the platform says itself that it did not do what was asked. No other failure proves
# that: a 500 or 504 may come after the write has taken effect.
_UNAVAILABLE = HTTPStatus.SERVICE_UNAVAILABLE
_REFUSALS = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.METHOD_NOT_ALLOWED,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        _UNAVAILABLE,
    }
)


class _WireObject(TypedDict):
    kind: str
    name: str
    version: int
    value: Any


class _WireWritten(TypedDict):
    kind: str
    name: str
    version: int


class _WireListing(TypedDict):
    version: int
    objects: list[_WireObject]


class _WireEvent(TypedDict):
    action: Literal["put", "delete"]
    object: _WireObject


class _WireBatch(TypedDict):
    version: int
    events: list[_WireEvent]


class _WireInstance(TypedDict):
    address: str
    failure_domain: str
    state: Literal["live", "leaving"]


class _WireInstances(TypedDict):
    instances: list[_WireInstance]


class _Call(NamedTuple):
    """One call of the object API; ``writes`` ones are never sent twice."""

    method: str
    target: str
    body: bytes = b""
    wait_s: float = 0.0

    @property
    def writes(self) -> bool:
        return self.method != "GET"


class _Answer(NamedTuple):
    status: int
    body: bytes
    retry_after_s: float | None


_T = TypeVar("_T")
_Lost = OutcomeUnknown | PlatformUnavailable


class HttpPlatform:
    """The object API at one of several addresses; the next is tried when one is down.

    Args:
        addresses: Where the platform listens, as (address, port).
        timeout_s: The longest that a call may take, in seconds, over all addresses; a watch may
            take its waiting time more.
    """

    def __init__(self, *, addresses: Sequence[tuple[str, int]], timeout_s: float) -> None:
        if not addresses:
            raise ValueError("addresses: given none, expected at least one (address, port)")
        self._addresses = tuple(addresses)
        self._timeout_s = timeout_s
        self._preferred = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_MOST_CONNECTIONS, keepalive_expiry=_IDLE_CONNECTION_S
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def get(
        self, *, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        """Read one object; None if there is none."""
        outcome = await self._read(_Call("GET", _object_path(kind, name)))
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        # Only the platform's own `null` says that there is no object: the 404 of something in
        # between would otherwise read as "deleted".
        if answer.status == HTTPStatus.NOT_FOUND and answer.body == b"null":
            return Ok(None)
        if answer.status != HTTPStatus.OK:
            return Err(_refused(answer))
        return _decoded(answer, _WireObject).and_then(lambda wire: _checked(wire, kind, name))

    async def list(self, *, kind: str) -> Result[Listing, PlatformUnavailable]:
        """Read all objects of a kind."""
        outcome = await self._read(_Call("GET", f"/objects/{_quoted(kind)}"))
        return outcome.and_then(lambda answer: _decoded(answer, _WireListing)).map(
            lambda wire: Listing(wire["version"], [StoredObject(**one) for one in wire["objects"]])
        )

    async def put(
        self, *, kind: str, name: str, value: Any, if_version: int
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Write an object if it is at ``if_version`` (``ABSENT``: if it does not exist)."""
        target = f"{_object_path(kind, name)}?if_version={if_version}"
        outcome = await self._write(_Call("PUT", target, msgspec.json.encode(value)), kind, name)
        return outcome.map(lambda wire: StoredObject(kind, name, wire["version"], value))

    async def delete(
        self, *, kind: str, name: str, if_version: int
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Delete an object if it is at ``if_version``."""
        target = f"{_object_path(kind, name)}?if_version={if_version}"
        return (await self._write(_Call("DELETE", target), kind, name)).map(lambda _: None)

    async def watch(
        self, *, kinds: Sequence[str], from_version: int, wait_s: float
    ) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable]:
        """Wait up to ``wait_s`` seconds for changes after ``from_version``."""
        query = urlencode({"kinds": ",".join(kinds), "from": from_version, "wait_s": wait_s})
        outcome = await self._read(_Call("GET", f"/watch?{query}", wait_s=wait_s))
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == HTTPStatus.GONE:
            return Err(WatchTooOld(f"no events since version {from_version}; list again"))
        return _decoded(outcome.ok_value, _WireBatch).map(
            lambda wire: WatchBatch(
                wire["version"],
                [
                    WatchEvent(one["action"], StoredObject(**one["object"]))
                    for one in wire["events"]
                ],
            )
        )

    async def instances(self) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        """Read the platform's list of live and leaving instances."""
        outcome = await self._read(_Call("GET", "/instances"))
        return outcome.and_then(lambda answer: _decoded(answer, _WireInstances)).map(
            lambda wire: [ListedInstance(**one) for one in wire["instances"]]
        )

    async def _read(self, call: _Call) -> Result[_Answer, PlatformUnavailable]:
        outcome = await self._send(call)
        if isinstance(outcome, Err) and isinstance(outcome.err_value, OutcomeUnknown):
            return Err(PlatformUnavailable(str(outcome.err_value)))
        return cast("Result[_Answer, PlatformUnavailable]", outcome)

    async def _write(
        self, call: _Call, kind: str, name: str
    ) -> Result[_WireWritten, Conflict | OutcomeUnknown | PlatformUnavailable]:
        outcome = await self._send(call)
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if answer.status in _REFUSALS:
            return Err(_refused(answer))
        if answer.status == HTTPStatus.CONFLICT:
            return _conflict(answer, kind, name)
        written = _decoded(answer, _WireWritten)
        if isinstance(written, Ok) and _names(written.ok_value, kind, name):
            return written
        return Err(OutcomeUnknown(f"{call.method} {call.target}: {answer.status}, no clear answer"))

    async def _send(self, call: _Call) -> Result[_Answer, _Lost]:
        """Try the addresses in turn, from the last one that answered."""
        lost: _Lost = PlatformUnavailable("the platform was not asked")
        count = len(self._addresses)
        give_up_s = trio.current_time() + self._timeout_s
        for tried in range(count):
            turn = (self._preferred + tried) % count
            share_s = (give_up_s - trio.current_time()) / (count - tried)
            # A write that has left waits for its answer as long as it may: going on to the next
            # address would only turn a late answer into an unknown outcome.
            limit_s = give_up_s - trio.current_time() if call.writes else share_s
            outcome = await self._attempt(call, self._addresses[turn], share_s, limit_s)
            if isinstance(outcome, Ok) and outcome.ok_value.status != _UNAVAILABLE:
                self._preferred = turn
                return outcome
            lost = outcome.err_value if isinstance(outcome, Err) else _refused(outcome.ok_value)
            if isinstance(lost, OutcomeUnknown) and call.writes:
                return outcome
        return Err(lost)

    async def _attempt(
        self, call: _Call, address: tuple[str, int], connect_s: float, limit_s: float
    ) -> Result[_Answer, _Lost]:
        may_have_left = False

        async def trace(event: str, _: Any) -> None:
            nonlocal may_have_left
            may_have_left = may_have_left or event.endswith(_FIRST_BYTE_EVENT)

        where = f"{address[0]}:{address[1]}"
        problem = "no answer in time"
        with trio.move_on_after(limit_s + call.wait_s):
            try:
                response = await self._pool.request(
                    call.method,
                    f"http://{where}{call.target}",
                    headers=[("Host", where), ("Content-Type", "application/json")],
                    content=call.body,
                    extensions={
                        "trace": trace,
                        "timeout": {"connect": connect_s, "pool": connect_s},
                    },
                )
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as e:
                problem = repr(e)
            else:
                retry_after_s = _retry_after_s(response.headers)
                return Ok(_Answer(response.status, response.content, retry_after_s))
        message = f"{call.method} {call.target} at {where}: {problem}"
        return Err(OutcomeUnknown(message) if may_have_left else PlatformUnavailable(message))


def _quoted(part: str) -> str:
    return quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{_quoted(kind)}/{_quoted(name)}"


def _retry_after_s(headers: Sequence[tuple[bytes, bytes]]) -> float | None:
    for name, value in headers:
        if name.lower() == b"retry-after" and value.isdigit():
            return float(value)
    return None


def _refused(answer: _Answer) -> PlatformUnavailable:
    return PlatformUnavailable(
        f"the platform answered {answer.status}", retry_after_s=answer.retry_after_s
    )


def _decoded(answer: _Answer, wire_type: type[_T]) -> Result[_T, PlatformUnavailable]:
    if answer.status != HTTPStatus.OK:
        return Err(_refused(answer))
    try:
        return Ok(msgspec.json.decode(answer.body, type=wire_type))
    except msgspec.DecodeError as error:
        return Err(PlatformUnavailable(f"the platform's answer can't be read: {error}"))


def _names(wire: _WireObject | _WireWritten, kind: str, name: str) -> bool:
    """Whether an answer is about the object asked for; a crossed answer is not."""
    return (wire["kind"], wire["name"]) == (kind, name)


def _checked(
    wire: _WireObject, kind: str, name: str
) -> Result[StoredObject | None, PlatformUnavailable]:
    if not _names(wire, kind, name):
        return Err(PlatformUnavailable(f"asked for {kind}/{name}, answered {wire['name']}"))
    return Ok(StoredObject(**wire))


def _conflict(
    answer: _Answer, kind: str, name: str
) -> Result[_WireWritten, Conflict | OutcomeUnknown | PlatformUnavailable]:
    try:
        current = msgspec.json.decode(answer.body, type=_WireObject | None)
    except msgspec.DecodeError as error:
        return Err(OutcomeUnknown(f"the platform's conflict can't be read: {error}"))
    if current is not None and not _names(current, kind, name):
        return Err(OutcomeUnknown(f"wrote {kind}/{name}, answered {current['name']}"))
    return Err(Conflict(StoredObject(**current) if current else None))

"""The platform's object store; implements the product's port ``ports.platform.Platform``."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from wagtailpoint.adapters.object_calls import (
    Answer,
    Call,
    ObjectCalls,
    decode_answer,
)
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.platform import (
    ABSENT,
    Conflict,
    ListedInstance,
    Listing,
    Page,
    StoredObject,
    WatchBatch,
    WatchEvent,
)

_OBJECTS = "/api/objects"

_T = TypeVar("_T")


class _Metadata(msgspec.Struct):
    Name: str
    # Of the last change of this object; it rises with each change of any object.
    Revision: int = 0


class _Object(msgspec.Struct):
    Metadata: _Metadata
    Spec: Any = None


class _Items(msgspec.Struct):
    # Decoded one by one: anybody may write objects, and one that can't be read must not hide the
    # others.
    items: list[msgspec.Raw]
    HasMore: bool
    StoreRevision: int


class _Event(msgspec.Struct):
    Object: _Object
    Deleted: bool = False


class _Events(msgspec.Struct):
    events: list[msgspec.Raw]
    StoreRevision: int


class ObjectStore:
    """The platform's object store; one kind of object at a time can be watched."""

    def __init__(self, *, address: Endpoint, timeout_s: float, metrics: Metrics) -> None:
        """Make a client without any connection.

        Args:
            address: Where the store listens.
            timeout_s: The longest that a call may take, in seconds; a watch its wait more.
            metrics: Counts the calls, which are all priced: by operation and kind.
        """
        self._calls = ObjectCalls(addresses=[address], timeout_s=timeout_s)
        self._metrics = metrics

    async def aclose(self) -> None:
        """Close all connections."""
        await self._calls.aclose()

    async def get(
        self, *, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        """Read one object; None if there is none."""
        self._count("get", kind)
        outcome = await self._calls.read(Call("GET", _path(kind, name)))
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        return decode_answer(outcome.ok_value, _Object).map(lambda wire: _stored(kind, wire))

    async def peek(self, *, kind: str, after: str) -> Result[Page, PlatformUnavailable]:
        """Read one page cheaply, of names after ``after``; it may be some seconds old."""
        return await self._page("check", kind, after, may_be_stale=True)

    async def list(
        self, *, kind: str, may_be_stale: bool = False
    ) -> Result[Listing, PlatformUnavailable]:
        """Read all objects of a kind, page by page.

        A read that may be stale costs a tenth of another one, and does not count to the rate.
        """
        operation = "list-stale" if may_be_stale else "list"
        found: dict[str, StoredObject] = {}
        # The lowest version of all pages: what changes while the others are read is then told
        # again by the watch, where the version of the last page would miss it. A page that may
        # be stale can be older than the one before.
        versions: list[int] = []
        after: str | None = ""
        while after is not None:
            page = await self._page(operation, kind, after, may_be_stale=may_be_stale)
            if isinstance(page, Err):
                return page
            versions.append(page.ok_value.version)
            found |= {each.name: each for each in page.ok_value.objects}
            after = page.ok_value.last
        return Ok(Listing(min(versions), list(found.values())))

    async def _page(
        self, operation: str, kind: str, after: str, *, may_be_stale: bool
    ) -> Result[Page, PlatformUnavailable]:
        self._count(operation, kind)
        fields = {"AllowStale": "1"} if may_be_stale else {}
        query = urlencode(fields | ({"after": after} if after else {}))
        outcome = await self._calls.read(Call("GET", f"{_path(kind)}?{query}".rstrip("?")))
        answered = outcome.and_then(lambda answer: decode_answer(answer, _Items))
        if isinstance(answered, Err):
            return answered
        wire = answered.ok_value
        items = _readable(kind, wire.items, _Object)
        # A page of which nothing can be read can't be continued from.
        last = items[-1].Metadata.Name if wire.HasMore and items else None
        return Ok(Page(wire.StoreRevision, [_stored(kind, each) for each in items], after, last))

    async def put(
        self, *, kind: str, name: str, value: Any, if_version: int
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Write an object if it is at ``if_version`` (``ABSENT``: if it does not exist)."""
        body = msgspec.json.encode(
            {
                "Metadata": {"Name": name} | ({"Revision": if_version} if if_version else {}),
                "Spec": value,
            }
        )
        call = (
            Call("POST", _path(kind), body)
            if if_version == ABSENT
            else Call("PUT", _path(kind, name), body)
        )
        outcome = await self._write(call, kind)
        if isinstance(outcome, Err):
            return outcome
        written = decode_answer(outcome.ok_value, _Object)
        if isinstance(written, Err):
            return Err(OutcomeUnknown(str(written.err_value)))
        return Ok(_stored(kind, written.ok_value))

    async def delete(
        self, *, kind: str, name: str, if_version: int
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Delete an object if it is at ``if_version``."""
        target = f"{_path(kind, name)}?{urlencode({'Revision': if_version})}"
        return (await self._write(Call("DELETE", target), kind)).map(lambda _: None)

    async def watch(
        self, *, kinds: Sequence[str], from_version: int, wait_s: float
    ) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable]:
        """Wait up to ``wait_s`` seconds for changes of one kind after ``from_version``."""
        if len(kinds) != 1:
            raise ValueError(f"kinds: given {kinds}, expected one: this store watches one a call")
        (kind,) = kinds
        self._count("watch", kind)
        query = urlencode({"Watch": from_version, "WaitMs": int(wait_s * 1000)})
        outcome = await self._calls.read(Call("GET", f"{_path(kind)}?{query}", wait_s=wait_s))
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == HTTPStatus.GONE:
            return Err(WatchTooOld(f"no events since version {from_version}; list again"))
        return decode_answer(outcome.ok_value, _Events).map(
            lambda wire: WatchBatch(
                wire.StoreRevision,
                [
                    WatchEvent("delete" if each.Deleted else "put", _stored(kind, each.Object))
                    for each in _readable(kind, wire.events, _Event)
                ],
            )
        )

    async def instances(self) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        """The platform lists no instances by itself: they register as objects of their own."""
        return Ok([])

    def _count(self, operation: str, kind: str) -> None:
        self._metrics.count(f"store.{operation}.{kind}")

    async def _write(
        self, call: Call, kind: str
    ) -> Result[Answer, Conflict | OutcomeUnknown | PlatformUnavailable]:
        self._count(call.method.lower(), kind)
        outcome = await self._calls.write(call)
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if answer.status == HTTPStatus.CONFLICT:
            return _conflict(answer, kind)
        if answer.status // 100 != 2:
            return Err(OutcomeUnknown(f"{call.method} {call.target}: {answer.status}"))
        return Ok(answer)


def _readable(kind: str, found: Sequence[msgspec.Raw], wire_type: type[_T]) -> list[_T]:
    """Decode the objects or events that can be read."""
    read = []
    for raw in found:
        try:
            read.append(msgspec.json.decode(raw, type=wire_type))
        except msgspec.DecodeError as error:
            log_event("object-unreadable", level="WARNING", kind=kind, error=error)
    return read


def _path(*parts: str) -> str:
    return "/".join((_OBJECTS, *(quote(part, safe="") for part in parts)))


def _stored(kind: str, wire: _Object) -> StoredObject:
    return StoredObject(kind, wire.Metadata.Name, wire.Metadata.Revision, wire.Spec)


def _conflict(answer: Answer, kind: str) -> Err[Conflict | OutcomeUnknown]:
    try:
        current = msgspec.json.decode(answer.body, type=_Object)
    except msgspec.DecodeError as error:
        return Err(OutcomeUnknown(f"the store's conflict can't be read: {error}"))
    return Err(Conflict(_stored(kind, current)))

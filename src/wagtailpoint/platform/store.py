"""Client of the platform's object store; implements ``ports.platform.Platform``."""

import re
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from wagtailpoint.adapters.object_calls import (
    Answer,
    AnswerTooLong,
    Call,
    ObjectCalls,
    decode_answer,
    read_body,
    unreadable_error,
)
from wagtailpoint.adapters.unreadable_objects import UnreadableObjects
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld
from wagtailpoint.node_settings import Endpoint
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.platform.documents import MAX_BYTES_BY_KIND
from wagtailpoint.platform.wire_objects import WireEvents, WireObjects, WirePage, read_name
from wagtailpoint.ports.platform import (
    ABSENT,
    Conflict,
    ListedInstance,
    Listing,
    Page,
    StoredObject,
    WatchBatch,
)
from wagtailpoint.revision import Revision

ERA_HEADER: Final = b"store-era"
"""Rises by one each time the store returns to an earlier copy of its contents."""

_ERA: Final = re.compile(rb"[0-9]{1,18}")

_OBJECTS = "/api/objects"

MAX_WATCH_BYTES: Final = 1536 * 1024
"""Maximum length of the answer to a watch, which has each content that an object has had since. It
leaves room for one object of the greatest length, 1 MiB; beyond that a listing is shorter."""


class ObjectStore:
    """Client of the platform's object store; a watch covers one kind of object."""

    def __init__(
        self, *, address: Endpoint, timeout_s: float, metrics: Metrics, era: StoreEra
    ) -> None:
        """Initialise the client without opening a connection.

        Args:
            address: The address of the store.
            timeout_s: Maximum time to the beginning of an answer, and without a part of it, in
                seconds; a watch may take its waiting time in addition.
            metrics: Counts the calls by operation and kind, as every call is charged for.
            era: Receives the eras of the answers.
        """
        self._calls = ObjectCalls(addresses=[address], timeout_s=timeout_s)
        self._era = era
        self._metrics = metrics
        self._objects = WireObjects(
            unreadable=UnreadableObjects(metrics=metrics), max_bytes_by_kind=MAX_BYTES_BY_KIND
        )

    @property
    def is_receiving(self) -> bool:
        """Whether a body of several parts is arriving."""
        return self._calls.is_receiving

    @property
    def received_at(self) -> float:
        """When a part of a body of several parts arrived last, by trio's clock."""
        return self._calls.received_at

    async def aclose(self) -> None:
        """Close all connections."""
        await self._calls.aclose()

    async def get(
        self, *, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        """Read one object; None if it does not exist."""
        self._count("get", kind)
        outcome = await self._read(Call("GET", _path(kind, name)))
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if answer.status == HTTPStatus.NOT_FOUND:
            return Ok(None)
        return self._read_object(answer, kind)

    async def peek(self, *, kind: str, after: str) -> Result[Page, PlatformUnavailable]:
        """Read one page of names after ``after`` at low cost; it may be some seconds old.

        Only names and versions are read; the values are None.
        """
        read = self._objects.read_versions
        return await self._page("check", kind, after, read=read, may_be_stale=True)

    async def list(
        self, *, kind: str, may_be_stale: bool = False
    ) -> Result[Listing, PlatformUnavailable]:
        """Read all objects of a kind, page by page.

        A read that may be stale costs a tenth of a consistent one and does not count towards the
        rate limit.
        """
        operation = "list-stale" if may_be_stale else "list"
        objects_by_name: dict[str, StoredObject] = {}
        # The listing has the lowest version of all pages, so that a watch from there reports the
        # changes made while the other pages were read; the version of the last page would miss
        # them. A page that may be stale can be older than the previous one.
        versions: list[Revision] = []
        after: str | None = ""
        while after is not None:
            page = await self._page(
                operation, kind, after, read=self._objects.read_all, may_be_stale=may_be_stale
            )
            if isinstance(page, Err):
                return page
            versions.append(page.ok_value.version)
            objects_by_name |= {stored.name: stored for stored in page.ok_value.objects}
            after = page.ok_value.last
        if len({version.era for version in versions}) > 1:
            return Err(PlatformUnavailable(f"{kind}: the store returned while it was listed"))
        return Ok(Listing(min(versions), list(objects_by_name.values())))

    async def _page(
        self,
        operation: str,
        kind: str,
        after: str,
        *,
        read: Callable[[str, Sequence[msgspec.Raw], int], Sequence[StoredObject]],
        may_be_stale: bool,
    ) -> Result[Page, PlatformUnavailable]:
        self._count(operation, kind)
        fields = {"AllowStale": "1"} if may_be_stale else {}
        fields |= {"after": after} if after else {}
        query = urlencode(fields, errors="surrogatepass")
        call = Call("GET", f"{_path(kind)}?{query}".rstrip("?"))
        outcome = await self._read(call, may_be_stale=may_be_stale)
        if isinstance(outcome, Err):
            return outcome
        decoded_page = decode_answer(outcome.ok_value, WirePage)
        if isinstance(decoded_page, Err):
            return decoded_page
        wire, era = decoded_page.ok_value, _era_of(outcome.ok_value)
        objects = read(kind, wire.items, era)
        last = None
        if wire.HasMore:
            # Also of an object that is left out: without it the page would look like the last one.
            last = read_name(wire.items[-1]) if wire.items else None
            if last in (None, after):
                return Err(
                    PlatformUnavailable(f"{kind}: no name follows {after!r}, but objects do")
                )
        received_bytes = len(outcome.ok_value.body)
        return Ok(Page(Revision(era, wire.StoreRevision), objects, after, last, received_bytes))

    async def put(
        self, *, kind: str, name: str, value: Any, if_version: Revision
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Write an object if it is at ``if_version`` (``ABSENT``: if it does not exist)."""
        body = msgspec.json.encode(
            {
                "Metadata": {"Name": name}
                | ({"Revision": if_version.number} if if_version != ABSENT else {}),
                "Spec": value,
            }
        )
        call = (
            Call("POST", _path(kind), body)
            if if_version == ABSENT
            else Call("PUT", _path(kind, name), body)
        )
        outcome = await self._write(call, kind, if_version)
        if isinstance(outcome, Err):
            return outcome
        written = self._read_object(outcome.ok_value, kind)
        return written.map_err(lambda error: OutcomeUnknown(str(error)))

    async def delete(
        self, *, kind: str, name: str, if_version: Revision
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Delete an object if it is at ``if_version``."""
        target = f"{_path(kind, name)}?{urlencode({'Revision': if_version.number})}"
        return (await self._write(Call("DELETE", target), kind, if_version)).map(lambda _: None)

    async def watch(
        self, *, kinds: Sequence[str], from_version: Revision, wait_s: float
    ) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable]:
        """Wait up to ``wait_s`` seconds for changes of one kind after ``from_version``."""
        if len(kinds) != 1:
            raise ValueError(f"kinds: given {kinds}, expected one: a call watches one kind")
        (kind,) = kinds
        self._count("watch", kind)
        query = urlencode({"Watch": from_version.number, "WaitMs": int(wait_s * 1000)})
        target = f"{_path(kind)}?{query}"
        call = Call("GET", target, wait_s=wait_s, max_bytes=MAX_WATCH_BYTES)
        outcome = await self._read(call)
        if isinstance(outcome, Err) and isinstance(outcome.err_value, AnswerTooLong):
            return Err(WatchTooOld(f"{outcome.err_value}; list again"))
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == HTTPStatus.GONE:
            return Err(WatchTooOld(f"no events since version {from_version}; list again"))
        era = _era_of(outcome.ok_value)
        return decode_answer(outcome.ok_value, WireEvents).map(
            lambda wire: WatchBatch(
                Revision(era, wire.StoreRevision),
                self._objects.read_events(kind, wire.events, era),
            )
        )

    async def instances(self) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        """Return no instances: this platform lists none, they register as objects."""
        return Ok([])

    def _count(self, operation: str, kind: str) -> None:
        self._metrics.count(f"store.{operation}.{kind}")

    async def _read(
        self, call: Call, *, may_be_stale: bool = False
    ) -> Result[Answer, PlatformUnavailable]:
        """Make a call that changes nothing; an answer of an era that has ended is none."""
        outcome = await self._calls.read(call)
        if isinstance(outcome, Ok) and not self._is_current(outcome.ok_value) and not may_be_stale:
            return Err(PlatformUnavailable(f"{call.target}: an answer from before the return"))
        return outcome

    def _is_current(self, answer: Answer) -> bool:
        """Record the era of an answer; return whether it is the newest one known."""
        era = _era_of(answer)
        self._era.record(era, source="store")
        return era == self._era.number

    async def _write(
        self, call: Call, kind: str, if_version: Revision
    ) -> Result[Answer, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Make a conditional write.

        The store compares numbers only. A number of an era that has ended may be that of another
        content now, so the condition would say nothing.
        """
        if if_version != ABSENT and if_version.era < self._era.number:
            return Err(PlatformUnavailable(f"{call.target}: revision {if_version} has ended"))
        self._count(call.method.lower(), kind)
        outcome = await self._calls.write(call)
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if not self._is_current(answer):
            return Err(OutcomeUnknown(f"{call.target}: an answer from before the return"))
        if answer.status == HTTPStatus.CONFLICT:
            return self._conflict(answer, kind)
        if answer.status // 100 != 2:
            return Err(OutcomeUnknown(f"{call.method} {call.target}: status {answer.status}"))
        if if_version not in (ABSENT, Revision(_era_of(answer), if_version.number)):
            return Err(OutcomeUnknown(f"{call.target}: the store returned before the write"))
        return Ok(answer)

    def _read_object(self, answer: Answer, kind: str) -> Result[StoredObject, PlatformUnavailable]:
        """Read the object that is the body of a successful answer."""
        body = read_body(answer)
        if isinstance(body, Err):
            return body
        read = self._objects.read(kind, msgspec.Raw(body.ok_value), _era_of(answer))
        return read.map_err(unreadable_error)

    def _conflict(self, answer: Answer, kind: str) -> Err[Conflict | OutcomeUnknown]:
        text = answer.body.decode(errors="replace")
        current = self._objects.read(kind, msgspec.Raw(text), _era_of(answer))
        if isinstance(current, Err):
            reason = f"the store's answer to a conflict can't be decoded: {current.err_value}"
            return Err(OutcomeUnknown(reason))
        return Err(Conflict(current.ok_value))


def _path(*parts: str) -> str:
    return "/".join((_OBJECTS, *(quote(part, safe="") for part in parts)))


def _era_of(answer: Answer) -> int:
    """Return the era of the store's contents that an answer shows; 0 if it does not say."""
    value = answer.header(ERA_HEADER) or b""
    return int(value) if _ERA.fullmatch(value) else 0

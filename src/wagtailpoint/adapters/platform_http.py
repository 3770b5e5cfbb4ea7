"""Client of the platform's object API over HTTP: paths and bodies of its calls."""

import zlib
from collections.abc import Sequence
from http import HTTPStatus
from types import TracebackType
from typing import Any, Literal, Self
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from wagtailpoint.adapters.json_parts import decode_parts, decode_value
from wagtailpoint.adapters.object_calls import (
    Answer,
    Call,
    ObjectCalls,
    decode_answer,
    refusal_error,
)
from wagtailpoint.adapters.unreadable_objects import UnreadableObjects
from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable, WatchTooOld
from wagtailpoint.observe.metrics import Metrics
from wagtailpoint.ports.platform import (
    Conflict,
    ListedInstance,
    Listing,
    StoredObject,
    WatchBatch,
    WatchEvent,
)
from wagtailpoint.revision import Revision


class _WireObject(msgspec.Struct):
    kind: str
    name: str
    version: int
    value: msgspec.Raw


class _WireWritten(msgspec.Struct):
    kind: str
    name: str
    version: int


class _WireListing(msgspec.Struct):
    version: int
    objects: list[msgspec.Raw]


class _WireEvent(msgspec.Struct):
    action: Literal["put", "delete"]
    object: msgspec.Raw


class _WireBatch(msgspec.Struct):
    version: int
    events: list[msgspec.Raw]


class _WireInstance(msgspec.Struct):
    address: str
    failure_domain: str
    state: Literal["live", "leaving"]


class _WireInstances(msgspec.Struct):
    instances: list[_WireInstance]


class HttpPlatform:
    """Client of the object API at several addresses; tries the next when one is down.

    Args:
        addresses: The addresses on which the platform listens, as (address, port).
        timeout_s: Maximum duration of a call over all addresses, in seconds; a watch may take its
            waiting time in addition.
        metrics: Counts the objects that can't be read, by kind.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[tuple[str, int]],
        timeout_s: float,
        metrics: Metrics | None = None,
    ) -> None:
        self._unreadable = UnreadableObjects(metrics=metrics or Metrics())
        self._calls = ObjectCalls(addresses=addresses, timeout_s=timeout_s)

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
        await self._calls.aclose()

    async def get(
        self, *, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        """Read one object; None if it does not exist."""
        outcome = await self._calls.read(Call("GET", _object_path(kind, name)))
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        # Only the platform's own `null` shows that the object does not exist: the 404 of an
        # intermediary would otherwise be taken for a deletion.
        if answer.status == HTTPStatus.NOT_FOUND and answer.body == b"null":
            return Ok(None)
        if answer.status != HTTPStatus.OK:
            return Err(refusal_error(answer))
        return decode_answer(answer, _WireObject).and_then(
            lambda wire: self._requested_object(wire, kind, name)
        )

    async def list(
        self, *, kind: str, may_be_stale: bool = False
    ) -> Result[Listing, PlatformUnavailable]:
        """Read all objects of a kind; ``may_be_stale`` has no effect on this store."""
        outcome = await self._calls.read(Call("GET", f"/objects/{_quoted(kind)}"))
        return outcome.and_then(lambda answer: decode_answer(answer, _WireListing)).map(
            lambda wire: Listing(_revision(wire.version), self._read_objects(wire.objects))
        )

    async def put(
        self, *, kind: str, name: str, value: Any, if_version: Revision
    ) -> Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Write an object if it is at ``if_version`` (``ABSENT``: if it does not exist)."""
        target = f"{_object_path(kind, name)}?if_version={if_version.number}"
        outcome = await self._write(Call("PUT", target, msgspec.json.encode(value)), kind, name)
        return outcome.map(lambda wire: StoredObject(kind, name, _revision(wire.version), value))

    async def delete(
        self, *, kind: str, name: str, if_version: Revision
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Delete an object if it is at ``if_version``."""
        target = f"{_object_path(kind, name)}?if_version={if_version.number}"
        return (await self._write(Call("DELETE", target), kind, name)).map(lambda _: None)

    async def watch(
        self, *, kinds: Sequence[str], from_version: Revision, wait_s: float
    ) -> Result[WatchBatch, WatchTooOld | PlatformUnavailable]:
        """Wait up to ``wait_s`` seconds for changes after ``from_version``."""
        query = urlencode({"kinds": ",".join(kinds), "from": from_version.number, "wait_s": wait_s})
        outcome = await self._calls.read(Call("GET", f"/watch?{query}", wait_s=wait_s))
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == HTTPStatus.GONE:
            return Err(WatchTooOld(f"no events since version {from_version}; list again"))
        return decode_answer(outcome.ok_value, _WireBatch).map(
            lambda wire: WatchBatch(
                _revision(wire.version),
                self._read_events(wire.events),
            )
        )

    async def instances(self) -> Result[Sequence[ListedInstance], PlatformUnavailable]:
        """Read the platform's list of live and leaving instances."""
        outcome = await self._calls.read(Call("GET", "/instances"))
        return outcome.and_then(lambda answer: decode_answer(answer, _WireInstances)).map(
            lambda wire: [
                ListedInstance(entry.address, entry.failure_domain, entry.state)
                for entry in wire.instances
            ]
        )

    async def _write(
        self, call: Call, kind: str, name: str
    ) -> Result[_WireWritten, Conflict | OutcomeUnknown | PlatformUnavailable]:
        outcome = await self._calls.write(call)
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if answer.status == HTTPStatus.CONFLICT:
            return self._conflict(answer, kind, name)
        written = decode_answer(answer, _WireWritten)
        if isinstance(written, Ok) and _is_about(written.ok_value, kind, name):
            return written
        return Err(
            OutcomeUnknown(
                f"{call.method} {call.target}: status {answer.status} without a valid result"
            )
        )

    def _requested_object(
        self, wire: _WireObject, kind: str, name: str
    ) -> Result[StoredObject | None, PlatformUnavailable]:
        if not _is_about(wire, kind, name):
            problem = f"requested {kind}/{name}, the answer is for {wire.name}"
            return Err(PlatformUnavailable(problem))
        return Ok(self._to_stored(wire))

    def _conflict(
        self, answer: Answer, kind: str, name: str
    ) -> Result[_WireWritten, Conflict | OutcomeUnknown | PlatformUnavailable]:
        if answer.body == b"null":
            return Err(Conflict(None))
        decoded = decode_parts(answer.body.decode(errors="replace"), _WireObject)
        if isinstance(decoded, Err):
            reason = f"the platform's answer to a conflict can't be decoded: {decoded.err_value}"
            return Err(OutcomeUnknown(reason))
        current = decoded.ok_value
        if not _is_about(current, kind, name):
            return Err(OutcomeUnknown(f"wrote {kind}/{name}, the answer is for {current.name}"))
        return Err(Conflict(self._to_stored(current)))

    def _to_stored(self, wire: _WireObject) -> StoredObject:
        """Return an object; its value is None if it can't be read."""
        version = _revision(wire.version)
        value = decode_value(wire.value)
        if isinstance(value, Err):
            self._unreadable.record(wire.kind, wire.name, version, value.err_value)
        return StoredObject(wire.kind, wire.name, version, value.unwrap_or(None))

    def _read_objects(self, wire: Sequence[msgspec.Raw]) -> Sequence[StoredObject]:
        """Read objects one by one, without those whose names can't be read."""
        found = []
        for item in wire:
            decoded = decode_parts(item, _WireObject)
            if isinstance(decoded, Err):
                self._unreadable.record("", "", zlib.crc32(item), decoded.err_value)
                continue
            found.append(self._to_stored(decoded.ok_value))
        return found

    def _read_events(self, wire: Sequence[msgspec.Raw]) -> Sequence[WatchEvent]:
        """Read events one by one, without those of objects whose names can't be read."""
        events = []
        for item in wire:
            decoded = decode_parts(item, _WireEvent)
            if isinstance(decoded, Err):
                self._unreadable.record("", "", zlib.crc32(item), decoded.err_value)
                continue
            found = self._read_objects([decoded.ok_value.object])
            events += [WatchEvent(decoded.ok_value.action, stored) for stored in found]
        return events


def _revision(number: int) -> Revision:
    """Return a revision of this store, which never returns to a copy."""
    return Revision(0, number)


def _quoted(part: str) -> str:
    return quote(part, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{_quoted(kind)}/{_quoted(name)}"


def _is_about(wire: _WireObject | _WireWritten, kind: str, name: str) -> bool:
    """Return whether an answer is for the requested object, not for another request."""
    return (wire.kind, wire.name) == (kind, name)

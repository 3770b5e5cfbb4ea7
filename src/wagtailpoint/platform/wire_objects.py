"""Reading of objects in the answers of the platform's store, which is open to any writer."""

import json
import math
import zlib
from collections.abc import Mapping, Sequence
from typing import Annotated, Any, Final, Literal

import msgspec
from result import Err, Ok, Result

from wagtailpoint.adapters.json_parts import decode_parts, decode_value
from wagtailpoint.adapters.unreadable_objects import UnreadableObjects
from wagtailpoint.ports.platform import StoredObject, WatchEvent
from wagtailpoint.revision import Revision

_MAX_REVISION: Final = (1 << 63) - 1


class WirePage(msgspec.Struct):
    """A page of a listing; its objects are decoded one by one."""

    items: list[msgspec.Raw]
    HasMore: bool
    StoreRevision: int


class WireEvents(msgspec.Struct):
    """The answer to a watch; its events are decoded one by one."""

    events: list[msgspec.Raw]
    StoreRevision: int


class _Metadata(msgspec.Struct):
    Name: str
    # The store's revision at the object's last change; each change of any object raises it.
    Revision: Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)] = 0


class _Object(msgspec.Struct):
    Metadata: _Metadata
    Spec: msgspec.Raw = msgspec.Raw(b"null")


class _ObjectVersion(msgspec.Struct):
    Metadata: _Metadata


class _NameText(msgspec.Struct):
    Name: msgspec.Raw


class _NamedObject(msgspec.Struct):
    Metadata: _NameText


class _Event(msgspec.Struct):
    Object: msgspec.Raw
    Deleted: bool = False


def read_name(wire: msgspec.Raw) -> str | None:
    """Return the name of an object, which may have surrogates; None if it has none."""
    decoded = decode_parts(wire, _NamedObject)
    if isinstance(decoded, Err):
        return None
    try:
        # Unlike msgspec, it decodes unpaired surrogates.
        name = json.loads(bytes(decoded.ok_value.Metadata.Name))
    except (ValueError, RecursionError):
        return None
    return name if isinstance(name, str) else None


class WireObjects:
    """Reads objects and events, each without regard to the others.

    An object whose content can't be read has the value None. Its name may say enough, as that of
    an evacuation does; and without it the object would look removed.
    """

    def __init__(
        self, *, unreadable: UnreadableObjects, max_bytes_by_kind: Mapping[str, int]
    ) -> None:
        """Initialise the reader.

        Args:
            unreadable: Counts and logs what can't be read.
            max_bytes_by_kind: Maximum length of the content of some kinds; longer ones count as
                unreadable.
        """
        self._unreadable = unreadable
        self._max_bytes_by_kind = max_bytes_by_kind

    def read(self, kind: str, wire: msgspec.Raw, era: int) -> Result[StoredObject, str]:
        """Read an object.

        Returns:
            The object, or why not even its name and revision can be read.
        """
        decoded = decode_parts(wire, _Object)
        if isinstance(decoded, Err):
            self._unreadable.record(kind, "", zlib.crc32(wire), decoded.err_value)
            return decoded
        found = decoded.ok_value
        revision = Revision(era, found.Metadata.Revision)
        value = self._read_content(kind, found.Spec)
        if isinstance(value, Err):
            self._unreadable.record(kind, found.Metadata.Name, revision, value.err_value)
        return Ok(StoredObject(kind, found.Metadata.Name, revision, value.unwrap_or(None)))

    def _read_content(self, kind: str, content: msgspec.Raw) -> Result[Any, str]:
        max_bytes = self._max_bytes_by_kind.get(kind, math.inf)
        if len(content) > max_bytes:
            return Err(f"given {len(content)} bytes, expected {max_bytes} at most")
        return decode_value(content)

    def read_all(self, kind: str, wire: Sequence[msgspec.Raw], era: int) -> list[StoredObject]:
        """Read the objects of a page, without those whose names can't be read."""
        found = [self.read(kind, item, era) for item in wire]
        return [stored.ok_value for stored in found if isinstance(stored, Ok)]

    def read_versions(self, kind: str, wire: Sequence[msgspec.Raw], era: int) -> list[StoredObject]:
        """Read names and revisions of the objects of a page; their values are None."""
        found = []
        for item in wire:
            decoded = decode_parts(item, _ObjectVersion)
            if isinstance(decoded, Ok):
                metadata = decoded.ok_value.Metadata
                version = Revision(era, metadata.Revision)
                found.append(StoredObject(kind, metadata.Name, version, None))
        return found

    def read_events(self, kind: str, wire: Sequence[msgspec.Raw], era: int) -> list[WatchEvent]:
        """Read the events of a watch, without those of objects whose names can't be read."""
        events = []
        for item in wire:
            event = decode_parts(item, _Event)
            if isinstance(event, Err):
                self._unreadable.record(kind, "", zlib.crc32(item), event.err_value)
                continue
            stored = self.read(kind, event.ok_value.Object, era)
            if isinstance(stored, Ok):
                action: Literal["put", "delete"] = "delete" if event.ok_value.Deleted else "put"
                events.append(WatchEvent(action, stored.ok_value))
        return events

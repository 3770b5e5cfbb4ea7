"""Conditional writes that resolve a lost answer by reading the object back."""

from typing import Any

from result import Err, Ok, Result

from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable
from wagtailpoint.ports.platform import Conflict, Platform, StoredObject
from wagtailpoint.revision import Revision

PutResult = Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]


async def put_settled(
    platform: Platform, *, kind: str, name: str, value: Any, if_version: Revision
) -> PutResult:
    """Write an object conditionally; if the answer is lost, read the object back.

    Args:
        platform: Platform to write to.
        kind: Kind of the object.
        name: Name of the object.
        value: Value to write; it must differ from every other value ever written, so that it can be
            recognised.
        if_version: Version of the object to replace.

    Returns:
        The result of ``Platform.put``. It stays ``OutcomeUnknown`` if the object cannot be read
        back or has not changed *yet*, because the write may still be in transit, and if the store
        has returned to a copy, in which the condition may hold again. The caller must
        then check again later; the write is never repeated here.
    """
    written = await platform.put(kind=kind, name=name, value=value, if_version=if_version)
    if not isinstance(written, Err) or not isinstance(written.err_value, OutcomeUnknown):
        return written
    match await platform.get(kind=kind, name=name):
        case Ok(StoredObject() as stored) if stored.value == value:
            return Ok(stored)
        case Ok(StoredObject() as stored) if (
            stored.version > if_version and stored.version.era == if_version.era
        ):
            return Err(Conflict(stored))
    return written

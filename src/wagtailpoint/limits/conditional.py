"""Conditional writes whose lost answers are settled by reading back."""

from typing import Any

from result import Err, Ok, Result

from wagtailpoint.errors import OutcomeUnknown, PlatformUnavailable
from wagtailpoint.ports.platform import Conflict, Platform, StoredObject

PutResult = Result[StoredObject, Conflict | OutcomeUnknown | PlatformUnavailable]


async def put_settled(
    platform: Platform, *, kind: str, name: str, value: Any, if_version: int
) -> PutResult:
    """Write conditionally; if the answer is lost, read the object back.

    Args:
        platform: Where to write.
        kind: Kind of the object.
        name: Name of the object.
        value: Must be unlike every other value ever written, so that it is known again.
        if_version: The version that it replaces.

    Returns:
        What ``Platform.put`` returns. ``OutcomeUnknown`` remains when the object could not be read
        back or has not changed *yet*: the write may still be on its way. It is then for the caller
        to look again later; nothing is written twice here.
    """
    written = await platform.put(kind=kind, name=name, value=value, if_version=if_version)
    if not isinstance(written, Err) or not isinstance(written.err_value, OutcomeUnknown):
        return written
    match await platform.get(kind=kind, name=name):
        case Ok(StoredObject() as stored) if stored.value == value:
            return Ok(stored)
        case Ok(StoredObject() as stored) if stored.version > if_version:
            return Err(Conflict(stored))
    return written

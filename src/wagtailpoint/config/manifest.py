"""The immutable objects of a change: contents named by their hash, and the manifest over them."""

import hashlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple, TypedDict

import msgspec

from wagtailpoint.errors import InvalidInput, Mistake

CONTENT_KIND = "config-content"
MANIFEST_KIND = "config-manifest"
HEAD_KIND = "config-head"
HEAD_NAME = "current"

MAX_OBJECT_BYTES = 900_000
"""The platform takes values up to a megabyte; the rest is left for its own envelope."""

_NO_HASHES: Mapping[str, str] = MappingProxyType({})


class ChangeInfo(NamedTuple):
    """One accepted change.

    Attributes:
        version: Its place in the one order of changes; the first is 1.
        change_id: Random; by it a change whose answer was lost is recognised.
        author: Who made it.
        time_s: When, by the author's wall clock, in seconds since the epoch; for people only.
        message: Why.
    """

    version: int
    change_id: str
    author: str
    time_s: float
    message: str


class Snapshot(NamedTuple):
    """The whole configuration as of one change.

    Attributes:
        change: The change that made it.
        objects: The value of each object, by ``kind/name``.
        content_hashes: The hash of each object's content, by ``kind/name``, so that the next
            read only fetches what changed.
    """

    change: ChangeInfo
    objects: Mapping[str, Any]
    content_hashes: Mapping[str, str] = _NO_HASHES


class Head(TypedDict):
    """The value of ``config-head/current``, whose conditional update accepts a change."""

    version: int
    manifest: str
    change_id: str


class Manifest(TypedDict):
    """One change as it is stored.

    Attributes:
        parent: The name of the manifest before it; None for the first.
        objects: The hash of each object's content, by ``kind/name``.
    """

    version: int
    change_id: str
    author: str
    time_s: float
    message: str
    parent: str | None
    objects: dict[str, str]


def change_info(manifest: Manifest) -> ChangeInfo:
    """The change that a manifest stores."""
    return ChangeInfo(
        version=manifest["version"],
        change_id=manifest["change_id"],
        author=manifest["author"],
        time_s=manifest["time_s"],
        message=manifest["message"],
    )


def hash_of(value: Any) -> str:
    """The SHA-256 of a value's canonical JSON (sorted keys, no blanks), in hexadecimal."""
    return hashlib.sha256(msgspec.json.encode(value, order="sorted")).hexdigest()


def changed_keys(older: Mapping[str, str], newer: Mapping[str, str]) -> frozenset[str]:
    """The objects that differ between two manifests: put, changed or deleted."""
    return frozenset(key for key in older.keys() | newer.keys() if older.get(key) != newer.get(key))


def check_objects(puts: Mapping[str, Any], deletes: Mapping[str, Any] | frozenset[str]) -> None:
    """Check the objects of a change before the platform is asked.

    Raises:
        InvalidInput: A key is not ``kind/name``, is both put and deleted, or a value is too large.
    """
    mistakes = [
        Mistake(repr(key), "this key", "kind/name, for example 'workspace/surakkha'")
        for key in [*puts, *deletes]
        if not all(key.partition("/"))
    ]
    mistakes += [
        Mistake(key, "both a put and a delete", "one of the two") for key in puts if key in deletes
    ]
    mistakes += [
        mistake for key, value in puts.items() for mistake in _find_size_mistakes(key, value)
    ]
    if mistakes:
        raise InvalidInput(mistakes)


def check_manifest(manifest: Manifest) -> None:
    """Check that a manifest fits into one object of the platform.

    Raises:
        InvalidInput: It is too large.
    """
    size = len(msgspec.json.encode(manifest))
    if size > MAX_OBJECT_BYTES:
        given = f"{len(manifest['objects'])} objects, a manifest of {size} bytes"
        expected = f"at most {MAX_OBJECT_BYTES} bytes; put several values into one object"
        raise InvalidInput([Mistake("configuration", given, expected)])


def _find_size_mistakes(key: str, value: Any) -> list[Mistake]:
    size = len(msgspec.json.encode(value))
    if size <= MAX_OBJECT_BYTES:
        return []
    expected = f"at most {MAX_OBJECT_BYTES} bytes of JSON; split it into several objects"
    return [Mistake(key, f"{size} bytes", expected)]

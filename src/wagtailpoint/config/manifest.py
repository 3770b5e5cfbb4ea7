"""The stored objects of a change: contents named by their hash, the manifest and the head."""

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
"""The platform accepts values up to a megabyte; the rest is reserved for its envelope."""

_NO_HASHES: Mapping[str, str] = MappingProxyType({})


class ChangeInfo(NamedTuple):
    """One accepted change.

    Attributes:
        version: The position in the total order of changes; the first is 1.
        change_id: A random id that identifies a change whose answer was lost.
        author: The name of the person who made the change.
        time_s: The author's wall clock in seconds since the epoch; only displayed.
        message: The reason for the change.
    """

    version: int
    change_id: str
    author: str
    time_s: float
    message: str


class Snapshot(NamedTuple):
    """The whole configuration as of one change.

    Attributes:
        change: The newest change that it includes.
        objects: The value of each object, by ``kind/name``.
        content_hashes: The hash of each object's content, by ``kind/name``; the next read fetches
            only contents with other hashes.
    """

    change: ChangeInfo
    objects: Mapping[str, Any]
    content_hashes: Mapping[str, str] = _NO_HASHES


class Head(TypedDict):
    """The value of ``config-head/current``; updating it conditionally commits a change."""

    version: int
    manifest: str
    change_id: str


class Manifest(TypedDict):
    """The stored form of one change.

    Attributes:
        parent: The name of the previous manifest; None for the first.
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
    """Return the change that a manifest describes."""
    return ChangeInfo(
        version=manifest["version"],
        change_id=manifest["change_id"],
        author=manifest["author"],
        time_s=manifest["time_s"],
        message=manifest["message"],
    )


def compute_hash(value: Any) -> str:
    """Return the SHA-256 of a value's canonical JSON (sorted keys, no spaces) in hexadecimal."""
    return hashlib.sha256(msgspec.json.encode(value, order="sorted")).hexdigest()


def changed_keys(older: Mapping[str, str], newer: Mapping[str, str]) -> frozenset[str]:
    """Return the keys of objects that were added, changed or deleted between two manifests."""
    return frozenset(key for key in older.keys() | newer.keys() if older.get(key) != newer.get(key))


def check_objects(puts: Mapping[str, Any], deletes: Mapping[str, Any] | frozenset[str]) -> None:
    """Check the objects of a change; makes no call to the platform.

    Raises:
        InvalidInput: A key is not ``kind/name`` or is both put and deleted, or a value is larger
            than ``MAX_OBJECT_BYTES``.
    """
    mistakes = [
        Mistake(repr(key), "a key in another form", "kind/name, such as 'workspace/surakkha'")
        for key in [*puts, *deletes]
        if not all(key.partition("/"))
    ]
    mistakes += [
        Mistake(key, "both a put and a delete", "either a put or a delete")
        for key in puts
        if key in deletes
    ]
    mistakes += [
        mistake for key, value in puts.items() for mistake in _find_size_mistakes(key, value)
    ]
    if mistakes:
        raise InvalidInput(mistakes)


def check_manifest(manifest: Manifest) -> None:
    """Check that a manifest fits into one object of the platform.

    Raises:
        InvalidInput: The manifest is larger than ``MAX_OBJECT_BYTES``.
    """
    size = len(msgspec.json.encode(manifest))
    if size > MAX_OBJECT_BYTES:
        given = f"{len(manifest['objects'])} objects, a manifest of {size} bytes"
        expected = f"at most {MAX_OBJECT_BYTES} bytes; merge several objects into one"
        raise InvalidInput([Mistake("configuration", given, expected)])


def _find_size_mistakes(key: str, value: Any) -> list[Mistake]:
    size = len(msgspec.json.encode(value))
    if size <= MAX_OBJECT_BYTES:
        return []
    expected = f"at most {MAX_OBJECT_BYTES} bytes of JSON; split it into several objects"
    return [Mistake(key, f"{size} bytes", expected)]

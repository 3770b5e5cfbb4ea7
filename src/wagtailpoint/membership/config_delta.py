"""Encoded differences between two versions of the configuration."""

import hashlib
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
from result import Err

from wagtailpoint.config.manifest import ChangeInfo, Snapshot, changed_keys, compute_hash
from wagtailpoint.config.packed import pack
from wagtailpoint.untrusted_input import decode_json

MAX_HISTORY_STEPS = 256
MAX_DELTA_BYTES = 64 << 20


class BrokenDelta(Exception):
    """A delta that cannot be read, or whose result does not have the expected digest."""


class Delta(NamedTuple):
    """The operations that turn an older version into a newer one.

    Attributes:
        puts: The values of new and changed objects by ``kind/name``.
        deletes: The ``kind/name`` of objects that the newer version does not have.
    """

    puts: Mapping[str, Any]
    deletes: tuple[str, ...]


class _Step(NamedTuple):
    from_version: int
    changed: frozenset[str]


class _WireDelta(NamedTuple):
    puts: dict[str, msgspec.Raw]
    deletes: tuple[str, ...]


_T = TypeVar("_T")


def add_content_hashes(snapshot: Snapshot) -> Snapshot:
    """Return a snapshot with the missing hashes of its objects filled in."""
    known = snapshot.content_hashes
    hashes = {key: known.get(key) or compute_hash(value) for key, value in snapshot.objects.items()}
    return snapshot._replace(content_hashes=hashes)


def compute_digest(hashes: Mapping[str, str]) -> bytes:
    """Return the digest of a whole configuration, given the hash of each object."""
    lines = "\n".join(f"{key} {hashes[key]}" for key in sorted(hashes))
    return hashlib.sha256(lines.encode()).digest()


def encode_delta(snapshot: Snapshot, changed: frozenset[str]) -> bytes:
    """Encode the operations that bring the objects ``changed`` to their state in a snapshot."""
    puts = {key: snapshot.objects[key] for key in changed if key in snapshot.objects}
    deletes = tuple(sorted(changed - snapshot.objects.keys()))
    return zlib.compress(msgspec.json.encode(Delta(puts, deletes)), level=1)


def apply_delta(
    base: Snapshot | None, data: bytes, *, change: ChangeInfo, digest: bytes
) -> Snapshot:
    """Return the newer configuration that a delta makes of ``base``.

    Raises:
        BrokenDelta: The data cannot be read, or the result does not have ``digest``: a part was
            lost or mixed up, or the sender made the delta for another base.
    """
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, MAX_DELTA_BYTES)
    except zlib.error as error:
        raise BrokenDelta(f"cannot unpack delta of {len(data)} bytes: {error}") from error
    delta = _decode(unpacked, _WireDelta)
    objects = dict(base.objects) if base is not None else {}
    hashes = dict(base.content_hashes) if base is not None else {}
    for key in delta.deletes:
        objects.pop(key, None)
        hashes.pop(key, None)
    for key, raw in delta.puts.items():
        objects[key] = pack(_decode(raw, Any))
        hashes[key] = compute_hash(objects[key])
    if compute_digest(hashes) != digest:
        raise BrokenDelta(
            f"configuration version {change.version} has a wrong digest after applying its delta"
        )
    return Snapshot(change=change, objects=objects, content_hashes=hashes)


def _decode(data: bytes | msgspec.Raw, wire_type: type[_T]) -> _T:
    decoded = decode_json(data, wire_type)
    if isinstance(decoded, Err):
        raise BrokenDelta(f"cannot decode delta: {decoded.err_value}")
    return decoded.ok_value


class DeltaHistory:
    """The objects that changed at each of the last version changes of this instance."""

    def __init__(self) -> None:
        self._steps: list[_Step] = []

    def add(self, older: Snapshot, newer: Snapshot) -> None:
        """Record a change from one version to a newer one."""
        changed = changed_keys(older.content_hashes, newer.content_hashes)
        self._steps.append(_Step(older.change.version, changed))
        del self._steps[:-MAX_HISTORY_STEPS]

    def changed_since(self, version: int) -> frozenset[str] | None:
        """Return at least the objects that changed since a version; None if it is too old."""
        if not self._steps or version < self._steps[0].from_version:
            return None
        # The last step that begins at or before the version and all later ones cover its changes.
        first = max(i for i, step in enumerate(self._steps) if step.from_version <= version)
        return frozenset().union(*(step.changed for step in self._steps[first:]))

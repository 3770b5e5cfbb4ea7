"""What changed between two versions of the configuration, as bytes for one or several messages."""

import hashlib
import zlib
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from wagtailpoint.config.manifest import ChangeInfo, Snapshot, changed_keys, hash_of
from wagtailpoint.config.packed import pack

MAX_HISTORY_STEPS = 256
MAX_DELTA_BYTES = 64 << 20


class BrokenDelta(Exception):
    """A delta that does not lead to the configuration that it promises."""


class Delta(NamedTuple):
    """What to do to an older version.

    Attributes:
        puts: The values of the objects that are new or changed, by ``kind/name``.
        deletes: The objects that are gone.
    """

    puts: Mapping[str, Any]
    deletes: tuple[str, ...]


class _Step(NamedTuple):
    from_version: int
    changed: frozenset[str]


class _WireDelta(NamedTuple):
    puts: dict[str, msgspec.Raw]
    deletes: tuple[str, ...]


_decoder = msgspec.json.Decoder(_WireDelta)


def add_content_hashes(snapshot: Snapshot) -> Snapshot:
    """Fill in the hashes of objects that a snapshot came without."""
    known = snapshot.content_hashes
    hashes = {key: known.get(key) or hash_of(value) for key, value in snapshot.objects.items()}
    return snapshot._replace(content_hashes=hashes)


def compute_digest(hashes: Mapping[str, str]) -> bytes:
    """Return a digest of a whole configuration."""
    lines = "\n".join(f"{key} {hashes[key]}" for key in sorted(hashes))
    return hashlib.sha256(lines.encode()).digest()


def encode_delta(snapshot: Snapshot, changed: frozenset[str]) -> bytes:
    """Encode what has to be done to the objects ``changed``."""
    puts = {key: snapshot.objects[key] for key in changed if key in snapshot.objects}
    deletes = tuple(sorted(changed - snapshot.objects.keys()))
    return zlib.compress(msgspec.json.encode(Delta(puts, deletes)), level=1)


def apply_delta(
    base: Snapshot | None, data: bytes, *, change: ChangeInfo, digest: bytes
) -> Snapshot:
    """Return the newer configuration.

    Raises:
        BrokenDelta: The result is not the configuration with this digest. A part was lost or
            crossed, or the sender's idea of the base is wrong.
    """
    unpacker = zlib.decompressobj()
    try:
        delta = _decoder.decode(unpacker.decompress(data, MAX_DELTA_BYTES))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise BrokenDelta(f"given {len(data)} bytes that cannot be read: {error}") from error
    objects = dict(base.objects) if base is not None else {}
    hashes = dict(base.content_hashes) if base is not None else {}
    for key in delta.deletes:
        objects.pop(key, None)
        hashes.pop(key, None)
    for key, raw in delta.puts.items():
        objects[key] = pack(msgspec.json.decode(raw))
        hashes[key] = hash_of(objects[key])
    if compute_digest(hashes) != digest:
        raise BrokenDelta(f"version {change.version} is not whole after its delta was applied")
    return Snapshot(change=change, objects=objects, content_hashes=hashes)


class DeltaHistory:
    """Which objects changed in the last versions that this instance went through."""

    def __init__(self) -> None:
        self._steps: list[_Step] = []

    def add(self, older: Snapshot, newer: Snapshot) -> None:
        """Remember a step from one version to a newer one."""
        changed = changed_keys(older.content_hashes, newer.content_hashes)
        self._steps.append(_Step(older.change.version, changed))
        del self._steps[:-MAX_HISTORY_STEPS]

    def changed_since(self, version: int) -> frozenset[str] | None:
        """Return what changed since a version, perhaps more; None if that is not known."""
        if not self._steps or version < self._steps[0].from_version:
            return None
        # The last step that began at or before the version covers all that came after it.
        first = max(i for i, step in enumerate(self._steps) if step.from_version <= version)
        return frozenset().union(*(step.changed for step in self._steps[first:]))

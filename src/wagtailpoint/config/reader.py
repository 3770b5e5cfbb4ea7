"""Reads the stored configuration: the head, the chain of manifests and the contents."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

import trio
from result import Err, Ok, Result

from wagtailpoint.config.manifest import (
    CONTENT_KIND,
    HEAD_KIND,
    HEAD_NAME,
    MANIFEST_KIND,
    Head,
    Manifest,
    Snapshot,
    change_info,
    compute_hash,
)
from wagtailpoint.errors import PlatformUnavailable
from wagtailpoint.ports.platform import ABSENT, Platform, StoredObject
from wagtailpoint.revision import Revision
from wagtailpoint.untrusted_input import read_value

_MAX_CONCURRENT_FETCHES = 8

_T = TypeVar("_T")


class CurrentHead(NamedTuple):
    """The head that was read and its manifest; before the first change both are absent."""

    head_version: Revision
    manifest_name: str | None
    manifest: Manifest | None

    @property
    def version(self) -> int:
        """The version of the newest change; 0 before the first change."""
        return self.manifest["version"] if self.manifest else 0

    @property
    def objects(self) -> Mapping[str, str]:
        """The hash of each object's content, by ``kind/name``."""
        return self.manifest["objects"] if self.manifest else {}


class ConfigReader:
    """Reads heads, manifests and contents; caches nothing.

    Args:
        platform: The platform that stores them.
        keep: Maps the value of each content that is read to the form stored in the snapshot.
    """

    def __init__(
        self, *, platform: Platform, keep: Callable[[Any], Any] = lambda value: value
    ) -> None:
        self._platform = platform
        self._keep = keep

    async def read_current(self) -> Result[CurrentHead, PlatformUnavailable]:
        """Read the head and its manifest."""
        head = await self._platform.get(kind=HEAD_KIND, name=HEAD_NAME)
        return head if isinstance(head, Err) else await self.read_at_head(head.ok_value)

    async def read_at_head(
        self, head: StoredObject | None
    ) -> Result[CurrentHead, PlatformUnavailable]:
        """Read the manifest that an already read head names."""
        if head is None:
            return Ok(CurrentHead(ABSENT, None, None))
        value = convert_value(head.value, Head)
        if isinstance(value, Err):
            return value
        name = value.ok_value["manifest"]
        return (await self.read_manifest(name)).map(
            lambda manifest: CurrentHead(head.version, name, manifest)
        )

    async def read_manifest(self, name: str) -> Result[Manifest, PlatformUnavailable]:
        """Read a manifest by its name."""
        return (await self._read_immutable(MANIFEST_KIND, name)).and_then(
            lambda value: convert_value(value, Manifest)
        )

    async def _read_immutable(self, kind: str, name: str) -> Result[Any, PlatformUnavailable]:
        outcome = await self._platform.get(kind=kind, name=name)
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value is None:
            # The object was written before the head that refers to it, so the read was stale.
            return Err(PlatformUnavailable(f"stale read: {kind}/{name} is not visible yet"))
        if outcome.ok_value.value is None:
            return Err(PlatformUnavailable(f"{kind}/{name} can't be read"))
        return Ok(outcome.ok_value.value)

    async def read_manifests_after(
        self, current: CurrentHead, version: int
    ) -> Result[list[Manifest], PlatformUnavailable]:
        """Return the manifests of all versions after ``version``, newest first."""
        found: list[Manifest] = []
        manifest = current.manifest
        while manifest is not None and manifest["version"] > version:
            found.append(manifest)
            if manifest["parent"] is None or manifest["version"] == version + 1:
                break
            parent = await self.read_manifest(manifest["parent"])
            if isinstance(parent, Err):
                return parent
            manifest = parent.ok_value
        return Ok(found)

    async def read_snapshot(
        self, manifest: Manifest, known: Mapping[str, Any]
    ) -> Result[Snapshot, PlatformUnavailable]:
        """Build the snapshot of a manifest; fetch only contents whose hash is not in ``known``."""
        hashes = manifest["objects"]
        contents = {name: known[name] for name in hashes.values() if name in known}
        missing = iter(sorted(set(hashes.values()) - contents.keys()))
        failures: list[PlatformUnavailable] = []

        async def fetch() -> None:
            for name in missing:
                outcome = await self._read_immutable(CONTENT_KIND, name)
                if isinstance(outcome, Err):
                    failures.append(outcome.err_value)
                    return
                contents[name] = self._keep(outcome.ok_value)

        async with trio.open_nursery() as nursery:
            for _ in range(_MAX_CONCURRENT_FETCHES):
                nursery.start_soon(fetch)
        if failures:
            return Err(failures[0])
        objects = {key: contents[content] for key, content in hashes.items()}
        return Ok(Snapshot(change_info(manifest), objects, hashes))


def convert_value(value: Any, wire_type: type[_T]) -> Result[_T, PlatformUnavailable]:
    """Convert a stored value to ``wire_type``; an error if it doesn't match the type."""
    return read_value(value, wire_type).map_err(
        lambda error: PlatformUnavailable(f"invalid {wire_type.__name__.lower()}: {error}")
    )


def contents_by_hash(snapshot: Snapshot | None) -> dict[str, Any]:
    """Return the contents of a snapshot by their hash."""
    if snapshot is None:
        return {}
    hashes = snapshot.content_hashes
    return {
        hashes.get(key) or compute_hash(value): value for key, value in snapshot.objects.items()
    }

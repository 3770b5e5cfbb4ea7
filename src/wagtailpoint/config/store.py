"""Stores the configuration in the platform, with all changes in one total order.

The platform updates only one object at a time. To make a change of several objects atomic, the
store first writes the immutable objects (contents and a manifest, both named by their hash, so
that writing them twice is harmless) and then updates one object, ``config-head/current``, on the
condition that it has not been updated in between. Immutable objects of a change that is not
committed are never read. See ``docs/design/configuration.md``.
"""

import secrets
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

import trio
from result import Err, Ok, Result

from wagtailpoint.config.manifest import (
    CONTENT_KIND,
    HEAD_KIND,
    HEAD_NAME,
    MANIFEST_KIND,
    ChangeInfo,
    Head,
    Manifest,
    Snapshot,
    change_info,
    changed_keys,
    check_manifest,
    check_objects,
    compute_hash,
)
from wagtailpoint.config.reader import ConfigReader, CurrentHead, contents_by_hash, convert_value
from wagtailpoint.errors import InvalidInput, Mistake, OutcomeUnknown, PlatformUnavailable
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject

_MAX_REBASES = 50
_CHANGE_ID_BYTES = 16
_RETRY_DELAY_S = 0.1


class ApplyConflict(NamedTuple):
    """A change that was refused because another change concerns the same objects.

    Attributes:
        other: The newest such change.
        objects: The objects that both changes concern, as ``kind/name``.
    """

    other: ChangeInfo
    objects: Sequence[str]


ApplyError = ApplyConflict | OutcomeUnknown | PlatformUnavailable


class _RequestedChange(NamedTuple):
    """A change as requested by an operator, independent of the version it is applied to.

    Attributes:
        info: The author, time and message of the change; its version is not set.
        base_version: The version that the operator based the change on.
        puts: The hash of each object's new content, by ``kind/name``.
        deletes: The objects to delete; None deletes all objects that are not in ``puts``.
    """

    info: ChangeInfo
    base_version: int
    puts: Mapping[str, str]
    deletes: frozenset[str] | None

    def overlapping_keys(self, changed: frozenset[str]) -> frozenset[str]:
        """Return those of the objects changed by others that this change concerns too."""
        if self.deletes is None:
            return changed
        return changed & (self.deletes | self.puts.keys())

    def build_manifest(self, current: CurrentHead) -> Manifest:
        """Return the manifest that applies this change on top of ``current``."""
        kept = {
            key: content
            for key, content in current.objects.items()
            if self.deletes is not None and key not in self.deletes
        }
        return Manifest(
            version=current.version + 1,
            change_id=self.info.change_id,
            author=self.info.author,
            time_s=self.info.time_s,
            message=self.info.message,
            parent=current.manifest_name,
            objects=kept | dict(self.puts),
        )


class ConfigStore:
    """Reads and changes the configuration.

    Args:
        platform: The platform that stores the configuration.
        clock_wall: Returns seconds since the epoch; recorded with each change for display.
        settle_s: How long to resolve the outcome of a write whose answer was lost, in seconds.
        check: Called with the snapshot about to be committed, which includes concurrent changes;
            raises ``InvalidInput`` to refuse it.
        keep: Maps each value that is read to the form kept in memory, see ``packed.pack``.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        clock_wall: Callable[[], float],
        settle_s: float = 10.0,
        check: Callable[[Snapshot], None] = lambda _: None,
        keep: Callable[[Any], Any] = lambda value: value,
    ) -> None:
        self._platform = platform
        self._reader = ConfigReader(platform=platform, keep=keep)
        self._clock_wall = clock_wall
        self._settle_s = settle_s
        self._check = check
        # Contents of the newest snapshot by hash; a change based on it need not fetch them again.
        self._contents: dict[str, Any] = {}

    async def read(self) -> Result[Snapshot | None, PlatformUnavailable]:
        """Read the newest configuration; None before the first change."""
        return await self.read_since(None)

    async def read_since(
        self, known: Snapshot | None
    ) -> Result[Snapshot | None, PlatformUnavailable]:
        """Read the newest configuration, fetching only what differs from ``known``.

        Returns:
            The newest snapshot, or ``known`` itself if the platform returns none that is newer, so
            that a stale read never reverts to an older version.
        """
        head = await self._platform.get(kind=HEAD_KIND, name=HEAD_NAME)
        if isinstance(head, Err):
            return head
        return await self.read_at_head(head.ok_value, known)

    async def read_at_head(
        self, head: StoredObject | None, known: Snapshot | None
    ) -> Result[Snapshot | None, PlatformUnavailable]:
        """Do the same as ``read_since`` for an already read head, for example from a watch."""
        if head is None:
            return Ok(known)
        value = convert_value(head.value, Head)
        if isinstance(value, Err):
            return value
        if known is not None and value.ok_value["version"] <= known.change.version:
            return Ok(known)
        manifest = await self._reader.read_manifest(value.ok_value["manifest"])
        if isinstance(manifest, Err):
            return manifest
        known_contents = {**self._contents, **contents_by_hash(known)}
        snapshot = await self._reader.read_snapshot(manifest.ok_value, known_contents)
        self._contents = contents_by_hash(snapshot.unwrap_or(None)) or self._contents
        return snapshot

    async def apply(
        self,
        *,
        puts: Mapping[str, Any],
        deletes: Sequence[str],
        base_version: int,
        author: str,
        message: str,
    ) -> Result[Snapshot, ApplyError]:
        """Put and delete objects atomically, based on ``base_version`` (0: no configuration yet).

        Later changes of other objects are kept; a later change of the same objects is a conflict.
        ``OutcomeUnknown`` names the change id; ``history`` shows later whether it was committed.

        Raises:
            InvalidInput: A key or a value can't be stored, or ``check`` refused the result.
        """
        check_objects(puts, frozenset(deletes))
        change = _RequestedChange(
            info=self._create_info(author, message),
            base_version=base_version,
            puts={key: compute_hash(value) for key, value in puts.items()},
            deletes=frozenset(deletes),
        )
        return await self._commit(change, {change.puts[key]: puts[key] for key in puts})

    async def revert(
        self, *, to_version: int, author: str, message: str, base_version: int
    ) -> Result[Snapshot, ApplyError]:
        """Commit the content of an older version as a new version, atomically.

        A revert replaces the whole configuration, so any change since ``base_version`` is a
        conflict.

        Raises:
            InvalidInput: The version doesn't exist, or ``check`` refused the result.
        """
        target = await self._read_manifest_at(to_version)
        if isinstance(target, Err):
            return target
        change = _RequestedChange(
            info=self._create_info(author, message),
            base_version=base_version,
            puts=target.ok_value["objects"],
            deletes=None,
        )
        return await self._commit(change, {})

    async def history(self, *, max_changes: int) -> Result[list[ChangeInfo], PlatformUnavailable]:
        """Return the newest changes, newest first; makes one platform call per change."""
        current = await self._reader.read_current()
        if isinstance(current, Err):
            return current
        manifests = await self._reader.read_manifests_after(
            current.ok_value, current.ok_value.version - max_changes
        )
        return manifests.map(lambda found: [change_info(manifest) for manifest in found])

    async def read_version(self, version: int) -> Result[Snapshot, PlatformUnavailable]:
        """Read the configuration as of a version.

        Raises:
            InvalidInput: The version doesn't exist.
        """
        manifest = await self._read_manifest_at(version)
        if isinstance(manifest, Err):
            return manifest
        return await self._reader.read_snapshot(manifest.ok_value, self._contents)

    def _create_info(self, author: str, message: str) -> ChangeInfo:
        change_id = secrets.token_hex(_CHANGE_ID_BYTES)
        return ChangeInfo(0, change_id, author, self._clock_wall(), message)

    async def _read_manifest_at(self, version: int) -> Result[Manifest, PlatformUnavailable]:
        current = await self._reader.read_current()
        if isinstance(current, Err):
            return current
        newest = current.ok_value.version
        if not 1 <= version <= newest:
            raise InvalidInput(
                [Mistake("version", str(version), f"a version, one from 1 to {newest}")]
            )
        manifests = await self._reader.read_manifests_after(current.ok_value, version - 1)
        return manifests.map(lambda found: found[-1])

    async def _commit(
        self, change: _RequestedChange, contents: dict[str, Any]
    ) -> Result[Snapshot, ApplyError]:
        """Commit a change on top of the newest version; rebase it if other changes come first."""
        current = await self._reader.read_current()
        for _ in range(_MAX_REBASES):
            if isinstance(current, Err):
                return current
            conflict = await self._find_conflict(change, current.ok_value)
            if isinstance(conflict, Err):
                return conflict
            outcome = await self._try_commit(change, current.ok_value, contents)
            if not isinstance(outcome, Err):
                self._contents = contents_by_hash(outcome.ok_value)
                return outcome
            if not isinstance(outcome.err_value, Conflict):
                return Err(outcome.err_value)
            current = await self._reader.read_at_head(outcome.err_value.current)
        return Err(
            PlatformUnavailable(
                f"the head had changed in each of {_MAX_REBASES} attempts; apply again"
            )
        )

    async def _find_conflict(
        self, change: _RequestedChange, current: CurrentHead
    ) -> Result[None, ApplyConflict | PlatformUnavailable]:
        if current.version == change.base_version:
            return Ok(None)
        if current.version < change.base_version:
            problem = f"the platform returned version {current.version}, older than"
            return Err(PlatformUnavailable(f"{problem} base version {change.base_version}"))
        newer_manifests = await self._reader.read_manifests_after(current, change.base_version - 1)
        if isinstance(newer_manifests, Err):
            return newer_manifests
        older_objects: list[Mapping[str, str]] = [
            older_manifest["objects"] for older_manifest in newer_manifests.ok_value[1:]
        ]
        if change.base_version == 0:
            older_objects.append({})
        for manifest, older in zip(newer_manifests.ok_value, older_objects, strict=False):
            conflicting_keys = change.overlapping_keys(changed_keys(older, manifest["objects"]))
            if conflicting_keys:
                return Err(ApplyConflict(change_info(manifest), sorted(conflicting_keys)))
        return Ok(None)

    async def _try_commit(
        self, change: _RequestedChange, current: CurrentHead, contents: dict[str, Any]
    ) -> Result[Snapshot, Conflict | OutcomeUnknown | PlatformUnavailable]:
        manifest = change.build_manifest(current)
        check_manifest(manifest)
        # Read all contents before the head is updated: otherwise a failed read could report an
        # already committed change as failed.
        snapshot = await self._reader.read_snapshot(manifest, {**self._contents, **contents})
        if isinstance(snapshot, Err):
            return snapshot
        self._check(snapshot.ok_value)
        known = set(current.objects.values())
        writes = [(CONTENT_KIND, name, contents[name]) for name in contents if name not in known]
        manifest_name = compute_hash(manifest)
        for kind, name, value in [*writes, (MANIFEST_KIND, manifest_name, manifest)]:
            written = await self._put_immutable(kind, name, value)
            if isinstance(written, Err):
                return written
        head = Head(
            version=manifest["version"], manifest=manifest_name, change_id=manifest["change_id"]
        )
        return (await self._update_head(head, current)).map(lambda _: snapshot.ok_value)

    async def _put_immutable(
        self, kind: str, name: str, value: Any
    ) -> Result[None, PlatformUnavailable]:
        """Create an object named by its hash; repeating the write after a lost answer is safe."""
        give_up_at_s = trio.current_time() + self._settle_s
        while True:
            outcome = await self._platform.put(kind=kind, name=name, value=value, if_version=ABSENT)
            if isinstance(outcome, Ok) or isinstance(outcome.err_value, Conflict):
                return Ok(None)
            if isinstance(outcome.err_value, PlatformUnavailable):
                return Err(outcome.err_value)
            if trio.current_time() > give_up_at_s:
                return Err(
                    PlatformUnavailable(
                        f"{kind}/{name} not confirmed in {self._settle_s:g} s; nothing committed"
                    )
                )
            await trio.sleep(_RETRY_DELAY_S)

    async def _update_head(
        self, head: Head, current: CurrentHead
    ) -> Result[None, Conflict | OutcomeUnknown | PlatformUnavailable]:
        """Update the head; resolve a lost answer by reading the head back.

        While the head is unchanged, the lost write may still take effect. The same write is then
        retried under the same condition, so that at most one of the two takes effect. Once the head
        has changed, neither can take effect, and the manifests show whether one did.
        """
        give_up_at_s = trio.current_time() + self._settle_s
        may_have_been_sent = False
        while True:
            outcome = await self._platform.put(
                kind=HEAD_KIND, name=HEAD_NAME, value=head, if_version=current.head_version
            )
            if isinstance(outcome, Ok):
                return Ok(None)
            if isinstance(outcome.err_value, PlatformUnavailable) and not may_have_been_sent:
                return Err(outcome.err_value)
            may_have_been_sent = True
            resolved = await self._resolve_outcome(head, current, outcome.err_value)
            if resolved is not None:
                return resolved
            if trio.current_time() > give_up_at_s:
                problem = "the answer to the update was lost and the platform can't be read"
                return Err(OutcomeUnknown(f"{problem}; look for change {head['change_id']}"))
            await trio.sleep(_RETRY_DELAY_S)

    async def _resolve_outcome(
        self,
        head: Head,
        current: CurrentHead,
        error: Conflict | OutcomeUnknown | PlatformUnavailable,
    ) -> Result[None, Conflict] | None:
        """Return Ok if the head's update took effect, Conflict if it can't, None if unknown."""
        if isinstance(error, Conflict):
            read: Result[StoredObject | None, PlatformUnavailable] = Ok(error.current)
        else:
            read = await self._platform.get(kind=HEAD_KIND, name=HEAD_NAME)
        if isinstance(read, Err):
            return None
        found_version = read.ok_value.version if read.ok_value else ABSENT
        if found_version <= current.head_version and not isinstance(error, Conflict):
            return None
        found = await self._reader.read_at_head(read.ok_value)
        if isinstance(found, Err):
            return None
        newer_manifests = await self._reader.read_manifests_after(found.ok_value, current.version)
        if isinstance(newer_manifests, Err):
            return None
        if any(manifest["change_id"] == head["change_id"] for manifest in newer_manifests.ok_value):
            return Ok(None)
        return Err(Conflict(read.ok_value))

"""The configuration in force on this instance, and the rule that it never goes back."""

from collections.abc import Callable
from typing import Any

from result import Err

from wagtailpoint.config.blocks import BlockReader
from wagtailpoint.config.compile import compile_config
from wagtailpoint.config.manifest import Snapshot
from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.timeline import Timeline


class ConfigState:
    """Holds the newest snapshot that was heard of and the newest one that could be compiled."""

    def __init__(self, *, timeline: Timeline) -> None:
        self._timeline = timeline
        self._block_reader = BlockReader()
        self._snapshot: Snapshot | None = None
        self._effective: EffectiveConfig | None = None
        self._rejected_version: int | None = None
        self._followers: list[Callable[[EffectiveConfig], Any]] = []

    @property
    def snapshot(self) -> Snapshot | None:
        """The newest snapshot, also one that can't be compiled here."""
        return self._snapshot

    @property
    def effective(self) -> EffectiveConfig | None:
        """What is in force; None before there is any."""
        return self._effective

    @property
    def version(self) -> int:
        """The version in force, 0 before there is any."""
        return self._effective.version if self._effective is not None else 0

    @property
    def rejected_version(self) -> int | None:
        """A newer version that this instance could not read and does not enforce."""
        return self._rejected_version

    def follow(self, follower: Callable[[EffectiveConfig], Any]) -> None:
        """Call ``follower`` whenever another configuration comes into force."""
        self._followers.append(follower)

    def offer(self, snapshot: Snapshot, *, source: str) -> bool:
        """Take a snapshot from the platform or a peer.

        A stale watch, a lagging read or a peer that was cut off may offer an older version than
        the one in force. It is dropped: a caller would otherwise see an accepted change vanish.

        Returns:
            Whether it is in force now.
        """
        version = snapshot.change.version
        if self._snapshot is not None and version <= self._snapshot.change.version:
            return False
        self._snapshot = snapshot
        compiled = compile_config(
            version=version, objects=snapshot.objects, block_reader=self._block_reader
        )
        if isinstance(compiled, Err):
            # An object written by a newer program, say. Serving with the last good configuration
            # is better than not serving; status and log name the mistake.
            self._rejected_version = version
            mistakes = "; ".join(str(mistake) for mistake in compiled.err_value.mistakes)
            log_event("config-rejected", level="ERROR", version=version, mistakes=mistakes)
            self._timeline.record("config-rejected", version=version)
            return False
        self._rejected_version = None
        self._effective = compiled.ok_value
        log_event("config-in-force", version=version, source=source, author=snapshot.change.author)
        self._timeline.record(
            "config-in-force",
            version=version,
            source=source,
            change=snapshot.change.change_id,
        )
        for follower in self._followers:
            follower(compiled.ok_value)
        return True

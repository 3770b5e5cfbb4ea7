"""The configuration in force on this instance, whose version never decreases."""

from collections.abc import Callable
from typing import Any, NamedTuple

import trio
from result import Err, Result

from wagtailpoint.config.blocks import BlockReader
from wagtailpoint.config.compile import compile_config
from wagtailpoint.config.manifest import Snapshot
from wagtailpoint.config.model import EffectiveConfig
from wagtailpoint.errors import InvalidInput
from wagtailpoint.observe.log import log_event
from wagtailpoint.observe.timeline import Timeline


class _Offered(NamedTuple):
    snapshot: Snapshot
    source: str


class ConfigState:
    """Holds the newest snapshot received and the newest one that compiled.

    Args:
        timeline: Records configurations that come into force or are rejected.
        prepare: Called in a worker thread with each compiled configuration, for work that would
            block the event loop for long. Returns before the followers are called.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        prepare: Callable[[EffectiveConfig], Any] = lambda _: None,
    ) -> None:
        self._timeline = timeline
        self._prepare = prepare
        self._block_reader = BlockReader()
        self._offered: _Offered | None = None
        self._was_offered = trio.Event()
        self._snapshot: Snapshot | None = None
        self._effective: EffectiveConfig | None = None
        self._rejected_version: int | None = None
        self._followers: list[Callable[[EffectiveConfig], Any]] = []

    @property
    def snapshot(self) -> Snapshot | None:
        """The newest snapshot received, even if it does not compile on this instance."""
        return self._snapshot

    @property
    def effective(self) -> EffectiveConfig | None:
        """The configuration in force; None before the first one."""
        return self._effective

    @property
    def version(self) -> int:
        """The version in force; 0 before the first configuration."""
        return self._effective.version if self._effective is not None else 0

    @property
    def rejected_version(self) -> int | None:
        """A newer version that did not compile and is not in force; None if there is none."""
        return self._rejected_version

    def follow(self, follower: Callable[[EffectiveConfig], Any]) -> None:
        """Register a callback for each configuration that comes into force."""
        self._followers.append(follower)

    def offer(self, snapshot: Snapshot, *, source: str) -> None:
        """Accept a snapshot from the platform or a peer; ``run`` brings it into force.

        A stale watch, a lagging read or a peer that was partitioned may offer an older version
        than the one in force. It is ignored; otherwise an accepted change would be undone.
        """
        if self._snapshot is not None and snapshot.change.version <= self._snapshot.change.version:
            return
        self._snapshot = snapshot
        self._offered = _Offered(snapshot, source)
        self._was_offered.set()

    async def run(self) -> None:
        """Bring offered snapshots into force, one at a time, until cancelled.

        Of the snapshots offered during a compilation only the newest is compiled next.
        """
        while True:
            await self._was_offered.wait()
            self._was_offered = trio.Event()
            offered, self._offered = self._offered, None
            if offered is not None:
                # Reading and sorting hundreds of thousands of client blocks takes seconds. On the
                # event loop it would delay requests, and heartbeats until peers declare this
                # instance dead.
                compiled = await trio.to_thread.run_sync(
                    self._compile, offered.snapshot, abandon_on_cancel=True
                )
                self._enforce(offered, compiled)

    def _compile(self, snapshot: Snapshot) -> Result[EffectiveConfig, InvalidInput]:
        """Compile a snapshot in a worker thread; ``run`` never runs two compilations at once."""
        compiled = compile_config(
            version=snapshot.change.version,
            objects=snapshot.objects,
            block_reader=self._block_reader,
        )
        compiled.inspect(self._prepare)
        return compiled

    def _enforce(self, offered: _Offered, compiled: Result[EffectiveConfig, InvalidInput]) -> None:
        change = offered.snapshot.change
        version = change.version
        if isinstance(compiled, Err):
            # For example, an object written by a newer release. The last good configuration stays
            # in force, so that requests are still served; status and log report the mistakes.
            self._rejected_version = version
            mistakes = "; ".join(str(mistake) for mistake in compiled.err_value.mistakes)
            log_event("config-rejected", level="ERROR", version=version, mistakes=mistakes)
            self._timeline.record("config-rejected", version=version)
            return
        self._rejected_version = None
        self._effective = compiled.ok_value
        log_event("config-in-force", version=version, source=offered.source, author=change.author)
        self._timeline.record(
            "config-in-force", version=version, source=offered.source, change=change.change_id
        )
        for follower in self._followers:
            follower(compiled.ok_value)

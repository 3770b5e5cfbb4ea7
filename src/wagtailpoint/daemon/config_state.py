"""The configuration in force on this instance, and the rule that it never goes back."""

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
    """Holds the newest snapshot that was heard of and the newest one that could be compiled.

    Args:
        timeline: Is told what comes into force.
        prepare: Does, in a thread, what would hold up requests for long; is given what comes into
            force next, and is done when the followers are called.
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

    def offer(self, snapshot: Snapshot, *, source: str) -> None:
        """Take a snapshot from the platform or a peer; ``run`` brings it into force.

        A stale watch, a lagging read or a peer that was cut off may offer an older version than
        the one in force. It is dropped: a caller would otherwise see an accepted change vanish.
        """
        if self._snapshot is not None and snapshot.change.version <= self._snapshot.change.version:
            return
        self._snapshot = snapshot
        self._offered = _Offered(snapshot, source)
        self._was_offered.set()

    async def run(self) -> None:
        """Bring what is offered into force, one after the other, until cancelled.

        Of several that are offered meanwhile only the newest is compiled.
        """
        while True:
            await self._was_offered.wait()
            self._was_offered = trio.Event()
            offered, self._offered = self._offered, None
            if offered is not None:
                # Hundreds of thousands of client blocks take seconds to read and to sort. Requests
                # and heartbeats must go on meanwhile: peers would take this instance for dead.
                compiled = await trio.to_thread.run_sync(
                    self._compile, offered.snapshot, abandon_on_cancel=True
                )
                self._enforce(offered, compiled)

    def _compile(self, snapshot: Snapshot) -> Result[EffectiveConfig, InvalidInput]:
        """Compile in a thread; ``run`` sees to it that there is one at a time."""
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
            # An object written by a newer program, say. Serving with the last good configuration
            # is better than not serving; status and log name the mistake.
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

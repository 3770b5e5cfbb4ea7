"""Follows the configuration in the platform and never delivers an older version after a newer one.

Only a few instances of a failure domain watch, because every open watch counts as a call to the
platform. The others receive changes from peers and poll at long intervals, in case no peer sent
them.
"""

import random
from collections.abc import Callable

import trio
from result import Err

from wagtailpoint.config.manifest import HEAD_KIND, HEAD_NAME, Snapshot
from wagtailpoint.config.store import ConfigStore
from wagtailpoint.errors import PlatformUnavailable
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import Platform, StoredObject
from wagtailpoint.revision import Revision

WATCH_WAIT_S = 5.0
"""Longest wait of a watch; an unanswered watch hides changes until it times out, and a change must
be enforced everywhere within 11 s."""

POLL_INTERVAL_S = 30.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 10.0

MAX_RETRY_AFTER_S = 60.0
"""A longer delay that the platform asks for is shortened to this."""


class ConfigWatcher:
    """Delivers each newer configuration once.

    Args:
        store: Reads the configuration.
        platform: The platform that is watched.
        on_snapshot: Called with each snapshot that is newer than all previous ones; must not raise.
        watching: Whether to watch; if not, the instance only polls.
        wait_s: Longest wait of one watch, in seconds.
        poll_s: Mean time between two polls while not watching, in seconds; jitter is +/- 50 %.
        rng: Source of the jitter, which keeps the instances from calling at the same moment.
    """

    def __init__(
        self,
        *,
        store: ConfigStore,
        platform: Platform,
        on_snapshot: Callable[[Snapshot], None],
        watching: bool = True,
        wait_s: float = WATCH_WAIT_S,
        poll_s: float = POLL_INTERVAL_S,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._platform = platform
        self._on_snapshot = on_snapshot
        self._watching = watching
        self._wait_s = wait_s
        self._poll_s = poll_s
        self._rng = rng or random.Random()
        self._latest: Snapshot | None = None
        self._watch_version: Revision | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._iteration_scope = trio.CancelScope()

    @property
    def watching(self) -> bool:
        """Whether this instance watches; can be changed at any time."""
        return self._watching

    @watching.setter
    def watching(self, watching: bool) -> None:
        if watching != self._watching:
            self._watching = watching
            self._watch_version = None
            self._iteration_scope.cancel()

    def deliver(self, snapshot: Snapshot) -> bool:
        """Deliver a snapshot, for example from a peer, if it is newer than all previous ones.

        Returns:
            Whether the snapshot was newer.
        """
        if self._latest is not None and snapshot.change.version <= self._latest.change.version:
            return False
        self._latest = snapshot
        self._on_snapshot(snapshot)
        return True

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            with trio.CancelScope() as self._iteration_scope:
                failure = await (self._watch_once() if self._watching else self._poll_once())
                if failure is not None:
                    await self._back_off(failure)

    async def _poll_once(self) -> Exception | None:
        if self._latest is not None:
            await trio.sleep(self._poll_s * self._rng.uniform(0.5, 1.5))
        outcome = await self._store.read_since(self._latest)
        if isinstance(outcome, Err):
            return outcome.err_value
        if outcome.ok_value is None:
            return PlatformUnavailable("the platform has no configuration")
        self._backoff_s = MIN_BACKOFF_S
        self.deliver(outcome.ok_value)
        return None

    async def _watch_once(self) -> Exception | None:
        from_version = self._watch_version
        if from_version is None:
            return await self._list()
        started_s = trio.current_time()
        outcome = await self._platform.watch(
            kinds=[HEAD_KIND], from_version=from_version, wait_s=self._wait_s
        )
        if self._watch_version is None:
            # Switched while the answer was arriving: too late for the cancellation of the watch.
            return None
        if isinstance(outcome, Err):
            # List again after any failure: the next call may reach another server of the platform,
            # for which the version of this watch is not valid.
            self._watch_version = None
            return outcome.err_value
        batch = outcome.ok_value
        head_objects = [event.stored for event in batch.events if event.action == "put"]
        elapsed_s = trio.current_time() - started_s
        if not head_objects and elapsed_s < min(self._wait_s, MIN_BACKOFF_S):
            return PlatformUnavailable(f"a watch returned without events after {elapsed_s:.3f} s")
        self._backoff_s = MIN_BACKOFF_S
        # A stale replica may answer a watch with a version older than the requested one.
        self._watch_version = max(from_version, batch.version)
        return await self._follow(head_objects[-1]) if head_objects else None

    async def _list(self) -> PlatformUnavailable | None:
        outcome = await self._platform.list(kind=HEAD_KIND)
        if isinstance(outcome, Err):
            return outcome.err_value
        self._watch_version = outcome.ok_value.version
        head_objects = [stored for stored in outcome.ok_value.objects if stored.name == HEAD_NAME]
        return await self._follow(head_objects[0]) if head_objects else None

    async def _follow(self, head: StoredObject) -> PlatformUnavailable | None:
        outcome = await self._store.read_at_head(head, self._latest)
        if isinstance(outcome, Err):
            # The event won't be sent again, so continuing from its version would miss this change.
            self._watch_version = None
            return outcome.err_value
        if outcome.ok_value is not None:
            self.deliver(outcome.ok_value)
        return None

    async def _back_off(self, failure: Exception) -> None:
        pause_s = self._backoff_s * self._rng.uniform(0.5, 1.5)
        if isinstance(failure, PlatformUnavailable) and failure.retry_after_s is not None:
            pause_s += min(failure.retry_after_s, MAX_RETRY_AFTER_S)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        log_event(
            "config-watch-failed", level="WARNING", pause_s=f"{pause_s:.2f}", reason=repr(failure)
        )
        await trio.sleep(pause_s)

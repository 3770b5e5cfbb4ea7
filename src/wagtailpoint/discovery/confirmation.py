"""Asks the store whether the known state of a kind is still the newest."""

import math
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

import trio
from result import Err, Result

from wagtailpoint.discovery.answer_wait import Receiver, wait_for_answer
from wagtailpoint.discovery.follower import KindFollower
from wagtailpoint.discovery.freshness import Freshness
from wagtailpoint.discovery.history import KindChanges
from wagtailpoint.errors import PlatformUnavailable, WatchTooOld
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import Platform, WatchBatch

CONFIRM_INTERVAL_S: Final = 1.5
"""Interval for a watcher of the region; the other instances get their proofs from watchers."""

FALLBACK_CONFIRM_INTERVAL_S: Final = 3.0
"""Age of the proof at which an instance that watches without being a watcher of the region asks the
store. When the watchers lose their watches, all other instances begin to watch but still receive
proofs; at the watchers' interval they would send many times the watchers' calls."""

POLL_INTERVAL_S: Final = 0.2
"""Interval of the checks whether a question is due."""

RETRY_DELAY_S: Final = 0.5
"""Delay after a question that the store did not answer."""

ANSWER_TIMEOUT_S: Final = 1.0
"""A failing store may accept a call and never answer it, even after it has recovered."""


class ReceivingPlatform(Platform, Receiver, Protocol):
    """A store that can be watched, and knows of its answers under way."""


WatchResult = Result[WatchBatch, WatchTooOld | PlatformUnavailable]


class Confirmation:
    """Renews the proof of a kind's state on instances that watch the store.

    The question is a watch that does not wait: its answer is a few bytes plus any changes. An
    instance that has just started asks once, whether or not it watches: its first listing may be
    some seconds old, and it may take some seconds to find a watcher that sends it later changes.
    """

    def __init__(
        self,
        *,
        follower: KindFollower,
        platform: ReceivingPlatform,
        freshness: Freshness,
        is_needed: Callable[[], bool],
        is_watcher: Callable[[], bool],
        random: Random,
    ) -> None:
        """Initialise the confirmation of one kind's state.

        Args:
            follower: Holds the state.
            platform: The store.
            freshness: Receives the proofs.
            is_needed: Returns whether anything depends on a proof.
            is_watcher: Returns whether this instance watches for the others of its region.
            random: Source of the jitter.
        """
        self._follower = follower
        self._platform = platform
        self._freshness = freshness
        self._is_needed = is_needed
        self._is_watcher = is_watcher
        self._config_changed = trio.Event()
        self._random = random

    async def run(self) -> None:
        """Renew the proof until cancelled."""
        while True:
            if not self._is_due():
                with trio.move_on_after(POLL_INTERVAL_S * self._random.uniform(0.8, 1.2)):
                    await self._config_changed.wait()
            elif not await self._confirm():
                await trio.sleep(RETRY_DELAY_S * self._random.uniform(0.7, 1.3))

    def on_config_change(self) -> None:
        """Check at once whether a question is due, so that a starting instance need not wait."""
        self._config_changed.set()
        self._config_changed = trio.Event()

    def _is_due(self) -> bool:
        follower = self._follower
        if not follower.has_state or not self._is_needed() or follower.lost_for_s > 0.0:
            return False
        if self._platform.is_receiving:
            # Perhaps the change that the answer would contain, too.
            return False
        age_s = self._freshness.age_s
        if age_s == math.inf:
            return True
        due_s = CONFIRM_INTERVAL_S if self._is_watcher() else FALLBACK_CONFIRM_INTERVAL_S
        return follower.is_watching and age_s >= due_s

    async def _confirm(self) -> bool:
        """Ask the store once; return whether it answered."""
        kind, version = self._follower.kind, self._follower.version
        asked_at = self._freshness.now()

        async def ask() -> WatchResult:
            return await self._platform.watch(kinds=[kind], from_version=version, wait_s=0.0)

        answered = await wait_for_answer(ask, store=self._platform, timeout_s=ANSWER_TIMEOUT_S)
        if answered is None:
            answered = Err(PlatformUnavailable("no answer in time"))
        if isinstance(answered, Err):
            log_event("unconfirmed", kind=kind, version=version, error=answered.err_value)
            return False
        batch = answered.ok_value
        if batch.version.era != version.era:
            # The follower lists the objects anew.
            self._follower.record_era(batch.version)
            return False
        if batch.events:
            self._follower.apply_changes(_merge_events(kind, batch))
        self._freshness.record_proof(batch.version if batch.events else version, asked_at)
        return True


def _merge_events(kind: str, batch: WatchBatch) -> KindChanges:
    """Merge the events of a batch into one change; only the last event of each object counts."""
    last = {event.stored.name: event for event in batch.events}
    put = [event.stored for event in last.values() if event.action == "put"]
    return KindChanges(
        kind=kind,
        version=batch.version,
        whole=False,
        objects=[(stored.name, stored.version, stored.value) for stored in put],
        removed=[name for name, event in last.items() if event.action == "delete"],
    )

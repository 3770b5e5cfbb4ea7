"""Whether this instance reaches the store, and whether removals can be trusted since it does."""

from typing import Final

import trio

from wagtailpoint.discovery.kind_objects import REMOVAL_GRACE_S
from wagtailpoint.observe.log import log_event

MIN_EXPIRY_OUTAGE_S: Final = 1.0
"""In a shorter outage nothing expires: entries are written every 1.5 s and last for 4.5 s."""


class StoreContact:
    """Tracks the outages of the store as seen by the follower of one kind."""

    def __init__(self, *, kind: str) -> None:
        """Initialise as reached.

        Args:
            kind: The kind, for the log.
        """
        self._kind = kind
        self._lost_at: float | None = None
        self._lost = trio.Event()
        self._outage_started_at = 0.0
        self._removals_trusted_from = 0.0

    @property
    def is_lost(self) -> bool:
        """Whether the store can't be reached."""
        return self._lost_at is not None

    @property
    def lost_for_s(self) -> float:
        """How long the store has been unreachable, in seconds; 0 while it can be reached."""
        return 0.0 if self._lost_at is None else trio.current_time() - self._lost_at

    @property
    def trusts_removals(self) -> bool:
        """Whether the store has been back for long enough that what it lacks has been removed."""
        return trio.current_time() >= self._removals_trusted_from

    async def wait_lost(self) -> None:
        """Wait until the store can't be reached."""
        await self._lost.wait()

    def doubt_removals(self) -> None:
        """Trust removals only after ``REMOVAL_GRACE_S`` from now."""
        self._removals_trusted_from = trio.current_time() + REMOVAL_GRACE_S

    def record_lost(self, error: Exception) -> None:
        """Record that a call was not answered."""
        if self._lost_at is None:
            self._lost_at = trio.current_time()
            self._outage_started_at = self._lost_at
            self._lost.set()
            log_event("store-lost", level="WARNING", kind=self._kind, error=error)

    def record_reached_by_peer(self, asked_at: float) -> None:
        """Record that another instance, asked at the time ``asked_at``, reached the store."""
        self._outage_started_at = asked_at

    def record_reached(self) -> None:
        """Record that a call was answered."""
        if self._lost_at is None:
            return
        now = trio.current_time()
        away_s = now - self._outage_started_at
        if away_s > MIN_EXPIRY_OUTAGE_S:
            self.doubt_removals()
        log_event(
            "store-regained",
            kind=self._kind,
            lost_for_s=round(self.lost_for_s, 3),
            away_for_s=round(away_s, 3),
        )
        self._lost_at = None
        self._lost = trio.Event()

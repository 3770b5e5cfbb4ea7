"""The quarantine of an instance, shared with its peers and the store."""

from random import Random
from typing import Final

import trio
from result import Ok

from wagtailpoint.discovery.kind_state import KindState, state_from_listing
from wagtailpoint.membership import Membership
from wagtailpoint.membership.responsibility import is_responsible
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.peers import Peers
from wagtailpoint.ports.platform import Platform
from wagtailpoint.quarantine.crash_broadcaster import CrashBroadcaster
from wagtailpoint.quarantine.quarantine import Quarantine
from wagtailpoint.quarantine.stored import KIND, StoredQuarantine

READ_INTERVAL_S: Final = 15.0
"""Peers broadcast new crash reports at once; the store keeps those that no running instance has in
memory."""


class SharedQuarantine:
    """Keeps the requests that crash backend servers in step with peers and the store."""

    def __init__(
        self, *, peers: Peers, platform: Platform, membership: Membership, random: Random
    ) -> None:
        """Initialise without any suspected request.

        Args:
            peers: Links to the other instances.
            platform: The object store.
            membership: The instances that are known.
            random: Source of the jitter.
        """
        self._platform = platform
        self._random = random
        broadcaster = CrashBroadcaster(peers=peers, others=membership.others)
        self._local = Quarantine(others=broadcaster)
        broadcaster.listen(self._local)
        self._stored = StoredQuarantine(
            platform=platform,
            quarantine=self._local,
            has_duty=lambda: is_responsible(membership, "quarantine"),
            random=random,
        )

    @property
    def local(self) -> Quarantine:
        """The quarantine in the memory of this instance."""
        return self._local

    @property
    def gauges(self) -> dict[str, float]:
        """The current values of the gauges."""
        return {
            "crash_suspects": self._local.suspects,
            "quarantined_requests": len(self._local.stored) + len(self._local.unstored),
        }

    def apply_listing(self, state: KindState) -> None:
        """Apply the requests that the store lists as quarantined."""
        self._stored.apply_listing(state)

    async def run(self) -> None:
        """Write changes of the quarantine to the store until cancelled."""
        await self._stored.run()

    async def poll(self) -> None:
        """Poll the store until cancelled; for instances without a follower of the quarantine."""
        while True:
            listing = await self._platform.list(kind=KIND)
            if isinstance(listing, Ok):
                self.apply_listing(state_from_listing(listing.ok_value))
            else:
                log_event("quarantine-unread", level="WARNING", error=listing.err_value)
            await trio.sleep(READ_INTERVAL_S * self._random.uniform(0.8, 1.2))

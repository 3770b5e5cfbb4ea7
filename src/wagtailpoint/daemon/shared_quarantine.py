"""The quarantine of an instance, with what shares it: the peers and the store."""

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
"""Peers tell at once what they find; the store is for what all of them have forgotten."""


class SharedQuarantine:
    """Requests that crash backend servers, as all instances and the store know them."""

    def __init__(
        self, *, peers: Peers, platform: Platform, membership: Membership, random: Random
    ) -> None:
        """Make it without any suspect.

        Args:
            peers: The links to the others.
            platform: The store.
            membership: Who is there.
            random: For the jitter.
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
        """What this instance knows."""
        return self._local

    @property
    def gauges(self) -> dict[str, float]:
        """Values of this moment, for the metrics."""
        return {
            "crash_suspects": self._local.suspects,
            "quarantined_requests": len(self._local.stored) + len(self._local.unstored),
        }

    def apply_listing(self, state: KindState) -> None:
        """Take in what the store lists."""
        self._stored.apply_listing(state)

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        await self._stored.run()

    async def poll(self) -> None:
        """Read the store now and then until cancelled, where nobody else follows it."""
        while True:
            listing = await self._platform.list(kind=KIND)
            if isinstance(listing, Ok):
                self.apply_listing(state_from_listing(listing.ok_value))
            else:
                log_event("quarantine-unread", level="WARNING", error=listing.err_value)
            await trio.sleep(READ_INTERVAL_S * self._random.uniform(0.8, 1.2))

"""Removes from the store what instances that were lost for good have left there."""

from collections.abc import Collection
from random import Random
from typing import Final

import trio
from result import Err

from wagtailpoint.discovery.registration import INSTANCES_KIND, read_registered
from wagtailpoint.membership import Membership
from wagtailpoint.membership.responsibility import is_responsible
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import Platform

DEAD_RETENTION_S: Final = 120.0
"""Dead for so long is lost: a process that was killed starts again within seconds."""

CHECK_INTERVAL_S: Final = 15.0


class LostRegistrationCleaner:
    """Removes the objects of instances that have been dead for long; one instance does it for all.

    Nothing in the store expires by itself. With 190 instances replaced on a day, each new one would
    find thousands of objects of which few stand for anything, and try to reach them.
    """

    def __init__(self, *, platform: Platform, membership: Membership, random: Random) -> None:
        """Make it.

        Args:
            platform: The store.
            membership: Who is alive, and who is dead.
            random: For the jitter.
        """
        self._platform = platform
        self._membership = membership
        self._random = random
        self._dead_since: dict[str, float] = {}
        self._removed: set[str] = set()

    async def run(self) -> None:
        """Look and remove until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))
            lost = self._lost_addresses()
            if lost and is_responsible(self._membership, "cleaner"):
                await self._remove_registrations(lost)

    def _lost_addresses(self) -> Collection[str]:
        now = trio.current_time()
        dead = {each.address for each in self._membership.members() if each.state == "dead"}
        self._dead_since = {each: self._dead_since.get(each, now) for each in dead}
        self._removed &= dead
        return {
            address
            for address, since in self._dead_since.items()
            if now - since >= DEAD_RETENTION_S and address not in self._removed
        }

    async def _remove_registrations(self, addresses: Collection[str]) -> None:
        listing = await self._platform.list(kind=INSTANCES_KIND)
        if isinstance(listing, Err):
            log_event("instances-unread", level="WARNING", error=listing.err_value)
            return
        for stored in listing.ok_value.objects:
            registered = read_registered(stored)
            if registered is None or registered.address not in addresses:
                continue
            # Only as it was read: a process that has just started there has written it anew.
            removed = await self._platform.delete(
                kind=INSTANCES_KIND, name=stored.name, if_version=stored.version
            )
            log_event("lost-instance-removed", name=stored.name, removed=removed.is_ok())
        self._removed |= set(addresses)

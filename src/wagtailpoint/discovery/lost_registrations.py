"""Removes the registrations of lost instances from the store."""

from collections.abc import Collection
from random import Random
from typing import Final

import trio
from result import Err

from wagtailpoint.discovery.registration import INSTANCES_KIND, read_registered
from wagtailpoint.discovery.store_era import StoreEra
from wagtailpoint.membership import Membership
from wagtailpoint.membership.responsibility import is_responsible
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import Platform

DEAD_RETENTION_S: Final = 120.0
"""An instance that is dead for this long is lost: a killed process restarts within seconds."""

CHECK_INTERVAL_S: Final = 15.0


class LostRegistrationCleaner:
    """Removes the registrations of lost instances; one instance does it for all.

    Registrations don't expire in the store. With 190 instances replaced in a day, each new instance
    would read thousands of registrations, most of them of lost instances, and try to reach them.
    """

    def __init__(
        self, *, platform: Platform, membership: Membership, era: StoreEra, random: Random
    ) -> None:
        """Initialise the cleaner.

        Args:
            platform: The store.
            membership: Knows which instances are live or dead.
            era: The newest era of the store, whose copies may have the registrations again.
            random: Source of the jitter.
        """
        self._platform = platform
        self._membership = membership
        self._random = random
        self._dead_since: dict[str, float] = {}
        self._removed: set[str] = set()
        era.on_return(self._removed.clear)

    async def run(self) -> None:
        """Check for lost instances and remove their registrations until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S * self._random.uniform(0.8, 1.2))
            lost = self._lost_addresses()
            if lost and is_responsible(self._membership, "cleaner"):
                await self._remove_registrations(lost)

    def _lost_addresses(self) -> Collection[str]:
        now = trio.current_time()
        dead = {member.address for member in self._membership.members() if member.state == "dead"}
        self._dead_since = {address: self._dead_since.get(address, now) for address in dead}
        self._removed.intersection_update(dead)
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
            # Only the version that was read: a restarted process may have written a new one.
            removed = await self._platform.delete(
                kind=INSTANCES_KIND, name=stored.name, if_version=stored.version
            )
            log_event("lost-instance-removed", name=stored.name, removed=removed.is_ok())
        self._removed.update(addresses)

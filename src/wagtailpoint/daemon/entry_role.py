"""Whether lookups name this instance as an entry, and what depends on it."""

from collections.abc import Callable
from typing import Final

import trio

from wagtailpoint.daemon.processor_load import ProcessorLoad
from wagtailpoint.discovery.bound_share import BoundShare
from wagtailpoint.discovery.instance_count import InstanceCount
from wagtailpoint.lookup.entry_choice import OVERLOADED_LOAD, EntryChoice, NearbyEntryCounts
from wagtailpoint.membership import Membership
from wagtailpoint.observe.log import log_event

LOAD_INTERVAL_S: Final = 0.5


class EntryRole:
    """Provides the known entries, this instance's share of common bounds, and its load reports."""

    def __init__(
        self, *, membership: Membership, instances: InstanceCount, registered: Callable[[], int]
    ) -> None:
        """Initialise the role.

        Args:
            membership: The instances that are known.
            instances: Counts the instances that share a bound.
            registered: Returns how many instances are registered in the store; used until
                membership knows all of them.
        """
        self._membership = membership
        self._instances = instances
        own = membership.own
        self._choice = EntryChoice(members=membership.members)
        self._nearby_counts = NearbyEntryCounts(
            choice=self._choice, region=own.region, failure_domain=own.failure_domain
        )
        self._address = own.address
        self._bound_share = BoundShare(
            instances=instances,
            entries=InstanceCount(alive=lambda: len(self._choice.all), registered=registered),
            is_entry=self.is_entry,
        )

    @property
    def choice(self) -> EntryChoice:
        """The entries of all failure domains."""
        return self._choice

    @property
    def nearby_counts(self) -> NearbyEntryCounts:
        """The numbers of entries near this instance."""
        return self._nearby_counts

    @property
    def gauges(self) -> dict[str, float]:
        """The current values of the gauges."""
        return {
            "instances": self._instances.value,
            "entries": len(self._choice.all),
            "load": self._membership.own.load,
        }

    def is_entry(self) -> bool:
        """Return whether lookups name this instance as an entry."""
        return self._choice.includes(self._address)

    def has_alternative(self) -> bool:
        """Return whether lookups name another instance to the callers of its failure domain."""
        own = self._membership.own
        nearest = self._choice.nearest(own.failure_domain, own.region)
        return any(entry.address != self._address for entry in nearest)

    def bound_divisor(self) -> float:
        """Return by what to divide a common bound to get this instance's share; at least 1."""
        return self._bound_share.divisor

    async def report_load(self, delay_load: Callable[[], float]) -> None:
        """Publish the load of this instance periodically, until cancelled.

        Args:
            delay_load: Returns the load by the delay of the event loop, from 0 to 1. The larger one
                of it and the processor load is published.
        """
        load = ProcessorLoad()
        trio.lowlevel.add_instrument(load)
        overloaded = False
        while True:
            await trio.sleep(LOAD_INTERVAL_S)
            value = max(load.read(), delay_load())
            if overloaded != (value >= OVERLOADED_LOAD):
                overloaded = not overloaded
                event = "overload-begins" if overloaded else "overload-ends"
                log_event(event, level="WARNING" if overloaded else "INFO", load=round(value, 3))
            if self._membership.own.state in ("live", "isolated"):
                self._membership.publish(load=value)

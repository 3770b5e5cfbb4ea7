"""Each instance's share of a bound that holds for all instances together."""

from collections.abc import Callable
from typing import Final

from wagtailpoint.discovery.instance_count import InstanceCount

ENTRIES_FRACTION: Final = 0.75
"""Fraction of a bound for the entries, the instances that lookups name. The other instances share
the rest: some callers use a stale lookup answer, and views of the members differ for a moment."""


class BoundShare:
    """Divides a shared bound among the instances, with most of it for the entries.

    With equal shares most of the bound would belong to instances that get no requests, and the
    entries could not retry requests although most of the bound is unused.
    """

    def __init__(
        self,
        *,
        instances: InstanceCount,
        entries: InstanceCount,
        is_entry: Callable[[], bool],
    ) -> None:
        """Initialise the share of this instance.

        Args:
            instances: Count of all instances that may be alive.
            entries: Count of the instances that lookups may have named.
            is_entry: Returns whether this instance is an entry.
        """
        self._instances = instances
        self._entries = entries
        self._is_entry = is_entry

    @property
    def divisor(self) -> float:
        """The number that a bound is divided by for this instance's share; at least 1."""
        instances = self._instances.value
        entries = min(self._entries.value, instances)
        if entries == instances:
            return instances
        if self._is_entry():
            return entries / ENTRIES_FRACTION
        return (instances - entries) / (1.0 - ENTRIES_FRACTION)

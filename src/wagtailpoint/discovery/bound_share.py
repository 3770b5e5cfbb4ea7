"""The part of one instance in what is bounded for all of them together."""

from collections.abc import Callable
from typing import Final

from wagtailpoint.discovery.instance_count import InstanceCount

ENTRIES_FRACTION: Final = 0.75
"""Of a bound, for the instances that callers are told to use. The others share the rest: some
callers keep an old answer, and views of the members differ for a moment."""


class BoundShare:
    """Divides a bound by who gets the requests.

    Divided by all instances alike, most of it would lie with those that get none, and requests
    would not be sent again although the bound is hardly touched.
    """

    def __init__(
        self,
        *,
        instances: InstanceCount,
        entries: InstanceCount,
        is_entry: Callable[[], bool],
    ) -> None:
        """Make it.

        Args:
            instances: All instances that there may be.
            entries: Those of them that callers may have been told to use.
            is_entry: Whether this instance is one of these.
        """
        self._instances = instances
        self._entries = entries
        self._is_entry = is_entry

    @property
    def divisor(self) -> float:
        """What to divide a bound by for this instance's part; at least 1."""
        instances = self._instances.value
        entries = min(self._entries.value, instances)
        if entries == instances:
            return instances
        if self._is_entry():
            return entries / ENTRIES_FRACTION
        return (instances - entries) / (1.0 - ENTRIES_FRACTION)

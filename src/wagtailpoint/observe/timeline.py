"""A bounded ring of events in each process, merged over all processes by their stamps."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wagtailpoint.observe.hlc import HybridClock, Stamp

FieldValue = str | int | float | bool | None


class TimelineEvent(NamedTuple):
    """Something that happened in one process.

    Attributes:
        stamp: When, in an order that holds across processes.
        instance: The address of the instance.
        event: The kind of event, for example ``config-enforced``.
        fields: What else is known of it.
    """

    stamp: Stamp
    instance: str
    event: str
    fields: Mapping[str, FieldValue]

    def __str__(self) -> str:
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.stamp} instance={self.instance} event={self.event} {fields}".rstrip()


class Timeline:
    """The newest events of this process.

    Args:
        clock: Stamps the events.
        instance: The address of this instance.
        most_events: How many events are kept; the oldest go first.
    """

    def __init__(self, *, clock: HybridClock, instance: str, most_events: int) -> None:
        self._clock = clock
        self._instance = instance
        self._events: deque[TimelineEvent] = deque(maxlen=most_events)

    def record(self, event: str, **fields: FieldValue) -> None:
        """Record an event, now."""
        self._events.append(TimelineEvent(self._clock.now(), self._instance, event, fields))

    def since(self, stamp: Stamp) -> list[TimelineEvent]:
        """Return the events after ``stamp`` that are still kept, oldest first."""
        return [event for event in self._events if event.stamp > stamp]


def merge_timelines(timelines: Iterable[Iterable[TimelineEvent]]) -> list[TimelineEvent]:
    """Merge the events of several processes into one order."""
    events = [event for timeline in timelines for event in timeline]
    return sorted(events, key=lambda event: (event.stamp, event.instance))

"""The timeline: a ring buffer of events per process, merged across processes by stamp."""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wagtailpoint.observe.hlc import HybridClock, Stamp

FieldValue = str | int | float | bool | None


class TimelineEvent(NamedTuple):
    """An event in one process.

    Attributes:
        stamp: The time of the event; stamps are ordered across processes.
        instance: The address of the instance.
        event: The kind of event, for example ``config-enforced``.
        fields: Details of the event.
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
        clock: The clock that stamps the events.
        instance: The address of this instance.
        max_events: Maximum number of events kept; the oldest are discarded first.
    """

    def __init__(self, *, clock: HybridClock, instance: str, max_events: int) -> None:
        self._clock = clock
        self._instance = instance
        self._events: deque[TimelineEvent] = deque(maxlen=max_events)

    def record(self, event: str, **fields: FieldValue) -> None:
        """Record an event at the current time."""
        self._events.append(TimelineEvent(self._clock.now(), self._instance, event, fields))

    def since(self, stamp: Stamp) -> list[TimelineEvent]:
        """Return the events in the buffer that are later than ``stamp``, oldest first."""
        return [event for event in self._events if event.stamp > stamp]


def merge_timelines(timelines: Iterable[Iterable[TimelineEvent]]) -> list[TimelineEvent]:
    """Merge the events of several processes, sorted by stamp."""
    events = [event for timeline in timelines for event in timeline]
    return sorted(events, key=lambda event: (event.stamp, event.instance))

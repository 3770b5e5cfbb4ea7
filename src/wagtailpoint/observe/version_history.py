"""Which instance had which version of the configuration in force since when, by their logs."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from typing import NamedTuple


class VersionSpread(NamedTuple):
    """How a version of the configuration came into force.

    Attributes:
        version: The version.
        first: When the first instance had it in force.
        last: When the last one of those that ever had it did.
        last_instance: Which one that was.
        instances: How many processes had it in force.
    """

    version: int
    first: datetime
    last: datetime
    last_instance: str
    instances: int

    @property
    def delay_s(self) -> float:
        """Seconds between the first and the last instance."""
        return (self.last - self.first).total_seconds()


class InstanceVersion(NamedTuple):
    """What an instance has in force at the end of its log.

    Attributes:
        instance: The instance.
        version: The version; None if its last process had none.
        since: When it came into force there, or the process started.
    """

    instance: str
    version: int | None
    since: datetime


class VersionHistory:
    """Collects the lines that tell starts, and versions that came into force."""

    def __init__(self, *, lines: Iterable[Mapping[str, str]]) -> None:
        """Read all lines; those of one instance must stand in the order of time."""
        self._current: dict[str, InstanceVersion] = {}
        self._times: dict[int, list[tuple[datetime, str]]] = {}
        for line in lines:
            self._record_line(line)

    @property
    def versions(self) -> Sequence[VersionSpread]:
        """All versions, the oldest first."""
        return [_measure_spread(version, times) for version, times in sorted(self._times.items())]

    @property
    def instances(self) -> Sequence[InstanceVersion]:
        """All instances by name."""
        return [self._current[name] for name in sorted(self._current)]

    def _record_line(self, line: Mapping[str, str]) -> None:
        event, instance, time = line["event"], line.get("instance"), line.get("time")
        if event not in ("started", "config-in-force") or instance is None or time is None:
            return
        timestamp = datetime.fromisoformat(time)
        if event == "started":
            self._current[instance] = InstanceVersion(instance, None, timestamp)
            return
        version = int(line["version"])
        self._current[instance] = InstanceVersion(instance, version, timestamp)
        self._times.setdefault(version, []).append((timestamp, instance))


def _measure_spread(version: int, times: Sequence[tuple[datetime, str]]) -> VersionSpread:
    first, _ = min(times)
    last, instance = max(times)
    return VersionSpread(version, first, last, instance, len(times))

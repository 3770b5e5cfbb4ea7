"""Determines from logs when instances enforced which version of the configuration."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from typing import NamedTuple


class VersionSpread(NamedTuple):
    """The times at which instances started to enforce a version of the configuration.

    Attributes:
        version: The version.
        first: The time at which the first instance enforced it.
        last: The time at which the last instance enforced it, of those that ever did.
        last_instance: The name of the last instance.
        instances: Number of processes that enforced it.
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
    """The version that an instance enforces at the end of its log.

    Attributes:
        instance: The name of the instance.
        version: The version; None if its last process enforced none.
        since: The time since which the version is enforced; without one, the start of the process.
    """

    instance: str
    version: int | None
    since: datetime


class VersionHistory:
    """Collects process starts and enforced versions from log lines."""

    def __init__(self, *, lines: Iterable[Mapping[str, str]]) -> None:
        """Read all lines; the lines of each instance must be in chronological order."""
        self._current: dict[str, InstanceVersion] = {}
        self._times: dict[int, list[tuple[datetime, str]]] = {}
        for line in lines:
            self._record_line(line)

    @property
    def versions(self) -> Sequence[VersionSpread]:
        """The spread of each version, oldest first."""
        return [_measure_spread(version, times) for version, times in sorted(self._times.items())]

    @property
    def instances(self) -> Sequence[InstanceVersion]:
        """All instances, sorted by name."""
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

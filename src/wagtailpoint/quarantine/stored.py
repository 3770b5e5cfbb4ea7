"""Quarantined requests in the platform's store, so that they outlive every process."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Final

import msgspec
import trio
from result import Err

from wagtailpoint.discovery.entries import ServerStart
from wagtailpoint.discovery.kind_state import KindState
from wagtailpoint.observe.log import log_event
from wagtailpoint.ports.platform import ABSENT, Conflict, Platform, StoredObject
from wagtailpoint.quarantine.quarantine import CrashReport, Quarantine

KIND: Final = "wagtailpoint-quarantine"

WRITE_INTERVAL_S: Final = 0.5
"""Between two writes of one instance."""

LEAST_WRITE_DELAY_S: Final = 0.02
MOST_WRITE_DELAY_S: Final = 1.0
"""All instances find it at about the same moment. Whoever draws the shortest delay writes, and the
others see that in the store before theirs is over."""

LIFETIME_S: Final = 24 * 3600.0
MOST_STORED: Final = 500
"""Kept in the store for so long, in seconds, and so many at most: the software that crashed may
have been mended, and nothing expires there by itself."""

CLEAN_INTERVAL_S: Final = 60.0


class _Value(msgspec.Struct):
    """A quarantined request as the store keeps it, under its fingerprint."""

    method: str
    host: str
    target: str
    # Id and start, in milliseconds since 1970, of each backend server that it crashed.
    servers: list[tuple[str, int]]


def decode_report(stored: StoredObject) -> CrashReport | None:
    """Read a quarantined request; None, with a log line, if it can't be read."""
    try:
        value = msgspec.convert(stored.value, _Value)
    except msgspec.ValidationError as error:
        log_event("quarantine-unreadable", level="WARNING", name=stored.name, error=error)
        return None
    starts = tuple(ServerStart(server_id, started_ms) for server_id, started_ms in value.servers)
    return CrashReport(stored.name, value.method, value.host, value.target, starts)


def encode_report(report: CrashReport) -> Any:
    """What the store keeps of a quarantined request."""
    servers = [(start.server_id, start.started_ms) for start in report.starts]
    return msgspec.to_builtins(_Value(report.method, report.host, report.target, servers))


class StoredQuarantine:
    """Writes what is found to the store, and removes what is old."""

    def __init__(
        self,
        *,
        platform: Platform,
        quarantine: Quarantine,
        has_duty: Callable[[], bool],
        random: Random,
    ) -> None:
        """Make it.

        Args:
            platform: The store.
            quarantine: Finds the requests, and is told what the store lists.
            has_duty: Whether this instance removes for all what is old.
            random: For the jitter.
        """
        self._platform = platform
        self._quarantine = quarantine
        self._has_duty = has_duty
        self._random = random
        self._listed: Mapping[str, StoredObject] = {}
        self._known_since: dict[str, float] = {}
        self._written: dict[str, int] = {}

    def apply_listing(self, state: KindState) -> None:
        """Take in what the store lists."""
        self._listed = dict(state.objects)
        now = trio.current_time()
        self._known_since = {name: self._known_since.get(name, now) for name in state.objects}
        read = {name: decode_report(each) for name, each in state.objects.items()}
        reports = {name: report for name, report in read.items() if report is not None}
        # Written and not listed: removed again, unless what is listed is older than the write.
        seen = [name for name, version in self._written.items() if version <= state.version]
        for name in seen:
            del self._written[name]
        self._quarantine.take_stored(reports, lifted=[each for each in seen if each not in reports])

    async def run(self) -> None:
        """Write and remove until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write)
            nursery.start_soon(self._clean)

    async def _write(self) -> None:
        while True:
            await self._quarantine.wait_unstored()
            await trio.sleep(self._random.uniform(LEAST_WRITE_DELAY_S, MOST_WRITE_DELAY_S))
            unwritten = [
                each for each in self._quarantine.unstored if each.fingerprint not in self._written
            ]
            if unwritten:
                await self._put(unwritten[0])
            await trio.sleep(WRITE_INTERVAL_S)

    async def _put(self, report: CrashReport) -> None:
        name = report.fingerprint
        written = await self._platform.put(
            kind=KIND, name=name, value=encode_report(report), if_version=ABSENT
        )
        if not isinstance(written, Err):
            self._written[name] = written.ok_value.version
            log_event("quarantine-written", digest=name, version=written.ok_value.version)
        elif isinstance(written.err_value, Conflict) and written.err_value.current is not None:
            # Another instance wrote it; the store tells soon.
            self._written[name] = written.err_value.current.version
        else:
            log_event(
                "quarantine-not-written", level="WARNING", digest=name, error=written.err_value
            )

    async def _clean(self) -> None:
        while True:
            await trio.sleep(CLEAN_INTERVAL_S * self._random.uniform(0.8, 1.2))
            if self._has_duty():
                for stored in self._outdated():
                    removed = await self._platform.delete(
                        kind=KIND, name=stored.name, if_version=stored.version
                    )
                    log_event("quarantine-removed", digest=stored.name, removed=removed.is_ok())

    def _outdated(self) -> list[StoredObject]:
        """Those that are too old, and the oldest of too many."""
        now = trio.current_time()
        by_age = sorted(self._listed.values(), key=lambda each: each.version)
        too_many = by_age[: max(0, len(by_age) - MOST_STORED)]
        old = [each for each in by_age if now - self._known_since[each.name] >= LIFETIME_S]
        return list({each.name: each for each in [*too_many, *old]}.values())

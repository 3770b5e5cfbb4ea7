"""Storage of quarantined requests on the platform, so that they outlast all processes."""

from collections.abc import Callable, Mapping, Sequence
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
from wagtailpoint.revision import Revision
from wagtailpoint.untrusted_input import read_value

KIND: Final = "wagtailpoint-quarantine"

WRITE_INTERVAL_S: Final = 0.5
"""Minimum interval between two writes of one instance."""

MIN_WRITE_DELAY_S: Final = 0.02
MAX_WRITE_DELAY_S: Final = 1.0
"""All instances quarantine a request at about the same time. The instance with the shortest random
delay writes it, and the others see it in the store before their delays end."""

RETENTION_S: Final = 24 * 3600.0
MAX_STORED: Final = 500
"""Limits on the age and number of quarantined requests in the store. The fault of the crashed
software may have been fixed since, and objects in the store do not expire by themselves."""

CLEAN_INTERVAL_S: Final = 60.0


class _Value(msgspec.Struct):
    """Stored form of a quarantined request; the name of the object is the fingerprint."""

    method: str
    host: str
    target: str
    # Id and start time, in milliseconds since 1970, of each backend server that crashed.
    servers: list[tuple[str, int]]


def decode_report(stored: StoredObject) -> CrashReport | None:
    """Decode a quarantined request; log a warning and return None if it is invalid."""
    read = read_value(stored.value, _Value)
    if isinstance(read, Err):
        log_event("quarantine-unreadable", level="WARNING", name=stored.name, error=read.err_value)
        return None
    value = read.ok_value
    starts = tuple(ServerStart(server_id, started_ms) for server_id, started_ms in value.servers)
    return CrashReport(stored.name, value.method, value.host, value.target, starts)


def encode_report(report: CrashReport) -> Any:
    """Return the value stored for a quarantined request."""
    servers = [(start.server_id, start.started_ms) for start in report.starts]
    return msgspec.to_builtins(_Value(report.method, report.host, report.target, servers))


class StoredQuarantine:
    """Writes quarantined requests to the store and removes expired ones."""

    def __init__(
        self,
        *,
        platform: Platform,
        quarantine: Quarantine,
        has_duty: Callable[[], bool],
        random: Random,
    ) -> None:
        """Initialise the storage of a quarantine.

        Args:
            platform: Access to the store.
            quarantine: Its requests are written, and the listings of the store are applied to it.
            has_duty: Returns whether this instance is the one that removes expired requests.
            random: Source of randomness for delays.
        """
        self._platform = platform
        self._quarantine = quarantine
        self._has_duty = has_duty
        self._random = random
        self._listed: Mapping[str, StoredObject] = {}
        self._first_seen_at: dict[str, float] = {}
        self._written_versions: dict[str, Revision] = {}
        self._lost: Sequence[CrashReport] = ()
        self._undone: Sequence[StoredObject] = ()
        self._needs_repair = trio.Event()

    def apply_listing(self, state: KindState) -> None:
        """Apply a listing of the store, and what is believed from before a return of the store."""
        self._listed = dict(state.objects)
        now = trio.current_time()
        self._first_seen_at = {name: self._first_seen_at.get(name, now) for name in state.objects}
        lost = [each.stored for each in state.carried.values() if each.stored is not None]
        undone = {name for name, carried in state.carried.items() if carried.stored is None}
        believed = [stored for name, stored in state.objects.items() if name not in undone]
        read = {stored.name: decode_report(stored) for stored in (*believed, *lost)}
        reports = {name: report for name, report in read.items() if report is not None}
        self._set_repairs(reports, lost, [state.objects[name] for name in undone])
        # A request that was written and is not listed has been removed, unless the listing is older
        # than the write, or the store has lost the write.
        seen = {
            name: version
            for name, version in self._written_versions.items()
            if version <= state.version
        }
        for name in seen:
            del self._written_versions[name]
        self._quarantine.apply_stored(
            reports,
            lifted=[
                name
                for name, version in seen.items()
                if name not in reports and version.era == state.version.era
            ],
        )

    def _set_repairs(
        self,
        reports: Mapping[str, CrashReport],
        lost: Sequence[StoredObject],
        undone: Sequence[StoredObject],
    ) -> None:
        """Set what the store has to be told again after it has returned to a copy."""
        self._lost = [reports[stored.name] for stored in lost if stored.name in reports]
        self._undone = undone
        if self._lost or self._undone:
            self._needs_repair.set()

    async def run(self) -> None:
        """Write quarantined requests and remove expired ones until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_unstored)
            nursery.start_soon(self._remove_expired)
            nursery.start_soon(self._repair)

    async def _write_unstored(self) -> None:
        while True:
            await self._quarantine.wait_unstored()
            await trio.sleep(self._random.uniform(MIN_WRITE_DELAY_S, MAX_WRITE_DELAY_S))
            unwritten = [
                report
                for report in self._quarantine.unstored
                if report.fingerprint not in self._written_versions
            ]
            if unwritten:
                await self._put(unwritten[0])
            await trio.sleep(WRITE_INTERVAL_S)

    async def _repair(self) -> None:
        """Write again what the store has lost, and remove again what its copy has brought back."""
        while True:
            if not self._lost and not self._undone:
                self._needs_repair = trio.Event()
                await self._needs_repair.wait()
            await trio.sleep(self._random.uniform(MIN_WRITE_DELAY_S, MAX_WRITE_DELAY_S))
            if self._lost:
                await self._put(self._lost[0])
            elif self._undone:
                stored = self._undone[0]
                removed = await self._platform.delete(
                    kind=KIND, name=stored.name, if_version=stored.version
                )
                log_event("quarantine-removed", digest=stored.name, removed=removed.is_ok())
            # The watch tells of the change.
            await trio.sleep(WRITE_INTERVAL_S)

    async def _put(self, report: CrashReport) -> None:
        name = report.fingerprint
        written = await self._platform.put(
            kind=KIND, name=name, value=encode_report(report), if_version=ABSENT
        )
        if not isinstance(written, Err):
            self._written_versions[name] = written.ok_value.version
            log_event("quarantine-written", digest=name, version=written.ok_value.version)
        elif isinstance(written.err_value, Conflict) and written.err_value.current is not None:
            # Another instance wrote it; a later listing of the store contains it.
            self._written_versions[name] = written.err_value.current.version
        else:
            log_event(
                "quarantine-not-written", level="WARNING", digest=name, error=written.err_value
            )

    async def _remove_expired(self) -> None:
        while True:
            await trio.sleep(CLEAN_INTERVAL_S * self._random.uniform(0.8, 1.2))
            if self._has_duty():
                for stored in self._find_expired():
                    removed = await self._platform.delete(
                        kind=KIND, name=stored.name, if_version=stored.version
                    )
                    log_event("quarantine-removed", digest=stored.name, removed=removed.is_ok())

    def _find_expired(self) -> list[StoredObject]:
        """Return the requests to remove: those too old, and the oldest above the limit."""
        now = trio.current_time()
        by_age = sorted(self._listed.values(), key=lambda stored: stored.version)
        too_many = by_age[: max(0, len(by_age) - MAX_STORED)]
        old = [stored for stored in by_age if now - self._first_seen_at[stored.name] >= RETENTION_S]
        return list({stored.name: stored for stored in [*too_many, *old]}.values())

"""Load reports of backend servers that are worth telling to other instances."""

from collections.abc import Sequence
from hashlib import blake2b
from typing import Final, NamedTuple

from wagtailpoint.placement.load_report import LoadReport
from wagtailpoint.ports.peers import PeerAddress

MAX_AGE_S: Final = 1.0
"""Older reports are not told: most of the requests that they count have ended since."""

MIN_OCCUPANCY_CHANGE: Final = 1 / 8
"""Minimum change of the occupancy since the last report told to a peer, in parts of the slots."""

MIN_PACE_CHANGE: Final = 0.1

MAX_SERVERS: Final = 40
"""Maximum number of backend servers in one message."""

PACE_SCALE: Final = 100
AGE_SCALE: Final = 100
"""Paces are told in percent and ages in hundredths of a second, as small integers."""


class ServerReport(NamedTuple):
    """A load report as told to other instances.

    Attributes:
        server: The hash of the backend server's start, as by ``server_hash``.
        running: The number of requests that it runs.
        waiting: The number of requests in its queue.
        pace: The pace of its machine in percent; 0 if not stated.
        age: The age of the report in hundredths of a second.
    """

    server: int
    running: int
    waiting: int
    pace: int
    age: int


class _KnownReport(NamedTuple):
    report: LoadReport
    measured_at: float


def server_hash(start_key: str) -> int:
    """Return a 32-bit hash of a backend server's start, which is shorter than its name."""
    return int.from_bytes(blake2b(start_key.encode(), digest_size=4).digest(), "big")


class LoadNews:
    """Keeps the newest report of each backend server, and selects those to tell to each peer.

    Only reports that differ from what a peer was told last are told, those with the largest
    difference first. So the bytes go to the servers whose load a peer is most wrong about.
    """

    def __init__(self) -> None:
        """Initialise without reports."""
        self._known: dict[int, _KnownReport] = {}
        self._told: dict[PeerAddress, dict[int, _KnownReport]] = {}

    def record(self, start_key: str, report: LoadReport, measured_at: float) -> None:
        """Record a report that came with a response to this instance.

        Args:
            start_key: The start of the backend server.
            report: The report.
            measured_at: When the server wrote it, in seconds.
        """
        self._known[server_hash(start_key)] = _KnownReport(report, measured_at)

    def select(self, peer: PeerAddress, now: float, max_servers: int) -> Sequence[ServerReport]:
        """Select the reports to tell to a peer now, and remember that it was told them.

        Args:
            peer: The receiving instance.
            now: The current time in seconds.
            max_servers: The maximum number of reports.
        """
        self.remove_old(now)
        told = self._told.setdefault(peer, {})
        changes = []
        for server, known in self._known.items():
            change = _change(known, told.get(server))
            if change >= 1.0:
                changes.append((change, server))
        changes.sort(reverse=True)
        selected = [server for _, server in changes[: min(max_servers, MAX_SERVERS)]]
        told.update((server, self._known[server]) for server in selected)
        return [_to_wire(server, self._known[server], now) for server in selected]

    def forget_peers(self, present: Sequence[PeerAddress]) -> None:
        """Forget what was told to instances that are not among those present."""
        for peer in [peer for peer in self._told if peer not in present]:
            del self._told[peer]

    def remove_old(self, now: float) -> None:
        """Remove the reports that are too old to be told at ``now``, in seconds."""
        old = [
            server for server, known in self._known.items() if now - known.measured_at > MAX_AGE_S
        ]
        for server in old:
            del self._known[server]
            for told in self._told.values():
                # What a peer was told of it long ago says nothing about what it expects now.
                told.pop(server, None)


def _change(known: _KnownReport, told: _KnownReport | None) -> float:
    """Return the change since the last report told, where 1 is the smallest worth telling."""
    report = known.report
    occupancy = report.running + report.waiting
    if told is None or known.measured_at - told.measured_at > MAX_AGE_S:
        # The peer believes less of a report as it grows older, also if nothing has changed.
        return 1.0 + occupancy / (MIN_OCCUPANCY_CHANGE * report.slots)
    if told.measured_at >= known.measured_at:
        return 0.0
    difference = abs(occupancy - told.report.running - told.report.waiting)
    return max(
        difference / (MIN_OCCUPANCY_CHANGE * report.slots),
        abs(report.pace - told.report.pace) / MIN_PACE_CHANGE,
    )


def _to_wire(server: int, known: _KnownReport, now: float) -> ServerReport:
    report = known.report
    return ServerReport(
        server,
        report.running,
        report.waiting,
        round(PACE_SCALE * report.pace) if report.has_pace else 0,
        max(0, round(AGE_SCALE * (now - known.measured_at))),
    )

"""Bound on the requests that one instance sends to a backend server while it knows no loads."""

import math
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from wagtailpoint.discovery.entries import ServerEntry, ServerStart
from wagtailpoint.placement.load_report import LoadReport

MAX_DURATION_S: Final = 5.0
"""Time after an instance became ready when the bound ends, whatever is known by then: an instance
that receives no messages has to decide by itself."""

KNOWN_FRACTION: Final = 0.5
"""Fraction of a service's backend servers whose loads have to be known for the bound to end."""

SHARED_SLOTS_FACTOR: Final = 1.5
"""Requests at a backend server, of all instances together, as a multiple of its slots: half as many
as it runs may queue behind those."""

MIN_SHARE: Final = 1.0

ROOM_WAIT_FRACTION: Final = 1 / 8
"""Maximum wait for room, as a fraction of the latency objective; the room queue then rejects."""

RELEASE_MARGIN_S: Final = 0.05
"""Time before the end of the wait from which a request is not bounded: two intervals at which the
room queue repeats the selection, so that it is sent and not rejected."""

MIN_REMAINING_OBJECTIVES: Final = 2.0
"""Minimum time until the deadline, as a multiple of the objective, of a request that is bounded.
The room queue rejects requests with less at once, if the rest is too short for an answer."""


class StartRamp:
    """Bounds the requests in flight at one backend server after a loss of all instances.

    After such a loss all instances start at the same time, no one knows a load, and all callers
    arrive at once. Each instance takes the servers to be empty but for its own requests, and the
    sum of what they send fills the queues of the preferred servers. With the bound, an instance
    sends its share only; a request beyond it goes to the next candidate or waits for room, in the
    order of the room queue, for a part of the time that the queue allows.

    The bound ends for a service when the loads of half of its servers are known, for all after 5 s,
    and at once if another instance tells a load from before this one was ready. Then nothing was
    lost, and this instance has joined a running deployment.
    """

    def __init__(
        self, *, is_enabled: Callable[[str], bool], count_servers: Callable[[str], int]
    ) -> None:
        """Initialise the ramp, which has no effect before ``begin``.

        Args:
            is_enabled: Returns whether the requests of a service may wait for room.
            count_servers: Returns the number of backend servers of a service.
        """
        self._is_enabled = is_enabled
        self._count_servers = count_servers
        self._begun_at = math.inf
        self._has_ended = False
        self._reported: defaultdict[str, set[ServerStart]] = defaultdict(set)
        self._known_services: set[str] = set()

    @property
    def has_begun(self) -> bool:
        """Whether the instance has become ready."""
        return self._begun_at < math.inf

    def begin(self, now: float) -> None:
        """Record that the instance is ready; only the first call counts."""
        self._begun_at = min(self._begun_at, now)

    def record_report(self, entry: ServerEntry, report: LoadReport, measured_at: float) -> None:
        """Record a load report of a backend server.

        Args:
            entry: The backend server.
            report: The report.
            measured_at: When the server wrote it, in seconds.
        """
        if not self._has_ended:
            self._reported[entry.service].add(entry.start)

    def record_peer_report(
        self, entry: ServerEntry, report: LoadReport, measured_at: float
    ) -> None:
        """Record a load report that another instance received; see ``record_report``."""
        if self.has_begun and measured_at < self._begun_at:
            self._end()
        self.record_report(entry, report, measured_at)

    def is_active(self, service: str, now: float) -> bool:
        """Return whether the requests to the backend servers of a service are bounded."""
        if self._has_ended or not self.has_begun:
            return False
        if now - self._begun_at >= MAX_DURATION_S:
            self._end()
            return False
        if service in self._known_services or not self._is_enabled(service):
            return False
        if len(self._reported[service]) >= KNOWN_FRACTION * self._count_servers(service):
            self._known_services.add(service)
            return False
        return True

    def may_send(self, entry: ServerEntry, in_flight: int, senders: int, now: float) -> bool:
        """Return whether the bound allows one more request to a backend server.

        Args:
            entry: The backend server.
            in_flight: The number of this instance's requests in flight there.
            senders: The number of instances whose callers' requests go there.
            now: The current time in seconds.
        """
        share = max(MIN_SHARE, SHARED_SLOTS_FACTOR * entry.slots / max(1, senders))
        return in_flight + 1 <= share or not self.is_active(entry.service, now)

    def _end(self) -> None:
        self._has_ended = True
        self._reported.clear()


def can_wait(objective_s: float, objective_remaining_s: float, remaining_s: float) -> bool:
    """Return whether a request can wait for room for some time without being rejected then.

    Args:
        objective_s: The latency objective of its route.
        objective_remaining_s: Seconds until the objective, counted from the request's arrival.
        remaining_s: Seconds until its deadline.
    """
    passed_s = objective_s - objective_remaining_s
    return (
        passed_s < ROOM_WAIT_FRACTION * objective_s - RELEASE_MARGIN_S
        and remaining_s >= MIN_REMAINING_OBJECTIVES * objective_s
    )
